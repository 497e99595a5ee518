package gateway

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"marjorampitch/pace"
	"marjorampitch/wire"
)

// Timing and sizes of the exchange between gateways.
const (
	// tellEvery is the time between two words to the peers while streams run;
	// tellPerPeer is added for each peer, so that the cost of an instance does
	// not grow with their number.
	tellEvery   = 25 * time.Millisecond
	tellPerPeer = 4 * time.Millisecond
	maxDatagram = 8 << 10
)

// peers exchanges loads with the other gateways by datagrams, which may be
// lost: the next one says all again.
type peers struct {
	g    *Gateway
	conn *net.UDPConn
}

func newPeers(g *Gateway) *peers { return &peers{g: g} }

// run announces this instance and exchanges loads until ctx ends. Without a
// port or a directory it does nothing.
func (p *peers) run(ctx context.Context) error {
	st := p.g.opts.Settings
	if p.g.opts.Directory == nil || st.PeerPort == 0 {
		return nil
	}
	addr := net.JoinHostPort(st.Address, strconv.Itoa(st.PeerPort))
	udp, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return eris.Wrap(err, "peers")
	}
	if p.conn, err = net.ListenUDP("udp4", udp); err != nil {
		return eris.Wrap(err, "peers")
	}
	go p.g.opts.Directory.Announce(ctx, st.Instance, wire.Instance{Role: wire.RoleGateway, Address: addr})
	go p.receive()
	go p.tell(ctx)
	return nil
}

// receive takes the peers' words until the connection is closed.
func (p *peers) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if err := p.datagram(buf[:n]); err != nil {
			p.g.opts.Log.Warn("datagram-refused", "from", from, "err", err)
		}
	}
}

// datagram takes one message. Error: it cannot be read.
func (p *peers) datagram(data []byte) error {
	if len(data) == 0 {
		return eris.New("empty")
	}
	switch data[0] {
	case wire.KindGatewayLoad:
		var l wire.GatewayLoad
		if _, err := l.UnmarshalMsg(data[1:]); err != nil {
			return eris.Wrap(err, "load")
		}
		p.heard(&l)
	case wire.KindGroupState:
		var s wire.GroupState
		if _, err := s.UnmarshalMsg(data[1:]); err != nil {
			return eris.Wrap(err, "group state")
		}
		p.groupState(&s)
	default:
		return eris.Errorf("unknown kind %d", data[0])
	}
	return nil
}

// groupState notes whether a group makes passes.
func (p *peers) groupState(x *wire.GroupState) {
	now := p.g.now()
	for _, s := range p.g.all() {
		s.mu.Lock()
		if s.gate != nil {
			if s.gate.SetOpen(now, x.Group, x.Open, toldClosed) {
				p.g.opts.Log.Info("group-state", "service", s.name, "group", x.Group, "epoch", x.Epoch, "open", x.Open)
			}
			s.wake(s.gate.AdmitWaiting(now))
		}
		s.mu.Unlock()
	}
}

// toldClosed is for how long the word holds that a group makes no passes: it
// is said again more often.
const toldClosed = 700 * time.Millisecond

// heard notes a peer's loads.
func (p *peers) heard(l *wire.GatewayLoad) {
	now := p.g.now()
	for _, x := range l.Groups {
		s := p.g.service(x.Service)
		s.mu.Lock()
		if s.gate != nil {
			s.gate.SetPeerLoad(now, l.Instance, x.Group, pace.Load{Running: x.Running, Rate: x.Rate})
			s.wake(s.gate.AdmitWaiting(now))
		}
		s.mu.Unlock()
	}
}

// tell sends this instance's loads while it has any.
func (p *peers) tell(ctx context.Context) {
	busy := false
	for ctx.Err() == nil {
		addrs := p.addresses()
		if l := p.loads(); busy || len(l.Groups) > 0 {
			busy = len(l.Groups) > 0
			p.send(l, addrs)
		}
		time.Sleep(tellEvery + time.Duration(len(addrs))*tellPerPeer)
	}
}

// loads are the groups with streams or arrivals.
func (p *peers) loads() *wire.GatewayLoad {
	l := &wire.GatewayLoad{Instance: p.g.opts.Settings.Instance}
	now := p.g.now()
	for _, s := range p.g.all() {
		s.mu.Lock()
		if s.gate != nil {
			s.wake(s.gate.AdmitWaiting(now)) // a closed group may have opened again
			for name, x := range s.gate.Loads(now) {
				if x.Running > 0 || x.Rate > quietRate {
					l.Groups = append(l.Groups, wire.GroupLoad{Service: s.name, Group: name, Running: x.Running, Rate: x.Rate})
				}
			}
		}
		s.mu.Unlock()
	}
	return l
}

// quietRate is the demand, in requests a second, below which peers need not be told.
const quietRate = 0.2

func (p *peers) send(l *wire.GatewayLoad, addrs []*net.UDPAddr) {
	data, err := l.MarshalMsg([]byte{wire.KindGatewayLoad})
	if err != nil {
		p.g.opts.Log.Error("load-not-encoded", "err", err)
		return
	}
	for _, a := range addrs {
		p.conn.WriteToUDP(data, a) //nolint:errcheck // the next word says all again
	}
}

// addresses are those of the other gateways.
func (p *peers) addresses() []*net.UDPAddr {
	var list []*net.UDPAddr
	for name, e := range p.g.opts.Directory.Entries() {
		if e.Role != wire.RoleGateway || name == p.g.opts.Settings.Instance {
			continue
		}
		if a, err := net.ResolveUDPAddr("udp4", e.Address); err == nil {
			list = append(list, a)
		}
	}
	return list
}

// count is the number of gateways in the directory; 0 while none is known.
func (p *peers) count() int {
	if p.g.opts.Directory == nil {
		return 0
	}
	n := 0
	for _, e := range p.g.opts.Directory.Entries() {
		if e.Role == wire.RoleGateway {
			n++
		}
	}
	return n
}

// engineGroups is the group of each engine, by its address.
func (p *peers) engineGroups() map[string]string {
	groups := make(map[string]string)
	if p.g.opts.Directory == nil {
		return groups
	}
	for _, e := range p.g.opts.Directory.Entries() {
		if e.Role == wire.RoleRebalancer {
			groups[e.Engine] = e.Group
		}
	}
	return groups
}

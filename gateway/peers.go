package gateway

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"marjorampitch/cost"
	"marjorampitch/internal/clock"
	"marjorampitch/pace"
	"marjorampitch/wire"
)

// Timing and sizes of the load exchange between gateways.
const (
	// broadcastInterval is the time between two load reports while streams run.
	// broadcastIntervalPerPeer is added for each peer, so that the cost per
	// instance does not grow with the number of peers.
	broadcastInterval        = 25 * time.Millisecond
	broadcastIntervalPerPeer = 4 * time.Millisecond
	maxDatagram              = 8 << 10
	// reportInterval is the longest time between two reports of evidence, which may be
	// empty: the receiver needs the delay of punctual ones to tell which are late.
	reportInterval = time.Second
)

// peers exchanges loads with the other gateways by UDP datagrams. Each datagram
// carries the complete state, so a lost one is replaced by the next.
type peers struct {
	g       *Gateway
	conn    *net.UDPConn
	serving servingPeers
}

func newPeers(g *Gateway) *peers {
	return &peers{g: g, serving: servingPeers{at: make(map[string]time.Duration)}}
}

// run announces this instance and starts the exchange of loads; sending ends when
// ctx is done. Without a port or a directory it does nothing.
func (p *peers) run(ctx context.Context) error {
	st := p.g.opts.Settings
	if p.g.opts.Directory == nil || st.PeerPort == 0 {
		return nil
	}
	addr := net.JoinHostPort(st.Address, strconv.Itoa(st.PeerPort))
	udp, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return eris.Wrap(err, "resolve peer address")
	}
	if p.conn, err = net.ListenUDP("udp4", udp); err != nil {
		return eris.Wrap(err, "listen for peer datagrams")
	}
	go p.g.opts.Directory.Announce(ctx, st.Instance, wire.Instance{Role: wire.RoleGateway, Address: addr, DataCentre: st.DataCentre})
	p.g.opts.Relay.Connect(p.sendTo)
	go p.receive()
	go p.broadcast(ctx)
	return nil
}

// receive handles datagrams until the connection is closed.
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
		if p.relay(buf[:n], from) {
			continue
		}
		if err := p.handleDatagram(buf[:n]); err != nil {
			p.g.opts.Log.Warn("datagram-refused", "from", from, "err", err)
		}
	}
}

// handleDatagram handles one message. It returns an error if the message cannot
// be decoded.
func (p *peers) handleDatagram(data []byte) error {
	if len(data) == 0 {
		return eris.New("empty datagram")
	}
	switch data[0] {
	case wire.KindGatewayLoad:
		var l wire.GatewayLoad
		if _, err := l.UnmarshalMsg(data[1:]); err != nil {
			return eris.Wrap(err, "decode gateway load")
		}
		return p.handleLoad(&l)
	case wire.KindGroupState:
		var s wire.GroupState
		if _, err := s.UnmarshalMsg(data[1:]); err != nil {
			return eris.Wrap(err, "decode group state")
		}
		p.handleGroupState(&s)
	case wire.KindPartEvidence:
		return p.handleEvidence(causePart, data[1:])
	case wire.KindRequestEvidence:
		return p.handleEvidence(causeRequest, data[1:])
	case wire.KindLimitReport:
		return p.handleLimits(data[1:])
	default:
		return eris.Errorf("unknown datagram kind %d", data[0])
	}
	return nil
}

// handleEvidence merges a peer's evidence of crashes.
func (p *peers) handleEvidence(cause crashCause, data []byte) error {
	var r wire.PartReport
	if _, err := r.UnmarshalMsg(data); err != nil {
		return eris.Wrap(err, "decode evidence of crashes")
	}
	p.g.crashes.merge(cause, &r, p.g.now())
	return nil
}

// handleGroupState records whether a group executes passes, if the message names one, and
// how slow the sender's engine is.
func (p *peers) handleGroupState(x *wire.GroupState) {
	now := p.g.now()
	view := p.g.opts.Cache.View()
	for _, s := range p.g.allServices() {
		s.stateSlowness(view.Services[s.name], x, now)
		if x.Group == "" {
			continue
		}
		s.mu.Lock()
		if s.gate != nil {
			if s.gate.SetOpen(now, x.Group, x.Open, closedReportTTL) {
				p.g.opts.Log.Info("group-state", "service", s.name, "group", x.Group, "epoch", x.Epoch, "open", x.Open)
			}
			s.wake(s.gate.AdmitWaiting(now))
		}
		s.mu.Unlock()
	}
}

// closedReportTTL is how long a report that a group executes no passes is valid.
// The report is repeated more often than that.
const closedReportTTL = 700 * time.Millisecond

// handleLoad records the loads of a peer and whether it serves. It returns an error if a
// part of them cannot be decoded.
func (p *peers) handleLoad(l *wire.GatewayLoad) error {
	now := p.g.now()
	p.serving.record(l.Instance, l.Serving, now)
	for _, x := range l.Groups {
		s := p.g.knownService(x.Service)
		if s == nil || !validLoad(&x) {
			continue
		}
		s.mu.Lock()
		if s.gate != nil {
			s.gate.SetPeerLoad(now, l.Instance, x.Group, pace.Load{
				Running: x.Running, Rate: x.Rate, Gap: time.Duration(x.Gap) * time.Microsecond,
			})
			s.wake(s.gate.AdmitWaiting(now))
		}
		s.mu.Unlock()
	}
	return p.handleWork(l, now)
}

// broadcast sends this instance's loads, its evidence of crashes and the limits of
// servers to its peers until ctx ends. When there are no loads any more, it sends one empty message and
// then pauses.
func (p *peers) broadcast(ctx context.Context) {
	busy := false
	reported := -reportInterval // time of the last evidence
	for ctx.Err() == nil {
		addrs := p.addresses()
		if l := p.currentLoads(); busy || len(l.Groups) > 0 {
			busy = len(l.Groups) > 0
			p.send(wire.KindGatewayLoad, l, addrs)
		}
		for cause := range crashCauses {
			now := p.g.now()
			if evidence := p.g.crashes.evidence(cause, now); len(evidence) > 0 || now-reported >= reportInterval {
				reported = now
				p.send(cause.datagram(), p.report(evidence), addrs)
			}
		}
		if limits := p.g.statements.report(p.g.now()); len(limits) > 0 {
			p.send(wire.KindLimitReport, p.limitReport(limits), addrs)
		}
		time.Sleep(broadcastInterval + time.Duration(len(addrs))*broadcastIntervalPerPeer)
	}
}

// report returns the message that carries evidence of crashes. It is dated by a clock
// that goes on while the instance is suspended.
func (p *peers) report(evidence []wire.PartEvidence) *wire.PartReport {
	return &wire.PartReport{
		Instance: p.g.opts.Settings.Instance, Incarnation: p.g.start.UnixNano(), SentAt: clock.SinceBoot().Milliseconds(), Evidence: evidence,
	}
}

// currentLoads returns the loads of the groups with streams or arrivals.
func (p *peers) currentLoads() *wire.GatewayLoad {
	l := &wire.GatewayLoad{Instance: p.g.opts.Settings.Instance, Serving: p.g.Ready()}
	now := p.g.now()
	for _, s := range p.g.allServices() {
		s.mu.Lock()
		if s.gate != nil {
			s.wake(s.gate.AdmitWaiting(now)) // a stalled group may be open again
			for name, x := range s.gate.Loads(now) {
				if x.Running > 0 || x.Rate > minReportedRate {
					l.Groups = append(l.Groups, wire.GroupLoad{
						Service: s.name, Group: name, Running: x.Running, Rate: x.Rate, Gap: x.Gap.Microseconds(),
					})
				}
			}
			if loads := s.costs.ledger.OwnLoads(); len(loads) > 0 {
				l.Servers = append(l.Servers, wire.ServerLoads{Service: s.name, Loads: cost.EncodeLoads(loads)})
			}
		}
		s.mu.Unlock()
	}
	return l
}

// minReportedRate is the arrival rate, in requests per second, up to which a
// group without streams is not reported.
const minReportedRate = 0.2

// send sends a message to the addresses.
func (p *peers) send(kind byte, message msgp.Marshaler, addrs []*net.UDPAddr) {
	data, err := message.MarshalMsg([]byte{kind})
	if err != nil {
		p.g.opts.Log.Error("datagram-not-encoded", "kind", kind, "err", err)
		return
	}
	for _, a := range addrs {
		p.conn.WriteToUDP(data, a) //nolint:errcheck // the next report replaces a lost one
	}
}

// addresses returns the addresses of the other gateways.
func (p *peers) addresses() []*net.UDPAddr {
	var list []*net.UDPAddr
	for name, e := range p.g.opts.Directory.Entries() {
		if e.Role != wire.RoleGateway || name == p.g.opts.Settings.Instance {
			continue
		}
		if a, err := e.UDPAddr(); err == nil {
			list = append(list, a)
		}
	}
	return list
}

// gatewayCount returns the number of gateways in the directory; 0 while none is known.
func (p *peers) gatewayCount() int { return len(p.gateways()) }

// gateways returns the names of the gateways in the directory.
func (p *peers) gateways() []string {
	if p.g.opts.Directory == nil {
		return nil
	}
	var names []string
	for name, e := range p.g.opts.Directory.Entries() {
		if e.Role == wire.RoleGateway {
			names = append(names, name)
		}
	}
	return names
}

// engineGroups returns the group of each engine by its address.
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

package cost

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of a Ledger.
const (
	// overrunShare is the output that a request is still expected to write once it has
	// written what was expected of it, as a share of what it has written.
	overrunShare = 0.25
	// maxPeerAge is the age at which the loads of a peer are discarded.
	maxPeerAge = time.Second
	// staleMargin is the time after a request's deadline at which its entry is dropped
	// if its end was not recorded.
	staleMargin = 5 * time.Second
)

// Server identifies one incarnation of a backend server.
type Server struct {
	ID        string
	StartedAt int64 // Unix milliseconds
}

// Key identifies an incarnation of a backend server in reports to peers. Two servers
// may have the same key; their loads are then added up.
type Key uint32

// keyBits is the size of a Key in reports.
const keyBits = 24

// Key returns the key of the incarnation.
func (s Server) Key() Key {
	return Key(xxhash.Sum64String(s.ID+"@"+strconv.FormatInt(s.StartedAt, 10)) & (1<<keyBits - 1))
}

// Load is what a server still has to do for running requests.
type Load struct {
	Requests int
	Work     time.Duration // server time that is due within the horizon of the model
	Memory   int           // tokens held at the ends of the requests
}

func (l *Load) add(x Load, sign int) {
	l.Requests += sign * x.Requests
	l.Work += time.Duration(sign) * x.Work
	l.Memory += sign * x.Memory
}

// Entry is a running request in a Ledger.
type Entry struct {
	server   Server
	model    Model
	estimate Estimate
	max      int // declared maximum of the output, tokens; 0 for unknown
	written  int // output tokens so far
	held     Load
	expires  time.Duration
	ended    bool
}

// Written returns the output tokens that were recorded.
func (e *Entry) Written() int { return e.written }

// peerLoads are the loads that one peer has reported.
type peerLoads struct {
	loads      map[Key]Load
	receivedAt time.Duration
}

// Ledger keeps the outstanding work of backend servers: that of this instance's running
// requests, which declines as they write, and what peers report.
type Ledger struct {
	own     map[Server]*Load
	entries map[*Entry]struct{}
	peers   map[string]*peerLoads
	total   map[Key]Load // sum of the peers' loads
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{
		own: make(map[Server]*Load), entries: make(map[*Entry]struct{}),
		peers: make(map[string]*peerLoads), total: make(map[Key]Load),
	}
}

// Begin records that a request is sent to a server. maxOutput is its declared maximum of
// output tokens, 0 for unknown; deadline is when it must have ended.
func (l *Ledger) Begin(s Server, m Model, x Estimate, maxOutput int, deadline time.Duration) *Entry {
	e := &Entry{
		server: s, model: m, estimate: x, max: maxOutput, expires: deadline + staleMargin,
		held: Load{Requests: 1, Work: m.Due(x), Memory: x.Memory()},
	}
	own := l.own[s]
	if own == nil {
		own = &Load{}
		l.own[s] = own
	}
	own.add(e.held, 1)
	l.entries[e] = struct{}{}
	return e
}

// Wrote records further output tokens of a request.
func (l *Ledger) Wrote(e *Entry, tokens int) {
	if tokens <= 0 {
		return
	}
	e.written += tokens
	if e.ended {
		return
	}
	left := e.remaining()
	held := Load{
		Requests: 1,
		Work:     e.model.outstanding(0, e.estimate.Prompt+e.written, left),
		Memory:   e.estimate.Prompt + e.written + int(left+0.5),
	}
	own := l.own[e.server]
	own.add(e.held, -1)
	own.add(held, 1)
	e.held = held
}

// remaining returns the output tokens that the request is still expected to write.
func (e *Entry) remaining() float64 {
	left := max(e.estimate.Output-float64(e.written), overrunShare*float64(e.written))
	if e.max > 0 {
		left = min(left, float64(e.max-e.written))
	}
	return max(left, 0)
}

// End records the end of a request, whatever became of it. Further calls for the same
// entry have no effect.
func (l *Ledger) End(e *Entry) {
	if e.ended {
		return
	}
	e.ended = true
	delete(l.entries, e)
	own := l.own[e.server]
	own.add(e.held, -1)
	if own.Requests == 0 {
		delete(l.own, e.server)
	}
}

// Expire ends the requests whose deadline has passed and whose end was not recorded, and
// discards the loads of peers that have gone silent.
func (l *Ledger) Expire(now time.Duration) {
	for e := range l.entries {
		if now > e.expires {
			l.End(e)
		}
	}
	for name, p := range l.peers {
		if now-p.receivedAt > maxPeerAge {
			l.setPeer(name, nil)
		}
	}
}

// Forget drops the requests of an incarnation of a server that is gone.
func (l *Ledger) Forget(s Server) {
	for e := range l.entries {
		if e.server == s {
			l.End(e)
		}
	}
}

// Own returns the load of this instance's requests on a server.
func (l *Ledger) Own(s Server) Load {
	if x := l.own[s]; x != nil {
		return *x
	}
	return Load{}
}

// SetPeer replaces the loads that a peer has reported. The ledger keeps the map.
func (l *Ledger) SetPeer(now time.Duration, peer string, loads map[Key]Load) {
	l.setPeer(peer, loads)
	if len(loads) > 0 {
		l.peers[peer] = &peerLoads{loads: loads, receivedAt: now}
	}
}

func (l *Ledger) setPeer(peer string, loads map[Key]Load) {
	if old := l.peers[peer]; old != nil {
		for key, x := range old.loads {
			sum := l.total[key]
			sum.add(x, -1)
			l.total[key] = sum
			if sum == (Load{}) {
				delete(l.total, key)
			}
		}
		delete(l.peers, peer)
	}
	for key, x := range loads {
		sum := l.total[key]
		sum.add(x, 1)
		l.total[key] = sum
	}
}

// Total returns the load of a server from the requests of all instances.
func (l *Ledger) Total(s Server) Load {
	x := l.Own(s)
	x.add(l.total[s.Key()], 1)
	return x
}

// OwnLoads returns the load of this instance's requests on each server that has any.
func (l *Ledger) OwnLoads() map[Key]Load {
	loads := make(map[Key]Load, len(l.own))
	for s, x := range l.own {
		sum := loads[s.Key()]
		sum.add(*x, 1)
		loads[s.Key()] = sum
	}
	return loads
}

// Package peerread lets gateways read the topics of the platform's store through another
// gateway of their data centre, so that the number of calls to the store does not
// grow with the number of gateways.
//
// In each data centre with at least MinGateways gateways, two of them, the readers,
// follow from the directory (Readers). The first one reads the store and answers
// the others' requests from the records that it has read; the second one takes its
// place where the first one does not answer. Nothing is elected, and nothing is written
// to the store. A gateway reads the store itself at its start, after a snapshot, and
// whenever a request is lost, refused, or answered with records that are not current.
//
// # Freshness
//
// A process may act on a permission only while its freshness proof is recent: a time
// by its own clock at which its records were all that the store had acknowledged.
// The clocks of two processes differ by an unknown offset and include the time
// for which an instance was suspended. A relayed proof is never later than the true one:
//
//   - The asker reads its clock, t0, before it sends a request with a random nonce.
//   - The reader reads its clock, q, after it has received the request. Its own proof is
//     p, the start of a read of the store that reached the end of the topic. The answer
//     carries the nonce, p - q, and records that include all of that read.
//   - The asker accepts one answer with the nonce of the request underway, and takes
//     t0 + (p - q) as its proof.
//
// The request was sent before it was received, so t0 is not later than q, and t0 +
// (p - q) is not later than p. Delays and suspensions at any point either lie between t0
// and q, and make the proof older, or do not matter: the answer says what held at p
// whenever it arrives. A proof is never taken from a datagram that was not asked for.
//
// Records arrive in the order of the topic without gaps: an answer begins at the
// offset asked for, and a reader that does not hold the records from there on says so.
//
// Asker and Desk are the decisions, without clock or socket. Link connects them to the
// peer port of a gateway.
package peerread

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/tinylib/msgp/msgp"

	"marjorampitch/wire"
)

// Options are the settings and dependencies of a Link.
type Options struct {
	Instance   string // name of this gateway in the directory
	DataCentre string
	// Entries returns the entries of the directory by instance name.
	Entries func() map[string]wire.Instance
	// Clock returns the time on a clock that includes the time for which the instance was
	// suspended.
	Clock func() time.Duration
	// Observe, if not nil, is called with the topic and the Outcome of each request.
	Observe func(topic, outcome string)
	Log     *log.Logger
}

// Link exchanges requests for records with the other gateways. Its methods may be
// called by any goroutine; those of a nil Link do nothing.
type Link struct {
	opts Options

	mu       sync.Mutex // guards all below
	send     func(data []byte, to netip.AddrPort)
	topics   map[string]*Topic
	underway map[uint64]request
	stopping bool
}

// request is a request that waits for its answer.
type request struct {
	to     netip.AddrPort
	answer chan *wire.LogAnswer // holds one
}

// NewLink returns a Link. Until Connect is called, topics are read from the store.
func NewLink(opts Options) *Link {
	return &Link{opts: opts, topics: make(map[string]*Topic), underway: make(map[uint64]request)}
}

// Connect sets the function that sends datagrams from the port of this gateway's
// directory entry.
func (l *Link) Connect(send func(data []byte, to netip.AddrPort)) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.send = send
}

// Stop makes the Link refuse all requests of other gateways from now on.
func (l *Link) Stop() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
}

// HandleRequest handles a wire.LogRequest.
func (l *Link) HandleRequest(r *wire.LogRequest, from netip.AddrPort) {
	if l == nil {
		return
	}
	l.mu.Lock()
	t, stopping := l.topics[r.Topic], l.stopping
	l.mu.Unlock()
	if t == nil || stopping {
		l.sendTo(wire.KindLogAnswer, &wire.LogAnswer{Nonce: r.Nonce, Status: wire.LogRefused}, from)
		return
	}
	t.handleRequest(r, from)
}

// HandleAnswer handles a wire.LogAnswer. Answers that are not waited for are ignored.
func (l *Link) HandleAnswer(a *wire.LogAnswer, from netip.AddrPort) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.underway[a.Nonce]; ok && r.to == from {
		delete(l.underway, a.Nonce)
		r.answer <- a
	}
}

// begin registers a request and returns its nonce.
func (l *Link) begin(to netip.AddrPort) (nonce uint64, answer <-chan *wire.LogAnswer) {
	r := request{to: to, answer: make(chan *wire.LogAnswer, 1)}
	nonce = rand.Uint64()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.underway[nonce] = r
	return nonce, r.answer
}

// end forgets a request.
func (l *Link) end(nonce uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.underway, nonce)
}

// connected reports whether datagrams can be sent.
func (l *Link) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.send != nil
}

// sendTo sends a message.
func (l *Link) sendTo(kind byte, m msgp.Marshaler, to netip.AddrPort) {
	data, err := m.MarshalMsg([]byte{kind})
	if err != nil {
		l.opts.Log.Error("datagram-not-encoded", "kind", kind, "err", err)
		return
	}
	l.mu.Lock()
	send := l.send
	l.mu.Unlock()
	if send != nil {
		send(data, to)
	}
}

// reply sends answers.
func (l *Link) reply(replies []Reply) {
	for i := range replies {
		l.sendTo(wire.KindLogAnswer, &replies[i].Answer, replies[i].To)
	}
}

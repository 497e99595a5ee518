// Package idleconn ends idle connections of an http.Server without ever ending one
// from which a request has been read, and limits the heads of requests.
//
// # Idle connections
//
// http.Server reports a connection as idle until it has parsed the head of the next
// request, and its Shutdown closes such connections. A request that has been read by
// then gets no answer, although its caller cannot know whether it ran.
//
// # Heads
//
// http.Server parses a whole head, and keeps all of its fields, before a handler sees it. A
// head is therefore counted as it is read: one that is too long, or for which the process
// has no room, is refused before it is parsed. What a client sends ahead of an answer is read
// with the request before it, which is therefore followed to its end.
package idleconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"marjorampitch/internal/callerconn"
	"marjorampitch/internal/sockopt"
)

// longAgo is a read deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// Tracker tracks the connections of one http.Server. It is safe for concurrent use.
type Tracker struct {
	opts Options
	mu   sync.Mutex // guards open; conn.mu may be taken while it is held
	open map[*conn]struct{}
}

// Options configure a Tracker.
type Options struct {
	// MaxHead returns the largest size of a request's head in bytes, apart from headSlack.
	// It is called for each head. nil stands for no limit but that of http.Server.
	MaxHead func() int
	// Refuse answers a request for which there is no room. Its response is the last one on
	// the connection. nil stands for status 503.
	Refuse http.HandlerFunc
}

// Track makes t follow the connections of srv, whose handler must be set. It replaces
// ConnState and ConnContext. The server must use t.Listener. What connections hold is taken
// from their budget if the listener is one of callerconn.
func Track(srv *http.Server, opts Options) *Tracker {
	if opts.Refuse == nil {
		opts.Refuse = refuse
	}
	t := &Tracker{opts: opts, open: make(map[*conn]struct{})}
	srv.ConnState = t.stateChanged
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	srv.DisableGeneralOptionsHandler = true // requests that it answers would not be begun
	handler := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connKey{}).(*conn)
		n := headBytes(r)
		if !c.begin(r, n) {
			SkipBody(w, r)
			c.budget.Refused(callerconn.YieldNoRoom)
			opts.Refuse(w, r)
			return
		}
		defer c.end(n)
		handler.ServeHTTP(w, r)
	})
	return t
}

// refuse answers that there is no room for a request.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// connKey is the context key of a request's *conn.
type connKey struct{}

// Conn returns the connection of a request, as its budget knows it; nil if it has none.
func Conn(r *http.Request) *callerconn.Conn {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return c.budget
}

// Listener returns a listener whose connections t tracks.
func (t *Tracker) Listener(ln net.Listener) net.Listener { return &listener{ln, t} }

// stateChanged implements http.Server.ConnState.
func (t *Tracker) stateChanged(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.(*conn).idle()
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		delete(t.open, c.(*conn))
		t.mu.Unlock()
	}
}

// ExpireIdle ends the connections that have been idle for longer than limit. It
// returns their number and the longest time that one was idle.
func (t *Tracker) ExpireIdle(limit time.Duration) (n int, longest time.Duration) {
	return t.expire(idle, limit)
}

// ExpireReading ends the connections from which a part of a request's head was first
// read longer than limit ago.
func (t *Tracker) ExpireReading(limit time.Duration) { t.expire(reading, limit) }

// ExpireBodies ends the reads of bodies that have not arrived whole: they fail with
// os.ErrDeadlineExceeded. Unlike the other expiries it does not end connections.
func (t *Tracker) ExpireBodies() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		c.expireBody()
	}
}

func (t *Tracker) expire(p phase, limit time.Duration) (n int, longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for c := range t.open {
		if age, expired := c.expire(p, now, limit); expired {
			n++
			longest = max(longest, age)
		}
	}
	return n, longest
}

// Timing of Drain.
const (
	drainPollInterval = 20 * time.Millisecond
	// HeadTimeout is how long the end of a shutdown waits for the rest of the head of
	// a request.
	HeadTimeout = time.Second
)

// Drain waits until no connection is open, and ends connections as they become idle.
// The listener must be closed, and http.Server.Serve must have returned. Handlers
// should answer with "Connection: close". Error: that of ctx if it is done first.
func (t *Tracker) Drain(ctx context.Context) error {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		t.ExpireIdle(0)
		t.ExpireReading(HeadTimeout)
		if t.Open() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Open returns the number of open connections.
func (t *Tracker) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// listener adds accepted connections to a Tracker.
type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, maxHead: l.tracker.opts.MaxHead, since: time.Now()}
	c.budget, _ = accepted.(*callerconn.Conn)
	l.tracker.mu.Lock()
	l.tracker.open[c] = struct{}{}
	l.tracker.mu.Unlock()
	return c, nil
}

// phase is what a connection is used for.
type phase uint8

const (
	idle     phase = iota // no byte of the next request has been read
	reading               // the head of a request is read
	handling              // a request is being handled
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	budget  *callerconn.Conn // the same connection; nil if it has no budget
	maxHead func() int       // as Options.MaxHead

	mu       sync.Mutex // guards the fields below
	framing  framing
	skipped  bool // SkipBody was called
	refusal  int  // status with which the next read refuses the request; 0 for none
	phase    phase
	since    time.Time // start of the phase
	deadline time.Time // read deadline set by http.Server
	expired  bool      // a read deadline in the past is to end the connection
}

// Read implements net.Conn. A read that returns data withdraws an expiry that came
// at the same time, so that the request is handled.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	refusal, lost := c.refusal, c.framing.lost
	c.refusal = 0
	c.mu.Unlock()
	switch {
	case lost:
		return 0, errRefused
	case refusal != 0:
		c.refuse(refusal)
		return 0, errRefused
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	began := c.phase == idle
	if began {
		c.phase, c.since = reading, time.Now()
		c.withdraw()
	}
	c.framing.add(p[:n])
	h, isHead := c.framing.head, c.phase == reading
	c.mu.Unlock()
	if isHead {
		if status := c.admitHead(&h, began); status != 0 {
			c.refuse(status)
			return 0, errRefused
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	skipped := c.skipped
	c.skipped = false
	c.mu.Unlock()
	if skipped {
		c.linger()
	}
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.expired = at, false
	return c.Conn.SetReadDeadline(at)
}

// CloseWrite implements the half-close that http.Server uses before it closes a
// connection with unread data.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, time.Now()
	c.withdraw()
}

// withdraw restores the deadline of http.Server after an expiry. Callers hold mu.
func (c *conn) withdraw() {
	if c.expired {
		c.expired = false
		c.Conn.SetReadDeadline(c.deadline) //nolint:errcheck // a closed connection has no deadline
	}
}

// expire ends the connection if it has been in the phase for longer than limit. It
// does so by a read deadline instead of Close: a read that has returned data already
// is not affected, and one that has not leaves the request unread. http.Server sets
// the deadline anew as it begins to wait for a request, so a Tracker expires a
// connection again until it is closed; expired is true at the first time.
func (c *conn) expire(p phase, now time.Time, limit time.Duration) (age time.Duration, expired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age = now.Sub(c.since)
	if c.phase != p || age <= limit || c.requestWaits() {
		return age, false
	}
	first := !c.expired
	c.expired = c.Conn.SetReadDeadline(longAgo) == nil
	return age, first && c.expired
}

// expireBody ends the reads of the body of the request that is handled, unless all of it has
// been read or more of it has arrived.
func (c *conn) expireBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling && c.framing.known && !c.framing.body.done && !c.requestWaits() {
		c.Conn.SetReadDeadline(longAgo) //nolint:errcheck // a closed connection is not read
	}
}

// requestWaits reports whether the socket has unread data, for example because the
// process had no processor time.
func (c *conn) requestWaits() bool {
	s, ok := c.Conn.(syscall.Conn)
	return ok && sockopt.HasUnread(s)
}

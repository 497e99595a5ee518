// Package relay is a loopback proxy that harms the connections which pass it:
// it delays, resets, silences or cuts them, in one direction or both.
package relay

import (
	"io"
	"net"
	"sync"
	"time"
)

// Direction is a direction of a connection, as a set.
type Direction uint8

// Directions.
const (
	ToTarget Direction = 1 << iota
	ToCaller
	Both = ToTarget | ToCaller
)

// Relay passes TCP connections on to a target. It is safe for concurrent use.
type Relay struct {
	target string
	ln     net.Listener

	mu    sync.Mutex // guards what follows; a pair's own lock is taken under it
	fresh Direction  // directions in which new connections are silent
	delay time.Duration
	pairs map[*pair]struct{}
}

// pair is one relayed connection.
type pair struct {
	r  *Relay
	mu sync.Mutex // guards silent
	// silent are the directions in which bytes are swallowed; neither end learns anything.
	silent Direction
	a, b   *net.TCPConn
}

// New starts a relay on a free loopback port.
func New(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, ln: ln, pairs: make(map[*pair]struct{})}
	go r.serve()
	return r, nil
}

// Address is the host and port at which the target is reached through the relay.
func (r *Relay) Address() string { return r.ln.Addr().String() }

func (r *Relay) serve() {
	for {
		a, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.connect(a.(*net.TCPConn))
	}
}

// connect relays one connection until both directions have ended.
func (r *Relay) connect(a *net.TCPConn) {
	b, err := net.Dial("tcp", r.target)
	if err != nil {
		a.SetLinger(0) //nolint:errcheck // it is closed next
		a.Close()
		return
	}
	p := &pair{r: r, a: a, b: b.(*net.TCPConn)}
	r.mu.Lock()
	p.silent = r.fresh
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	var ends sync.WaitGroup
	ends.Go(func() { p.copy(p.b, p.a, ToTarget) })
	ends.Go(func() { p.copy(p.a, p.b, ToCaller) })
	ends.Wait()
	a.Close()
	b.Close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// copy passes bytes on in one direction; while silent it drops them, and the
// end of input too.
func (p *pair) copy(to, from *net.TCPConn, d Direction) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if p.isSilent(d) {
			if err != nil {
				return
			}
			continue
		}
		time.Sleep(p.r.delayed())
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err == io.EOF {
			to.CloseWrite() //nolint:errcheck // the other end has gone
			return
		}
		if err != nil {
			to.SetLinger(0) //nolint:errcheck // it is closed next
			to.Close()
			return
		}
	}
}

func (r *Relay) delayed() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

func (p *pair) isSilent(d Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent&d != 0
}

// each lets do work on every open connection.
func (r *Relay) each(do func(p *pair)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.mu.Lock()
		do(p)
		p.mu.Unlock()
	}
}

// BlackholeOpen makes the open connections silent for good; new ones work.
func (r *Relay) BlackholeOpen() { r.each(func(p *pair) { p.silent = Both }) }

// Blackhole makes open and new connections silent in the directions given.
func (r *Relay) Blackhole(d Direction) {
	r.mu.Lock()
	r.fresh |= d
	r.mu.Unlock()
	r.each(func(p *pair) { p.silent |= d })
}

// Heal lets new connections work again, without a delay. Silent ones stay silent.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fresh, r.delay = 0, 0
}

// Delay makes all bytes that pass take longer.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Reset resets the open connections.
func (r *Relay) Reset() {
	r.each(func(p *pair) {
		p.a.SetLinger(0) //nolint:errcheck // it is closed next
		p.b.SetLinger(0) //nolint:errcheck // it is closed next
		p.a.Close()
		p.b.Close()
	})
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.ln.Close()
	r.each(func(p *pair) {
		p.a.Close()
		p.b.Close()
	})
}

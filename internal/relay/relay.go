// Package relay implements a loopback TCP proxy that injects faults: it delays or
// resets connections, or drops their bytes in one direction or both.
package relay

import (
	"io"
	"net"
	"sync"
	"time"
)

// Direction is a set of directions of a connection.
type Direction uint8

// Directions.
const (
	ToTarget Direction = 1 << iota
	ToCaller
	Both = ToTarget | ToCaller
)

// Relay proxies TCP connections to a target. It is safe for concurrent use.
type Relay struct {
	target string
	ln     net.Listener

	mu         sync.Mutex // guards the fields below; acquired before the mutex of a pair
	dropForNew Direction  // directions in which new connections drop bytes
	delay      time.Duration
	pairs      map[*pair]struct{}
}

// pair is one relayed connection.
type pair struct {
	r  *Relay
	mu sync.Mutex // guards drop
	// drop is the set of directions in which bytes are discarded. Neither end
	// notices, as both connections stay open.
	drop           Direction
	caller, target *net.TCPConn
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

// Address returns the address (host:port) at which the relay listens.
func (r *Relay) Address() string { return r.ln.Addr().String() }

func (r *Relay) serve() {
	for {
		caller, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.proxy(caller.(*net.TCPConn))
	}
}

// proxy serves one connection until both directions have ended.
func (r *Relay) proxy(caller *net.TCPConn) {
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		caller.SetLinger(0) //nolint:errcheck // the connection is closed next
		caller.Close()
		return
	}
	p := &pair{r: r, caller: caller, target: target.(*net.TCPConn)}
	r.mu.Lock()
	p.drop = r.dropForNew
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(p.target, p.caller, ToTarget) })
	wg.Go(func() { p.forward(p.caller, p.target, ToCaller) })
	wg.Wait()
	caller.Close()
	target.Close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// forward copies bytes in one direction. While the direction is dropped, it
// discards the bytes and does not forward the end of input or a reset either.
func (p *pair) forward(to, from *net.TCPConn, d Direction) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if p.isDropped(d) {
			if err != nil {
				return
			}
			continue
		}
		time.Sleep(p.r.currentDelay())
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err == io.EOF {
			to.CloseWrite() //nolint:errcheck // the other end may be closed already
			return
		}
		if err != nil {
			to.SetLinger(0) //nolint:errcheck // the connection is closed next
			to.Close()
			return
		}
	}
}

func (r *Relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

func (p *pair) isDropped(d Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.drop&d != 0
}

// forEach calls f on every open connection, with its mutex held.
func (r *Relay) forEach(f func(p *pair)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.mu.Lock()
		f(p)
		p.mu.Unlock()
	}
}

// BlackholeOpen makes the open connections drop all bytes until they are closed.
// New connections are not affected.
func (r *Relay) BlackholeOpen() { r.forEach(func(p *pair) { p.drop = Both }) }

// Blackhole makes open and new connections drop all bytes in the directions d.
func (r *Relay) Blackhole(d Direction) {
	r.mu.Lock()
	r.dropForNew |= d
	r.mu.Unlock()
	r.forEach(func(p *pair) { p.drop |= d })
}

// Heal makes new connections forward bytes again and removes the delay. Open
// connections that drop bytes continue to do so.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropForNew, r.delay = 0, 0
}

// Delay delays every block of forwarded bytes by d.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Reset closes the open connections with a TCP reset at both ends.
func (r *Relay) Reset() {
	r.forEach(func(p *pair) {
		p.caller.SetLinger(0) //nolint:errcheck // the connection is closed next
		p.target.SetLinger(0) //nolint:errcheck // the connection is closed next
		p.caller.Close()
		p.target.Close()
	})
}

// Close stops listening and closes the open connections.
func (r *Relay) Close() {
	r.ln.Close()
	r.forEach(func(p *pair) {
		p.caller.Close()
		p.target.Close()
	})
}

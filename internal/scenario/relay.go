package scenario

import (
	"io"
	"net"
	"sync"
)

// mode is how a relay treats bytes.
type mode int

// Modes of a relay.
const (
	modePass   mode = iota // passes bytes on
	modeSilent             // swallows bytes; neither end learns anything
)

// relay passes TCP connections on to a target, and can lose track of them.
type relay struct {
	address string
	target  string
	ln      net.Listener

	mu    sync.Mutex // guards what follows
	fresh mode       // of new connections
	pairs map[*pair]struct{}
}

// pair is one relayed connection.
type pair struct {
	mu   sync.Mutex // guards mode
	mode mode
	a, b net.Conn
}

func newRelay(target string) (*relay, error) {
	r := &relay{address: newAddress(), target: target, pairs: make(map[*pair]struct{})}
	ln, err := listen(r.address)
	if err != nil {
		return nil, err
	}
	r.ln = ln
	go r.serve()
	return r, nil
}

func (r *relay) serve() {
	for {
		a, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.connect(a)
	}
}

// connect relays one connection until both directions have ended.
func (r *relay) connect(a net.Conn) {
	b, err := net.Dial("tcp", r.target)
	if err != nil {
		a.Close()
		return
	}
	p := &pair{a: a, b: b}
	r.mu.Lock()
	p.mode = r.fresh
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	var ends sync.WaitGroup
	ends.Go(func() { p.copy(b, a) })
	ends.Go(func() { p.copy(a, b) })
	ends.Wait()
	a.Close()
	b.Close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// copy passes bytes on in one direction; while silent it drops them, and the
// end of input too.
func (p *pair) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if p.silent() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err == io.EOF {
			to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

func (p *pair) silent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == modeSilent
}

func (p *pair) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// silence makes the open connections silent for good; new ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.set(modeSilent)
	}
}

// cut makes open and new connections silent.
func (r *relay) cut() {
	r.mu.Lock()
	r.fresh = modeSilent
	r.mu.Unlock()
	r.silence()
}

// heal lets new connections work again. Silent ones stay silent.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fresh = modePass
}

func (r *relay) close() {
	r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.a.Close()
		p.b.Close()
	}
}

package scenario

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"marjorampitch/backing/backingtest"
)

// Addresses of test servers and processes. The ports lie below the ephemeral range
// that the operating system uses for outgoing connections.
const (
	host           = "127.0.0.1"
	firstPort      = 20_000
	portCount      = 12_000
	listenAttempts = 50
	pollEvery      = 10 * time.Millisecond
)

var ports = struct {
	sync.Mutex
	next int
}{next: rand.IntN(portCount)}

// newAddress returns an address on which nothing was listening when it was tried.
func newAddress() string {
	ports.Lock()
	defer ports.Unlock()
	for {
		ports.next = (ports.next + 1) % portCount
		address := net.JoinHostPort(host, strconv.Itoa(firstPort+ports.next))
		l, err := net.Listen("tcp", address)
		if err == nil {
			l.Close()
			return address
		}
	}
}

// server is the HTTP server of a test double. It keeps its address when it is
// killed and started again.
type server struct {
	address string
	handler http.Handler

	mu       sync.Mutex // guards the fields below
	http     *http.Server
	override http.Handler // answers in place of handler; nil for none
}

// newServer returns a server with a new address; start starts it.
func newServer(h http.Handler) *server {
	return &server{address: newAddress(), handler: h}
}

func (s *server) url() string { return "http://" + s.address }

func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := listen(s.address)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.http.Serve(l)
	return nil
}

// serve answers a request.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	h := s.override
	s.mu.Unlock()
	if h == nil {
		h = s.handler
	}
	h.ServeHTTP(w, r)
}

// kill closes the listener and every connection, as the exit of a process does.
func (s *server) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		s.http.Close()
		s.http = nil
	}
}

// listen listens on an address. It retries, as an earlier listener may not have
// released the address yet.
func listen(address string) (net.Listener, error) {
	var err error
	for range listenAttempts {
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return l, nil
		}
		time.Sleep(pollEvery)
	}
	return nil, eris.Wrapf(err, "listen on %s", address)
}

// backend is the test double of one backend server. Either engine or plain is set.
type backend struct {
	name       string
	dataCentre string
	engine     *backingtest.Engine
	plain      *backingtest.PlainService
	maxRunning int
	group      *rankGroup // nil if it is not a rank of a group
	rank       int
	server     *server
}

// kill simulates a crash of the backend server.
func (b *backend) kill() {
	if b.engine != nil {
		b.engine.Crash()
	}
	b.server.kill()
}

// AddEngine starts the test double of a model engine.
func (tb *Testbed) AddEngine(name, dataCentre string, opts backingtest.EngineOptions) error {
	e := backingtest.NewEngine(opts)
	return tb.addBackend(&backend{
		name:       name,
		dataCentre: dataCentre,
		engine:     e,
		maxRunning: opts.MaxRunning,
		server:     newServer(e.Handler()),
	})
}

// AddPlain starts the test double of a plain server, a booking and dispatch service.
func (tb *Testbed) AddPlain(name, dataCentre string) error {
	p := backingtest.NewPlainService()
	return tb.addBackend(&backend{
		name:       name,
		dataCentre: dataCentre,
		plain:      p,
		maxRunning: plainMaxRunning,
		server:     newServer(p.Handler()),
	})
}

// Override has h answer all requests to the backend server with this name in its place; nil
// ends that.
func (tb *Testbed) Override(name string, h http.Handler) {
	s := tb.backends[name].server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.override = h
}

// plainMaxRunning is the limit of concurrent requests of a plain server.
const plainMaxRunning = 32

// addBackend adds a backend server to the testbed and starts it.
func (tb *Testbed) addBackend(b *backend) error {
	tb.backends[b.name] = b
	return b.server.start()
}

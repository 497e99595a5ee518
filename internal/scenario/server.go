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

// Ports of a world lie below those that the system gives to outgoing connections.
const (
	host      = "127.0.0.1"
	firstPort = 20_000
	portCount = 12_000
	listenTry = 50
	pollEvery = 10 * time.Millisecond
)

var ports = struct {
	sync.Mutex
	next int
}{next: rand.IntN(portCount)}

// newAddress returns an address that nothing listened at a moment ago.
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

// server serves a stand-in at one address, from start to kill and again.
type server struct {
	address string
	handler http.Handler

	mu   sync.Mutex // guards what follows
	http *http.Server
}

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
	s.http = &http.Server{Handler: s.handler}
	go s.http.Serve(l)
	return nil
}

// kill closes the listener and every connection, as the end of a process does.
func (s *server) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		s.http.Close()
		s.http = nil
	}
}

// listen opens an address that an earlier listener may be giving up just now.
func listen(address string) (net.Listener, error) {
	var err error
	for range listenTry {
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return l, nil
		}
		time.Sleep(pollEvery)
	}
	return nil, eris.Wrap(err, "listen")
}

// backend is the stand-in for one backend server: engine or plain is set.
type backend struct {
	name       string
	dataCentre string
	engine     *backingtest.Engine
	plain      *backingtest.PlainService
	maxRunning int
	group      *rankGroup // nil for one that is no rank
	rank       int
	server     *server
}

// kill ends the backend server's process.
func (b *backend) kill() {
	if b.engine != nil {
		b.engine.Crash()
	}
	b.server.kill()
}

// AddEngine starts a model engine.
func (w *World) AddEngine(name, dataCentre string, opts backingtest.EngineOptions) error {
	e := backingtest.NewEngine(opts)
	return w.addBackend(&backend{
		name:       name,
		dataCentre: dataCentre,
		engine:     e,
		maxRunning: opts.MaxRunning,
		server:     newServer(e.Handler()),
	})
}

// AddPlain starts a booking and dispatch service.
func (w *World) AddPlain(name, dataCentre string) error {
	p := backingtest.NewPlainService()
	return w.addBackend(&backend{
		name:       name,
		dataCentre: dataCentre,
		plain:      p,
		maxRunning: plainRunning,
		server:     newServer(p.Handler()),
	})
}

const plainRunning = 32

func (w *World) addBackend(b *backend) error {
	w.backends[b.name] = b
	return b.server.start()
}

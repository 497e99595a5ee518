package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
)

const (
	readHeaderTimeout = 5 * time.Second
	stopTimeout       = 2 * time.Second
)

// server serves one or several stand-ins of one kind until SIGTERM or SIGINT.
type server struct {
	logger *log.Logger
	listen string
	count  int
}

// run serves a new handler at each address and returns when told to stop.
func (s *server) run(kind string, handler func() http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listeners, err := s.open()
	if err != nil {
		return err
	}
	failed := make(chan error, len(listeners))
	servers := make([]*http.Server, len(listeners))
	for i, l := range listeners {
		servers[i] = &http.Server{Handler: handler(), ReadHeaderTimeout: readHeaderTimeout}
		go func() { failed <- servers[i].Serve(l) }()
		s.logger.Info("ready", "kind", kind, "address", l.Addr())
	}
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	shutDown(servers)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// open listens on consecutive ports from the first address on.
func (s *server) open() ([]net.Listener, error) {
	host, portText, err := net.SplitHostPort(s.listen)
	if err != nil {
		return nil, eris.Wrap(err, "--listen")
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, eris.Wrap(err, "--listen")
	}
	var listeners []net.Listener
	for i := range s.count {
		next := 0 // any free port
		if port != 0 {
			next = port + i
		}
		l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(next)))
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

func shutDown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, srv := range servers {
		if srv.Shutdown(ctx) != nil {
			_ = srv.Close() // open calls of a stand-in may be cut
		}
	}
}

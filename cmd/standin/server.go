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
	shutdownTimeout   = 2 * time.Second
)

// server runs one or more stand-ins of one kind until SIGTERM or SIGINT.
type server struct {
	logger *log.Logger
	listen string
	count  int
}

// run serves a new handler at each address. It returns nil after SIGTERM or SIGINT
// and otherwise the error of the first server that fails.
func (s *server) run(kind string, handler func() http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listeners, err := s.listenAll()
	if err != nil {
		return err
	}
	serveErr := make(chan error, len(listeners))
	servers := make([]*http.Server, len(listeners))
	for i, l := range listeners {
		servers[i] = &http.Server{Handler: handler(), ReadHeaderTimeout: readHeaderTimeout}
		go func() { serveErr <- servers[i].Serve(l) }()
		s.logger.Info("ready", "kind", kind, "address", l.Addr())
	}
	select {
	case err = <-serveErr:
	case <-ctx.Done():
	}
	shutDown(servers)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// listenAll opens count listeners on consecutive ports, starting at s.listen.
func (s *server) listenAll() ([]net.Listener, error) {
	host, portText, err := net.SplitHostPort(s.listen)
	if err != nil {
		return nil, eris.Wrap(err, "parse --listen")
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, eris.Wrap(err, "parse --listen")
	}
	var listeners []net.Listener
	for i := range s.count {
		listenPort := 0 // any free port
		if port != 0 {
			listenPort = port + i
		}
		l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(listenPort)))
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

func shutDown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, srv := range servers {
		if srv.Shutdown(ctx) != nil {
			_ = srv.Close() // calls still running after the timeout are aborted
		}
	}
}

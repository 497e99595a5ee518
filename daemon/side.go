package daemon

import (
	"context"
	"io"
	"net"

	"github.com/rotisserie/eris"

	"marjorampitch/config"
	"marjorampitch/side"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// RunSide runs a sidecar until ctx ends, then shuts it down gracefully. It writes
// log lines to out. Errors: an unknown log level, tracing that cannot be set up, an
// address that cannot be listened on, those of Serve and Shutdown.
func RunSide(ctx context.Context, st *config.Settings, out io.Writer) error {
	b, err := newBase(ctx, st, out, wire.RoleSide)
	if err != nil {
		return err
	}
	defer b.close()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := side.New(side.Options{
		Hello:   b.hello,
		Backend: st.Backend.URL,
		Memory:  int64(st.Process.MemoryMB) << 20,
		Config:  b.runner,
		Claims:  b.logService,
		Log:     b.log,
		Metrics: telemetry.NewSideMetrics(b.registry),
		Tracer:  b.tracing.Tracer,
	})
	if err := b.serveStatus(background, b.conns, s.Ready, func() status { return s.Status() }); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", st.Process.Listen)
	if err != nil {
		return eris.Wrap(err, "open peer listener")
	}
	defer ln.Close()
	go b.runner.Run(background)
	go s.Run(background)
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(ln) }()
	b.log.Info("started", "listen", ln.Addr(), "backend", st.Backend.URL)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return b.stop(s)
	}
}

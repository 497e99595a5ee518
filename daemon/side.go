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

// RunSide runs a side process until ctx ends, then stops it gracefully. Log lines go to out.
func RunSide(ctx context.Context, st *config.Settings, out io.Writer) error {
	b, err := newBase(ctx, st, out, wire.RoleSide)
	if err != nil {
		return err
	}
	defer b.close()
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := side.New(side.Options{
		Hello:   b.hello,
		Backend: st.Backend.URL,
		Config:  b.runner,
		Claims:  b.platform,
		Log:     b.log,
		Metrics: telemetry.NewSideMetrics(b.registry),
		Tracer:  b.tracing.Tracer,
	})
	if err := b.serveStatus(work, s.Ready, func() status { return s.Status() }); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", st.Process.Listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	defer ln.Close()
	go b.runner.Run(work)
	go s.Run(work)
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

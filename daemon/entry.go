package daemon

import (
	"context"
	"io"
	"net"

	"github.com/rotisserie/eris"

	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/entry"
	"marjorampitch/internal/callerconn"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// RunEntry runs a front proxy until ctx ends, then shuts it down gracefully. It
// writes log lines to out. Errors: an unknown log level, tracing that cannot be set
// up, an address that cannot be listened on, those of Serve and Shutdown.
func RunEntry(ctx context.Context, st *config.Settings, out io.Writer) error {
	b, err := newBase(ctx, st, out, wire.RoleEntry)
	if err != nil {
		return err
	}
	defer b.close()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := entry.New(entry.Options{
		Hello:     b.hello,
		Config:    b.runner,
		Instances: backing.NewInstanceListClient(st.Platform.InstanceList),
		ClaimLog:  b.logService,
		Log:       b.log,
		Metrics:   telemetry.NewEntryMetrics(b.registry),
		Tracer:    b.tracing.Tracer,
		DrainWait: st.Process.DrainWait,
		Buffers:   b.conns,
	})
	if err := b.serveStatus(background, b.conns, s.Ready, func() status { return s.Status() }); err != nil {
		return err
	}
	peers, err := net.Listen("tcp", st.Process.Listen)
	if err != nil {
		return eris.Wrap(err, "open peer listener")
	}
	defer peers.Close()
	callers, err := callerconn.Listen(ctx, st.Process.HTTP, nil)
	if err != nil {
		return eris.Wrap(err, "open HTTP listener")
	}
	go b.runner.Run(background)
	go s.ServePeers(peers)
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(background, b.conns.Listener(callers)) }()
	b.log.Info("started", "http", callers.Addr(), "listen", peers.Addr())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return b.stop(s)
	}
}

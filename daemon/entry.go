package daemon

import (
	"context"
	"io"
	"net"

	"github.com/rotisserie/eris"

	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/entry"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// RunEntry runs an entry until ctx ends, then stops it gracefully. Log lines go to out.
func RunEntry(ctx context.Context, st *config.Settings, out io.Writer) error {
	b, err := newBase(ctx, st, out, wire.RoleEntry)
	if err != nil {
		return err
	}
	defer b.close()
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := entry.New(entry.Options{
		Hello:     b.hello,
		Config:    b.runner,
		Instances: backing.NewInstanceListClient(st.Platform.InstanceList),
		ClaimLog:  b.platform,
		Log:       b.log,
		Metrics:   telemetry.NewEntryMetrics(b.registry),
		Tracer:    b.tracing.Tracer,
		DrainWait: st.Process.DrainWait,
	})
	if err := b.serveStatus(work, s.Ready, func() status { return s.Status() }); err != nil {
		return err
	}
	peers, err := net.Listen("tcp", st.Process.Listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	defer peers.Close()
	callers, err := net.Listen("tcp", st.Process.HTTP)
	if err != nil {
		return eris.Wrap(err, "http")
	}
	go b.runner.Run(work)
	go s.ServePeers(peers)
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(work, callers) }()
	b.log.Info("started", "http", callers.Addr(), "listen", peers.Addr())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return b.stop(s)
	}
}

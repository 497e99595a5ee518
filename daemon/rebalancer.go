package daemon

import (
	"context"
	"io"
	"net"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/directory"
	"marjorampitch/fleet"
	"marjorampitch/internal/clock"
	"marjorampitch/placement/spread"
	"marjorampitch/platform"
	"marjorampitch/rebalance"
	"marjorampitch/telemetry"
)

// Timing of a rebalancer's reads. They are rare because there are many rebalancers
// and because a rebalancer uses the service configuration only for the dimensions
// and limits of expert maps, which depend on the engines and rarely change.
const (
	documentWait             = 20 * time.Second // long-poll time of a read of the operator's stream
	documentPause            = time.Minute      // between reads of it after the first document
	rebalancerDirectoryPause = 2 * time.Second  // between reads of the directory
	rebalancerGCPercent      = 20               // as gatewayGCPercent; there are many more rebalancers
)

// RunRebalancer runs the rebalancer of one rank with the platform's settings file
// at path until ctx ends. It writes log lines to out. Errors: the settings cannot be
// read, logLevel is unknown, the metrics address cannot be listened on, those of
// rebalance.Process.Run.
func RunRebalancer(ctx context.Context, path, logLevel string, out io.Writer) error {
	return runOnPlatform(ctx, path, logLevel, out, "rebalancer", serveRebalancer)
}

// serveRebalancer runs a rebalancer with settings st.
func serveRebalancer(ctx context.Context, st *platform.Settings, logger *log.Logger) error {
	debug.SetGCPercent(rebalancerGCPercent)
	registry := telemetry.NewRegistry()
	s := platform.NewStore(st.StoreAddress, logger)
	s.Observe = telemetry.NewStoreMetrics(registry).Call
	cache := fleet.NewCache(0)
	operator := fleet.NewFollower(s.OperatorSource(), cache, fleet.FollowOptions{
		Name: "operator", Operator: true, Wait: documentWait, RelaxedPause: documentPause, Timeout: storeTimeout, Clock: clock.SinceBoot,
	}, logger)
	go operator.Run(ctx)
	dir := directory.New(s, rebalancerDirectoryPause, logger)
	go dir.Run(ctx)
	p := rebalance.New(rebalance.Options{
		Instance:      st.Gateway.Instance,
		Address:       net.JoinHostPort(st.Gateway.Address, strconv.Itoa(st.Gateway.PeerPort)),
		Engine:        platform.NewEngine(st.BackendAddress),
		EngineAddress: st.BackendAddress,
		Remote:        func(address string) rebalance.Engine { return platform.NewEngine(address) },
		Store:         s,
		LinkRate:      st.LinkRate,
		Directory:     dir,
		MapConfig:     func() (rebalance.MapConfig, bool) { return mapConfig(cache.View(), st.BackendService) },
		Log:           logger,
		Registry:      registry,
	})
	conns := newConns(st.Gateway.MemoryLimit, st.Gateway.Sockets, registry, logger)
	if err := serveStatus(ctx, conns, st.Gateway.Address+metricsPort, telemetry.NewMux(registry, func() error { return nil }), logger); err != nil {
		return err
	}
	logger.Info("started", "engine", st.BackendAddress, "store", st.StoreAddress)
	return p.Run(ctx)
}

// mapConfig returns the configuration of a service's expert maps; ok is false if
// there is no document or the service has no expert maps.
func mapConfig(v *fleet.View, service string) (rebalance.MapConfig, bool) {
	if v.Document == nil {
		return rebalance.MapConfig{}, false
	}
	svc := v.Document.Services[service]
	if svc == nil || svc.Engine == nil || svc.Engine.Experts == nil {
		return rebalance.MapConfig{}, false
	}
	x := svc.Engine.Experts
	return rebalance.MapConfig{
		Shape:    spread.Shape{Sets: x.LayerSets, Experts: x.PerSet, Slots: x.MaxPerRank},
		Spare:    x.SparePerRank,
		CopyTime: x.CopyTime,
	}, true
}

package daemon

import (
	"context"
	"io"
	"net"
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

// Reads of a rebalancer. It needs the document only for the shape of maps,
// which is that of the engines, and there are many rebalancers.
const (
	documentWait   = 20 * time.Second // for the first document
	documentRest   = time.Minute      // between reads after that
	directoryBatch = 2 * time.Second  // between reads of the directory
)

// RunRebalancer runs the process beside one rank with the platform's settings
// file at path until ctx ends.
func RunRebalancer(ctx context.Context, path, logLevel string, out io.Writer) error {
	return runOnPlatform(ctx, path, logLevel, out, "rebalancer", rebalanceGroup)
}

func rebalanceGroup(ctx context.Context, st *platform.Settings, logger *log.Logger) error {
	registry := telemetry.NewRegistry()
	s := platform.NewStore(st.StoreAddress, logger)
	s.Observe = telemetry.NewStoreMetrics(registry).Call
	belief := fleet.NewCache(0)
	operator := fleet.NewFollower(s.OperatorSource(), belief, fleet.FollowOptions{
		Name: "operator", Operator: true, Wait: documentWait, RelaxedPause: documentRest, Timeout: storeWait, Clock: clock.Boot,
	}, logger)
	go operator.Run(ctx)
	dir := directory.New(s, directoryBatch, logger)
	go dir.Run(ctx)
	p := rebalance.New(rebalance.Options{
		Instance:      st.Gateway.Instance,
		Address:       net.JoinHostPort(st.Gateway.Address, strconv.Itoa(st.Gateway.PeerPort)),
		Engine:        platform.NewEngine(st.BackendAddress),
		EngineAddress: st.BackendAddress,
		Remote:        func(address string) rebalance.Engine { return platform.NewEngine(address) },
		Store:         s,
		Directory:     dir,
		MapConfig:     func() (rebalance.MapConfig, bool) { return mapShape(belief.View(), st.BackendService) },
		Log:           logger,
		Registry:      registry,
	})
	if err := serveHTTP(ctx, st.Gateway.Address+metricsPort, telemetry.NewMux(registry, func() error { return nil })); err != nil {
		return err
	}
	logger.Info("started", "engine", st.BackendAddress, "store", st.StoreAddress)
	return p.Run(ctx)
}

// mapShape is what the document says of the maps of a service.
func mapShape(v *fleet.View, service string) (rebalance.MapConfig, bool) {
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

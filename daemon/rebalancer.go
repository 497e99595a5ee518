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
)

// documentWait is how long a rebalancer's read of the operator's stream waits:
// it needs the document only for the shape of maps.
const documentWait = 20 * time.Second

// RunRebalancer runs the process beside one rank with the platform's settings
// file at path until ctx ends.
func RunRebalancer(ctx context.Context, path string, out io.Writer) error {
	return runOnPlatform(ctx, path, out, "rebalancer", rebalanceGroup)
}

func rebalanceGroup(ctx context.Context, st *platform.Settings, logger *log.Logger) error {
	s := platform.NewStore(st.Store, logger)
	belief := fleet.NewBelief(0)
	operator := fleet.NewFollower(s.Operator(), belief, fleet.FollowOptions{
		Name: "operator", Operator: true, Wait: documentWait, Timeout: storeWait, Clock: clock.Boot,
	}, logger)
	go operator.Run(ctx)
	dir := directory.New(s, logger)
	go dir.Run(ctx)
	logger.Info("started", "engine", st.App, "store", st.Store)
	return rebalance.New(rebalance.Options{
		Instance:      st.Gateway.Instance,
		Address:       net.JoinHostPort(st.Gateway.Address, strconv.Itoa(st.Gateway.PeerPort)),
		Engine:        platform.NewEngine(st.App),
		EngineAddress: st.App,
		Remote:        func(address string) rebalance.Engine { return platform.NewEngine(address) },
		Store:         s,
		Directory:     dir,
		Shape:         func() (rebalance.Shape, bool) { return mapShape(belief.View(), st.Service) },
		Log:           logger,
	}).Run(ctx)
}

// mapShape is what the document says of the maps of a service.
func mapShape(v *fleet.View, service string) (rebalance.Shape, bool) {
	if v.Document == nil {
		return rebalance.Shape{}, false
	}
	svc := v.Document.Services[service]
	if svc == nil || svc.Engine == nil || svc.Engine.Experts == nil {
		return rebalance.Shape{}, false
	}
	x := svc.Engine.Experts
	return rebalance.Shape{
		Shape: spread.Shape{Sets: x.Sets, Experts: x.Count, Places: x.Places},
		Spare: x.Spare,
		Copy:  x.Copy,
	}, true
}

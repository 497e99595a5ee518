// Package rebalance adapts the expert map of a group to demand. One process runs
// beside each rank: it counts which experts the rank's requests choose, drives
// the rank's engine and, while it is the group's coordinator, runs map switches.
// Package placement/spread plans maps and package remap switches to them; this
// package connects both to engines, peers and the store.
package rebalance

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"marjorampitch/directory"
	"marjorampitch/placement/spread"
	"marjorampitch/remap"
	"marjorampitch/store"
	"marjorampitch/wire"
)

// Intervals, timeouts and limits of a process.
const (
	activePollInterval  = 15 * time.Millisecond  // between polls of the engine during a switch
	idlePollInterval    = 30 * time.Millisecond  // between reads of expert counts; shorter than a pass
	idleStateInterval   = 250 * time.Millisecond // between reads of the engine state while idle
	idleGoalInterval    = 250 * time.Millisecond // between goals while idle
	prepareGoalInterval = 100 * time.Millisecond // between goals while ranks copy the experts that a map adds
	confirmGoalInterval = 50 * time.Millisecond  // between goals while ranks confirm that they are there
	activeGoalInterval  = 25 * time.Millisecond  // between goals in the other phases of a switch
	rankReportInterval  = 300 * time.Millisecond // between reports of an unchanged rank
	demandInterval      = 30 * time.Millisecond  // between updates of the demand estimate
	minEngineFailures   = 2                      // consecutive failed reads of the engine after which gateways are notified
	remoteOrderRetry    = 45 * time.Millisecond  // between two equal orders to another instance's engine
	closedStateInterval = 200 * time.Millisecond // between notifications of gateways while the group makes no passes
	// coordinatorTimeout is the time without a goal after which a process claims
	// the role of coordinator. claimStagger times the rank is added, so that
	// processes claim one after the other.
	coordinatorTimeout = 900 * time.Millisecond
	claimStagger       = 40 * time.Millisecond
	// activeCoordinatorTimeout replaces coordinatorTimeout during a switch, when
	// goals are sent every confirmGoalInterval at least and the group may be held.
	activeCoordinatorTimeout = 250 * time.Millisecond
	// preparingCoordinatorTimeout applies while ranks copy experts, when goals are sent every
	// prepareGoalInterval, after maps for all ranks, and nothing is held. A successor
	// makes the copies anew, so that a coordinator must not be replaced in haste.
	preparingCoordinatorTimeout = 500 * time.Millisecond
	claimTimeout                = time.Second
	maxDatagramBytes            = 60 << 10
	// maxCopyTime is the time that the copies of one plan may take at a rank;
	// demand shifts every few seconds.
	maxCopyTime = 450 * time.Millisecond
	// topExperts is the number of experts of a set that a report lists.
	topExperts = 16
	// reportersPerPass is the number of ranks that report the expert counts of a
	// pass to the coordinator.
	reportersPerPass = 12
	// switchGain is the fraction of the cost that a plan must save for the switch,
	// because a plan always fits the sample that it was computed from better than
	// the next one. copyGainPerSecond is added for each second in which its copies
	// lengthen passes.
	switchGain        = 0.12
	copyGainPerSecond = 0.1
	// minCopyGainPerSecond is the fraction of the cost that a copy must save per
	// second that it takes.
	minCopyGainPerSecond = 0.015
	// replanInterval is the time between searches for a plan after one found
	// none, unless the cost has risen by replanCostRatio: a search takes
	// milliseconds, and a rebalancer has a fraction of a core.
	replanInterval  = 400 * time.Millisecond
	replanCostRatio = 1.04
)

// Engine is a client of the engine of one rank.
type Engine interface {
	// State returns the engine's state.
	State(ctx context.Context) (remap.EngineState, error)
	// ExpertCounts returns how often requests have chosen each expert since the
	// engine started, one set after the other, as of the given pass and epoch.
	ExpertCounts(ctx context.Context) (step, epoch int64, counts []int64, err error)
	// Order sends an order. err is the cause, if known, of a result other than
	// Accepted.
	Order(ctx context.Context, shape spread.Shape, o remap.Order) (remap.Result, error)
}

// MapConfig is the configuration of a service's expert maps.
type MapConfig struct {
	spread.Shape
	Spare    int           // experts that one plan may copy to a rank, per set
	CopyTime time.Duration // for one expert to one rank
}

// Options configures a Process.
type Options struct {
	Instance string
	Address  string // host and port for datagrams
	Engine   Engine // of this process's rank
	// Remote returns a client of the engine of another instance.
	Remote func(address string) Engine
	// EngineAddress is the host and port of Engine.
	EngineAddress string
	Store         store.Log
	LinkRate      float64 // bandwidth of the instance's link, bytes per second; 0 if not known
	Directory     *directory.Directory
	// MapConfig returns the configuration of the service's maps; ok is false while
	// there is none.
	MapConfig func() (c MapConfig, ok bool)
	Log       *log.Logger
	Registry  prometheus.Registerer // nil for none
}

// Process runs beside one rank. All state belongs to the goroutine of Run.
type Process struct {
	opts    Options
	metrics *metrics
	conn    *net.UDPConn
	start   time.Time

	driver      *remap.RankDriver
	coord       *remap.Coordinator // nil unless this process coordinates the group
	loggedPhase remap.Phase        // of coord

	goalShape    wire.MapShape // that the coordinator stated last
	coordAddr    *net.UDPAddr  // address of the coordinator; nil if unknown
	coordSeenAt  time.Duration // time of the last goal received or sent, or of the last claim's result
	claiming     bool
	claimResults chan claimResult
	claimEnd     store.Position // end of the topic of claims when a claim came too late; store.NoPosition if none has
	// claimUnanswered means that the last claim failed without an answer, so that it may
	// have taken effect.
	claimUnanswered bool
	announced       bool // in the directory

	remoteEngines     map[string]Engine // by address
	lastOrder         remap.Order       // last order of coord
	lastOrderAt       time.Duration
	substitutes       map[int]*substituteDriver // by rank
	substituteReports chan wire.RankReport

	counter         counter
	demand          *spread.DemandEstimator
	demandShape     spread.Shape // of demand
	demandUpdatedAt time.Duration
	slowRanks       *spread.SlowRanks                 // of the group that coord coordinates
	recorded        struct{ switched, abandoned int } // counts of coord that are in the metrics
	noPlan          struct {                          // last search that found no plan with sufficient gain
		cost float64
		at   time.Duration // 0 if the last search found a plan
	}
	hold struct { // of the engine of this process's rank
		step     int64 // held pass; remap.None for none
		since    time.Duration
		loggedAt time.Duration // 0 if it is not logged
	}
	unreadyLoggedAt time.Duration // when the coordinator was last ready for a switch, or logged as not ready
	observedAt      time.Duration // last read of the engine state
	sentReport      wire.RankReport
	sentReportAt    time.Duration
	sentGoalSeq     uint64
	sentFinal       bool // MapGoal.Final of the last goal sent
	sentGoalAt      time.Duration
	maps            *mapPacer
	engineDown      bool // the last read from the engine failed
	engineFailures  int  // consecutive failed reads
	announcer       stateAnnouncer
	stopping        bool // told to stop
	stopAt          time.Duration
}

// claimResult is the result of a claim to coordinate the group.
type claimResult struct {
	term int64
	end  store.Position // of the topic, with store.ErrOffsetMismatch
	err  error
}

type datagram struct {
	data []byte
	from *net.UDPAddr
}

// New returns a process; Run starts it.
func New(opts Options) *Process {
	p := &Process{
		opts: opts, metrics: newMetrics(opts.Registry), start: time.Now(), driver: remap.NewRankDriver(), maps: newMapPacer(opts.LinkRate), claimResults: make(chan claimResult, 1), claimEnd: store.NoPosition,
		substitutes: make(map[int]*substituteDriver), remoteEngines: make(map[string]Engine), substituteReports: make(chan wire.RankReport, 8),
	}
	p.hold.step = remap.None
	return p
}

func (p *Process) now() time.Duration { return time.Since(p.start) }

// Run runs the process until ctx is done and its part in a switch that holds the group has
// ended, or maxStopTime later. It returns an error if it cannot listen for datagrams.
func (p *Process) Run(ctx context.Context) error {
	told := ctx.Done()
	ctx, end := context.WithCancel(context.WithoutCancel(ctx)) // calls go on until the end
	defer end()
	addr, err := net.ResolveUDPAddr("udp4", p.opts.Address)
	if err != nil {
		return eris.Wrapf(err, "resolve datagram address %q", p.opts.Address)
	}
	p.conn, err = net.ListenUDP("udp4", addr)
	if err != nil {
		return eris.Wrapf(err, "listen for datagrams on %s", p.opts.Address)
	}
	defer p.conn.Close()
	in := make(chan datagram, 64)
	go p.receive(in)
	timer := time.NewTimer(idlePollInterval)
	defer timer.Stop()
	for !p.mayEnd() {
		select {
		case <-told:
			told = nil
			p.tellToStop()
		case d := <-in:
			p.handleDatagram(ctx, d)
		case r := <-p.substituteReports:
			p.handleReport(ctx, r)
		case c := <-p.claimResults:
			p.handleClaimResult(c)
		case <-timer.C:
			p.poll(ctx)
			timer.Reset(p.pollInterval())
		}
	}
	return nil
}

// receive passes datagrams to in until the connection is closed. It drops
// datagrams while in is full.
func (p *Process) receive(in chan<- datagram) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := p.conn.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		select {
		case in <- datagram{append([]byte(nil), buf[:n]...), from}:
		default:
		}
	}
}

// active reports whether a switch is in progress.
func (p *Process) active() bool {
	if p.coord != nil && p.coord.Phase() != remap.Idle {
		return true
	}
	return p.driver.Active()
}

// pollInterval returns the time until the next poll.
func (p *Process) pollInterval() time.Duration {
	if p.active() {
		return activePollInterval
	}
	return idlePollInterval
}

// poll reads the engine and performs all work that is due.
func (p *Process) poll(ctx context.Context) {
	p.recordSwitches()
	now := p.now()
	if p.active() || p.engineDown || now-p.observedAt >= idleStateInterval {
		if !p.observeEngine(ctx) {
			return
		}
	}
	p.reportExpertCounts(ctx)
	p.sendDue(ctx)
	p.updateSubstitutes(ctx)
	p.claimIfNoCoordinator(ctx)
}

// observeEngine reads the engine state and passes it on. It returns false if the
// engine does not answer.
func (p *Process) observeEngine(ctx context.Context) bool {
	e, err := p.opts.Engine.State(ctx)
	if err != nil {
		p.handleEngineError(err)
		return false
	}
	p.engineFailures = 0
	if p.engineDown {
		p.engineDown = false
		p.opts.Log.Info("engine-regained", "group", e.Group, "rank", e.Rank, "epoch", e.Epoch)
	}
	if old, ok := p.driver.EngineState(); !ok || old.Epoch != e.Epoch || old.Open != e.Open || old.Map != e.Map {
		p.opts.Log.Info("rank-changed", "group", e.Group, "rank", e.Rank, "epoch", e.Epoch, "open", e.Open, "map", e.Map, "step", e.Step)
	}
	p.observedAt = p.now()
	p.metrics.setEngine(&e)
	p.announceState(&e, true)
	p.driver.Observe(e)
	p.watchHold(&e)
	if p.coord != nil {
		p.coord.Observe(e, p.now())
	}
	if !p.announced {
		p.announced = true
		go p.opts.Directory.Announce(ctx, p.opts.Instance, wire.Instance{
			Role: wire.RoleRebalancer, Address: p.opts.Address, Group: e.Group, Rank: e.Rank, Engine: p.opts.EngineAddress, Memory: e.Memory,
		})
	}
	return true
}

// handleEngineError records a failed read of the engine. After minEngineFailures
// it notifies gateways that the group is closed: a group makes no passes without
// one of its ranks, and detects that only later.
func (p *Process) handleEngineError(err error) {
	if !p.engineDown {
		p.opts.Log.Warn("engine-lost", "err", err)
	}
	p.engineDown = true
	p.engineFailures++
	if e, known := p.driver.EngineState(); known && p.engineFailures >= minEngineFailures {
		e.Open = false
		p.announceState(&e, false)
	}
}

// sendDue sends the orders that are due: those of this rank and, if the coordinator
// runs here, those of the coordinator, at most maxOrdersPerRound in all. After each
// order it sends the report of the rank and the coordinator's goal if they are due,
// and reads the engine again. Without a due order it sends the report and the goal. A
// process without a document plays its part as a rank only.
func (p *Process) sendDue(ctx context.Context) {
	config, configured := p.mapConfig()
	for range maxOrdersPerRound {
		o, due := p.driver.Next(p.now())
		if due {
			p.driver.HandleResult(o, p.sendOrder(ctx, p.mapShape(), o))
		} else if p.coord != nil && configured {
			due = p.runCoordinatorOrder(ctx, config)
		}
		p.reportRank()
		p.sendGoal()
		if !due || !p.observeEngine(ctx) {
			break
		}
	}
}

// runCoordinatorOrder proposes a better map if there is one, sends the
// coordinator's next order and reports whether it sent one. An order to another
// instance's engine is repeated only after remoteOrderRetry, when the process
// beside that engine has had time to report its state.
func (p *Process) runCoordinatorOrder(ctx context.Context, config MapConfig) (sent bool) {
	p.proposeMap(config)
	o, due := p.coord.Next(p.now())
	if !due {
		return false
	}
	e, _ := p.driver.EngineState()
	own := o.Rank == e.Rank
	repeated := o.Kind == p.lastOrder.Kind && o.Step == p.lastOrder.Step && o.Rank == p.lastOrder.Rank
	if !own && repeated && p.now()-p.lastOrderAt < remoteOrderRetry {
		return false
	}
	p.lastOrder, p.lastOrderAt = o, p.now()
	p.coord.HandleResult(o, p.sendOrder(ctx, config.Shape, o))
	return true
}

// engineOf returns the engine of a rank; nil while its address is unknown.
func (p *Process) engineOf(rank int) Engine {
	e, _ := p.driver.EngineState()
	if rank == e.Rank {
		return p.opts.Engine
	}
	for _, entry := range p.opts.Directory.Entries() {
		if entry.Group != e.Group || entry.Rank != rank || entry.Engine == "" {
			continue
		}
		if p.remoteEngines[entry.Engine] == nil {
			p.remoteEngines[entry.Engine] = p.opts.Remote(entry.Engine)
		}
		return p.remoteEngines[entry.Engine]
	}
	return nil
}

// maxOrdersPerRound bounds the orders of one call of sendDue, so that received
// datagrams do not wait long.
const maxOrdersPerRound = 4

// sendOrder sends an order to the engine of its rank. It refuses a map that does not fit
// the shape: the coordinator may have a document with other dimensions.
func (p *Process) sendOrder(ctx context.Context, shape spread.Shape, o remap.Order) remap.Result {
	if o.Kind == remap.OrderPrepare && !validShape(shape) {
		return remap.Unanswered // neither the document nor the coordinator has told the dimensions yet
	}
	if !shape.Fits(o.Replicas) {
		p.opts.Log.Warn("order-failed", "order", o.Kind, "rank", o.Rank, "version", o.Version, "err", "the map has sets, experts or ranks that the group does not have")
		return remap.Refused
	}
	engine := p.engineOf(o.Rank)
	if engine == nil {
		return remap.Unanswered // the directory does not list the engine yet
	}
	result, err := engine.Order(ctx, shape, o)
	p.metrics.orders.WithLabelValues(o.Kind.String(), result.String()).Inc()
	fields := []any{"order", o.Kind, "rank", o.Rank, "epoch", o.Epoch, "version", o.Version, "step", o.Step, "replicas", len(o.Replicas), "result", result}
	if err != nil {
		p.opts.Log.Warn("order-failed", append(fields, "err", err)...)
	} else {
		p.opts.Log.Info("order", fields...)
	}
	return result
}

// mapConfig returns the configuration of the group's maps; ok is false until both
// the document and the engine state are known.
func (p *Process) mapConfig() (MapConfig, bool) {
	config, ok := p.opts.MapConfig()
	e, known := p.driver.EngineState()
	config.Ranks = e.Size
	return config, ok && known && config.Valid()
}

// mapShape returns the dimensions of the group's maps as the document states them, or else
// the coordinator; they are not valid while neither has.
func (p *Process) mapShape() spread.Shape {
	if config, ok := p.mapConfig(); ok {
		return config.Shape
	}
	e, _ := p.driver.EngineState()
	return spread.Shape{Sets: p.goalShape.Sets, Experts: p.goalShape.Experts, Slots: p.goalShape.Slots, Ranks: e.Size}
}

// maxMapSize bounds the experts of all sets that a coordinator may state.
const maxMapSize = 1 << 20

// validShape reports whether maps of a shape can be prepared.
func validShape(s spread.Shape) bool {
	return s.Valid() && s.Sets <= maxMapSize && s.Experts <= maxMapSize/s.Sets && s.Ranks <= maxMapSize/s.Sets
}

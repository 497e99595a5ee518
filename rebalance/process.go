// Package rebalance keeps the expert map of a group in step with demand. One
// process runs beside each rank: it counts which experts the rank's requests
// choose, drives the rank's engine, and leads the group's switches when it is
// the coordinator. Package remap decides how a map is put in force, package
// placement/spread which one; this package is the loop around them.
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

// Timing of a process.
const (
	activePoll   = 15 * time.Millisecond  // between looks at the engine during a switch
	restPoll     = 30 * time.Millisecond  // between counts, shorter than a pass
	reportPoll   = 250 * time.Millisecond // between reports of the engine at rest
	goalEvery    = 250 * time.Millisecond // between a coordinator's goals at rest
	prepareAsk   = 100 * time.Millisecond // while maps are copied
	goalAgain    = 25 * time.Millisecond  // during a switch
	reportAt     = 300 * time.Millisecond // between a rank's reports when nothing changes
	foldEvery    = 30 * time.Millisecond  // between estimates of demand
	lostAfter    = 2                      // reports in a row that must fail before gateways are told
	commandAgain = 45 * time.Millisecond  // between two equal orders to another instance's engine
	closedEvery  = 200 * time.Millisecond // between words to gateways while the group makes no passes
	// patience is the time without a word of a coordinator after which a
	// process claims its place; rankPatience is added for each rank, so that
	// they do so one after the other.
	patience     = 900 * time.Millisecond
	rankPatience = 40 * time.Millisecond
	// activePatience takes the place of patience during a switch, when goals
	// come every few milliseconds and the group may be held.
	activePatience = 250 * time.Millisecond
	claimTimeout   = time.Second
	maxDatagram    = 60 << 10
	// copyTime is the time that the copies of one plan may take at a rank:
	// demand shifts every few seconds.
	copyTime = 450 * time.Millisecond
	// topExperts is the number of experts of a set that a report names.
	topExperts = 16
	// tellEachPass is the number of ranks that tell the coordinator of a pass.
	tellEachPass = 12
	// switchGain and copyGain are what a plan must gain, as parts of the cost:
	// for the switch, as a plan always fits the sample that it was made from
	// better than the next one, and for each second in which passes are longer
	// for its copies.
	switchGain = 0.12
	copyGain   = 0.1
	// minCopyGain is the part of the cost by which a copy must help for each
	// second that it takes.
	minCopyGain = 0.015
	// planAgain is the time after which a plan is looked for once more although
	// the cost has not risen by planRise since none was found: it takes
	// milliseconds, and a rebalancer has a part of a core.
	planAgain = 400 * time.Millisecond
	planRise  = 1.04
)

// Engine is the engine of the own rank.
type Engine interface {
	Report(ctx context.Context) (remap.EngineState, error)
	ExpertCounts(ctx context.Context) (step, epoch int64, counts []int64, err error)
	Order(ctx context.Context, shape spread.Shape, o remap.Order) (remap.Result, error)
}

// MapConfig is what the document says of a service's maps; ok is false where it
// says nothing.
type MapConfig struct {
	spread.Shape
	Spare    int
	CopyTime time.Duration // of one expert to a rank
}

// Options are what a Process is made of.
type Options struct {
	Instance string
	Address  string // host and port for datagrams
	Engine   Engine
	// Remote returns a client of the engine of another instance.
	Remote func(address string) Engine
	// EngineAddress is the host and port of the engine.
	EngineAddress string
	Store         store.Log
	Directory     *directory.Directory
	MapConfig     func() (s MapConfig, ok bool)
	Log           *log.Logger
	Registry      prometheus.Registerer // nil for none
}

// Process runs beside one rank. All state belongs to the goroutine of Run.
type Process struct {
	opts  Options
	seen  *metrics
	conn  *net.UDPConn
	start time.Time

	rank  *remap.RankDriver
	coord *remap.Coordinator
	phase remap.Phase // of coord when it was last logged

	leader    *net.UDPAddr  // where reports go; nil for nobody
	heard     time.Duration // last goal of a coordinator in office
	claiming  bool
	claimed   chan claim
	announced bool

	engines     map[string]Engine // of other instances, by address
	commanded   remap.Order       // last order of the coordinator
	commandedAt time.Duration
	standins    map[int]*substitute // by rank
	remote      chan wire.RankReport

	counts  counter
	demand  *spread.DemandEstimator
	shape   spread.Shape // of demand
	folded  time.Duration
	counted struct{ switched, abandoned int } // of coord, in the metrics
	futile  struct {                          // the last time that no plan was worth its while
		cost float64
		at   time.Duration
	}
	reported time.Duration // last report of the engine
	told     wire.RankReport
	toldAt   time.Duration
	goalSeq  uint64
	final    bool // MapGoal.Final of the goal last told
	goalAt   time.Duration
	lost     bool            // the engine does not answer
	failures int             // reports in a row that did not come
	state    wire.GroupState // last told to gateways
	stateAt  time.Duration
}

type claim struct {
	term int64
	err  error
}

type datagram struct {
	data []byte
	from *net.UDPAddr
}

// New returns a process that is not running.
func New(opts Options) *Process {
	return &Process{
		opts: opts, seen: newMetrics(opts.Registry), start: time.Now(), rank: remap.NewRankDriver(), claimed: make(chan claim, 1),
		standins: make(map[int]*substitute), engines: make(map[string]Engine), remote: make(chan wire.RankReport, 8),
	}
}

func (p *Process) now() time.Duration { return time.Since(p.start) }

// Run works until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp4", p.opts.Address)
	if err != nil {
		return eris.Wrap(err, "rebalance")
	}
	p.conn, err = net.ListenUDP("udp4", addr)
	if err != nil {
		return eris.Wrap(err, "rebalance")
	}
	defer p.conn.Close()
	in := make(chan datagram, 64)
	go p.receive(in)
	timer := time.NewTimer(restPoll)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-in:
			p.handle(ctx, d)
		case r := <-p.remote:
			p.reportOf(ctx, r)
		case c := <-p.claimed:
			p.elected(c)
		case <-timer.C:
			p.poll(ctx)
			timer.Reset(p.pause())
		}
	}
}

// receive passes datagrams on until the connection is closed; those that find
// the queue full are lost.
func (p *Process) receive(in chan<- datagram) {
	buf := make([]byte, maxDatagram)
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

// active reports whether a switch is underway.
func (p *Process) active() bool {
	if p.coord != nil && p.coord.Phase() != remap.Idle {
		return true
	}
	return p.rank.Active()
}

func (p *Process) pause() time.Duration {
	if p.active() {
		return activePoll
	}
	return restPoll
}

// poll looks at the engine and goes on as far as possible.
func (p *Process) poll(ctx context.Context) {
	now := p.now()
	if p.active() || p.lost || now-p.reported >= reportPoll {
		if !p.observe(ctx) {
			return
		}
	}
	p.count(ctx)
	p.drive(ctx)
	p.substitutes(ctx)
	p.seekOffice(ctx)
}

// observe takes a report of the engine.
func (p *Process) observe(ctx context.Context) bool {
	e, err := p.opts.Engine.Report(ctx)
	if err != nil {
		p.engineLost(err)
		return false
	}
	p.failures = 0
	if p.lost {
		p.lost = false
		p.opts.Log.Info("engine-regained", "group", e.Group, "rank", e.Rank, "epoch", e.Epoch)
	}
	if old, ok := p.rank.EngineState(); !ok || old.Epoch != e.Epoch || old.Open != e.Open || old.Map != e.Map {
		p.opts.Log.Info("rank-changed", "group", e.Group, "rank", e.Rank, "epoch", e.Epoch, "open", e.Open, "map", e.Map, "step", e.Step)
	}
	p.reported = p.now()
	p.seen.engine(&e)
	p.announceState(&e)
	p.rank.Observe(e)
	if p.coord != nil {
		p.coord.Observe(e, p.now())
	}
	if !p.announced {
		p.announced = true
		go p.opts.Directory.Announce(ctx, p.opts.Instance, wire.Instance{
			Role: wire.RoleRebalancer, Address: p.opts.Address, Group: e.Group, Rank: e.Rank, Engine: p.opts.EngineAddress,
		})
	}
	return true
}

// engineLost notes a report that did not come. A group stands still without
// one of its ranks, and notices that only later.
func (p *Process) engineLost(err error) {
	if !p.lost {
		p.opts.Log.Warn("engine-lost", "err", err)
	}
	p.lost = true
	p.failures++
	if e, known := p.rank.EngineState(); known && p.failures >= lostAfter {
		e.Open = false
		p.announceState(&e)
	}
}

// drive gives the engine what orders are due, and tells others.
func (p *Process) drive(ctx context.Context) {
	shape, ok := p.mapShape()
	if !ok {
		return
	}
	for range maxOrders {
		o, due := p.rank.Next(p.now())
		if due {
			p.rank.HandleResult(o, p.order(ctx, shape.Shape, o))
		} else if p.coord != nil {
			due = p.command(ctx, shape)
		}
		p.tell()
		p.spreadGoal()
		if !due || !p.observe(ctx) {
			break
		}
	}
}

// command gives the order that the coordinator wants next. It reports whether
// anything has changed by it. Another engine's state is told by the process beside it: the
// same order is given again only when that has had time to.
func (p *Process) command(ctx context.Context, shape MapConfig) (changed bool) {
	p.lead(shape)
	o, due := p.coord.Next(p.now())
	if !due {
		return false
	}
	e, _ := p.rank.EngineState()
	own := o.Rank == e.Rank
	again := o.Kind == p.commanded.Kind && o.Step == p.commanded.Step && o.Rank == p.commanded.Rank
	if !own && again && p.now()-p.commandedAt < commandAgain {
		return false
	}
	p.commanded, p.commandedAt = o, p.now()
	p.coord.HandleResult(o, p.order(ctx, shape.Shape, o))
	return true
}

// engineOf returns the engine of a rank; nil while it is not known.
func (p *Process) engineOf(rank int) Engine {
	e, _ := p.rank.EngineState()
	if rank == e.Rank {
		return p.opts.Engine
	}
	for _, entry := range p.opts.Directory.Entries() {
		if entry.Group != e.Group || entry.Rank != rank || entry.Engine == "" {
			continue
		}
		if p.engines[entry.Engine] == nil {
			p.engines[entry.Engine] = p.opts.Remote(entry.Engine)
		}
		return p.engines[entry.Engine]
	}
	return nil
}

// maxOrders bounds the orders of one round, so that datagrams are not left
// waiting.
const maxOrders = 4

// order gives an engine one order.
func (p *Process) order(ctx context.Context, shape spread.Shape, o remap.Order) remap.Result {
	engine := p.engineOf(o.Rank)
	if engine == nil {
		return remap.Unanswered // the directory will name it
	}
	result, err := engine.Order(ctx, shape, o)
	p.seen.orders.WithLabelValues(o.Kind.String(), result.String()).Inc()
	fields := []any{"order", o.Kind, "rank", o.Rank, "epoch", o.Epoch, "version", o.Version, "step", o.Step, "replicas", len(o.Replicas), "result", result}
	if err != nil {
		p.opts.Log.Warn("order-failed", append(fields, "err", err)...)
	} else {
		p.opts.Log.Info("order", fields...)
	}
	return result
}

// mapShape is the shape of the group's maps; ok is false until document and
// engine have told it.
func (p *Process) mapShape() (MapConfig, bool) {
	s, ok := p.opts.MapConfig()
	e, known := p.rank.EngineState()
	s.Ranks = e.Size
	return s, ok && known && s.Valid()
}

package side

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/group"
	"marjorampitch/logfold"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// Timing and sizes for a rank.
const (
	rankPollInterval = 50 * time.Millisecond // interval between state queries to an idle engine
	fenceRetryDelay  = time.Second
	orderQueueSize   = 64 // queued orders; further ones are dropped, and coordinators resend them
)

// messageSender is the connection to a coordinator; wire.Conn implements it.
type messageSender interface{ Send(m wire.Message) error }

// rankOrder is an order with the connection that its acknowledgement is sent on.
type rankOrder struct {
	conn  messageSender
	order *wire.Order
}

// commandResult is the outcome of a command to the engine.
type commandResult struct {
	kind        group.CommandKind
	outcome     group.Outcome
	incarnation string // of the engine that responded; empty if none did
}

// rank drives the group.Rank state machine of one rank. machine, mapHash and ackTo
// are used only by the goroutine in run; the other fields do not change.
type rank struct {
	service string
	engine  rankEngine
	log     *log.Logger
	metrics *telemetry.SideMetrics // nil in tests
	claims  backing.Log
	orders  chan rankOrder

	machine *group.Rank
	mapHash string // hash of the map in force, as the engine last reported it
	fences  chan int64
	results chan commandResult
	ackTo   map[uint8]messageSender // sender of the last order of each kind
}

func newRank(opt *Options, client *backing.EngineClient, groupName string, number int) *rank {
	return &rank{
		service: opt.Hello.Service,
		engine:  rankEngine{client: client, group: groupName, rank: number},
		log:     opt.Log,
		metrics: opt.Metrics,
		claims:  opt.Claims,
		orders:  make(chan rankOrder, orderQueueSize),
		fences:  make(chan int64),
		results: make(chan commandResult),
		ackTo:   make(map[uint8]messageSender),
	}
}

// enqueue passes an order to run. It drops orders for other ranks, and any order
// when the queue is full.
func (r *rank) enqueue(c messageSender, o *wire.Order) {
	if o.Group != r.engine.group || o.Rank != r.engine.rank {
		return
	}
	select {
	case r.orders <- rankOrder{c, o}:
	default:
	}
}

// run executes orders and polls the engine until ctx ends.
func (r *rank) run(ctx context.Context) {
	state, err := r.engine.awaitState(ctx)
	if err != nil {
		return
	}
	r.mapHash = state.MapHash
	opts := group.RankOptions{Group: r.engine.group, Rank: r.engine.rank, SupportsSwitchAt: true}
	machine, actions := group.NewRank(opts, rankState(&state), nil)
	r.machine = machine
	r.perform(ctx, nil, actions)
	ticker := time.NewTicker(rankPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case offset := <-r.fences:
			r.machine.SetFence(offset)
		case o := <-r.orders:
			r.handleOrder(ctx, o)
		case d := <-r.results:
			r.finishCommand(ctx, d)
		case <-ticker.C:
			r.refreshState(ctx)
		}
	}
}

// handleOrder passes an order to the state machine after it has refreshed the
// engine's state, so that the acknowledgement contains the current state.
func (r *rank) handleOrder(ctx context.Context, o rankOrder) {
	if !r.refreshState(ctx) {
		return
	}
	r.ackTo[o.order.Kind] = o.conn
	r.perform(ctx, o.conn, r.machine.HandleOrder(o.order))
}

// refreshState passes the engine's current state to the state machine. It returns
// false if the engine does not respond.
func (r *rank) refreshState(ctx context.Context) bool {
	state, err := r.engine.client.State(ctx)
	if err != nil {
		r.log.Debug("rank-state-unavailable", "err", err)
		return false
	}
	r.mapHash = state.MapHash
	r.perform(ctx, nil, r.machine.HandleState(rankState(&state)))
	return true
}

// finishCommand passes the result of a command to the state machine, with the
// engine's state read after the command.
func (r *rank) finishCommand(ctx context.Context, d commandResult) {
	state, err := r.engine.awaitState(ctx)
	if err != nil {
		return
	}
	r.mapHash = state.MapHash
	view := rankState(&state)
	if d.incarnation != "" && d.incarnation != view.Incarnation {
		r.perform(ctx, nil, r.machine.HandleState(view)) // the engine that executed the command was restarted
		return
	}
	r.perform(ctx, nil, r.machine.HandleResult(group.Result{Kind: d.kind, Outcome: d.outcome, State: view}))
}

// perform executes the actions of the state machine. Acknowledgements go to c or,
// if c is nil, to the sender of the last order of the same kind.
func (r *rank) perform(ctx context.Context, c messageSender, actions []group.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case group.ReadFence:
			go r.readFence(ctx)
		case group.RunCommand:
			r.log.Debug("rank-command", "kind", int(a.Command.Kind), "fence", a.Command.Fence, "epoch", a.Command.Epoch, "step", a.Command.Step)
			go r.runCommand(ctx, a.Command)
		case group.SendAck:
			r.sendAck(c, a.Ack)
		}
	}
}

func (r *rank) sendAck(c messageSender, ack wire.OrderAck) {
	if c == nil {
		c = r.ackTo[ack.Kind]
	}
	if c == nil {
		return
	}
	ack.MapHash = r.mapHash
	if r.metrics != nil {
		r.metrics.OrderDone(api.Code(ack.Code))
	}
	c.Send(&ack)
}

func (r *rank) runCommand(ctx context.Context, c group.Command) {
	outcome, incarnation := r.engine.execute(ctx, c)
	select {
	case r.results <- commandResult{kind: c.Kind, outcome: outcome, incarnation: incarnation}:
	case <-ctx.Done():
	}
}

// readFence reads the end of the group stream and passes the offset before it to
// the state machine as the fencing number. All claims so far, of any group, are
// before the end, so this number is at least the highest fencing number of this
// group.
func (r *rank) readFence(ctx context.Context) {
	for {
		batch, err := r.claims.Read(ctx, logfold.GroupStream(r.service), 0, 1, 0)
		if err == nil || batch.End > 0 {
			select {
			case r.fences <- int64(batch.End) - 1:
			case <-ctx.Done():
			}
			return
		}
		r.log.Warn("group-claims-unavailable", "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(fenceRetryDelay):
		}
	}
}

// configureRank starts, replaces or stops the rank when the service configuration
// has changed. Only the goroutine of Run calls it.
func (s *Server) configureRank(ctx context.Context) {
	be := s.ownConfig()
	if be == nil {
		return
	}
	current := s.rank.Load()
	if current != nil && current.engine.group == be.Group && current.engine.rank == be.Rank {
		return
	}
	if current != nil {
		s.stopRank()
		s.rank.Store(nil)
	}
	if be.Group == "" {
		return
	}
	ctx, s.stopRank = context.WithCancel(ctx)
	r := newRank(&s.opt, s.engine, be.Group, be.Rank)
	s.rank.Store(r)
	go r.run(ctx)
}

// handleOrder passes an order to the rank of this backend server, if it has one.
func (s *Server) handleOrder(c *wire.Conn, o *wire.Order) {
	if r := s.rank.Load(); r != nil {
		r.enqueue(c, o)
	}
}

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

// Timing and sizes of a rank.
const (
	rankPoll   = 50 * time.Millisecond // between two looks at an idle engine
	fenceRetry = time.Second
	rankQueue  = 64 // orders waiting; coordinators send again what finds no room
)

// orderer is a connection to the sender of orders; wire.Conn implements it.
type orderer interface{ Send(m wire.Message) error }

// rankOrder is an order with the connection that its answer goes to.
type rankOrder struct {
	conn  orderer
	order *wire.Order
}

// rankDone is the outcome of a command that an engine was given.
type rankDone struct {
	kind        group.CommandKind
	outcome     group.Outcome
	incarnation string // of the engine that answered; empty when it did not
}

// rank runs the machine of one rank of a group. All of it but orders belongs
// to the goroutine in run.
type rank struct {
	service string
	engine  rankEngine
	log     *log.Logger
	metrics *telemetry.SideMetrics // nil for none
	fences  backing.Log
	orders  chan rankOrder

	machine *group.Rank
	hash    string // of the map in force
	fence   chan int64
	done    chan rankDone
	waiting map[uint8]orderer // by kind of order: who waits for an answer
}

func newRank(opt *Options, client *backing.EngineClient, groupName string, number int) *rank {
	return &rank{
		service: opt.Hello.Service,
		engine:  rankEngine{client: client, group: groupName, rank: number},
		log:     opt.Log,
		metrics: opt.Metrics,
		fences:  opt.Claims,
		orders:  make(chan rankOrder, rankQueue),
		fence:   make(chan int64),
		done:    make(chan rankDone),
		waiting: make(map[uint8]orderer),
	}
}

// order hands an order over; one that finds no room is dropped.
func (r *rank) order(c orderer, o *wire.Order) {
	if o.Group != r.engine.group || o.Rank != r.engine.rank {
		return
	}
	select {
	case r.orders <- rankOrder{c, o}:
	default:
	}
}

// run runs the rank until ctx ends.
func (r *rank) run(ctx context.Context) {
	state, err := r.engine.await(ctx)
	if err != nil {
		return
	}
	r.hash = state.MapHash
	opts := group.RankOptions{Group: r.engine.group, Rank: r.engine.rank, SupportsSwitchAt: true}
	machine, actions := group.NewRank(opts, rankView(&state), nil)
	r.machine = machine
	r.perform(ctx, nil, actions)
	ticker := time.NewTicker(rankPoll)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case offset := <-r.fence:
			r.machine.SetFence(offset)
		case o := <-r.orders:
			r.obey(ctx, o)
		case d := <-r.done:
			r.finish(ctx, d)
		case <-ticker.C:
			r.look(ctx)
		}
	}
}

// obey passes an order to the machine, after a look at the engine, so that its
// answer tells the state of now.
func (r *rank) obey(ctx context.Context, o rankOrder) {
	if !r.look(ctx) {
		return
	}
	r.waiting[o.order.Kind] = o.conn
	r.perform(ctx, o.conn, r.machine.HandleOrder(o.order))
}

// look tells the machine the engine's state; false when that can't be had now.
func (r *rank) look(ctx context.Context) bool {
	state, err := r.engine.client.State(ctx)
	if err != nil {
		r.log.Debug("rank-state-unavailable", "err", err)
		return false
	}
	r.hash = state.MapHash
	r.perform(ctx, nil, r.machine.HandleState(rankView(&state)))
	return true
}

// finish tells the machine what became of a command, with the state read after it.
func (r *rank) finish(ctx context.Context, d rankDone) {
	state, err := r.engine.await(ctx)
	if err != nil {
		return
	}
	r.hash = state.MapHash
	view := rankView(&state)
	if d.incarnation != "" && d.incarnation != view.Incarnation {
		r.perform(ctx, nil, r.machine.HandleState(view)) // the engine that obeyed is gone
		return
	}
	r.perform(ctx, nil, r.machine.HandleResult(group.Result{Kind: d.kind, Outcome: d.outcome, State: view}))
}

// perform carries out the machine's actions; c gets the answers, or, when it
// is nil, whoever sent the order last.
func (r *rank) perform(ctx context.Context, c orderer, actions []group.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case group.ReadFence:
			go r.readFence(ctx)
		case group.RunCommand:
			r.log.Debug("rank-command", "kind", int(a.Command.Kind), "fence", a.Command.Fence, "epoch", a.Command.Epoch, "step", a.Command.Step)
			go r.command(ctx, a.Command)
		case group.SendAck:
			r.answer(c, a.Ack)
		}
	}
}

func (r *rank) answer(c orderer, ack wire.OrderAck) {
	if c == nil {
		c = r.waiting[ack.Kind]
	}
	if c == nil {
		return
	}
	ack.MapHash = r.hash
	if r.metrics != nil {
		r.metrics.OrderDone(api.Code(ack.Code))
	}
	c.Send(&ack)
}

func (r *rank) command(ctx context.Context, c group.Command) {
	outcome, incarnation := r.engine.do(ctx, c)
	select {
	case r.done <- rankDone{kind: c.Kind, outcome: outcome, incarnation: incarnation}:
	case <-ctx.Done():
	}
}

// readFence reads the end of the group stream. No claim of any group made so
// far is at or beyond it, so a number just below it is at least the highest.
func (r *rank) readFence(ctx context.Context) {
	for {
		batch, err := r.fences.Read(ctx, logfold.GroupStream(r.service), 0, 1, 0)
		if err == nil || batch.End > 0 {
			select {
			case r.fence <- int64(batch.End) - 1:
			case <-ctx.Done():
			}
			return
		}
		r.log.Warn("group-claims-unavailable", "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(fenceRetry):
		}
	}
}

// configureRank keeps the rank in line with the document. It is called by the
// goroutine of Run alone.
func (s *Server) configureRank(ctx context.Context) {
	be := s.self()
	if be == nil {
		return
	}
	have := s.rank.Load()
	if have != nil && have.engine.group == be.Group && have.engine.rank == be.Rank {
		return
	}
	if have != nil {
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

// order passes an order to the rank of this backend server.
func (s *Server) order(c *wire.Conn, o *wire.Order) {
	if r := s.rank.Load(); r != nil {
		r.order(c, o)
	}
}

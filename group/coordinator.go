package group

import (
	"time"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// CoordinatorOptions are the settings of a Coordinator.
type CoordinatorOptions struct {
	Group        string
	Ranks        int
	InitialMap   []byte        // encoded map to use if no rank has one
	StepDuration time.Duration // typical duration of a step; used to choose the step of a switch
}

// phase is the state of a Coordinator.
type phase uint8

const (
	phaseStopped        phase = iota
	phaseClaiming             // waiting for the offset of the claim
	phaseSealing              // sealing every rank and collecting its state
	phaseFetching             // reading the map to restart the group with
	phaseStaging              // copying the weights of a new map
	phaseQuerying             // reading the current step of every rank after staging
	phaseArming               // holding every rank at the step of the switch
	phaseCommitting           // committing a new map, or one that an earlier coordinator has committed
	phaseCompleting           // waiting until every rank has the same active map and none holds
	phaseReleasing            // dropping holds, also to abort a switch
	phaseJoinHold             // group restart: holding the ranks that have a map
	phaseJoinStage            // group restart: staging weights at every rank
	phaseJoinWithMap          // group restart: joining the ranks that have a map
	phaseJoinWithoutMap       // group restart: joining the ranks that have none
	phaseIdle
)

// round is one order to a set of ranks, resent until all of them have acknowledged it.
type round struct {
	order     wire.Order
	pending   []bool // by rank: acknowledgement outstanding
	remaining int    // number of outstanding acknowledgements
}

// Coordinator switches the ranks of one group from one expert map to the next.
// It is not safe for concurrent use.
type Coordinator struct {
	opts        CoordinatorOptions
	phase       phase
	fence       int64
	seq         uint64
	epoch       uint64 // last epoch allocated
	round       round
	acks        []wire.OrderAck
	target      uint64 // epoch that will be active when the operation in progress ends
	data        []byte // encoded map of epoch target
	next        []byte // proposed map whose switch has not begun; nil for none
	requeries   int    // queries repeated because the reported steps were too far apart
	mustRestart bool   // a rank refused an order that a consistent group accepts

	now        time.Duration
	sentAt     time.Duration
	latency    time.Duration // decaying maximum of the round durations
	addedSteps int64         // steps added to the lead because arm orders arrived too late
	mut        mutation      // set by mutation tests only
}

// NewCoordinator returns a Coordinator that ignores all input until Lead is called.
func NewCoordinator(opts CoordinatorOptions) *Coordinator {
	return &Coordinator{opts: opts, acks: make([]wire.OrderAck, opts.Ranks)}
}

// Lead claims the group on the log. It starts or restarts leadership.
func (c *Coordinator) Lead() []Action {
	c.phase = phaseClaiming
	return []Action{AppendClaim{}}
}

// Claimed handles the log offset of the claim that AppendClaim appended. If
// the answer to the append was lost, the caller finds the offset by reading
// the log.
func (c *Coordinator) Claimed(offset int64) []Action {
	if c.phase != phaseClaiming {
		return nil
	}
	c.fence = offset
	c.seq = 0
	c.requeries = 0
	c.epoch = firstEpoch(offset)
	return c.begin(phaseSealing, wire.Order{Kind: uint8(Seal)}, nil)
}

// Fence returns the coordinator's fencing number.
func (c *Coordinator) Fence() int64 { return c.fence }

// Idle reports whether a proposal would start a switch at once.
func (c *Coordinator) Idle() bool { return c.phase == phaseIdle }

// Propose requests a switch to an encoded map. The switch starts when no other
// operation is in progress. A later proposal replaces one that has not started.
func (c *Coordinator) Propose(data []byte) []Action {
	c.next = data
	if c.phase == phaseIdle {
		return c.stage()
	}
	return nil
}

// Tick resends unacknowledged orders, or queries all ranks if there are none.
// now is monotonic, relative to any fixed origin.
func (c *Coordinator) Tick(now time.Duration) []Action {
	c.now = now
	switch c.phase {
	case phaseStopped:
		return nil
	case phaseClaiming:
		return nil
	}
	if c.round.remaining == 0 {
		return c.query()
	}
	var actions []Action
	for rank, pending := range c.round.pending {
		if pending {
			actions = append(actions, c.orderAction(rank))
		}
	}
	return actions
}

// query requests the state of every rank, which shows steps, engine restarts
// and completed switches.
func (c *Coordinator) query() []Action {
	return c.begin(c.phase, wire.Order{Kind: uint8(Query)}, nil)
}

// begin starts a round. A non-nil include selects the ranks that take part.
func (c *Coordinator) begin(p phase, o wire.Order, include func(rank int) bool) []Action {
	c.phase = p
	c.seq++
	o.Seq = c.seq
	o.Group = c.opts.Group
	o.Fence = c.fence
	c.round = round{order: o, pending: make([]bool, c.opts.Ranks)}
	c.sentAt = c.now
	var actions []Action
	for rank := range c.round.pending {
		if include != nil && !include(rank) {
			continue
		}
		c.round.pending[rank] = true
		c.round.remaining++
		actions = append(actions, c.orderAction(rank))
	}
	if c.round.remaining == 0 {
		return c.completeRound()
	}
	return actions
}

// orderAction returns the action that sends the order of the round to a rank.
func (c *Coordinator) orderAction(rank int) Action {
	o := c.round.order
	o.Rank = rank
	return SendOrder{o}
}

// HandleAck handles a rank's acknowledgement. Duplicates and acknowledgements
// of earlier rounds are ignored.
func (c *Coordinator) HandleAck(a *wire.OrderAck, now time.Duration) []Action {
	c.now = max(c.now, now)
	if c.phase == phaseStopped || c.phase == phaseClaiming || a.Rank < 0 || a.Rank >= c.opts.Ranks {
		return nil
	}
	if a.Fence > c.fence {
		c.phase = phaseStopped
		return []Action{Superseded{a.Fence}}
	}
	if a.Fence < c.fence || a.Seq != c.round.order.Seq || !c.round.pending[a.Rank] {
		return nil
	}
	switch api.Code(a.Code) {
	case api.OK:
		return c.recordAck(a)
	case api.NotReady:
		return nil // the order is resent at the next tick
	case api.OrderRefused:
		return c.handleRefusal()
	}
	return c.Lead() // the rank was restarted: start over with a higher fencing number
}

// recordAck stores an acknowledgement and completes the round when none is outstanding.
func (c *Coordinator) recordAck(a *wire.OrderAck) []Action {
	c.acks[a.Rank] = *a
	c.round.pending[a.Rank] = false
	c.round.remaining--
	if c.round.remaining > 0 && !c.mut.earlyCompletion {
		return nil
	}
	c.round.remaining = 0
	c.recordLatency()
	if c.phase == phaseFetching && len(a.Map) > 0 {
		c.data = a.Map
	}
	return c.completeRound()
}

// handleRefusal handles a rank that cannot execute the order of the round.
func (c *Coordinator) handleRefusal() []Action {
	switch c.phase {
	case phaseStaging:
		return c.release()
	case phaseArming:
		c.addedSteps += c.switchLead()
		if c.next == nil {
			c.next = c.data // retry with a later step
		}
		return c.release()
	}
	c.mustRestart = true
	return c.Lead()
}

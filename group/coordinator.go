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
	InitialMap   []byte        // map for a group in which no rank has one
	StepDuration time.Duration // time of a step, for the choice of a switch's step
}

// phase is what a coordinator is about.
type phase uint8

const (
	phaseStopped  phase = iota
	phaseClaiming       // the claim's offset is not known yet
	phaseSealing        // collecting the state of every rank
	phaseFetching       // reading the map that the group is to restart with
	phaseStaging        // of a new map
	phaseLooking        // at the ranks' steps, once the weights are staged
	phaseArming
	phaseCommit    // of a new map, or of one that an earlier coordinator has committed
	phaseWaiting   // for the map to come into force at every rank
	phaseReleasing // aborting
	phaseJoinHold  // restarting the group: ranks that have a map hold
	phaseJoinStage // weights
	phaseJoinOld   // ranks that have a map
	phaseJoinFresh // ranks that have none
	phaseIdle
)

// round is one order to some ranks, sent until all of them have answered.
type round struct {
	order wire.Order
	wants []bool // ranks that have not answered yet
	left  int
}

// Coordinator puts maps in force in one group. It is not safe for concurrent use.
type Coordinator struct {
	opts   CoordinatorOptions
	phase  phase
	fence  int64
	seq    uint64
	epoch  uint64 // last epoch numbered
	round  round
	acks   []wire.OrderAck
	target uint64 // map to be in force at the end of what is underway
	data   []byte // encoded map target
	next   []byte // proposed map, not begun; nil for none
	looks  int    // how often ranks were asked again, since their steps seemed apart
	reform bool   // restart the group: an order was refused that should not have been

	now     time.Duration
	sentAt  time.Duration
	latency time.Duration // slowest round of orders, decayed
	missed  int64         // steps added because arms came too late
	broken  mechanisms
}

// NewCoordinator returns a coordinator that does nothing before Lead.
func NewCoordinator(opts CoordinatorOptions) *Coordinator {
	return &Coordinator{opts: opts, acks: make([]wire.OrderAck, opts.Ranks)}
}

// Lead begins with a claim on the log.
func (c *Coordinator) Lead() []Action {
	c.phase = phaseClaiming
	return []Action{AppendClaim{}}
}

// Claimed takes the offset of the claim that Claim appended. A claim whose
// answer was lost is found by reading the log.
func (c *Coordinator) Claimed(offset int64) []Action {
	if c.phase != phaseClaiming {
		return nil
	}
	c.fence = offset
	c.seq = 0
	c.looks = 0
	c.epoch = firstEpoch(offset)
	return c.begin(phaseSealing, wire.Order{Kind: uint8(Seal)}, nil)
}

// Fence is the coordinator's fencing number.
func (c *Coordinator) Fence() int64 { return c.fence }

// Idle says whether a proposal would be begun at once.
func (c *Coordinator) Idle() bool { return c.phase == phaseIdle }

// Propose asks for a map; it is begun when nothing else is underway. A later
// proposal replaces one that has not begun.
func (c *Coordinator) Propose(data []byte) []Action {
	c.next = data
	if c.phase == phaseIdle {
		return c.stage()
	}
	return nil
}

// Tick sends again what has not been answered. now is the time since any
// fixed moment.
func (c *Coordinator) Tick(now time.Duration) []Action {
	c.now = now
	switch c.phase {
	case phaseStopped:
		return nil
	case phaseClaiming:
		return nil
	}
	if c.round.left == 0 {
		return c.query()
	}
	var actions []Action
	for rank, wanted := range c.round.wants {
		if wanted {
			actions = append(actions, c.send(rank))
		}
	}
	return actions
}

// query asks every rank for its state, to see steps, restarts and switches.
func (c *Coordinator) query() []Action {
	return c.begin(c.phase, wire.Order{Kind: uint8(Query)}, nil)
}

// begin starts a round; only, when not nil, picks the ranks that take part.
func (c *Coordinator) begin(p phase, o wire.Order, only func(rank int) bool) []Action {
	c.phase = p
	c.seq++
	o.Seq = c.seq
	o.Group = c.opts.Group
	o.Fence = c.fence
	c.round = round{order: o, wants: make([]bool, c.opts.Ranks)}
	c.sentAt = c.now
	var actions []Action
	for rank := range c.round.wants {
		if only != nil && !only(rank) {
			continue
		}
		c.round.wants[rank] = true
		c.round.left++
		actions = append(actions, c.send(rank))
	}
	if c.round.left == 0 {
		return c.completed()
	}
	return actions
}

func (c *Coordinator) send(rank int) Action {
	o := c.round.order
	o.Rank = rank
	return SendOrder{o}
}

// HandleAck takes an answer. Answers of earlier rounds and doubled ones are ignored.
func (c *Coordinator) HandleAck(a *wire.OrderAck, now time.Duration) []Action {
	c.now = max(c.now, now)
	if c.phase == phaseStopped || c.phase == phaseClaiming || a.Rank < 0 || a.Rank >= c.opts.Ranks {
		return nil
	}
	if a.Fence > c.fence {
		c.phase = phaseStopped
		return []Action{Superseded{a.Fence}}
	}
	if a.Fence < c.fence || a.Seq != c.round.order.Seq || !c.round.wants[a.Rank] {
		return nil
	}
	switch api.Code(a.Code) {
	case api.OK:
		return c.accept(a)
	case api.NotReady:
		return nil // sent again at the next tick
	case api.OrderRefused:
		return c.refused()
	}
	return c.Lead() // the rank was restarted: begin anew with a higher number
}

// accept notes an answer and goes on once all ranks have answered.
func (c *Coordinator) accept(a *wire.OrderAck) []Action {
	c.acks[a.Rank] = *a
	c.round.wants[a.Rank] = false
	c.round.left--
	if c.round.left > 0 && !c.broken.earlyDone {
		return nil
	}
	c.round.left = 0
	c.measure()
	if c.phase == phaseFetching && len(a.Map) > 0 {
		c.data = a.Map
	}
	return c.completed()
}

// refused handles a rank that cannot carry out the order of the round.
func (c *Coordinator) refused() []Action {
	switch c.phase {
	case phaseStaging:
		return c.release()
	case phaseArming:
		c.missed += c.lead()
		if c.next == nil {
			c.next = c.data // try again for a later step
		}
		return c.release()
	}
	c.reform = true
	return c.Lead()
}

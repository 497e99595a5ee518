package group

import (
	"time"

	"marjorampitch/wire"
)

// completed goes on after a round that every rank has answered.
func (c *Coordinator) completed() []Action {
	switch c.phase {
	case phaseSealing:
		return c.resolve()
	case phaseFetching, phaseJoinHold, phaseJoinStage, phaseJoinOld, phaseJoinFresh:
		return c.restart()
	case phaseStaging:
		return c.begin(phaseLooking, wire.Order{Kind: uint8(Query)}, nil)
	case phaseLooking:
		return c.arm()
	case phaseArming:
		return c.begin(phaseCommit, wire.Order{Kind: uint8(Commit), Epoch: c.target}, nil)
	case phaseCommit, phaseReleasing:
		c.phase = phaseWaiting
		return nil // the next tick asks whether the map is in force
	case phaseWaiting, phaseIdle:
		return c.settle()
	}
	return nil
}

// resolve finishes what the sealed ranks show. All of them have answered, and
// none obeys an earlier coordinator any more.
func (c *Coordinator) resolve() []Action {
	c.target = 0
	for _, a := range c.acks {
		c.target = max(c.target, a.Epoch)
		if a.Committed && !c.broken.seenAbort {
			c.target = max(c.target, a.Armed)
		}
	}
	if c.reform || c.mapless() {
		return c.fetch()
	}
	if c.scattered() {
		if c.looks < maxLooks {
			c.looks++
			return c.begin(phaseSealing, wire.Order{Kind: uint8(Query)}, nil)
		}
		return c.fetch()
	}
	for _, a := range c.acks {
		if a.Epoch != c.target && !c.broken.seenAbort {
			return c.begin(phaseCommit, wire.Order{Kind: uint8(Commit), Epoch: c.target}, nil)
		}
	}
	return c.release()
}

// maxLooks is how often ranks whose steps seem apart are asked again. Answers
// of one round are of different moments, so a group that goes on seems apart
// when one of them came late.
const maxLooks = 3

// mapless says that a rank has no map since its engine restarted.
func (c *Coordinator) mapless() bool {
	for _, a := range c.acks {
		if a.Epoch == 0 {
			return true
		}
	}
	return false
}

// scattered says that the steps that the ranks told are further apart than
// lock-step allows.
func (c *Coordinator) scattered() bool {
	low, high := c.acks[0].Next, c.acks[0].Next
	for _, a := range c.acks {
		low = min(low, a.Next)
		high = max(high, a.Next)
	}
	return high-low > 1
}

// fetch reads the map that the group is restarted with: the latest one in
// force. Any map would be safe, since the group goes on at a step that no rank
// has begun. Where no rank can tell its map it is the initial one.
func (c *Coordinator) fetch() []Action {
	c.reform = false
	c.data = nil
	c.target = 0
	for _, a := range c.acks {
		c.target = max(c.target, a.Epoch)
	}
	order := wire.Order{Kind: uint8(Fetch), Epoch: c.target}
	uses := func(rank int) bool { return c.target != 0 && c.acks[rank].Epoch == c.target }
	return c.begin(phaseFetching, order, uses)
}

// restart goes through the rounds that bring every rank to the map target at
// one step number that no rank has begun. Ranks with a map go first: until the
// others join, no step can complete.
func (c *Coordinator) restart() []Action {
	join := wire.Order{Kind: uint8(Join), Epoch: c.target, Step: joinStep(c.fence)}
	switch c.phase {
	case phaseFetching:
		if c.data == nil {
			c.epoch++
			c.target = c.epoch
			c.data = c.opts.InitialMap
		}
		join.Epoch = 0 // drop what is armed, keep the map
		return c.begin(phaseJoinHold, join, c.hasMap)
	case phaseJoinHold:
		stage := wire.Order{Kind: uint8(Stage), Epoch: c.target, Map: c.data}
		return c.begin(phaseJoinStage, stage, nil)
	case phaseJoinStage:
		return c.begin(phaseJoinOld, join, c.hasMap)
	case phaseJoinOld:
		return c.begin(phaseJoinFresh, join, func(rank int) bool { return !c.hasMap(rank) })
	}
	return c.release()
}

// hasMap says whether the rank had a map in force when it last answered.
func (c *Coordinator) hasMap(rank int) bool { return c.acks[rank].Epoch != 0 }

// release drops every hold that no map was committed for.
func (c *Coordinator) release() []Action {
	return c.begin(phaseReleasing, wire.Order{Kind: uint8(Release)}, nil)
}

// settle ends a switch once its map is in force at every rank and begins the
// next one.
func (c *Coordinator) settle() []Action {
	if c.mapless() {
		return c.Lead() // its engine was restarted: the group is too
	}
	for _, a := range c.acks {
		if a.Epoch != c.acks[0].Epoch || a.Holding {
			if c.phase == phaseIdle {
				return c.Lead()
			}
			return nil
		}
	}
	was := c.phase
	c.phase = phaseIdle
	if c.target == c.acks[0].Epoch {
		c.missed = 0
	}
	c.target = c.acks[0].Epoch
	if c.next != nil {
		return c.stage()
	}
	if was == phaseIdle {
		return nil
	}
	return []Action{Settled{c.target}}
}

// stage begins the switch to the proposed map.
func (c *Coordinator) stage() []Action {
	c.epoch++
	c.target = c.epoch
	c.data = c.next
	c.next = nil
	return c.begin(phaseStaging, wire.Order{Kind: uint8(Stage), Epoch: c.target, Map: c.data}, nil)
}

// arm orders the switch for a step that leaves time for the arm and the commit.
func (c *Coordinator) arm() []Action {
	latest := int64(0)
	for _, a := range c.acks {
		latest = max(latest, a.Next)
	}
	step := latest + c.lead()
	return c.begin(phaseArming, wire.Order{Kind: uint8(Arm), Epoch: c.target, Step: step}, nil)
}

// Parts of the lead of a switch.
const (
	leadRounds = 3 // rounds of orders: the age of the steps known, the arm, the commit
	leadSteps  = 2 // steps to spare
)

// lead is the number of steps from the latest one known to the one that a
// switch takes effect at.
func (c *Coordinator) lead() int64 {
	steps := int64(0)
	if c.opts.StepDuration > 0 {
		steps = int64(leadRounds*c.latency/c.opts.StepDuration) + 1
	}
	return steps + leadSteps + c.missed
}

// measure notes how long a round of orders took; stages, whose time is that
// of the weights, do not count.
func (c *Coordinator) measure() {
	if OrderKind(c.round.order.Kind) == Stage {
		return
	}
	took := c.now - c.sentAt
	c.latency = max(took, c.latency-c.latency/8, time.Microsecond)
}

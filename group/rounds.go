package group

import (
	"time"

	"marjorampitch/wire"
)

// completeRound starts the next round after every rank has acknowledged the
// current one.
func (c *Coordinator) completeRound() []Action {
	switch c.phase {
	case phaseSealing:
		return c.resolve()
	case phaseFetching, phaseJoinHold, phaseJoinStage, phaseJoinWithMap, phaseJoinWithoutMap:
		return c.continueRestart()
	case phaseStaging:
		return c.begin(phaseQuerying, wire.Order{Kind: uint8(Query)}, nil)
	case phaseQuerying:
		return c.arm()
	case phaseArming:
		return c.begin(phaseCommitting, wire.Order{Kind: uint8(Commit), Epoch: c.target}, nil)
	case phaseCommitting, phaseReleasing:
		c.phase = phaseCompleting
		return nil // the next tick queries whether the map is active
	case phaseCompleting, phaseIdle:
		return c.checkSwitched()
	}
	return nil
}

// resolve completes or aborts an operation that an earlier coordinator left
// unfinished. All ranks are sealed, so none executes orders of an earlier
// coordinator any more.
func (c *Coordinator) resolve() []Action {
	c.target = 0
	for _, a := range c.acks {
		c.target = max(c.target, a.Epoch)
		if a.Committed && !c.mut.abortCommitted {
			c.target = max(c.target, a.Armed)
		}
	}
	if c.mustRestart || c.anyRankWithoutMap() {
		return c.fetchMap()
	}
	if c.outOfStep() {
		if c.requeries < maxRequeries {
			c.requeries++
			return c.begin(phaseSealing, wire.Order{Kind: uint8(Query)}, nil)
		}
		return c.fetchMap()
	}
	for _, a := range c.acks {
		if a.Epoch != c.target && !c.mut.abortCommitted {
			return c.begin(phaseCommitting, wire.Order{Kind: uint8(Commit), Epoch: c.target}, nil)
		}
	}
	return c.release()
}

// maxRequeries limits the queries repeated before a group is restarted because
// its steps are too far apart. The acknowledgements of one round are taken at
// different times, so a running group seems out of step when one is late.
const maxRequeries = 3

// anyRankWithoutMap reports whether a rank has no map because its engine restarted.
func (c *Coordinator) anyRankWithoutMap() bool {
	for _, a := range c.acks {
		if a.Epoch == 0 {
			return true
		}
	}
	return false
}

// outOfStep reports whether the steps reported by the ranks differ by more than
// lock-step execution allows.
func (c *Coordinator) outOfStep() bool {
	low, high := c.acks[0].Next, c.acks[0].Next
	for _, a := range c.acks {
		low = min(low, a.Next)
		high = max(high, a.Next)
	}
	return high-low > 1
}

// fetchMap reads the map to restart the group with: the latest active one, or
// the initial map if no rank can provide its map. Any map would be safe, since
// the group continues at a step that no rank has begun.
func (c *Coordinator) fetchMap() []Action {
	c.mustRestart = false
	c.data = nil
	c.target = 0
	for _, a := range c.acks {
		c.target = max(c.target, a.Epoch)
	}
	order := wire.Order{Kind: uint8(Fetch), Epoch: c.target}
	hasTarget := func(rank int) bool { return c.target != 0 && c.acks[rank].Epoch == c.target }
	return c.begin(phaseFetching, order, hasTarget)
}

// continueRestart starts the next round of a group restart. The rounds bring
// every rank to map target at a step number that no rank has begun. Ranks with
// a map go first: until the others join, no step can complete.
func (c *Coordinator) continueRestart() []Action {
	join := wire.Order{Kind: uint8(Join), Epoch: c.target, Step: joinStep(c.fence)}
	switch c.phase {
	case phaseFetching:
		if c.data == nil {
			c.epoch++
			c.target = c.epoch
			c.data = c.opts.InitialMap
		}
		join.Epoch = 0 // drop an armed map, keep the active one
		return c.begin(phaseJoinHold, join, c.hasMap)
	case phaseJoinHold:
		stage := wire.Order{Kind: uint8(Stage), Epoch: c.target, Map: c.data}
		return c.begin(phaseJoinStage, stage, nil)
	case phaseJoinStage:
		return c.begin(phaseJoinWithMap, join, c.hasMap)
	case phaseJoinWithMap:
		return c.begin(phaseJoinWithoutMap, join, func(rank int) bool { return !c.hasMap(rank) })
	}
	return c.release()
}

// hasMap reports whether the rank had an active map in its last acknowledgement.
func (c *Coordinator) hasMap(rank int) bool { return c.acks[rank].Epoch != 0 }

// release drops every hold without a committed map.
func (c *Coordinator) release() []Action {
	return c.begin(phaseReleasing, wire.Order{Kind: uint8(Release)}, nil)
}

// checkSwitched completes a switch once its map is active at every rank, and
// starts the next proposed one.
func (c *Coordinator) checkSwitched() []Action {
	if c.anyRankWithoutMap() {
		return c.Lead() // the engine was restarted, so the group must be
	}
	for _, a := range c.acks {
		if a.Epoch != c.acks[0].Epoch || a.Holding {
			if c.phase == phaseIdle {
				return c.Lead()
			}
			return nil
		}
	}
	previous := c.phase
	c.phase = phaseIdle
	if c.target == c.acks[0].Epoch {
		c.addedSteps = 0
	}
	c.target = c.acks[0].Epoch
	if c.next != nil {
		return c.stage()
	}
	if previous == phaseIdle {
		return nil
	}
	return []Action{Settled{c.target}}
}

// stage starts the switch to the proposed map.
func (c *Coordinator) stage() []Action {
	c.epoch++
	c.target = c.epoch
	c.data = c.next
	c.next = nil
	return c.begin(phaseStaging, wire.Order{Kind: uint8(Stage), Epoch: c.target, Map: c.data}, nil)
}

// arm schedules the switch at a step late enough for the arm and commit rounds.
func (c *Coordinator) arm() []Action {
	latest := int64(0)
	for _, a := range c.acks {
		latest = max(latest, a.Next)
	}
	step := latest + c.switchLead()
	return c.begin(phaseArming, wire.Order{Kind: uint8(Arm), Epoch: c.target, Step: step}, nil)
}

// Components of the number of steps between scheduling a switch and its step.
const (
	leadRounds = 3 // round durations: age of the reported steps, arm, commit
	spareSteps = 2 // safety margin
)

// switchLead returns the number of steps from the latest reported step to the
// step at which a switch takes effect.
func (c *Coordinator) switchLead() int64 {
	steps := int64(0)
	if c.opts.StepDuration > 0 {
		steps = int64(leadRounds*c.latency/c.opts.StepDuration) + 1
	}
	return steps + spareSteps + c.addedSteps
}

// recordLatency updates the round latency. Stage rounds do not count: their
// duration is that of copying weights.
func (c *Coordinator) recordLatency() {
	if OrderKind(c.round.order.Kind) == Stage {
		return
	}
	elapsed := c.now - c.sentAt
	c.latency = max(elapsed, c.latency-c.latency/8, time.Microsecond)
}

// Package packed registers the default placement policy, "packed". It replicates
// hot experts, takes the measured rank speeds into account and moves as few
// experts as possible.
//
// Most load drift is compensated by changing the traffic shares of replicas,
// which moves no weights. Experts are moved only in layers where new shares do not
// suffice, in descending order of gain, and only if the gain over the horizon
// exceeds the cost.
package packed

import (
	"time"

	"marjorampitch/placement"
	"marjorampitch/placement/pack"
)

// Name is the name under which the policy is registered.
const Name = "packed"

// Parameters of the policy. Skew is the longest rank time over the rank time at
// perfect balance.
const (
	minShareGain   = 0.002            // minimum reduction of the skew for a switch to new shares
	moveThreshold  = 1.02             // experts move in layers whose skew exceeds this with balanced shares
	moveTarget     = 1.008            // skew at which no more experts of a layer are moved
	minMoveGain    = 0.002            // reduction of the excess per expert copy, see pack.Limits
	maxStagingTime = 60 * time.Second // for the copies of one decision; the rest is left to later decisions
	balanceSweeps  = 30
)

func init() { placement.Register(Name, func() placement.Policy { return Policy{} }) }

// Policy is the placement policy "packed". Its zero value is ready for use.
type Policy struct{}

// Decide implements placement.Policy.
func (Policy) Decide(in placement.Input) (placement.Decision, error) {
	shape := in.Map.Shape
	shares, err := placement.NewMap(shape) // the experts of in.Map with new shares
	if err != nil {
		return placement.Decision{}, err
	}
	moved, err := placement.NewMap(shape) // new shares and moved experts
	if err != nil {
		return placement.Decision{}, err
	}
	var before, balanced, after float64
	for l := range shape.Layers {
		layer := pack.NewLayer(in.Map, l, in.Loads.Layer(l), in.Speeds)
		before += layer.Skew() / float64(shape.Layers)
		layer.Balance(balanceSweeps)
		layer.Store(shares, l)
		balanced += layer.Skew() / float64(shape.Layers)
		after += moveExperts(in, l, layer, shares, moved) / float64(shape.Layers)
	}
	if exceedsMoveCost(in, moved, balanced-after) {
		return newDecision(in, moved, before, after), nil
	}
	if before-balanced < minShareGain {
		return placement.Decision{SkewBefore: before, SkewAfter: before}, nil
	}
	return newDecision(in, shares, before, balanced), nil
}

// moveExperts moves experts in layer l if its skew exceeds moveThreshold. It stores
// into next as many of the moves as the weight store delivers in maxStagingTime and
// returns the skew after all of them; later decisions make the remaining moves.
func moveExperts(in placement.Input, l int, layer *pack.Layer, shares, next *placement.Map) float64 {
	if layer.Skew() <= moveThreshold {
		layer.Store(next, l)
		return layer.Skew()
	}
	bounded := stagingLimits(in)
	unbounded := bounded
	unbounded.Moves = in.Map.Shape.LayerSlots()
	if layer.Improve(unbounded) <= bounded.Moves {
		layer.Store(next, l)
		return layer.Skew()
	}
	first := pack.NewLayer(shares, l, in.Loads.Layer(l), in.Speeds)
	first.Improve(bounded)
	first.Store(next, l)
	return layer.Skew()
}

// stagingLimits bounds the copies of one layer by what the weight store delivers
// in maxStagingTime, divided equally among the layers. The bound is at least 2, the
// number of copies that a swap needs.
func stagingLimits(in placement.Input) pack.Limits {
	moves := in.Map.Shape.LayerSlots()
	if one := in.Costs.StagingTime(1); one > 0 {
		moves = int(maxStagingTime / one / time.Duration(in.Map.Shape.Layers))
	}
	return pack.Limits{Moves: max(moves, 2), Target: moveTarget, MinGain: minMoveGain}
}

// exceedsMoveCost reports whether the gain of next exceeds the cost of the switch
// by the factor in.Margin, both in steps. gain is the reduction of the skew. It is
// summed over the horizon, less the staging time. It returns false if next moves
// no experts.
func exceedsMoveCost(in placement.Input, next *placement.Map, gain float64) bool {
	moves := in.Map.Moves(next)
	total := 0
	for _, n := range moves {
		total += n
	}
	if total == 0 {
		return false
	}
	remaining := in.Horizon - in.Costs.StagingTime(total)
	steps := gain * remaining.Seconds() / in.Costs.StepTime.Seconds()
	return steps > in.Margin*in.Costs.SwitchSteps(moves)
}

// newDecision returns the decision for next with its number of moves.
func newDecision(in placement.Input, next *placement.Map, before, after float64) placement.Decision {
	d := placement.Decision{Map: next, SkewBefore: before, SkewAfter: after}
	for _, n := range in.Map.Moves(next) {
		d.Moves += n
	}
	return d
}

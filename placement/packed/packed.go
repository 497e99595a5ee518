// Package packed registers the policy "packed", the default: it replicates
// hot experts, packs by measured rank speed and moves as few experts as
// possible.
//
// Most drift is met by changing the traffic shares of replicas, which moves no
// bytes. Experts move only where shares no longer suffice, the biggest gain
// first, and only when the gain over the horizon exceeds the cost.
package packed

import (
	"time"

	"marjorampitch/placement"
	"marjorampitch/placement/pack"
)

// Name is the registered name.
const Name = "packed"

// Thresholds of the policy, as skew (max over mean of rank time).
const (
	shareGain  = 0.002            // least gain for which new shares are worth a switch
	startAbove = 1.02             // experts move in layers whose best shares leave more than this
	stopBelow  = 1.008            // and until this is reached
	minGain    = 0.002            // least excess, in mean rank times, that one copy must remove
	maxStaging = 60 * time.Second // weight copies of one decision; the rest waits for the next
	sweeps     = 30
)

func init() { placement.Register(Name, func() placement.Policy { return Policy{} }) }

// Policy is the default placement policy.
type Policy struct{}

// Decide implements placement.Policy.
func (Policy) Decide(in placement.Input) (placement.Decision, error) {
	shape := in.Map.Shape
	shares, err := placement.NewMap(shape)
	if err != nil {
		return placement.Decision{}, err
	}
	moved, err := placement.NewMap(shape)
	if err != nil {
		return placement.Decision{}, err
	}
	var before, balanced, after float64
	for l := range shape.Layers {
		layer := pack.NewLayer(in.Map, l, in.Loads.Layer(l), in.Speeds)
		before += layer.Skew() / float64(shape.Layers)
		layer.Balance(sweeps)
		layer.Store(shares, l)
		balanced += layer.Skew() / float64(shape.Layers)
		after += move(in, l, layer, shares, moved) / float64(shape.Layers)
	}
	if worthMoving(in, moved, balanced-after) {
		return decision(in, moved, before, after), nil
	}
	if before-balanced < shareGain {
		return placement.Decision{SkewBefore: before, SkewAfter: before}, nil
	}
	return decision(in, shares, before, balanced), nil
}

// move improves layer l where shares do not suffice, stores into next as much
// of it as the weight store delivers in maxStaging and returns the skew at the
// end of the whole improvement, which later decisions complete.
func move(in placement.Input, l int, layer *pack.Layer, shares, next *placement.Map) float64 {
	if layer.Skew() <= startAbove {
		layer.Store(next, l)
		return layer.Skew()
	}
	part := limits(in)
	whole := part
	whole.Moves = in.Map.Shape.LayerSlots()
	if layer.Improve(whole) <= part.Moves {
		layer.Store(next, l)
		return layer.Skew()
	}
	first := pack.NewLayer(shares, l, in.Loads.Layer(l), in.Speeds)
	first.Improve(part)
	first.Store(next, l)
	return layer.Skew()
}

// limits bounds the copies of one layer by what the weight store delivers in maxStaging.
func limits(in placement.Input) pack.Limits {
	moves := in.Map.Shape.LayerSlots()
	if one := in.Costs.StagingTime(1); one > 0 {
		moves = int(maxStaging / one / time.Duration(in.Map.Shape.Layers))
	}
	return pack.Limits{Moves: max(moves, 2), Target: stopBelow, MinGain: minGain}
}

// worthMoving weighs the gain over the horizon, less the time of staging,
// against the cost of the switch, both in steps.
func worthMoving(in placement.Input, next *placement.Map, gain float64) bool {
	moves := in.Map.Moves(next)
	total := 0
	for _, n := range moves {
		total += n
	}
	if total == 0 {
		return false
	}
	left := in.Horizon - in.Costs.StagingTime(total)
	steps := gain * left.Seconds() / in.Costs.StepTime.Seconds()
	return steps > in.Margin*in.Costs.SwitchSteps(moves)
}

func decision(in placement.Input, next *placement.Map, before, after float64) placement.Decision {
	d := placement.Decision{Map: next, SkewBefore: before, SkewAfter: after}
	for _, n := range in.Map.Moves(next) {
		d.Moves += n
	}
	return d
}

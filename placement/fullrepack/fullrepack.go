// Package fullrepack registers the placement policy "fullrepack", which packs
// every layer from scratch once per period, regardless of the cost of the moves.
// It is the baseline with the best balance and the most bytes moved.
package fullrepack

import (
	"time"

	"marjorampitch/placement"
	"marjorampitch/placement/pack"
)

// Name is the name under which the policy is registered.
const Name = "fullrepack"

// Period is the minimum time between two repackings.
const Period = 15 * time.Minute

func init() { placement.Register(Name, func() placement.Policy { return Policy{} }) }

// Policy is the placement policy "fullrepack".
type Policy struct{}

// Decide implements placement.Policy.
func (Policy) Decide(in placement.Input) (placement.Decision, error) {
	if in.SinceLastMove < Period {
		return placement.Decision{}, nil
	}
	next, err := placement.NewMap(in.Map.Shape)
	if err != nil {
		return placement.Decision{}, err
	}
	d := placement.Decision{Map: next}
	for l := range in.Map.Shape.Layers {
		load := in.Loads.Layer(l)
		d.SkewBefore += pack.NewLayer(in.Map, l, load, in.Speeds).Skew()
		d.SkewAfter += pack.Repack(in.Map, next, l, load, in.Speeds).Skew()
	}
	layers := float64(in.Map.Shape.Layers)
	d.SkewBefore /= layers
	d.SkewAfter /= layers
	for _, n := range in.Map.Moves(next) {
		d.Moves += n
	}
	return d, nil
}

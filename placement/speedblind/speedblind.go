// Package speedblind registers the policy "speedblind": the policy packed
// with every rank taken to be equally fast. It shows what measured rank
// speeds are worth.
package speedblind

import (
	"marjorampitch/placement"
	"marjorampitch/placement/packed"
)

// Name is the registered name.
const Name = "speedblind"

func init() { placement.Register(Name, func() placement.Policy { return Policy{} }) }

// Policy is packed without rank speeds.
type Policy struct{ packed packed.Policy }

// Decide implements placement.Policy.
func (p Policy) Decide(in placement.Input) (placement.Decision, error) {
	equal := make([]float64, len(in.Speeds))
	for r := range equal {
		equal[r] = 1
	}
	in.Speeds = equal
	return p.packed.Decide(in)
}

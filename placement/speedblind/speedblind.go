// Package speedblind registers the placement policy "speedblind": the policy
// "packed" under the assumption that all ranks are equally fast. It is the
// baseline that shows the benefit of measured rank speeds.
package speedblind

import (
	"marjorampitch/placement"
	"marjorampitch/placement/packed"
)

// Name is the name under which the policy is registered.
const Name = "speedblind"

func init() { placement.Register(Name, func() placement.Policy { return Policy{} }) }

// Policy is the placement policy "speedblind".
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

// Package static registers the placement policy "static", which never changes the
// map. It is the baseline without rebalancing.
package static

import "marjorampitch/placement"

// Name is the name under which the policy is registered.
const Name = "static"

func init() { placement.Register(Name, func() placement.Policy { return Policy{} }) }

// Policy is the placement policy "static".
type Policy struct{}

// Decide implements placement.Policy.
func (Policy) Decide(placement.Input) (placement.Decision, error) {
	return placement.Decision{}, nil
}

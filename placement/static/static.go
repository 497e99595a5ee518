// Package static registers the policy "static", which never changes the map.
// It is the baseline without rebalancing.
package static

import "marjorampitch/placement"

// Name is the registered name.
const Name = "static"

func init() { placement.Register(Name, func() placement.Policy { return Policy{} }) }

// Policy keeps the map in force.
type Policy struct{}

// Decide implements placement.Policy.
func (Policy) Decide(placement.Input) (placement.Decision, error) {
	return placement.Decision{}, nil
}

// Package placementtest simulates a rank group under a placement policy and
// reports the skew and the cost. It models expert popularity that drifts and
// jumps, slow ranks, tokens drawn at random for each step and a weight store of
// limited rate. A simulation is deterministic for a given seed.
package placementtest

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Workload describes the expert popularity and the rank speeds over time.
type Workload struct {
	Name           string
	Zipf           float64       // exponent of the Zipf distribution of expert popularity
	DriftAmplitude float64       // amplitude of the daily drift of the natural logarithm of popularity
	JumpAt         time.Duration // time at which popularity changes to another permutation; 0 for never
	ReturnAt       time.Duration // time at which it changes back; 0 for never
	SlowSpeeds     []float64     // speeds of the first ranks; the others have speed 1
	SlowFrom       time.Duration // time from which SlowSpeeds apply
	Duration       time.Duration
}

// day is the period of the drift.
const day = 24 * time.Hour

// popularity models the shares of the experts of one layer in its assignments over
// time.
type popularity struct {
	workload Workload
	base     []float64 // weight of each expert
	jumped   []float64 // weight of each expert between JumpAt and ReturnAt
	phase    []float64 // of each expert's drift, in radians
}

func newPopularity(workload Workload, experts int, rng *rand.Rand) *popularity {
	p := &popularity{workload: workload}
	p.base = zipf(workload.Zipf, rng.Perm(experts))
	p.jumped = zipf(workload.Zipf, rng.Perm(experts))
	p.phase = make([]float64, experts)
	for e := range p.phase {
		p.phase[e] = 2 * math.Pi * rng.Float64()
	}
	return p
}

// zipf returns weights by expert: (k+1)^-s for expert order[k].
func zipf(s float64, order []int) []float64 {
	w := make([]float64, len(order))
	for k, e := range order {
		w[e] = math.Pow(float64(k+1), -s)
	}
	return w
}

// at returns the shares of the experts at time t. They add up to 1.
func (p *popularity) at(t time.Duration) []float64 {
	w := p.base
	if p.workload.JumpAt > 0 && t >= p.workload.JumpAt && (p.workload.ReturnAt == 0 || t < p.workload.ReturnAt) {
		w = p.jumped
	}
	angle := 2 * math.Pi * t.Hours() / day.Hours()
	shares := make([]float64, len(w))
	total := 0.0
	for e := range w {
		shares[e] = w[e] * math.Exp(p.workload.DriftAmplitude*math.Sin(angle+p.phase[e]))
		total += shares[e]
	}
	for e := range shares {
		shares[e] /= total
	}
	return shares
}

// poisson draws a Poisson-distributed count with the given mean.
func poisson(mean float64, src rand.Source) float64 {
	if mean <= 0 {
		return 0
	}
	return distuv.Poisson{Lambda: mean, Src: src}.Rand()
}

// Package placementtest is a measuring stand-in for a rank group: expert
// popularity that drifts and jumps, slow ranks, tokens drawn afresh at each
// step and a weight store with a rate. It runs a placement policy through it
// from a fixed seed and reports skew and cost.
package placementtest

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Workload describes what a group meets.
type Workload struct {
	Name           string
	Zipf           float64       // exponent of the popularity of experts
	DriftAmplitude float64       // amplitude of the daily drift, as a natural logarithm of popularity
	JumpAt         time.Duration // popularity changes to another permutation at this time; 0 for never
	ReturnAt       time.Duration // and back at this time; 0 for never
	SlowSpeeds     []float64     // speeds of the first ranks; the others run at 1
	SlowFrom       time.Duration // time from which they are slow
	Duration       time.Duration
}

// day is the period of the drift.
const day = 24 * time.Hour

// popularity is the share of assignments of each expert of one layer over time.
type popularity struct {
	load   Workload
	base   []float64
	jumped []float64
	phase  []float64
}

func newPopularity(load Workload, experts int, rng *rand.Rand) *popularity {
	p := &popularity{load: load}
	p.base = zipf(load.Zipf, rng.Perm(experts))
	p.jumped = zipf(load.Zipf, rng.Perm(experts))
	p.phase = make([]float64, experts)
	for e := range p.phase {
		p.phase[e] = 2 * math.Pi * rng.Float64()
	}
	return p
}

// zipf gives expert order[k] the weight (k+1)^-s.
func zipf(s float64, order []int) []float64 {
	w := make([]float64, len(order))
	for k, e := range order {
		w[e] = math.Pow(float64(k+1), -s)
	}
	return w
}

// at returns the shares at time t; they add up to 1.
func (p *popularity) at(t time.Duration) []float64 {
	w := p.base
	if p.load.JumpAt > 0 && t >= p.load.JumpAt && (p.load.ReturnAt == 0 || t < p.load.ReturnAt) {
		w = p.jumped
	}
	angle := 2 * math.Pi * t.Hours() / day.Hours()
	shares := make([]float64, len(w))
	total := 0.0
	for e := range w {
		shares[e] = w[e] * math.Exp(p.load.DriftAmplitude*math.Sin(angle+p.phase[e]))
		total += shares[e]
	}
	for e := range shares {
		shares[e] /= total
	}
	return shares
}

// poisson draws a count with the given mean.
func poisson(mean float64, src rand.Source) float64 {
	if mean <= 0 {
		return 0
	}
	return distuv.Poisson{Lambda: mean, Src: src}.Rand()
}

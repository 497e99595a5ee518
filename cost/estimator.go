package cost

import (
	"math"
	"time"
)

// Parameters of an Estimator.
const (
	// maxRoutes bounds the routes with statistics of their own; the one that was not
	// used for the longest time makes room.
	maxRoutes = 256
	// memoryRequests is the number of finished requests over which a route's
	// statistics are averaged: an older one counts for less.
	memoryRequests = 300
	// halfLife is the time in which the statistics of a route lose half of their
	// weight.
	halfLife = 5 * time.Minute
	// priorRequests is the number of finished requests that the initial assumptions
	// of a route count for.
	priorRequests = 8
	// priorSlope is the initially assumed change of the output with a statement about
	// it, both as logarithms. A hint that is right in the median but scattered as
	// widely as the outputs themselves has this slope.
	priorSlope = 0.5
	// maxStep bounds how much one finished request can deviate from the expectation,
	// as a logarithm.
	maxStep = 2.0
)

// defaultOutput is the output assumed where nothing else is known, in tokens.
const defaultOutput = 128

// feature indexes what a request states about itself.
type feature int

const (
	featurePrompt feature = iota
	featureMax
	featureHint
	featureCount
)

// routeStats are the weighted moments of the finished requests of one route. All
// values are natural logarithms of token counts.
type routeStats struct {
	usedAt   time.Duration
	weight   float64 // requests
	meanOut  float64
	seen     [featureCount]float64 // weight of the requests that stated the feature
	mean     [featureCount]float64
	cov      [featureCount][featureCount]float64 // sums of products of deviations
	covOut   [featureCount]float64
	slope    [featureCount]float64
	residual float64 // sum of squared deviations from the expectation
}

// Estimator predicts the output tokens of requests from those of the finished requests
// of their route. Per route it holds a linear regression of the logarithm of the output
// on the logarithms of what the requests state; older requests count for less. Before
// anything is learned it trusts a hint by half, and otherwise the usual output.
type Estimator struct {
	usual  float64 // output tokens; 0 for unknown
	routes map[string]*routeStats
}

// NewEstimator returns an Estimator for a service whose requests usually have this many
// output tokens; 0 for unknown.
func NewEstimator(usual float64) *Estimator {
	return &Estimator{usual: usual, routes: make(map[string]*routeStats)}
}

// SetUsual changes the usual output of a request, in tokens; 0 for unknown.
func (e *Estimator) SetUsual(usual float64) { e.usual = usual }

// Output returns the expected output tokens of a request. It is at least 1, and at most
// the declared maximum and maxTokens.
func (e *Estimator) Output(route string, s Size) float64 {
	s = s.Valid()
	out := min(math.Exp(e.expected(e.routes[route], s)), maxTokens)
	if s.MaxOutput > 0 {
		out = min(out, float64(s.MaxOutput))
	}
	return max(out, 1)
}

// expected returns the expected logarithm of the output. r may be nil.
func (e *Estimator) expected(r *routeStats, s Size) float64 {
	usual := e.usual
	if usual <= 0 {
		usual = defaultOutput
	}
	x, known := features(s)
	if r == nil {
		if known[featureHint] {
			return (1-priorSlope)*math.Log(usual) + priorSlope*x[featureHint]
		}
		return math.Log(usual)
	}
	prior := float64(priorRequests)
	out := (prior*math.Log(usual) + r.weight*r.meanOut) / (prior + r.weight)
	for f := range featureCount {
		if !known[f] {
			continue
		}
		if r.seen[f] > 0 {
			out += r.slope[f] * (x[f] - r.mean[f])
		} else if f == featureHint {
			out += priorSlope * (x[f] - out)
		}
	}
	return out
}

// features returns the logarithms of what a request states, and which are stated.
func features(s Size) (x [featureCount]float64, known [featureCount]bool) {
	for f, n := range [featureCount]int{s.Prompt, s.MaxOutput, s.Hint} {
		if n > 0 {
			x[f], known[f] = math.Log(float64(n)), true
		}
	}
	return x, known
}

// Observe records the output tokens of a request that finished.
func (e *Estimator) Observe(now time.Duration, route string, s Size, output int) {
	if output <= 0 || output > maxTokens {
		return
	}
	s = s.Valid()
	r := e.routes[route]
	want := e.expected(r, s)
	if r == nil {
		r = e.newRoute(now, route)
	}
	r.age(now)
	y := min(max(math.Log(float64(output)), want-maxStep), want+maxStep)
	r.residual += (y - want) * (y - want)
	r.add(s, y)
	r.fit()
}

// newRoute adds the statistics of a route and drops the least recently used ones if
// there are too many.
func (e *Estimator) newRoute(now time.Duration, route string) *routeStats {
	if len(e.routes) >= maxRoutes {
		oldest := ""
		for name, r := range e.routes {
			if o := e.routes[oldest]; o == nil || r.usedAt < o.usedAt {
				oldest = name
			}
		}
		delete(e.routes, oldest)
	}
	r := &routeStats{usedAt: now}
	e.routes[route] = r
	return r
}

// age reduces the weight of earlier requests.
func (r *routeStats) age(now time.Duration) {
	keep := 1 - 1/float64(memoryRequests)
	if d := now - r.usedAt; d > 0 {
		keep *= math.Exp2(-float64(d) / float64(halfLife))
	}
	r.usedAt = max(r.usedAt, now)
	r.weight *= keep
	r.residual *= keep
	for f := range featureCount {
		r.seen[f] *= keep
		r.covOut[f] *= keep
		for g := range featureCount {
			r.cov[f][g] *= keep
		}
	}
}

// add includes a request with the logarithm y of its output in the moments. A feature
// that it does not state counts as the mean.
func (r *routeStats) add(s Size, y float64) {
	x, known := features(s)
	r.weight++
	dy := y - r.meanOut
	r.meanOut += dy / r.weight
	var d [featureCount]float64
	for f := range featureCount {
		if !known[f] {
			continue
		}
		r.seen[f]++
		d[f] = x[f] - r.mean[f]
		r.mean[f] += d[f] / r.seen[f]
	}
	for f := range featureCount {
		r.covOut[f] += d[f] * (y - r.meanOut)
		for g := range featureCount {
			r.cov[f][g] += d[f] * d[g] * (1 - 1/r.weight)
		}
	}
}

// fit computes the slopes by ridge regression: the initial assumptions count as
// priorRequests requests whose hints have a variance of 1.
func (r *routeStats) fit() {
	a, b := r.cov, r.covOut
	for f := range featureCount {
		a[f][f] += priorRequests
	}
	b[featureHint] += priorRequests * priorSlope
	r.slope = solve(a, b)
}

// solve solves a*x = b for a symmetric positive definite matrix.
func solve(a [featureCount][featureCount]float64, b [featureCount]float64) [featureCount]float64 {
	for i := range featureCount {
		for j := i + 1; j < featureCount; j++ {
			q := a[j][i] / a[i][i]
			for k := i; k < featureCount; k++ {
				a[j][k] -= q * a[i][k]
			}
			b[j] -= q * b[i]
		}
	}
	for i := featureCount - 1; i >= 0; i-- {
		for j := i + 1; j < featureCount; j++ {
			b[i] -= a[i][j] * b[j]
		}
		b[i] /= a[i][i]
	}
	return b
}

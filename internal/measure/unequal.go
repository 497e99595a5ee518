package measure

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Settings of the comparison of routing policies on unequal requests.
const (
	unequalGateways = 16
	unequalServers  = 64
	unequalExchange = 85 * time.Millisecond // between two reports of a gateway to its peers
	unequalOutput   = 97.0                  // mean output, tokens
	unequalDuration = 30 * time.Second
	unequalWarmUp   = 5 * time.Second // streams that arrive before this time are not counted
	unequalSeed     = 1
	// hintNoise is the standard deviation of the logarithm of hints.
	hintNoise = 0.5
)

var unequalPolicies = []string{"leastconn", "leastwork"}

// unequalLoad is a load of streams of different sizes that gateways send to model
// engines. Sizes are distributed log-normally.
type unequalLoad struct {
	name      string
	groups    int           // rank groups of the servers
	perSecond float64       // arrivals
	prompt    float64       // mean prompt, tokens
	spread    float64       // standard deviation of the logarithms of prompts and outputs
	memory    int           // tokens of a server; 0 for no limit
	exchange  time.Duration // between two reports of a gateway; 0 for none
	slow      int           // servers that work more slowly than usual
	slowness  float64       // factor by which their work takes longer
}

var unequalLoads = []unequalLoad{
	{name: "rank-groups", groups: 2, perSecond: 290, prompt: 850, spread: 0.65, exchange: unequalExchange},
	{name: "rank-groups-calm", groups: 2, perSecond: 224, prompt: 850, spread: 0.65, exchange: unequalExchange},
	{name: "rank-groups-unlike", groups: 2, perSecond: 120, prompt: 6000, spread: 1, exchange: unequalExchange},
	{name: "servers-alone", groups: 64, perSecond: 300, prompt: 850, spread: 0.65, exchange: unequalExchange},
	{name: "long-prompts", groups: 64, perSecond: 95, prompt: 12_000, spread: 1, exchange: unequalExchange},
	{name: "little-memory", groups: 64, perSecond: 95, prompt: 12_000, spread: 1, memory: 150_000, exchange: unequalExchange},
	{name: "no-reports", groups: 2, perSecond: 290, prompt: 850, spread: 0.65},
}

// unawarePolicy is leastwork by gateways that do not know which servers are slow.
const unawarePolicy = "leastwork-unaware"

// slowLoads are loads with servers that work more slowly than usual all the time.
var slowLoads = []unequalLoad{
	{name: "slow-rank-mild", groups: 2, perSecond: 224, prompt: 850, spread: 0.65, exchange: unequalExchange, slow: 1, slowness: 1.6},
	{name: "slow-rank", groups: 2, perSecond: 60, prompt: 850, spread: 0.65, exchange: unequalExchange, slow: 1, slowness: 12},
	{name: "slow-ranks-mild", groups: 2, perSecond: 180, prompt: 850, spread: 0.65, exchange: unequalExchange, slow: 26, slowness: 1.6},
	{name: "slow-ranks", groups: 2, perSecond: 60, prompt: 850, spread: 0.65, exchange: unequalExchange, slow: 26, slowness: 12},
	{name: "slow-server", groups: 64, perSecond: 224, prompt: 850, spread: 0.65, exchange: unequalExchange, slow: 1, slowness: 12},
	{name: "slow-servers", groups: 64, perSecond: 150, prompt: 850, spread: 0.65, exchange: unequalExchange, slow: 26, slowness: 12},
	{name: "all-slow", groups: 2, perSecond: 150, prompt: 850, spread: 0.65, exchange: unequalExchange, slow: 64, slowness: 1.6},
}

// unequalResult is what callers and servers got.
type unequalResult struct {
	first, total []time.Duration // times from arrival to the first event and to the end
	passes       []time.Duration
	longest      int // most requests at a server
	waited       int // streams that found no free slot
	refused      int // streams for which no server had memory
	overMemory   int // passes of servers that held more than their memory
	long, longOK int // streams with outputs in the largest tenth; those that were not refused
	imbalanceSum float64
	samples      int
	errorSum     float64 // of the absolute logarithms of estimated to actual output
	estimates    int
}

// Unequal runs leastconn by each gateway's own requests and leastwork by the estimated
// work of all on streams of different sizes, then leastwork by gateways that do not know
// and that know which servers are slow, and writes one line per run to out. It returns the error of a failed write.
func Unequal(out io.Writer) error {
	for _, l := range unequalLoads {
		for _, policy := range unequalPolicies {
			if err := playUnequal(l, policy, unequalSeed).print(out, l.name, policy); err != nil {
				return err
			}
		}
	}
	for _, l := range slowLoads {
		for _, policy := range []string{unawarePolicy, "leastwork"} {
			if err := playUnequal(l, policy, unequalSeed).print(out, l.name, policy); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *unequalResult) print(out io.Writer, load, policy string) error {
	ms := func(d []time.Duration, q float64) int64 { return quantileOf(d, q).Milliseconds() }
	_, err := fmt.Fprintf(out, "measure=unequal policy=%s load=%s streams=%d first_p50_ms=%d first_p95_ms=%d first_p99_ms=%d total_p95_ms=%d"+
		" pass_p50_ms=%d pass_p95_ms=%d pass_p99_ms=%d longest=%d waited=%.3f imbalance=%.2f refused=%d over_memory=%d estimate_error=%.2f\n",
		policy, load, len(r.total), ms(r.first, .5), ms(r.first, .95), ms(r.first, .99), ms(r.total, .95),
		ms(r.passes, .5), ms(r.passes, .95), ms(r.passes, .99), r.longest, float64(r.waited)/float64(len(r.first)), r.imbalanceSum/float64(max(r.samples, 1)),
		r.refused, r.overMemory, r.errorSum/float64(max(r.estimates, 1)))
	return err
}

func quantileOf(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Clone(d)
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

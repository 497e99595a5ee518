package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/config"
	"marjorampitch/route"
	_ "marjorampitch/route/policies" // registers the policies
	"marjorampitch/wire"
)

// routingPolicy holds the active routing policy and the experiment with a
// candidate policy, if there is one.
//
// mu guards the fields below it. No lock other than the experiment's own is taken
// while it is held.
type routingPolicy struct {
	log *log.Logger

	mu         sync.Mutex
	routing    config.Routing // the configuration that the fields below are built from
	picker     route.Picker
	experiment *route.Experiment // nil without a candidate policy
}

func newRoutingPolicy(logger *log.Logger) *routingPolicy {
	return &routingPolicy{log: logger}
}

// update applies the routing section of a service configuration.
func (p *routingPolicy) update(routing config.Routing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.picker != nil && routing == p.routing {
		return
	}
	if p.experiment != nil {
		p.experiment.Close()
		p.experiment = nil
	}
	p.routing = routing
	p.picker = p.buildOrDefault(routing.Policy)
	if routing.Candidate == "" || routing.Mode == config.ModeOff {
		return
	}
	candidate, err := route.Build(routing.Candidate, rand.Uint64())
	if err != nil {
		p.log.Error("policy-unknown", "candidate", routing.Candidate, "used", "none")
		return
	}
	p.experiment = route.NewExperiment(p.picker, candidate, route.ExperimentConfig{
		Shadow:       routing.Mode == config.ModeShadow,
		Share:        routing.Share,
		MaxErrorRate: routing.MaxErrorRate,
		MaxP95Ratio:  routing.MaxP95Ratio,
	})
	p.picker = p.experiment
}

// buildOrDefault builds the named policy, or the default policy if name is unknown.
func (p *routingPolicy) buildOrDefault(name string) route.Picker {
	picker, err := route.Build(name, rand.Uint64())
	if err == nil {
		return picker
	}
	p.log.Error("policy-unknown", "policy", name, "used", route.DefaultPolicy)
	picker, _ = route.Build(route.DefaultPolicy, rand.Uint64())
	return picker
}

// pick picks one of the candidates; ok is false if none is usable.
func (p *routingPolicy) pick(req *route.Request, candidates []route.Candidate) (index int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.picker == nil {
		return 0, false
	}
	return p.picker.Pick(req, candidates)
}

// feedback reports the outcome of an attempt to the policy.
func (p *routingPolicy) feedback(f route.Feedback) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.picker != nil {
		p.picker.Done(f)
	}
}

// name returns the configured name of the active policy, even if that name is
// unknown and the default policy is used.
func (p *routingPolicy) name() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routing.Policy
}

// comparison returns the results of the experiment; nil if there is none.
func (p *routingPolicy) comparison() *wire.Comparison {
	p.mu.Lock()
	routing, experiment := p.routing, p.experiment
	p.mu.Unlock()
	if experiment == nil {
		return nil
	}
	r := experiment.Report()
	return &wire.Comparison{
		Active:         routing.Policy,
		Candidate:      routing.Candidate,
		Mode:           string(routing.Mode),
		Picks:          r.Picks,
		Compared:       r.Compared,
		Same:           r.Same,
		Load:           r.Load,
		Served:         r.Served,
		Failed:         r.Failed,
		FirstP95Micros: micros(r.FirstP95),
		Invalid:        r.Invalid,
		Late:           r.Late,
		Panics:         r.Panics,
		Skipped:        r.Skipped,
		Tripped:        r.Tripped,
	}
}

func micros(d [2]time.Duration) [2]int64 {
	return [2]int64{d[0].Microseconds(), d[1].Microseconds()}
}

package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"marjorampitch/cost"
	"marjorampitch/fleet"
	"marjorampitch/route"
	"marjorampitch/wire"
)

const (
	// costPolicy is the routing policy for requests whose cost can be estimated.
	costPolicy = "leastwork"
	// horizonShare is the part of a usual answer that counts as work outstanding of a
	// request that is being written.
	horizonShare = 0.25
)

// requestCost is what a request states about its size, and its running attempt.
type requestCost struct {
	size    cost.Size
	known   bool // the request states its prompt length
	route   string
	resumed bool // the caller has had a part of the answer before
	until   time.Duration

	entry    *cost.Entry // of the running attempt; nil for none
	expected float64     // output tokens, when the first attempt began; 0 before
	output   int         // tokens that the request's attempts have written
	slowness float64     // of the last attempt's server, when it was picked; 0 before
}

// serverCosts is the work of a service's servers. It is guarded by the service's mu.
type serverCosts struct {
	picker    route.Picker
	estimator *cost.Estimator
	ledger    *cost.Ledger
	slowness  *cost.Slowness // as stated
	model     cost.Model     // not known for a service without engines
	stride    int            // tokens of an event
	memory    map[string]int // tokens that a server can hold, by id; servers that are missing are unknown
}

func newServerCosts() serverCosts {
	picker, err := route.Build(costPolicy, rand.Uint64())
	if err != nil {
		panic(err) // the policy is registered by the import in service.go
	}
	return serverCosts{picker: picker, estimator: cost.NewEstimator(0), ledger: cost.NewLedger(), slowness: cost.NewSlowness()}
}

// setEngine sets the cost model of the service's engines; nil for none.
func (s *serverCosts) setEngine(e *fleet.Engine) {
	s.model, s.stride = cost.Model{}, 1
	if e == nil {
		return
	}
	s.stride = max(e.Stride, 1)
	s.model = cost.Model{
		Slots: e.Slots, Step: e.Step, PerSequence: e.PerSequence, PerContext: e.PerContext, PrefillRate: e.PrefillRate,
		Horizon: horizonShare * e.AnswerTokens,
	}
	s.estimator.SetUsual(e.AnswerTokens)
}

// setMemory sets the memory of the servers; memory holds that of engines by address, in
// tokens.
func (s *serverCosts) setMemory(members []*fleet.Member, memory map[string]int) {
	s.memory = make(map[string]int, len(memory))
	for _, m := range members {
		if n := memory[m.Address]; n > 0 {
			s.memory[m.ID] = n
		}
	}
}

// applies reports whether the cost of a request can be estimated.
func (s *serverCosts) applies(x *requestCost) bool {
	return x != nil && x.known && s.model.Known()
}

// estimate returns what the next attempt of a request is expected to cost. What earlier
// attempts have written is not written again.
func (s *serverCosts) estimate(x *requestCost) cost.Estimate {
	out := s.estimator.Output(x.route, x.size)
	return s.model.Estimate(x.size.Prompt, max(out-float64(x.output), float64(s.stride)))
}

// due returns the server time that an attempt of this cost needs soon.
func (s *serverCosts) due(e cost.Estimate) time.Duration { return s.model.Due(e) }

// describe adds to the candidates what the servers have to do. For a request whose
// caller has had a part of the answer their memory counts as unknown: another server may
// run it late, but without one the answer breaks off.
func (s *serverCosts) describe(list []route.Candidate, members []*fleet.Member, x *requestCost) {
	for i, m := range members {
		load := s.ledger.Total(costServer(m))
		c := &list[i]
		c.Work, c.Running, c.Limit = load.Work, load.Requests, s.model.Slots
	}
	if x.output == 0 {
		s.describeMemory(list, members)
	}
}

// describeMemory adds to the candidates how much of the servers' memory is held.
func (s *serverCosts) describeMemory(list []route.Candidate, members []*fleet.Member) {
	for i, m := range members {
		list[i].MemoryHeld, list[i].MemoryTotal = s.ledger.Total(costServer(m)).Memory, s.memory[m.ID]
	}
}

// written reports whether a request's attempts have written all tokens that it asks for.
func (s *serverCosts) written(x *requestCost) bool {
	return s.applies(x) && x.size.MaxOutput > 0 && x.output >= x.size.MaxOutput
}

// begin records that an attempt is sent to a server with this slowness.
func (s *serverCosts) begin(x *requestCost, m *fleet.Member, e cost.Estimate, slowness float64) {
	x.slowness = slowness
	if x.expected == 0 {
		x.expected = e.Output
	}
	x.entry = s.ledger.Begin(costServer(m), s.model, e, x.size.MaxOutput, x.until)
}

// prune forgets a server incarnation that is gone.
func (s *serverCosts) prune(key serverKey) {
	s.ledger.Forget(cost.Server{ID: key.id, StartedAt: key.startedAt})
}

func costServer(m *fleet.Member) cost.Server { return cost.Server{ID: m.ID, StartedAt: m.StartedAt} }

// requestCost returns what a request states about its size.
func (g *Gateway) requestCost(c *call) requestCost {
	x := requestCost{route: c.route.Name, resumed: c.lastEventID >= 0, until: c.deadline}
	if g.opts.RequestSize != nil {
		x.size, x.known = g.opts.RequestSize(c.r.Header)
		x.size = x.size.Valid()
		x.known = x.known && x.size.Prompt > 0
	}
	return x
}

// eventsWritten records n events of a request's stream.
func (s *service) eventsWritten(x *requestCost, n int) {
	if x.entry == nil {
		return
	}
	s.mu.Lock()
	s.costs.ledger.Wrote(x.entry, n*s.costs.stride)
	x.output += n * s.costs.stride
	s.mu.Unlock()
}

// attemptCostEnded records the end of an attempt. complete means that the caller has the
// whole answer, from which later requests of the route are estimated.
func (s *service) attemptCostEnded(now time.Duration, x *requestCost, complete bool) {
	if x.entry == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.costs.ledger.End(x.entry)
	x.entry = nil
	if complete && !x.resumed {
		s.costs.estimator.Observe(now, x.route, x.size, x.output)
	}
}

// costFields returns the fields of a request's log line on its cost; nil if its cost was
// not estimated.
func costFields(x *requestCost) []any {
	if x.expected == 0 {
		return nil
	}
	fields := []any{"prompt_tokens", x.size.Prompt, "output_expected", int(x.expected), "output_tokens", x.output}
	if x.slowness > 1 {
		fields = append(fields, "slowness", x.slowness)
	}
	return fields
}

// recordCost records the end of an attempt for the estimates and the metrics.
func (g *Gateway) recordCost(c *call, complete bool) {
	if x := &c.cost; complete && x.entry != nil && x.output > 0 && !x.resumed {
		g.metrics.outputRatio.Observe(float64(x.output) / x.expected)
	}
	c.service.attemptCostEnded(g.now(), &c.cost, complete)
}

// handleWork records the work that a peer has at the servers of each service.
func (p *peers) handleWork(l *wire.GatewayLoad, now time.Duration) error {
	for _, s := range p.g.allServices() {
		var loads map[cost.Key]cost.Load
		for i := range l.Servers {
			if l.Servers[i].Service != s.name {
				continue
			}
			var err error
			if loads, err = cost.DecodeLoads(l.Servers[i].Loads); err != nil {
				return eris.Wrapf(err, "service %s", s.name)
			}
		}
		s.mu.Lock()
		s.costs.ledger.SetPeer(now, l.Instance, loads)
		s.mu.Unlock()
	}
	return nil
}

// engineMemory returns the memory of each engine by its address, in tokens.
func (p *peers) engineMemory() map[string]int {
	if p.g.opts.Directory == nil {
		return nil
	}
	return memoryByAddress(p.g.opts.Directory.Entries())
}

// memoryByAddress returns the memory of each engine in the directory by its address, in
// tokens. If an address has several entries, all but one of them are outdated; the
// largest value counts, since a value that is too small keeps requests away.
func memoryByAddress(entries map[string]wire.Instance) map[string]int {
	memory := make(map[string]int)
	for _, e := range entries {
		if e.Role == wire.RoleRebalancer && e.Memory > memory[e.Engine] {
			memory[e.Engine] = e.Memory
		}
	}
	return memory
}

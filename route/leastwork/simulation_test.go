package leastwork_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marjorampitch/cost"
	"marjorampitch/route"
	_ "marjorampitch/route/policies" // registers the policies
)

// load is a load of streams on rank groups that is played in virtual time.
type load struct {
	policy    string
	seed      uint64
	gateways  int
	servers   int
	groups    int
	perSecond float64       // arrivals
	exchange  time.Duration // between two reports of a gateway; 0 for none
	memory    int           // tokens of a server; 0 for no limit
	prompt    float64       // mean prompt, tokens
	output    float64       // mean output, tokens
	spread    float64       // of outputs and prompts: standard deviation of the logarithm
	noise     float64       // of hints: standard deviation of the logarithm
	duration  time.Duration
}

// Engine of the simulated servers.
const (
	simSlots  = 10
	simStride = 5
	simChunk  = 512 // prompt tokens read per step
	// simOwnShare is the share of the time for tokens that a rank spends on its own
	// requests; the rest is shared by the group.
	simOwnShare = 0.15
	// simSkew is the load of the most loaded rank relative to the mean in that part.
	simSkew     = 1.5
	simStep     = 4 * time.Millisecond
	simPerSeq   = time.Millisecond
	simReadRate = 60_000.0 // prompt tokens per second
	simDelay    = 2 * time.Millisecond
	simTick     = time.Millisecond
)

// stream is one request of the simulation.
type stream struct {
	gateway, server int
	arrived         time.Duration
	size            cost.Size
	output          int
	unread, written int
	slot            bool
	entry           *cost.Entry
}

// simServer is one backend server: a rank of a group.
type simServer struct {
	id      string
	streams []*stream // in order of arrival; the first simSlots have a slot
}

// simGateway is one gateway with what it believes.
type simGateway struct {
	picker     route.Picker
	ledger     *cost.Ledger
	estimator  *cost.Estimator
	nextReport time.Duration
}

// report is a datagram under way.
type report struct {
	at    time.Duration
	from  int
	loads map[cost.Key]cost.Load
}

// result is what callers and servers got.
type result struct {
	first      []time.Duration // times to first event
	passes     []time.Duration
	total      []time.Duration // times to the end
	longest    int             // most requests at a server
	waited     int             // streams that found no free slot
	overMemory int             // passes of servers that held more than their memory
	refused    int
	busiest    float64 // mean of the most loaded server's requests relative to the mean
	samples    int
	logError   float64 // sum of |log(estimate/actual)| of the finished streams

	longStreams  int
	longRefused  int
	observations int
}

func (r *result) String() string {
	return fmt.Sprintf("first p50 %v p95 %v p99 %v, total p95 %v, pass p50 %v, longest %d, waited %.3f, busiest/mean %.2f, over memory %d, refused %d, error %.2f",
		quantile(r.first, .5), quantile(r.first, .95), quantile(r.first, .99), quantile(r.total, .95), quantile(r.passes, .5),
		r.longest, float64(r.waited)/float64(len(r.first)), r.busiest/float64(r.samples), r.overMemory, r.refused, r.logError/float64(r.observations))
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Clone(d)
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)].Round(time.Millisecond)
}

// simulation is a load in progress.
type simulation struct {
	load
	rnd      *rand.Rand
	model    cost.Model
	gates    []*simGateway
	machines []*simServer
	passEnd  []time.Duration // of each group
	reports  []report
	result   result
}

func (l load) play() *result {
	s := &simulation{load: l, rnd: rand.New(rand.NewPCG(l.seed, 5))}
	s.model = cost.Model{Slots: simSlots, Step: simStep, PerSequence: simPerSeq, PrefillRate: simReadRate, Horizon: l.output / 4}
	for i := range l.gateways {
		p, err := route.Build(l.policy, l.seed*1000+uint64(i))
		if err != nil {
			panic(err)
		}
		s.gates = append(s.gates, &simGateway{
			picker: p, ledger: cost.NewLedger(), estimator: cost.NewEstimator(l.output),
			nextReport: time.Duration(s.rnd.Float64() * float64(l.exchange)),
		})
	}
	for i := range l.servers {
		s.machines = append(s.machines, &simServer{id: fmt.Sprintf("server-%02d", i)})
	}
	s.passEnd = make([]time.Duration, l.groups)
	next := time.Duration(0)
	for now := time.Duration(0); now < l.duration; now += simTick {
		for next <= now {
			s.arrive(now)
			next += time.Duration(s.rnd.ExpFloat64() / l.perSecond * float64(time.Second))
		}
		for g := range s.passEnd {
			if now >= s.passEnd[g] {
				s.pass(now, g)
			}
		}
		s.exchangeLoads(now)
	}
	return &s.result
}

// lognormal returns a random number with the given mean.
func (s *simulation) lognormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*s.rnd.NormFloat64()-sigma*sigma/2)
}

func (s *simulation) arrive(now time.Duration) {
	out := int(min(max(s.lognormal(s.output, s.spread), simStride), 5*s.output))
	x := &stream{
		gateway: s.rnd.IntN(s.gateways), arrived: now, output: out,
		size: cost.Size{
			Prompt: int(min(max(s.lognormal(s.prompt, s.spread), 20), 5*s.prompt)), MaxOutput: int(8 * s.output),
			Hint: max(int(float64(out)*math.Exp(s.noise*s.rnd.NormFloat64())), 1),
		},
	}
	x.unread = x.size.Prompt
	gw := s.gates[x.gateway]
	gw.ledger.Expire(now)
	estimate := s.model.Estimate(x.size.Prompt, gw.estimator.Output("r", x.size))
	long := float64(out) > s.output*math.Exp(1.28*s.spread-s.spread*s.spread/2)
	if long {
		s.result.longStreams++
	}
	i, ok := gw.picker.Pick(&route.Request{Memory: estimate.Memory()}, s.candidates(gw))
	if !ok {
		s.result.refused++
		if long {
			s.result.longRefused++
		}
		return
	}
	x.server = i
	x.entry = gw.ledger.Begin(cost.Server{ID: s.machines[i].id}, s.model, estimate, x.size.MaxOutput, now+time.Hour)
	m := s.machines[i]
	m.streams = append(m.streams, x)
	s.result.longest = max(s.result.longest, len(m.streams))
	if len(m.streams) > simSlots {
		s.result.waited++
	}
}

// candidates returns what a gateway believes of the servers.
func (s *simulation) candidates(gw *simGateway) []route.Candidate {
	list := make([]route.Candidate, len(s.machines))
	for i, m := range s.machines {
		own, all := gw.ledger.Own(cost.Server{ID: m.id}), gw.ledger.Total(cost.Server{ID: m.id})
		list[i] = route.Candidate{
			Name: m.id, OwnInFlight: own.Requests, Running: all.Requests, Limit: simSlots,
			Work: all.Work, MemoryHeld: all.Memory, MemoryTotal: s.memory,
		}
		if s.policy == "leastconn" {
			list[i].Running = 0
		}
	}
	return list
}

// pass ends the pass of a group and starts the next one.
func (s *simulation) pass(now time.Duration, group int) {
	var own time.Duration
	shared, busy, most, ranks := time.Duration(0), 0, 0, 0
	for i := group; i < len(s.machines); i += s.groups {
		m := s.machines[i]
		s.finishPass(now, m)
		writing, reading := 0, 0
		for n, x := range m.streams {
			if n >= simSlots {
				break
			}
			if x.unread > 0 {
				n := min(x.unread, simChunk*simStride-reading)
				reading += n
			} else {
				writing++
			}
		}
		work := time.Duration(writing)*simPerSeq*simStride + s.model.Reading(reading)
		own = max(own, time.Duration(simOwnShare*float64(work)))
		shared += time.Duration((1 - simOwnShare) * simSkew * float64(work))
		busy += len(m.streams)
		most = max(most, len(m.streams))
		ranks++
	}
	d := simStride*simStep + own + shared/time.Duration(ranks)
	s.passEnd[group] = now + d
	if busy > 0 && now > 5*time.Second {
		s.result.passes = append(s.result.passes, d)
		s.result.busiest += float64(most*ranks) / float64(busy)
		s.result.samples++
	}
}

// finishPass applies the work of a pass to a server's streams.
func (s *simulation) finishPass(now time.Duration, m *simServer) {
	budget, held := simChunk*simStride, 0
	for n, x := range m.streams {
		if n >= simSlots || !x.slot {
			x.slot = n < simSlots
			continue
		}
		gw := s.gates[x.gateway]
		if x.unread > 0 {
			n := min(x.unread, budget)
			x.unread -= n
			budget -= n
			if x.unread > 0 {
				continue
			}
			if x.arrived > 5*time.Second {
				s.result.first = append(s.result.first, now-x.arrived)
			}
		}
		tokens := min(simStride, x.output-x.written)
		x.written += tokens
		gw.ledger.Wrote(x.entry, tokens)
	}
	m.streams = slices.DeleteFunc(m.streams, func(x *stream) bool {
		if x.written < x.output {
			held += x.size.Prompt + x.written
			return false
		}
		gw := s.gates[x.gateway]
		if x.arrived > 5*time.Second {
			s.result.total = append(s.result.total, now-x.arrived)
			s.result.logError += math.Abs(math.Log(gw.estimator.Output("r", x.size) / float64(x.output)))
			s.result.observations++
		}
		gw.estimator.Observe(now, "r", x.size, x.output)
		gw.ledger.End(x.entry)
		return true
	})
	if s.memory > 0 && held > s.memory {
		s.result.overMemory++
	}
}

// exchangeLoads sends the gateways' reports and delivers those that have arrived.
func (s *simulation) exchangeLoads(now time.Duration) {
	if s.exchange <= 0 {
		return
	}
	for i, gw := range s.gates {
		if now < gw.nextReport {
			continue
		}
		gw.nextReport = now + s.exchange
		loads, err := cost.DecodeLoads(cost.EncodeLoads(gw.ledger.OwnLoads()))
		if err != nil {
			panic(err)
		}
		s.reports = append(s.reports, report{at: now + simDelay, from: i, loads: loads})
	}
	s.reports = slices.DeleteFunc(s.reports, func(r report) bool {
		if r.at > now {
			return false
		}
		for i, gw := range s.gates {
			if i != r.from {
				gw.ledger.SetPeer(now, fmt.Sprint(r.from), r.loads)
			}
		}
		return true
	})
}

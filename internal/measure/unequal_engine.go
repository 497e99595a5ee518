package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"marjorampitch/cost"
	"marjorampitch/route"
)

// Engine of the servers with unequal streams.
const (
	unequalSlots  = 10
	unequalStride = 5   // tokens of an event
	unequalChunk  = 512 // prompt tokens read per step
	// unequalOwnShare is the share of the time for tokens that a rank spends on its own
	// streams; the group shares the rest, in which the most loaded rank has unequalSkew
	// times the mean.
	unequalOwnShare = 0.15
	unequalSkew     = 1.5
	unequalStep     = 4 * time.Millisecond
	unequalPerSeq   = time.Millisecond // added to a step for each stream
	unequalReadRate = 60_000.0         // prompt tokens per second
	unequalLatency  = 2 * time.Millisecond
	unequalTick     = time.Millisecond
)

// unequalStream is one request.
type unequalStream struct {
	gateway, server int
	arrived         time.Duration
	size            cost.Size
	output          int
	unread, written int
	slot, long      bool
	entry           *cost.Entry
}

// unequalServer is one backend server: a rank of a group.
type unequalServer struct {
	id       string
	slowness float64
	streams  []*unequalStream // in order of arrival; the first unequalSlots have a slot
}

// unequalGateway is one gateway with what it believes.
type unequalGateway struct {
	picker     route.Picker
	ledger     *cost.Ledger
	estimator  *cost.Estimator
	nextReport time.Duration
}

// unequalReport is a report to the peers under way.
type unequalReport struct {
	at    time.Duration
	from  int
	loads map[cost.Key]cost.Load
}

// unequalRun is a load in progress.
type unequalRun struct {
	unequalLoad
	policy   string
	rng      *rand.Rand
	model    cost.Model
	gateways []*unequalGateway
	servers  []*unequalServer
	passEnd  []time.Duration // of each group
	reports  []unequalReport
	result   unequalResult
}

func playUnequal(l unequalLoad, policy string, seed uint64) *unequalResult {
	u := &unequalRun{unequalLoad: l, policy: policy, rng: rand.New(rand.NewPCG(seed, 5))}
	u.model = cost.Model{
		Slots: unequalSlots, Step: unequalStep, PerSequence: unequalPerSeq, PrefillRate: unequalReadRate, Horizon: unequalOutput / 4,
	}
	for i := range unequalGateways {
		p, err := route.Build(strings.TrimSuffix(policy, "-unaware"), seed*1000+uint64(i))
		if err != nil {
			panic(err) // policy names are constants of this package
		}
		u.gateways = append(u.gateways, &unequalGateway{
			picker: p, ledger: cost.NewLedger(), estimator: cost.NewEstimator(unequalOutput),
			nextReport: time.Duration(u.rng.Float64() * float64(l.exchange)),
		})
	}
	for i := range unequalServers {
		s := &unequalServer{id: fmt.Sprintf("server-%02d", i), slowness: 1}
		if i < l.slow {
			s.slowness = l.slowness
		}
		u.servers = append(u.servers, s)
	}
	u.passEnd = make([]time.Duration, l.groups)
	next := time.Duration(0)
	for now := time.Duration(0); now < unequalDuration; now += unequalTick {
		for ; next <= now; next += time.Duration(u.rng.ExpFloat64() / l.perSecond * float64(time.Second)) {
			u.arrive(now)
		}
		for g := range u.passEnd {
			if now >= u.passEnd[g] {
				u.pass(now, g)
			}
		}
		u.exchangeLoads(now)
	}
	return &u.result
}

// tokens returns a random number of tokens with about the given mean.
func (u *unequalRun) tokens(mean float64, least int) int {
	n := mean * math.Exp(u.spread*u.rng.NormFloat64()-u.spread*u.spread/2)
	return int(min(max(n, float64(least)), 5*mean))
}

// arrive sends a new stream to the server that a random gateway picks.
func (u *unequalRun) arrive(now time.Duration) {
	out := u.tokens(unequalOutput, unequalStride)
	x := &unequalStream{gateway: u.rng.IntN(unequalGateways), arrived: now, output: out}
	x.size = cost.Size{
		Prompt: u.tokens(u.prompt, 20), MaxOutput: 8 * unequalOutput,
		Hint: max(int(float64(out)*math.Exp(hintNoise*u.rng.NormFloat64())), 1),
	}
	x.unread = x.size.Prompt
	x.long = float64(out) > unequalOutput*math.Exp(1.28*u.spread-u.spread*u.spread/2)
	gw := u.gateways[x.gateway]
	gw.ledger.Expire(now)
	estimate := u.model.Estimate(x.size.Prompt, gw.estimator.Output("r", x.size))
	i, ok := gw.picker.Pick(&route.Request{Memory: estimate.Memory(), Work: u.model.Due(estimate)}, u.candidates(gw))
	if x.long {
		u.result.long++
		if ok {
			u.result.longOK++
		}
	}
	if !ok {
		u.result.refused++
		return
	}
	s := u.servers[i]
	x.server = i
	x.entry = gw.ledger.Begin(cost.Server{ID: s.id}, u.model, estimate, x.size.MaxOutput, now+time.Hour)
	s.streams = append(s.streams, x)
	u.result.longest = max(u.result.longest, len(s.streams))
	if len(s.streams) > unequalSlots && x.counts() {
		u.result.waited++
	}
}

// counts reports whether the stream counts in the result.
func (x *unequalStream) counts() bool { return x.arrived > unequalWarmUp }

// candidates returns what a gateway believes of the servers.
func (u *unequalRun) candidates(gw *unequalGateway) []route.Candidate {
	list := make([]route.Candidate, len(u.servers))
	for i, s := range u.servers {
		own, all := gw.ledger.Own(cost.Server{ID: s.id}), gw.ledger.Total(cost.Server{ID: s.id})
		list[i] = route.Candidate{Name: s.id, OwnInFlight: own.Requests}
		if u.policy == "leastconn" {
			continue
		}
		list[i].Running, list[i].Limit, list[i].Work = all.Requests, unequalSlots, all.Work
		list[i].MemoryHeld, list[i].MemoryTotal = all.Memory, u.memory
		if u.policy != unawarePolicy {
			list[i].Slowness = s.slowness
		}
	}
	return list
}

// pass ends the pass of a group and starts the next one.
func (u *unequalRun) pass(now time.Duration, group int) {
	own, shared, slowest := time.Duration(0), time.Duration(0), 1.0
	busy, most, ranks := 0, 0, 0
	for i := group; i < len(u.servers); i += u.groups {
		s := u.servers[i]
		u.finishPass(now, s)
		work := u.passWork(s)
		base := float64(unequalStride * unequalStep)
		if len(s.streams) > 0 { // a slow rank without streams has no tokens to make
			base *= s.slowness
		}
		own = max(own, time.Duration(base+unequalOwnShare*s.slowness*float64(work)))
		shared += time.Duration((1 - unequalOwnShare) * float64(work))
		slowest = max(slowest, s.slowness)
		busy += len(s.streams)
		most = max(most, len(s.streams))
		ranks++
	}
	// The experts of a slow rank have the mean load, those of the most loaded one are fast.
	d := own + time.Duration(max(unequalSkew, slowest)*float64(shared))/time.Duration(ranks)
	u.passEnd[group] = now + d
	if busy > 0 && now > unequalWarmUp {
		u.result.passes = append(u.result.passes, d)
		u.result.imbalanceSum += float64(most*ranks) / float64(busy)
		u.result.samples++
	}
}

// passWork returns the time for the tokens of a server in its next pass.
func (u *unequalRun) passWork(s *unequalServer) time.Duration {
	writing, reading := 0, 0
	for _, x := range s.streams[:min(len(s.streams), unequalSlots)] {
		if x.unread == 0 {
			writing++
		}
		reading += min(x.unread, unequalChunk*unequalStride-reading)
	}
	return time.Duration(writing)*unequalPerSeq*unequalStride + u.model.Reading(reading)
}

// finishPass applies the work of a pass to a server's streams.
func (u *unequalRun) finishPass(now time.Duration, s *unequalServer) {
	unread, held := unequalChunk*unequalStride, 0
	for n, x := range s.streams {
		if n >= unequalSlots || !x.slot {
			x.slot = n < unequalSlots
			continue
		}
		if x.unread > 0 {
			n := min(x.unread, unread)
			x.unread -= n
			unread -= n
			if x.unread > 0 {
				continue
			}
			if x.counts() {
				u.result.first = append(u.result.first, now-x.arrived)
			}
		}
		tokens := min(unequalStride, x.output-x.written)
		x.written += tokens
		u.gateways[x.gateway].ledger.Wrote(x.entry, tokens)
	}
	s.streams = slices.DeleteFunc(s.streams, func(x *unequalStream) bool {
		if x.written < x.output {
			held += x.size.Prompt + x.written
			return false
		}
		u.finish(now, x)
		return true
	})
	if u.memory > 0 && held > u.memory {
		u.result.overMemory++
	}
}

// finish records the end of a stream.
func (u *unequalRun) finish(now time.Duration, x *unequalStream) {
	gw := u.gateways[x.gateway]
	if x.counts() {
		u.result.total = append(u.result.total, now-x.arrived)
		u.result.errorSum += math.Abs(math.Log(gw.estimator.Output("r", x.size) / float64(x.output)))
		u.result.estimates++
	}
	gw.estimator.Observe(now, "r", x.size, x.output)
	gw.ledger.End(x.entry)
}

// exchangeLoads sends the gateways' reports and delivers those that have arrived.
func (u *unequalRun) exchangeLoads(now time.Duration) {
	if u.exchange <= 0 {
		return
	}
	for i, gw := range u.gateways {
		if now < gw.nextReport {
			continue
		}
		gw.nextReport = now + u.exchange
		loads, err := cost.DecodeLoads(cost.EncodeLoads(gw.ledger.OwnLoads()))
		if err != nil {
			panic(err) // a report that was just encoded
		}
		u.reports = append(u.reports, unequalReport{at: now + unequalLatency, from: i, loads: loads})
	}
	u.reports = slices.DeleteFunc(u.reports, func(r unequalReport) bool {
		if r.at > now {
			return false
		}
		for i, gw := range u.gateways {
			if i != r.from {
				gw.ledger.SetPeer(now, strconv.Itoa(r.from), r.loads)
			}
		}
		return true
	})
}

package peerread

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
	"marjorampitch/store"
	"marjorampitch/wire"
)

// revocationLimit is the age of a proof from which on a gateway refuses keys on a
// deployment whose bound is 5 s.
const revocationLimit = 4700 * time.Millisecond

// simTopic is a topic of which each record takes one data centre out of service, so that a
// View shows which records it includes. Acknowledged records are lost by restore only.
type simTopic struct {
	mu      sync.Mutex // guards all below
	acked   []time.Time
	keys    []string // of acked
	era     int64
	trimmed int64 // first retained offset
	down    bool
	calls   int
}

func (s *simTopic) append() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = append(s.acked, time.Now())
	s.keys = append(s.keys, fmt.Sprintf("%d.%d", s.era, len(s.keys)))
}

// restore has the topic come back from a copy that ends at an offset.
func (s *simTopic) restore(end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked, s.keys = s.acked[:end], s.keys[:end]
	s.era++
}

// end returns where the topic ends. Callers hold mu.
func (s *simTopic) end() store.Position {
	return store.Position{Era: s.era, Offset: int64(len(s.acked))}
}

// ackedBy returns the number of records acknowledged at t.
func (s *simTopic) ackedBy(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.acked)
	for n > 0 && s.acked[n-1].After(t) {
		n--
	}
	return n
}

// counts returns the number of records and of calls so far.
func (s *simTopic) counts() (acked, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.acked), s.calls
}

func (s *simTopic) records(from int64) []store.Record {
	var list []store.Record
	for i := from; i < int64(len(s.acked)); i++ {
		list = append(list, store.Record{Key: s.keys[i], Value: []byte("x")})
	}
	return list
}

// sim is one data centre with gateways that follow one topic.
type sim struct {
	topic *simTopic
	start time.Time
	nodes []*simNode
	byAdr map[netip.AddrPort]*simNode

	mu      sync.Mutex // guards all below and the faults of the nodes
	rng     *rand.Rand
	loss    float64
	double  float64
	delay   time.Duration // greatest delay of a datagram
	slow    time.Duration // greatest delay of the store, each way
	pauses  float64       // chance of a pause at each reading of a clock
	entries map[string]wire.Instance
}

// simNode is one gateway.
type simNode struct {
	sim      *sim
	name     string
	addr     netip.AddrPort
	offset   time.Duration // of its clock
	link     *Link
	cache    *fleet.Cache
	follower *fleet.Follower
	stop     context.CancelFunc

	cut, storeCut bool
	silent        bool // the store does not answer this node
	pausedUntil   time.Time
}

// newSim returns a sim whose gateways run.
func newSim(seed uint64, nodes int) *sim {
	s := newIdleSim(seed, nodes)
	for _, n := range s.nodes {
		n.run()
	}
	return s
}

// newIdleSim returns a sim whose gateways have not been started.
func newIdleSim(seed uint64, nodes int) *sim {
	s := &sim{
		topic: &simTopic{}, start: time.Now(), byAdr: make(map[netip.AddrPort]*simNode), rng: rand.New(rand.NewPCG(seed, 1)),
		delay: 2 * time.Millisecond, slow: 3 * time.Millisecond, entries: make(map[string]wire.Instance),
	}
	for i := range nodes {
		n := &simNode{
			sim: s, name: fmt.Sprintf("gateway-%d", i+1), addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000),
			offset: time.Duration(1+s.rng.IntN(100)) * time.Hour,
		}
		s.nodes = append(s.nodes, n)
		s.byAdr[n.addr] = n
		s.entries[n.name] = wire.Instance{Role: wire.RoleGateway, Address: n.addr.String(), DataCentre: "a"}
	}
	return s
}

// run starts the gateway.
func (n *simNode) run() {
	logger := log.New(io.Discard)
	n.link = NewLink(Options{
		Instance: n.name, DataCentre: "a", Clock: n.clock, Log: logger,
		Entries: func() map[string]wire.Instance { return n.sim.entries },
	})
	n.link.Connect(n.send)
	n.cache = fleet.NewCache(0)
	topic := n.link.Topic(n, TopicOptions{
		Name: "t", Wait: 700 * time.Millisecond, ReaderWait: time.Second, MaxAge: 2300 * time.Millisecond, Timeout: 1200 * time.Millisecond,
	})
	n.follower = fleet.NewFollower(centreSource{topic}, n.cache, fleet.FollowOptions{
		Name: "t", Operator: true, Wait: 1500 * time.Millisecond, Timeout: 2200 * time.Millisecond, Clock: n.clock,
	}, logger)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go n.follower.Run(ctx)
}

// clock reads the clock of the node. The caller may be paused before and after.
func (n *simNode) clock() time.Duration {
	n.pause()
	now := time.Since(n.sim.start) + n.offset
	n.pause()
	return now
}

func (n *simNode) pause() {
	n.sim.mu.Lock()
	d := time.Until(n.pausedUntil)
	if n.sim.rng.Float64() < n.sim.pauses {
		d = max(d, time.Duration(n.sim.rng.Int64N(int64(3*time.Second))))
	}
	n.sim.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

// send passes a datagram on, perhaps late, twice or never.
func (n *simNode) send(data []byte, to netip.AddrPort) {
	s := n.sim
	s.mu.Lock()
	defer s.mu.Unlock()
	copies := 1
	if s.rng.Float64() < s.double {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() < s.loss || n.cut {
			continue
		}
		time.AfterFunc(time.Duration(s.rng.Int64N(int64(s.delay))), func() { s.byAdr[to].receive(data, n.addr) })
	}
}

func (n *simNode) receive(data []byte, from netip.AddrPort) {
	n.pause()
	n.sim.mu.Lock()
	cut := n.cut
	n.sim.mu.Unlock()
	if cut {
		return
	}
	if data[0] == wire.KindLogRequest {
		var r wire.LogRequest
		if _, err := r.UnmarshalMsg(data[1:]); err == nil {
			n.link.HandleRequest(&r, from)
		}
		return
	}
	var a wire.LogAnswer
	if _, err := a.UnmarshalMsg(data[1:]); err == nil {
		n.link.HandleAnswer(&a, from)
	}
}

var errSimDown = errors.New("store does not answer")

// call takes the time of one way to the store. Error: the store cannot be reached.
func (n *simNode) call(ctx context.Context) error {
	n.pause()
	s := n.sim
	s.mu.Lock()
	d, cut := time.Duration(s.rng.Int64N(int64(s.slow))), n.cut || n.storeCut
	if n.silent {
		d = time.Hour
	}
	s.mu.Unlock()
	s.topic.mu.Lock()
	cut = cut || s.topic.down
	s.topic.mu.Unlock()
	if cut {
		d = 50 * time.Millisecond
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	if cut {
		return errSimDown
	}
	return nil
}

// Read implements store.Reader.
func (n *simNode) Read(ctx context.Context, _ string, from store.Position, wait time.Duration) (store.Batch, error) {
	s := n.sim.topic
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	if err := n.call(ctx); err != nil {
		return store.Batch{}, err
	}
	for began := time.Now(); time.Since(began) < wait; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		end := s.end()
		s.mu.Unlock()
		if from.Before(end) {
			break
		}
	}
	s.mu.Lock()
	if from.Era < s.era || from.Offset < s.trimmed {
		restored := from.Era < s.era
		s.mu.Unlock()
		if restored {
			return store.Batch{}, store.ErrRestored
		}
		return store.Batch{}, store.ErrTrimmed
	}
	b := store.Batch{Next: s.end(), End: s.end().Offset, Records: s.records(from.Offset)}
	s.mu.Unlock()
	return b, n.call(ctx)
}

// Newest implements store.Reader.
func (n *simNode) Newest(ctx context.Context, _ string) (store.Batch, error) {
	if err := n.call(ctx); err != nil {
		return store.Batch{}, err
	}
	s := n.sim.topic
	s.mu.Lock()
	s.calls++
	b := store.Batch{Next: s.end(), End: s.end().Offset, Records: s.records(0)}
	s.mu.Unlock()
	return b, n.call(ctx)
}

// centreSource decodes the records of a simTopic.
type centreSource struct{ topic *Topic }

func (c centreSource) Read(ctx context.Context, from store.Position, wait time.Duration) (fleet.Batch, error) {
	b, err := c.topic.Read(ctx, "t", from, wait)
	return centreBatch(b), err
}

func (c centreSource) Snapshot(ctx context.Context) (fleet.Batch, error) {
	b, err := c.topic.Newest(ctx, "t")
	return centreBatch(b), err
}

func centreBatch(b store.Batch) fleet.Batch {
	out := fleet.Batch{Next: b.Next, Complete: b.Next.Offset >= b.End, CurrentAt: b.CurrentAt, Relayed: b.Relayed}
	for _, r := range b.Records {
		out.Changes = append(out.Changes, &fleet.CentreDisabled{Name: r.Key})
	}
	return out
}

// proofAge returns the age of the node's proof.
func (n *simNode) proofAge() time.Duration {
	at, ok := n.follower.FreshnessProof()
	if !ok {
		return time.Hour
	}
	return time.Since(n.sim.start) + n.offset - at
}

// check verifies what must hold at any moment: a node's View includes all that was
// acknowledged at the time of its proof, and never loses records. before holds the sizes
// of the Views at the last check.
func (s *sim) check(t *testing.T, before []int) {
	t.Helper()
	for i, n := range s.nodes {
		at, ok := n.follower.FreshnessProof() // before the View, which may advance
		size := len(n.cache.View().DisabledCentres)
		require.GreaterOrEqual(t, size, before[i], "%s lost records", n.name)
		before[i] = size
		if !ok {
			continue
		}
		proof := s.start.Add(at - n.offset)
		require.False(t, proof.After(time.Now()), "%s has a proof from the future", n.name)
		require.GreaterOrEqual(t, size, s.topic.ackedBy(proof), "%s at %v: the proof is later than the records", n.name, time.Since(s.start))
	}
}

// faults changes one fault at random.
func (s *sim) faults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	flip := s.rng.IntN(2) == 0
	switch s.rng.IntN(10) {
	case 0:
		n.cut = flip
	case 1:
		n.storeCut = flip
	case 2:
		n.pausedUntil = time.Now().Add(time.Duration(s.rng.Int64N(int64(6 * time.Second))))
	case 3:
		s.loss = 0.3 * s.rng.Float64()
	case 4:
		s.delay = time.Duration(1 + s.rng.Int64N(int64(600*time.Millisecond)))
	case 5:
		s.slow = time.Duration(1 + s.rng.Int64N(int64(400*time.Millisecond)))
	case 6:
		s.pauses = 0.05 * s.rng.Float64()
	case 7:
		s.double = 0.4 * s.rng.Float64()
	case 8:
		s.topic.mu.Lock()
		s.topic.down = flip && s.rng.IntN(2) == 0
		if flip {
			s.topic.trimmed = int64(len(s.topic.acked))
		}
		s.topic.mu.Unlock()
	case 9:
		n.silent = flip
	}
}

// calm ends all faults.
func (s *sim) calm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss, s.double, s.pauses, s.delay, s.slow = 0, 0, 0, 2*time.Millisecond, 3*time.Millisecond
	for _, n := range s.nodes {
		n.cut, n.storeCut, n.silent, n.pausedUntil = false, false, false, time.Time{}
	}
	s.topic.mu.Lock()
	s.topic.down = false
	s.topic.mu.Unlock()
}

func (s *sim) end() {
	for _, n := range s.nodes {
		n.stop()
	}
	time.Sleep(20 * time.Second) // until the last calls and datagrams have ended
}

// Under delayed, lost, doubled and reordered datagrams, pauses at any point, nodes that
// are cut off, and a store that is slow, down or trimmed, no proof is ever later than the
// records, and no record is lost. Once that ends, all gateways are current again, and
// only the readers call the store.
func TestProofIsNeverLaterThanTheRecords(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSim(seed, 3+int(seed%5))
				defer s.end()
				before := make([]int, len(s.nodes))
				rng := rand.New(rand.NewPCG(seed, 2))
				for range 6000 {
					time.Sleep(10 * time.Millisecond)
					if rng.IntN(60) == 0 {
						s.topic.append()
					}
					if rng.IntN(50) == 0 {
						s.faults()
					}
					s.check(t, before)
				}
				s.calm()
				time.Sleep(20 * time.Second) // the longest pause of a reader that was lost, and reads underway
				s.topic.append()
				acked, before10s := s.topic.counts()
				time.Sleep(time.Second)
				for _, n := range s.nodes {
					require.Len(t, n.cache.View().DisabledCentres, acked, "%s is not current", n.name)
				}
				for range 900 {
					time.Sleep(10 * time.Millisecond)
					s.check(t, before)
					for _, n := range s.nodes {
						require.Less(t, n.proofAge(), 3*time.Second)
					}
				}
				_, calls := s.topic.counts()
				require.LessOrEqual(t, calls-before10s, 12, "calls in 10 s: one a second of the first reader")
			})
		})
	}
}

// After the store has come back from an older copy, and its offsets have been given out
// again, all gateways are current, also those that read through others, and whichever of
// them learns of it first. Faults of the network go on meanwhile.
func TestRestoredStoreBehindReaders(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSim(seed, 3+int(seed%4))
				defer s.end()
				s.mu.Lock()
				s.loss, s.delay, s.slow = 0.1, 300*time.Millisecond, 100*time.Millisecond
				s.mu.Unlock()
				rng := rand.New(rand.NewPCG(seed, 3))
				for range 4 {
					for range 4 + rng.IntN(4) {
						s.topic.append()
						time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
					}
					end, _ := s.topic.counts()
					copied := end - 1 - rng.IntN(3)
					s.topic.restore(copied)
					for range end - copied + rng.IntN(2) { // up to the end of before, or beyond
						s.topic.append()
					}
					time.Sleep(5 * time.Second)
					s.topic.mu.Lock()
					want := slices.Clone(s.topic.keys)
					s.topic.mu.Unlock()
					for _, n := range s.nodes {
						disabled := n.cache.View().DisabledCentres
						for _, key := range want {
							require.True(t, disabled[key], "%s lacks %s", n.name, key)
						}
						require.Less(t, n.proofAge(), revocationLimit)
					}
				}
			})
		})
	}
}

// With one fault at a time, and a store that serves the others, the proof of every gateway
// that is not cut off itself stays young enough for keys, and a record arrives in time.
func TestKeysStayUsableWhenReadersFail(t *testing.T) {
	faults := map[string]func(s *sim, reader, second *simNode){
		"none":                    func(*sim, *simNode, *simNode) {},
		"reader killed":           func(_ *sim, r, _ *simNode) { r.cut = true; r.stop() },
		"both readers killed":     func(_ *sim, r, x *simNode) { r.cut, x.cut = true, true; r.stop(); x.stop() },
		"reader frozen":           func(_ *sim, r, _ *simNode) { r.pausedUntil = time.Now().Add(9 * time.Second) },
		"reader refused by store": func(_ *sim, r, _ *simNode) { r.storeCut = true },
		"store silent":            func(_ *sim, r, _ *simNode) { r.silent = true },
		"both refused by store":   func(_ *sim, r, x *simNode) { r.storeCut, x.storeCut = true, true },
		"datagrams lost":          func(s *sim, _, _ *simNode) { s.loss = 0.05 },
		"many datagrams lost":     func(s *sim, _, _ *simNode) { s.loss = 0.5 },
		"store slow":              func(s *sim, _, _ *simNode) { s.slow = 250 * time.Millisecond },
		"reader stopping":         func(_ *sim, r, _ *simNode) { r.link.Stop() },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSim(7, 6)
				defer s.end()
				time.Sleep(5 * time.Second)
				readers := Readers(s.entries, "a")
				var reader, second *simNode
				for _, n := range s.nodes {
					switch n.name {
					case readers[0]:
						reader = n
					case readers[1]:
						second = n
					}
				}
				s.mu.Lock()
				fault(s, reader, second)
				s.mu.Unlock()
				acked := time.Now()
				for step := range 1200 {
					if step%250 == 0 {
						s.topic.append()
						acked = time.Now()
					}
					time.Sleep(10 * time.Millisecond)
					for _, n := range s.nodes {
						if n == reader || n == second {
							continue
						}
						require.Less(t, n.proofAge(), revocationLimit, "%s at %v", n.name, time.Since(s.start))
						if time.Since(acked) > 1900*time.Millisecond {
							records, _ := s.topic.counts()
							require.Len(t, n.cache.View().DisabledCentres, records, "%s at %v", n.name, time.Since(s.start))
						}
					}
				}
			})
		})
	}
}

// A record arrives in time at the other gateways if the store does not answer the reader
// any more, whatever the phase of its poll, and the second reader is lost at that moment.
func TestRecordArrivesWhenBothReadersFail(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSim(7, 6)
				defer s.end()
				time.Sleep(5*time.Second + phase)
				readers := Readers(s.entries, "a")
				failed := make(map[*simNode]bool)
				s.mu.Lock()
				for _, n := range s.nodes {
					n.silent = n.name == readers[0]
					n.cut = n.name == readers[1]
					failed[n] = n.silent || n.cut
				}
				s.mu.Unlock()
				s.topic.append()
				time.Sleep(1900 * time.Millisecond)
				for _, n := range s.nodes {
					if !failed[n] {
						require.Len(t, n.cache.View().DisabledCentres, 1, n.name)
					}
				}
			})
		})
	}
}

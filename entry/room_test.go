package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/config"
	"marjorampitch/internal/node"
	"marjorampitch/route"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// roomService is how long a smallSide takes for an answer.
const roomService = time.Second

// smallSide is a sidecar that admits requests with a FairShare, in virtual time. It
// sends the first event of an answer as it begins and the rest after roomService.
type smallSide struct {
	limit int
	conn  *wire.Conn
	epoch time.Time

	mu         sync.Mutex    // guards the fields below
	retryAfter time.Duration // stated by refusals in place of that of the FairShare, unless it is 0
	shares     *admit.FairShare
	requests   map[uint64]*wire.Request
	seq        uint64
	started    int
	refused    int
	killed     bool
}

// startSmallSide starts a sidecar and connects s to it, without a network.
func startSmallSide(t *testing.T, s *Server, name string, limit int) *smallSide {
	side := &smallSide{
		limit:    limit,
		epoch:    time.Now(),
		shares:   admit.NewFairShare(rand.New(rand.NewPCG(1, 2))),
		requests: make(map[uint64]*wire.Request),
	}
	a, near := net.Pipe()
	b, far := net.Pipe()
	relay := func(to, from net.Conn) {
		io.Copy(to, from)
		to.Close()
		from.Close()
	}
	go relay(far, near)
	go relay(near, far)
	accepted := make(chan *wire.Conn)
	go func() {
		hello := wire.Hello{Role: wire.RoleSide, Instance: name, Incarnation: name}
		c, err := wire.Accept(b, hello, side, brokenSide{})
		if err != nil {
			t.Error(err)
		}
		accepted <- c
	}()
	l := newLink(name, "", "", s.node, log.New(io.Discard))
	c, err := wire.Accept(a, s.node.Hello(), l, s.node)
	require.NoError(t, err)
	side.conn = <-accepted
	t.Cleanup(func() { side.conn.Close(io.EOF) })
	l.activate(c)
	m := poolMember{link: l, base: route.Candidate{Name: name, Hash: route.HashName(name)}}
	s.links.mu.Lock()
	defer s.links.mu.Unlock()
	pool := s.links.pools[poolKey{}]
	s.links.pools[poolKey{}] = append(pool[:len(pool):len(pool)], m)
	s.links.members[name] = m
	return side
}

func (s *smallSide) Closed(*wire.Conn, error) {}

func (s *smallSide) Handle(c *wire.Conn, m wire.Message) {
	req, ok := m.(*wire.Request)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	now := time.Since(s.epoch)
	job := admit.Job{ID: s.seq, Weight: 1, Deadline: now + time.Duration(req.BudgetMillis)*time.Millisecond}
	if e := s.shares.Offer(now, job, s.limit); e != nil {
		s.refuse(req, e)
		return
	}
	s.requests[job.ID] = req
	s.next()
}

// refuse sends a refusal. The caller holds mu.
func (s *smallSide) refuse(req *wire.Request, e *api.Error) {
	s.refused++
	retryAfter := e.RetryAfter
	if s.retryAfter != 0 {
		retryAfter = s.retryAfter
	}
	s.conn.Send(&wire.Refusal{
		Stream: req.Stream, Attempt: req.Attempt, Code: int(e.Code), Ran: uint8(e.Ran), Detail: e.Detail,
		RetryAfterMillis: retryAfter.Milliseconds(), Report: s.report(),
	})
}

// report returns the load of the sidecar. The caller holds mu.
func (s *smallSide) report() wire.Report {
	s.seq++
	return wire.Report{Seq: s.seq, Limit: s.limit, Running: s.shares.Running(), Waiting: s.shares.Queued()}
}

// next starts the requests that may run. The caller holds mu.
func (s *smallSide) next() {
	start, refused := s.shares.Next(time.Since(s.epoch), s.limit)
	for _, r := range refused {
		s.refuse(s.requests[r.ID], r.Err)
	}
	for _, job := range start {
		s.started++
		req := s.requests[job.ID]
		s.conn.Send(&wire.Head{
			Stream: req.Stream, Attempt: req.Attempt, Status: 200,
			Headers: []wire.Header{{Name: "Content-Type", Value: "text/event-stream"}},
		})
		s.conn.Send(&wire.Chunk{Stream: req.Stream, Attempt: req.Attempt, Data: event(0, 0)})
		time.AfterFunc(roomService, func() { s.finish(job.ID, req) })
	}
}

func (s *smallSide) finish(id uint64, req *wire.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		return
	}
	s.shares.Finish(time.Since(s.epoch), id, true)
	s.conn.Send(&wire.Chunk{Stream: req.Stream, Attempt: req.Attempt, Seq: 1, Data: event(1, 0)})
	s.conn.Send(&wire.End{Stream: req.Stream, Attempt: req.Attempt, Count: 2, Report: s.report()})
	s.next()
}

// counts returns the numbers of requests that were started and refused.
func (s *smallSide) counts() (started, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started, s.refused
}

func (s *smallSide) setRetryAfter(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = d
}

func (s *smallSide) kill() {
	s.mu.Lock()
	s.killed = true
	s.mu.Unlock()
	s.conn.Close(io.EOF)
}

// newRoomServer returns a front proxy without a network, with an empty pool.
func newRoomServer() *Server {
	hello := wire.Hello{Role: wire.RoleEntry, Instance: "n1", Incarnation: "n1"}
	s := &Server{
		opt: Options{
			Hello:   hello,
			Log:     log.New(io.Discard),
			Metrics: telemetry.NewEntryMetrics(prometheus.NewRegistry()),
			Tracer:  noop.NewTracerProvider().Tracer(""),
		},
		node:   node.New(hello, noConfig{}),
		policy: newRoutingPolicy(log.New(io.Discard)),
		budget: admit.NewRetryBudget(0.5, retryBurst),
	}
	s.policy.update(config.Routing{Policy: route.DefaultPolicy})
	s.links = newLinkTable("n1", s.node, s.opt.Log)
	s.links.pools = make(map[poolKey][]poolMember)
	s.links.members = make(map[string]poolMember)
	return s
}

// roomResult is the result of one call.
type roomResult struct {
	err  *api.Error
	body string
	took time.Duration
}

// callRoom makes n concurrent calls and returns a function that waits for their results.
func callRoom(s *Server, n int, timeout time.Duration) func() []roomResult {
	results := make([]roomResult, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			began := time.Now()
			ctx, stop := context.WithDeadline(context.Background(), began.Add(timeout))
			defer stop()
			w := httptest.NewRecorder()
			c := &call{
				id: string(rune('a' + i)), route: &config.Route{Idempotent: true, Streaming: true},
				streaming: true, deadline: began.Add(timeout), fingerprint: uint64(i + 1),
			}
			e := s.serveIdempotent(ctx, c, newResponse(w, c.id))
			results[i] = roomResult{err: e, body: w.Body.String(), took: time.Since(began)}
		})
	}
	return func() []roomResult {
		wg.Wait()
		return results
	}
}

// killWithCallers starts a sidecar with n streams and kills it; e2 and e3, which
// bear one request and let one wait, are there to take over.
func killWithCallers(t *testing.T, s *Server, n int, timeout time.Duration) (e2, e3 *smallSide, results func() []roomResult) {
	e1 := startSmallSide(t, s, "e1", n)
	results = callRoom(s, n, timeout)
	time.Sleep(roomService / 2)
	started, _ := e1.counts()
	require.Equal(t, n, started)
	e2 = startSmallSide(t, s, "e2", 1)
	e3 = startSmallSide(t, s, "e3", 1)
	e1.kill()
	return e2, e3, results
}

// wholeAnswers counts the results with exactly the events of a whole answer.
func wholeAnswers(results []roomResult) int {
	whole := 0
	for _, r := range results {
		if r.err == nil && r.body == string(event(0, 0))+string(event(1, 0)) {
			whole++
		}
	}
	return whole
}

// Six streams lose their server; the other two have room for four. The rest wait
// for room and go on, each executed once more.
func TestLostStreamsWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRoomServer()
		e2, e3, results := killWithCallers(t, s, 6, time.Minute)
		got := results()
		require.Equal(t, 6, wholeAnswers(got), "%+v", got)
		started2, refused2 := e2.counts()
		started3, refused3 := e3.counts()
		require.Equal(t, 6, started2+started3, "executions")
		require.Positive(t, refused2+refused3, "the servers had room for all")
	})
}

// A place that becomes free ends the wait for a Retry-After.
func TestFreePlaceEndsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRoomServer()
		e2, e3, results := killWithCallers(t, s, 6, time.Minute)
		e2.setRetryAfter(30 * time.Second)
		e3.setRetryAfter(30 * time.Second)
		got := results()
		require.Equal(t, 6, wholeAnswers(got), "%+v", got)
		for _, r := range got {
			require.Less(t, r.took, 30*time.Second)
		}
	})
}

// Without a loss, requests beyond the room of all servers are refused at once.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRoomServer()
		startSmallSide(t, s, "e2", 1)
		startSmallSide(t, s, "e3", 1)
		got := callRoom(s, 6, time.Minute)()
		require.Equal(t, 4, wholeAnswers(got), "%+v", got)
		for _, r := range got {
			if r.err != nil {
				require.Equal(t, api.Overloaded, r.err.Code)
				require.Equal(t, api.NotRun, r.err.Ran)
				require.Zero(t, r.took)
			}
		}
	})
}

// A lost stream gets the refusal at once if every server states a Retry-After beyond its deadline.
func TestLostStreamIsRefusedIfRoomComesTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRoomServer()
		e1 := startSmallSide(t, s, "e1", 1)
		results := callRoom(s, 1, 10*time.Second)
		time.Sleep(roomService / 2)
		e2 := startSmallSide(t, s, "e2", 0)
		e2.setRetryAfter(20 * time.Second)
		occupy(e2)
		e1.kill()
		got := results()[0]
		require.NotNil(t, got.err)
		require.Equal(t, api.Overloaded, got.err.Code)
		require.Equal(t, api.MayHaveRun, got.err.Ran)
		require.Equal(t, roomService/2+reconnectTimeout, got.took)
		_, refused := e2.counts()
		require.Equal(t, 1, refused)
	})
}

// Servers that refuse for the whole time, though they report room, are asked a
// bounded number of times, and the caller gets an answer by its deadline.
func TestRoundsForRoomAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRoomServer()
		e1 := startSmallSide(t, s, "e1", 1)
		results := callRoom(s, 1, 20*time.Second)
		time.Sleep(roomService / 2)
		e2 := startSmallSide(t, s, "e2", 0) // limit 0: reported as unknown
		e2.setRetryAfter(time.Second)
		occupy(e2)
		e1.kill()
		got := results()[0]
		require.NotNil(t, got.err)
		require.Equal(t, api.MayHaveRun, got.err.Ran)
		require.LessOrEqual(t, got.took, 20*time.Second)
		started, refused := e2.counts()
		require.Greater(t, refused, 2)
		require.LessOrEqual(t, refused, mostRounds(20*time.Second))
		require.Zero(t, started)
	})
}

// mostRounds returns the largest number of rounds in a time, if servers report room
// at every poll and the jitter makes each pause as short as it may be.
func mostRounds(d time.Duration) int {
	rounds := 1
	for pause := minRoomWait; d > 0; pause = min(2*pause, maxRoomWait) {
		d -= pause / 2
		rounds++
	}
	return rounds
}

// Lost streams that the retry budget does not cover are not tried again, not even later.
func TestLostStreamsWithoutRetryBudgetFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRoomServer()
		s.budget = admit.NewRetryBudget(0, 2)
		e2, e3, results := killWithCallers(t, s, 6, time.Minute)
		require.Equal(t, 2, wholeAnswers(results()))
		started2, refused2 := e2.counts()
		started3, refused3 := e3.counts()
		require.Equal(t, 2, started2+started3)
		require.LessOrEqual(t, refused2+refused3, 1)
	})
}

func TestConditionsOfAnotherRound(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*retryLoop)
		want   bool
	}{
		"lost, then refused":     {func(*retryLoop) {}, true},
		"never lost":             {func(r *retryLoop) { r.maxRan = api.NotRun }, false},
		"no retry budget":        {func(r *retryLoop) { r.noBudget = true }, false},
		"runs alone":             {func(r *retryLoop) { r.call.alone = true }, false},
		"all executions used up": {func(r *retryLoop) { r.attemptNumber = maxAttempts + 1 }, false},
		"no refusal for room":    {func(r *retryLoop) { clear(r.room.refusedBy) }, false},
		"too late":               {func(r *retryLoop) { r.call.deadline = time.Now().Add(time.Second) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &retryLoop{
					server:        newRoomServer(),
					call:          &call{deadline: time.Now().Add(time.Minute)},
					attemptNumber: 2,
					excluded:      map[string]bool{"e1": false, "e2": true, "e3": true},
					maxRan:        api.MayHaveRun,
				}
				e := api.NewError(api.Overloaded, "")
				e.RetryAfter = 2 * time.Second
				r.room.record("e2", e)
				c.change(r)
				require.Equal(t, c.want, r.awaitRoom(context.Background()))
				require.Equal(t, !c.want, r.excluded["e2"])
				require.True(t, r.excluded["e3"], "refused for another reason")
			})
		})
	}
}

// occupy takes the only place in the queue of a sidecar with limit 0.
func occupy(s *smallSide) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.Offer(time.Since(s.epoch), admit.Job{ID: 1 << 60, Weight: 1, Deadline: time.Hour}, 0)
}

package claim

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/backing/backingtest"
	"marjorampitch/wire"
)

// fakeSides is a set of fake sidecars that count the executions of each key.
type fakeSides struct {
	mu         sync.Mutex
	tables     map[string]*KeyTable
	generation int
	runs       map[string]int
	runTime    time.Duration // duration of one run
}

func newFakeSides() *fakeSides {
	f := &fakeSides{tables: map[string]*KeyTable{}, runs: map[string]int{}}
	f.restart("s0")
	f.restart("s1")
	return f
}

// restart starts a new incarnation of a sidecar.
func (f *fakeSides) restart(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation++
	f.tables[name] = NewKeyTable(fmt.Sprint(name, "#", f.generation))
}

func (f *fakeSides) target(name string) Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Target{name, f.tables[name].incarnation}
}

func (f *fakeSides) count(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

// run executes m at a sidecar if its KeyTable decides so.
func (f *fakeSides) run(t Target, m *wire.Request) SendResult {
	key, _ := ParseKey(m.Key)
	f.mu.Lock()
	table := f.tables[t.Side]
	begun := table.Begin(key, m.Fingerprint, m.ClaimOffset, m.Incarnation)
	if begun.Decision != DecideRun {
		f.mu.Unlock()
		if begun.Err == nil {
			begun.Err = api.NewError(api.InProgress, "")
		}
		return SendResult{Status: SendRefused, Err: begun.Err}
	}
	f.runs[m.Key]++
	f.mu.Unlock()
	time.Sleep(f.runTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tables[t.Side] != table {
		return SendResult{Status: SendConnLost}
	}
	a := wire.Answer{Status: 201, Body: []byte("done " + m.Key)}
	table.Finish(key, a)
	return SendResult{Status: SendReplied, Answer: a}
}

// fakeTransport is the Transport of one front proxy to fakeSides.
type fakeTransport struct {
	sides *fakeSides
	send  func(t Target, m *wire.Request) SendResult // optional; replaces sides.run
}

func (transport *fakeTransport) Send(_ context.Context, t Target, m *wire.Request) SendResult {
	if transport.send != nil {
		return transport.send(t, m)
	}
	return transport.sides.run(t, m)
}

func (transport *fakeTransport) Query(_ context.Context, t Target, q *wire.KeyQuery) (*wire.KeyAnswer, error) {
	transport.sides.mu.Lock()
	defer transport.sides.mu.Unlock()
	return transport.sides.tables[t.Side].Query(q), nil
}

// harness holds the fake sidecars, the log and the clients of one test.
type harness struct {
	t       *testing.T
	sides   *fakeSides
	log     *backingtest.Log
	clients []*Client
}

// withHarness runs f in virtual time and closes its clients.
func withHarness(t *testing.T, f func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, sides: newFakeSides(), log: backingtest.NewLog(backingtest.WithAppendRate(0))}
		f(h)
		h.log.SetFaults(backingtest.LogFaults{})
		for _, c := range h.clients {
			c.Close(context.Background())
		}
		time.Sleep(time.Hour) // lets every remaining timer expire
	})
}

func (h *harness) newClientWith(name string, transport *fakeTransport) *Client {
	c := NewClient(Options{
		Service: "svc", Claimant: name, Log: h.log, Transport: transport,
		Logger: log.New(io.Discard), Tuning: DefaultTuning(),
	})
	h.clients = append(h.clients, c)
	time.Sleep(time.Second)
	return c
}

func (h *harness) newClient(name string) *Client {
	return h.newClientWith(name, &fakeTransport{sides: h.sides})
}

func (h *harness) call(c *Client, key string, change ...func(*Request)) (Result, *api.Error) {
	r := Request{
		Key: key, Message: wire.Request{Fingerprint: 7}, Deadline: time.Now().Add(5 * time.Second), MaxAge: time.Hour,
		Pick: func(last *api.Error) (Target, *api.Error) {
			if last != nil {
				return h.sides.target("s1"), nil
			}
			return h.sides.target("s0"), nil
		},
	}
	for _, f := range change {
		f(&r)
	}
	res, err := c.Do(context.Background(), r)
	var e *api.Error
	if err != nil {
		require.True(h.t, errors.As(err, &e))
	}
	return res, e
}

// newKey returns a key with the current virtual time as timestamp.
func newKey() string {
	n := uuid.New()
	k := simKey(time.Now(), n[0])
	copy(k[9:], n[9:])
	return k.String()
}

func (h *harness) requireRuns(key string, want int) {
	h.t.Helper()
	require.Equal(h.t, want, h.sides.count(key), "executions")
}

// Lost answers, late appends and a slow log must neither fail a call nor run it twice.
func TestClientAppendAnswers(t *testing.T) {
	for name, faults := range map[string]backingtest.LogFaults{
		"none":                {},
		"stored, answer lost": {LoseAnswers: 1},
		"stored late":         {LateAppends: 1, LateBy: backingtest.Duration(2 * time.Second)},
		"slow":                {Delay: backingtest.Duration(300 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				key := newKey()
				c := h.newClient("e1")
				h.log.SetFaults(faults)
				res, err := h.call(c, key)
				require.Nil(t, err)
				require.Equal(t, "done "+key, string(res.Answer.Body))
				time.Sleep(5 * time.Second)
				again, err := h.call(h.newClient("e2"), key)
				require.Nil(t, err)
				require.True(t, again.Replayed)
				require.Equal(t, res.Answer, again.Answer)
				h.requireRuns(key, 1)
			})
		})
	}
}

// While the log service is down, a call is refused at once and does not run. A call
// claimed before the outage is answered, and a retry does not run it again.
func TestClientLogDown(t *testing.T) {
	outage := backingtest.LogFaults{Outage: backingtest.OutageRefuse}
	withHarness(t, func(h *harness) {
		c := h.newClient("e1")
		h.log.SetFaults(outage)
		time.Sleep(10 * time.Second)
		key := newKey()
		began := time.Now()
		_, err := h.call(c, key)
		require.Equal(t, api.LogUnavailable, err.Code)
		require.Equal(t, api.NotRun, err.Ran)
		require.Less(t, time.Since(began), 100*time.Millisecond)
		h.requireRuns(key, 0)
	})
	// The log service fails between the claim and the outcome. The sidecar is replaced
	// and the retry uses another front proxy.
	withHarness(t, func(h *harness) {
		transport := &fakeTransport{sides: h.sides, send: func(to Target, m *wire.Request) SendResult {
			h.log.SetFaults(outage)
			return h.sides.run(to, m)
		}}
		key := newKey()
		_, err := h.call(h.newClientWith("e1", transport), key)
		require.Nil(t, err, "the answer is not delayed by the log outage beyond OutcomeWait")
		time.Sleep(2 * time.Second)
		h.log.SetFaults(backingtest.LogFaults{})
		time.Sleep(2 * time.Second)
		h.sides.restart("s0")
		res, err := h.call(h.newClient("e2"), key)
		require.Nil(t, err)
		require.True(t, res.Replayed)
		h.requireRuns(key, 1)
	})
}

// A front proxy that stops gracefully appends its outstanding outcomes first.
func TestClientCloseRecordsOutcomes(t *testing.T) {
	withHarness(t, func(h *harness) {
		transport := &fakeTransport{sides: h.sides, send: func(to Target, m *wire.Request) SendResult {
			h.log.SetFaults(backingtest.LogFaults{Outage: backingtest.OutageRefuse})
			return h.sides.run(to, m)
		}}
		c := h.newClientWith("e1", transport)
		key := newKey()
		_, err := h.call(c, key)
		require.Nil(t, err)
		time.AfterFunc(2*time.Second, func() { h.log.SetFaults(backingtest.LogFaults{}) })
		require.NoError(t, c.Close(context.Background()))
		h.sides.restart("s0")
		time.Sleep(2 * time.Second)
		res, err := h.call(h.newClient("e2"), key)
		require.Nil(t, err)
		require.True(t, res.Replayed)
	})
}

// A front proxy pauses before sending for longer than every timeout. A retry through
// another front proxy runs the call. Then the first one continues; its request must be
// refused.
func TestClientPausedClaimant(t *testing.T) {
	withHarness(t, func(h *harness) {
		key := newKey()
		late := make(chan SendResult, 1)
		paused := &fakeTransport{sides: h.sides, send: func(to Target, m *wire.Request) SendResult {
			time.Sleep(5 * time.Minute)
			sent := h.sides.run(to, m)
			late <- sent
			return sent
		}}
		_, err := h.call(h.newClientWith("e1", paused), key)
		require.Equal(t, api.DeadlineExceeded, err.Code)
		require.Equal(t, api.MayHaveRun, err.Ran)
		res, err := h.call(h.newClient("e2"), key)
		require.Nil(t, err)
		require.False(t, res.Replayed)
		sent := <-late
		require.Equal(t, api.Sealed, sent.Err.Code)
		h.requireRuns(key, 1)
	})
}

// The front proxy crashes before or after sending the request. A retry through another
// one must not run the call again.
func TestClientEntryCrash(t *testing.T) {
	for name, sends := range map[string]bool{"before sending": false, "after sending": true} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				key := newKey()
				dead := make(chan struct{})
				transport := &fakeTransport{sides: h.sides, send: func(to Target, m *wire.Request) SendResult {
					if sends {
						h.sides.run(to, m)
					}
					<-dead
					return SendResult{Status: SendConnLost}
				}}
				_, err := h.call(h.newClientWith("e1", transport), key)
				require.Equal(t, api.MayHaveRun, err.Ran)
				res, err := h.call(h.newClient("e2"), key)
				require.Nil(t, err)
				require.Equal(t, sends, res.Replayed)
				h.requireRuns(key, 1)
				close(dead)
			})
		})
	}
}

// The sidecar crashes during the run. The result stays api.Unresolved, "may have run",
// unless the service supports look-up by key.
func TestClientSideRestart(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.sides.runTime = time.Second
		key := newKey()
		go func() {
			time.Sleep(1500 * time.Millisecond)
			h.sides.restart("s0")
		}()
		_, err := h.call(h.newClient("e1"), key)
		require.Equal(t, api.Unresolved, err.Code)
		require.Equal(t, api.MayHaveRun, err.Ran)
		_, err = h.call(h.newClient("e2"), key)
		require.Equal(t, api.Unresolved, err.Code)
		found := func(r *Request) {
			r.LookUp = func(context.Context) (wire.Answer, bool) {
				return wire.Answer{Status: 200, Body: []byte("found")}, true
			}
		}
		res, err := h.call(h.newClient("e3"), key, found)
		require.Nil(t, err)
		require.Equal(t, "found", string(res.Answer.Body))
		res, err = h.call(h.newClient("e4"), key)
		require.Nil(t, err, "the answer found by look-up is stored")
		require.Equal(t, "found", string(res.Answer.Body))
		h.requireRuns(key, 1)
	})
}

// The sidecar cannot be reached, so nothing is sent and another sidecar runs the call.
func TestClientUnreachableSide(t *testing.T) {
	withHarness(t, func(h *harness) {
		transport := &fakeTransport{sides: h.sides, send: func(to Target, m *wire.Request) SendResult {
			if to.Side == "s0" {
				return SendResult{Status: SendNotStarted, Err: api.NewError(api.Unreachable, "")}
			}
			return h.sides.run(to, m)
		}}
		key := newKey()
		res, err := h.call(h.newClientWith("e1", transport), key)
		require.Nil(t, err)
		require.Equal(t, "s1", res.Side)
		require.Equal(t, 2, res.Claims)
		h.requireRuns(key, 1)
	})
}

// A call with an invalid, too old or future key, or with a key of another call, must
// not run.
func TestClientRefusesKeys(t *testing.T) {
	withHarness(t, func(h *harness) {
		c := h.newClient("e1")
		old := simKey(time.Now().Add(-2*time.Hour), 1).String()
		future := simKey(time.Now().Add(time.Hour), 1).String()
		for key, code := range map[string]api.Code{
			"": api.KeyMissing, "x": api.KeyInvalid, uuid.NewString(): api.KeyInvalid,
			old: api.KeyTooOld, future: api.KeyFromFuture,
		} {
			_, err := h.call(c, key)
			require.Equal(t, code, err.Code, key)
			require.Equal(t, api.NotRun, err.Ran)
			h.requireRuns(key, 0)
		}
		key := newKey()
		_, err := h.call(c, key)
		require.Nil(t, err)
		_, err = h.call(h.newClient("e2"), key, func(r *Request) { r.Message.Fingerprint = 8 })
		require.Equal(t, api.KeyConflict, err.Code)
		h.requireRuns(key, 1)
	})
}

// Many keys, each sent through three front proxies concurrently, run once each.
func TestClientConcurrentCalls(t *testing.T) {
	const keys = 200
	withHarness(t, func(h *harness) {
		h.sides.runTime = 50 * time.Millisecond
		clients := []*Client{h.newClient("e1"), h.newClient("e2"), h.newClient("e3")}
		var wg sync.WaitGroup
		before := h.log.Appends()
		for range keys {
			key := newKey()
			for _, c := range clients {
				wg.Go(func() {
					res, err := h.call(c, key)
					require.Nil(t, err)
					require.Equal(t, "done "+key, string(res.Answer.Body))
				})
			}
		}
		wg.Wait()
		for key, n := range h.sides.runs {
			require.Equal(t, 1, n, key)
		}
		require.Len(t, h.sides.runs, keys)
		t.Logf("%d keys through 3 front proxies: %d appends", keys, h.log.Appends()-before)
	})
}

// A call that is refused before it starts must not be reported as not run if the log
// shows an earlier call with its key.
func TestClientRefusalAfterEarlierCall(t *testing.T) {
	refuse := map[string]func(c *Client, end <-chan struct{}){
		"leaving": func(c *Client, _ <-chan struct{}) { c.closed.Store(true) },
		"overloaded": func(c *Client, end <-chan struct{}) {
			c.calls = pond.NewPool(1, pond.WithQueueSize(1), pond.WithNonBlocking(true))
			for range 2 {
				c.calls.Go(func() { <-end })
			}
		},
	}
	for name, refuseCalls := range refuse {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				dead := make(chan struct{})
				defer close(dead)
				transport := &fakeTransport{sides: h.sides, send: func(to Target, m *wire.Request) SendResult {
					h.sides.run(to, m)
					<-dead
					return SendResult{Status: SendConnLost}
				}}
				held, completed, free := newKey(), newKey(), newKey()
				_, err := h.call(h.newClient("e1"), completed)
				require.Nil(t, err)
				_, err = h.call(h.newClientWith("e2", transport), held)
				require.Equal(t, api.MayHaveRun, err.Ran)

				c := h.newClient("e3")
				refuseCalls(c, dead)
				_, err = h.call(c, held)
				require.Equal(t, api.MayHaveRun, err.Ran, err.Error())
				require.Equal(t, api.InProgress, err.Code)
				require.Positive(t, err.RetryAfter, "the same key may be sent again")
				_, err = h.call(c, completed)
				require.Equal(t, api.DidRun, err.Ran, err.Error())
				require.Positive(t, err.RetryAfter)
				_, err = h.call(c, free)
				require.Equal(t, api.NotRun, err.Ran, err.Error())
			})
		})
	}
}

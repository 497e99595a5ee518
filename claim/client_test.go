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

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/backing/backingtest"
	"marjorampitch/wire"
)

// plant is a set of fake sides that count executions by key.
type plant struct {
	mu    sync.Mutex
	sides map[string]*KeyTable
	life  int
	runs  map[string]int
	took  time.Duration // of one run
}

func newPlant() *plant {
	p := &plant{sides: map[string]*KeyTable{}, runs: map[string]int{}}
	p.restart("s0")
	p.restart("s1")
	return p
}

// restart gives a side a new incarnation.
func (p *plant) restart(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.life++
	p.sides[name] = NewKeyTable(fmt.Sprint(name, "#", p.life))
}

func (p *plant) target(name string) Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Target{name, p.sides[name].incarnation}
}

func (p *plant) count(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[key]
}

// run executes m at a side unless its table says otherwise.
func (p *plant) run(t Target, m *wire.Request) SendResult {
	key, _ := ParseKey(m.Key)
	p.mu.Lock()
	table := p.sides[t.Side]
	b := table.Begin(key, m.Fingerprint, m.ClaimOffset, m.Incarnation)
	if b.Decision != DecideRun {
		p.mu.Unlock()
		if b.Err == nil {
			b.Err = api.NewError(api.InProgress, "")
		}
		return SendResult{Status: SendRefused, Err: b.Err}
	}
	p.runs[m.Key]++
	p.mu.Unlock()
	time.Sleep(p.took)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sides[t.Side] != table {
		return SendResult{Status: SendConnLost}
	}
	a := wire.Answer{Status: 201, Body: []byte("done " + m.Key)}
	table.Finish(key, a)
	return SendResult{Status: SendReplied, Answer: a}
}

// wires is one entry's Transport to the plant.
type wires struct {
	plant *plant
	send  func(t Target, m *wire.Request) SendResult // nil: plant.run
}

func (w *wires) Send(_ context.Context, t Target, m *wire.Request) SendResult {
	if w.send != nil {
		return w.send(t, m)
	}
	return w.plant.run(t, m)
}

func (w *wires) Query(_ context.Context, t Target, q *wire.KeyQuery) (*wire.KeyAnswer, error) {
	w.plant.mu.Lock()
	defer w.plant.mu.Unlock()
	return w.plant.sides[t.Side].Query(q), nil
}

// bench is a plant, a log and the clients that a test makes.
type bench struct {
	t     *testing.T
	plant *plant
	log   *backingtest.Log
	made  []*Client
}

// inBench runs f in virtual time.
func inBench(t *testing.T, f func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{t: t, plant: newPlant(), log: backingtest.NewLog(backingtest.WithAppendRate(0))}
		f(b)
		b.log.SetFaults(backingtest.LogFaults{})
		for _, c := range b.made {
			c.Close(context.Background())
		}
		time.Sleep(time.Hour) // whatever still waits ends
	})
}

func (b *bench) client(name string, w *wires) *Client {
	c := NewClient(Options{
		Service: "svc", Claimant: name, Log: b.log, Transport: w,
		Logger: log.New(io.Discard), Tuning: DefaultTuning(),
	})
	b.made = append(b.made, c)
	time.Sleep(time.Second)
	return c
}

func (b *bench) plain(name string) *Client { return b.client(name, &wires{plant: b.plant}) }

func (b *bench) call(c *Client, key string, change ...func(*Request)) (Result, *api.Error) {
	r := Request{
		Key: key, Message: wire.Request{Fingerprint: 7}, Deadline: time.Now().Add(5 * time.Second), MaxAge: time.Hour,
		Pick: func(last *api.Error) (Target, *api.Error) {
			if last != nil {
				return b.plant.target("s1"), nil
			}
			return b.plant.target("s0"), nil
		},
	}
	for _, f := range change {
		f(&r)
	}
	res, err := c.Do(context.Background(), r)
	var e *api.Error
	if err != nil {
		require.True(b.t, errors.As(err, &e))
	}
	return res, e
}

// newKey returns a key born at the bubble's time.
func newKey() string {
	n := uuid.New()
	k := simKey(time.Now(), n[0])
	copy(k[9:], n[9:])
	return k.String()
}

func (b *bench) ran(key string, want int) {
	b.t.Helper()
	require.Equal(b.t, want, b.plant.count(key), "executions")
}

func TestClientAppendAnswers(t *testing.T) {
	for name, faults := range map[string]backingtest.LogFaults{
		"none":                {},
		"stored, answer lost": {LoseAnswers: 1},
		"lands late":          {LateAppends: 1, LateBy: backingtest.Duration(2 * time.Second)},
		"slow":                {Delay: backingtest.Duration(300 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			inBench(t, func(b *bench) {
				key := newKey()
				c := b.plain("e1")
				b.log.SetFaults(faults)
				res, err := b.call(c, key)
				require.Nil(t, err)
				require.Equal(t, "done "+key, string(res.Answer.Body))
				time.Sleep(5 * time.Second)
				again, err := b.call(b.plain("e2"), key)
				require.Nil(t, err)
				require.True(t, again.Replayed)
				require.Equal(t, res.Answer, again.Answer)
				b.ran(key, 1)
			})
		})
	}
}

func TestClientLogAway(t *testing.T) {
	outage := backingtest.LogFaults{Outage: backingtest.OutageRefuse}
	inBench(t, func(b *bench) {
		c := b.plain("e1")
		b.log.SetFaults(outage)
		time.Sleep(10 * time.Second)
		key := newKey()
		began := time.Now()
		_, err := b.call(c, key)
		require.Equal(t, api.LogUnavailable, err.Code)
		require.Equal(t, api.NotRun, err.Ran)
		require.Less(t, time.Since(began), 100*time.Millisecond)
		b.ran(key, 0)
	})
	// Between the claim and the outcome; every process is replaced afterwards.
	inBench(t, func(b *bench) {
		w := &wires{plant: b.plant, send: func(to Target, m *wire.Request) SendResult {
			b.log.SetFaults(outage)
			return b.plant.run(to, m)
		}}
		key := newKey()
		_, err := b.call(b.client("e1", w), key)
		require.Nil(t, err, "an answer does not wait for the log for long")
		time.Sleep(2 * time.Second)
		b.log.SetFaults(backingtest.LogFaults{})
		time.Sleep(2 * time.Second)
		b.plant.restart("s0")
		res, err := b.call(b.plain("e2"), key)
		require.Nil(t, err)
		require.True(t, res.Replayed)
		b.ran(key, 1)
	})
}

// An entry that stops gracefully records the outcomes it still owes.
func TestClientCloseRecordsOutcomes(t *testing.T) {
	inBench(t, func(b *bench) {
		w := &wires{plant: b.plant, send: func(to Target, m *wire.Request) SendResult {
			b.log.SetFaults(backingtest.LogFaults{Outage: backingtest.OutageRefuse})
			return b.plant.run(to, m)
		}}
		c := b.client("e1", w)
		key := newKey()
		_, err := b.call(c, key)
		require.Nil(t, err)
		time.AfterFunc(2*time.Second, func() { b.log.SetFaults(backingtest.LogFaults{}) })
		require.NoError(t, c.Close(context.Background()))
		b.plant.restart("s0")
		time.Sleep(2 * time.Second)
		res, err := b.call(b.plain("e2"), key)
		require.Nil(t, err)
		require.True(t, res.Replayed)
	})
}

// A claimant pauses for longer than every timeout before it sends; a retry
// through another entry runs the call; then the claimant goes on.
func TestClientPausedClaimant(t *testing.T) {
	inBench(t, func(b *bench) {
		key := newKey()
		late := make(chan SendResult, 1)
		paused := &wires{plant: b.plant, send: func(to Target, m *wire.Request) SendResult {
			time.Sleep(5 * time.Minute)
			sent := b.plant.run(to, m)
			late <- sent
			return sent
		}}
		_, err := b.call(b.client("e1", paused), key)
		require.Equal(t, api.DeadlineExceeded, err.Code)
		require.Equal(t, api.MayHaveRun, err.Ran)
		res, err := b.call(b.plain("e2"), key)
		require.Nil(t, err)
		require.False(t, res.Replayed)
		sent := <-late
		require.Equal(t, api.Sealed, sent.Err.Code)
		b.ran(key, 1)
	})
}

// The entry dies before or after it sends; a retry through another one follows.
func TestClientEntryDies(t *testing.T) {
	for name, sends := range map[string]bool{"before sending": false, "after sending": true} {
		t.Run(name, func(t *testing.T) {
			inBench(t, func(b *bench) {
				key := newKey()
				dead := make(chan struct{})
				w := &wires{plant: b.plant, send: func(to Target, m *wire.Request) SendResult {
					if sends {
						b.plant.run(to, m)
					}
					<-dead
					return SendResult{Status: SendConnLost}
				}}
				_, err := b.call(b.client("e1", w), key)
				require.Equal(t, api.MayHaveRun, err.Ran)
				res, err := b.call(b.plain("e2"), key)
				require.Nil(t, err)
				require.Equal(t, sends, res.Replayed)
				b.ran(key, 1)
				close(dead)
			})
		})
	}
}

// The side dies in mid-run: the call may have run, for ever, unless the
// service can be asked.
func TestClientSideDies(t *testing.T) {
	inBench(t, func(b *bench) {
		b.plant.took = time.Second
		key := newKey()
		go func() {
			time.Sleep(1500 * time.Millisecond)
			b.plant.restart("s0")
		}()
		_, err := b.call(b.plain("e1"), key)
		require.Equal(t, api.Unresolved, err.Code)
		require.Equal(t, api.MayHaveRun, err.Ran)
		_, err = b.call(b.plain("e2"), key)
		require.Equal(t, api.Unresolved, err.Code)
		found := func(r *Request) {
			r.LookUp = func(context.Context) (wire.Answer, bool) {
				return wire.Answer{Status: 200, Body: []byte("found")}, true
			}
		}
		res, err := b.call(b.plain("e3"), key, found)
		require.Nil(t, err)
		require.Equal(t, "found", string(res.Answer.Body))
		res, err = b.call(b.plain("e4"), key)
		require.Nil(t, err, "what was looked up is recorded")
		require.Equal(t, "found", string(res.Answer.Body))
		b.ran(key, 1)
	})
}

// The side cannot be reached before anything is sent: the next one runs it.
func TestClientUnreachableSide(t *testing.T) {
	inBench(t, func(b *bench) {
		w := &wires{plant: b.plant, send: func(to Target, m *wire.Request) SendResult {
			if to.Side == "s0" {
				return SendResult{Status: SendNotStarted, Err: api.NewError(api.Unreachable, "")}
			}
			return b.plant.run(to, m)
		}}
		key := newKey()
		res, err := b.call(b.client("e1", w), key)
		require.Nil(t, err)
		require.Equal(t, "s1", res.Side)
		require.Equal(t, 2, res.Claims)
		b.ran(key, 1)
	})
}

func TestClientRefusesKeys(t *testing.T) {
	inBench(t, func(b *bench) {
		c := b.plain("e1")
		old := simKey(time.Now().Add(-2*time.Hour), 1).String()
		future := simKey(time.Now().Add(time.Hour), 1).String()
		for key, code := range map[string]api.Code{
			"": api.KeyMissing, "x": api.KeyInvalid, uuid.NewString(): api.KeyInvalid,
			old: api.KeyTooOld, future: api.KeyFromFuture,
		} {
			_, err := b.call(c, key)
			require.Equal(t, code, err.Code, key)
			require.Equal(t, api.NotRun, err.Ran)
			b.ran(key, 0)
		}
		key := newKey()
		_, err := b.call(c, key)
		require.Nil(t, err)
		_, err = b.call(b.plain("e2"), key, func(r *Request) { r.Message.Fingerprint = 8 })
		require.Equal(t, api.KeyConflict, err.Code)
		b.ran(key, 1)
	})
}

// Many keys, each sent through three entries at once.
func TestClientManyAtOnce(t *testing.T) {
	const keys = 200
	inBench(t, func(b *bench) {
		b.plant.took = 50 * time.Millisecond
		clients := []*Client{b.plain("e1"), b.plain("e2"), b.plain("e3")}
		var wg sync.WaitGroup
		before := b.log.Appends()
		for range keys {
			key := newKey()
			for _, c := range clients {
				wg.Go(func() {
					res, err := b.call(c, key)
					require.Nil(t, err)
					require.Equal(t, "done "+key, string(res.Answer.Body))
				})
			}
		}
		wg.Wait()
		for key, n := range b.plant.runs {
			require.Equal(t, 1, n, key)
		}
		require.Len(t, b.plant.runs, keys)
		t.Logf("%d keys, 3 entries at once: %d appends", keys, b.log.Appends()-before)
	})
}

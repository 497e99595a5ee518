package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"marjorampitch/api"
	"marjorampitch/backend"
	"marjorampitch/fleet"
	"marjorampitch/pace"
)

// goneBound is the time within which a server must learn that its request's caller has left.
const goneBound = 500 * time.Millisecond

// silentUntilClosed reads a request, answers as begin does, and then reports when its
// connection is closed.
func silentUntilClosed(arrived chan<- string, closed chan<- time.Time, begin func(c *conn, r *http.Request)) func(c *conn) {
	return func(c *conn) {
		r := c.request()
		if r == nil {
			return
		}
		begin(c, r)
		arrived <- r.Header.Get("Last-Event-Id")
		c.br.ReadByte() //nolint:errcheck // returns when the gateway closes the connection
		closed <- time.Now()
	}
}

func noAnswer(*conn, *http.Request) {}

func firstEvent(c *conn, r *http.Request) { c.write(streamHead(r) + event(1)) }

// setRoutes publishes a document with changed routes.
func (tg *testGateway) setRoutes(change func(r *fleet.Route)) {
	tg.document(func(d *fleet.Document) {
		d.Version = tg.cache.View().Document.Version + 1
		for i := range d.Routes {
			change(&d.Routes[i])
		}
	})
}

// shortLatency makes an attempt count as silent before its response as soon as within it.
func shortLatency(r *fleet.Route) {
	r.Timeout = pauseTestTimeout
	r.TargetLatency, r.MaxAttempts = silenceTimeout/firstResponseTimeoutFactor, 3
}

// deafServer adds a server that accepts no connection, so that dialling it takes until the
// dial is cancelled or times out.
func (tg *testGateway) deafServer() string {
	fd, port := listenDeaf()
	tg.t.Cleanup(func() { unix.Close(fd) })
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	for _, c := range fillQueue(address) {
		tg.t.Cleanup(func() { c.Close() })
	}
	tg.servers++
	id := "i-" + strconv.Itoa(tg.servers)
	tg.cache.Apply([]fleet.Change{&fleet.Server{ID: id, Service: "s", Address: address, Slots: 4, Seq: 1}}, 1)
	return id
}

// leave sends a request and returns a function that has its caller disconnect.
func (tg *testGateway) leave(path string) (disconnect func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, tg.front.URL+path, strings.NewReader("body"))
	require.NoError(tg.t, err)
	r.Host = "h"
	r.Header.Set("X-Id", strconv.FormatInt(nextID.Add(1), 16))
	r.Header.Set("X-Key", "key")
	go func() {
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			io.Copy(io.Discard, resp.Body) //nolint:errcheck // ends when the caller disconnects
			resp.Body.Close()
		}
	}()
	return cancel
}

// alwaysActive has all servers' groups count as active until the test ends, also on a busy
// machine.
func (tg *testGateway) alwaysActive() {
	done := make(chan struct{})
	tg.t.Cleanup(func() { close(done) })
	s := tg.g.service("s")
	set := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for id := range tg.cache.View().Members {
			s.activity[s.activityKey(id)] = activePeriod{-time.Hour, time.Hour}
		}
	}
	set()
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(groupActivityWindow / 6):
				set() // an event has changed it
			}
		}
	}()
}

// replacedDeadline leaves a busy machine time to replace an attempt.
const replacedDeadline = 6 * silenceTimeout

// receive fails the test if nothing comes.
func receive[T any](t *testing.T, from <-chan T) (v T) {
	select {
	case v = <-from:
	case <-time.After(time.Minute):
		require.Fail(t, "nothing received")
	}
	return v
}

// Every server that has got an attempt learns within the bound that the caller has left, or
// that its deadline has passed.
func TestServersOfReplacedAttemptsLearnThatCallerHasLeft(t *testing.T) {
	for when, begin := range map[string]func(c *conn, r *http.Request){
		"before the response": noAnswer, "in the stream": firstEvent,
	} {
		for next, handle := range map[string]func(c *conn, r *http.Request){
			"is awaited": noAnswer, "goes on": func(c *conn, r *http.Request) { c.write(streamHead(r) + event(2)) }, "is dialled": nil,
		} {
			for _, end := range []string{"leaves", "deadline"} {
				t.Run(strings.Join([]string{when, "next", next, end}, " "), func(t *testing.T) {
					t.Parallel()
					tg := newTestGateway(t)
					tg.setRoutes(func(r *fleet.Route) {
						shortLatency(r)
						if end == "deadline" {
							r.Timeout = replacedDeadline
						}
					})
					arrived, closed := make(chan string, 8), make(chan time.Time, 8)
					order := []string{tg.server(silentUntilClosed(arrived, closed, begin))}
					attempts := 1
					if handle != nil {
						order = append(order, tg.server(silentUntilClosed(arrived, closed, handle)))
						attempts = 2
					} else {
						order = append(order, tg.deafServer())
					}
					tg.preferInOrder(order...)
					tg.alwaysActive()
					sent := time.Now()
					disconnect := tg.leave("/stream/")
					defer disconnect()
					for range attempts {
						receive(t, arrived)
					}
					left := sent.Add(replacedDeadline)
					if end == "leaves" {
						if handle == nil {
							require.Eventually(t, func() bool { return tg.inFlight(order[1]) == 1<<10+1 }, 10*time.Second, time.Millisecond)
						}
						time.Sleep(silenceTimeout / 8)
						left = time.Now()
						disconnect()
					}
					for range attempts {
						require.WithinRange(t, receive(t, closed), sent, left.Add(goneBound))
					}
					require.Eventually(t, func() bool { return tg.inFlight(order[0]) == 0 && tg.inFlight(order[1]) == 1<<10 },
						10*time.Second, time.Millisecond)
				})
			}
		}
	}
}

// inFlight returns the number of attempts that count as in flight at a server.
func (tg *testGateway) inFlight(id string) int {
	s := tg.g.service("s")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateOf(tg.cache.View().Members[id]).inFlight
}

// The silent server speaks while the response of the next one is awaited: the next one's
// attempt ends, and the caller has the whole stream of the first.
func TestReplacementEndsWhenSilentServerSpeaks(t *testing.T) {
	for when, s := range map[string]struct {
		before, late func(c *conn, r *http.Request)
	}{
		"in the stream":       {firstEvent, func(c *conn, _ *http.Request) { c.write(event(2) + "0\r\n\r\n") }},
		"before the response": {noAnswer, func(c *conn, r *http.Request) { c.write(streamHead(r) + event(1) + event(2) + "0\r\n\r\n") }},
	} {
		t.Run(when, func(t *testing.T) {
			t.Parallel()
			tg := newTestGateway(t)
			tg.setRoutes(shortLatency)
			arrived, closed := make(chan string, 8), make(chan time.Time, 8)
			speak := make(chan struct{})
			slow := tg.server(func(c *conn) {
				r := c.request()
				s.before(c, r)
				<-speak
				s.late(c, r)
			})
			next := tg.server(silentUntilClosed(arrived, closed, noAnswer))
			tg.preferInOrder(slow, next)
			tg.alwaysActive()
			go func() {
				<-arrived
				close(speak)
			}()
			status, body, _ := tg.call("/stream/")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", body)
			receive(t, closed)
		})
	}
}

// The silent server breaks the stream off while the response of the next one is awaited.
func TestStreamThatBreaksGoesOnAtItsReplacement(t *testing.T) {
	for when, begin := range map[string]func(c *conn, r *http.Request){
		"before the response": noAnswer, "in the stream": firstEvent,
	} {
		t.Run(when, func(t *testing.T) {
			t.Parallel()
			tg := newTestGateway(t)
			tg.setRoutes(func(r *fleet.Route) { shortLatency(r); r.MaxAttempts = 2 })
			if when == "before the response" {
				tg.setRoutes(shortLatency)
			}
			asked, broken := make(chan struct{}), make(chan struct{})
			slow := tg.server(func(c *conn) {
				begin(c, c.request())
				<-asked
				c.reset()
				close(broken)
			})
			next := tg.server(func(c *conn) {
				r := c.request()
				close(asked)
				<-broken
				time.Sleep(50 * time.Millisecond)
				last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				c.write(streamHead(r))
				for id := last + 1; id <= 3; id++ {
					c.write(event(id))
				}
				c.write("0\r\n\r\n")
			})
			tg.preferInOrder(slow, next)
			tg.alwaysActive()
			status, body, _ := tg.call("/stream/")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", body)
		})
	}
}

// The first replacement is silent, too, and the second one fails: both earlier attempts go
// on, and the caller gets the first one that answers.
func TestSilentReplacementIsReplaced(t *testing.T) {
	for _, answers := range []string{"first", "second", "third"} {
		t.Run(answers, func(t *testing.T) {
			t.Parallel()
			tg := newTestGateway(t)
			tg.setRoutes(func(r *fleet.Route) { shortLatency(r); r.MaxAttempts = 4 })
			last := make(chan struct{})
			server := func(name string) string {
				return tg.server(func(c *conn) {
					r := c.request()
					if r == nil {
						return
					}
					if name == "third" {
						close(last)
					}
					<-last
					if name == answers {
						time.Sleep(100 * time.Millisecond)
						c.write(streamHead(r) + event(1) + "0\r\n\r\n")
					} else if name == "third" {
						c.reset()
					} else {
						c.br.ReadByte() //nolint:errcheck // returns when the gateway closes the connection
					}
				})
			}
			tg.preferInOrder(server("first"), server("second"), server("third"))
			tg.alwaysActive()
			status, body, _ := tg.call("/stream/")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "id: 1\ndata: x\n\n", body)
		})
	}
}

// silentCall returns a request of which an attempt at the server is silent.
func (tg *testGateway) silentCall(silent string) (*call, silentAttempt) {
	view := tg.cache.View()
	c := &call{
		id: "r", w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodPost, "/stream/x", nil),
		route: &fleet.Route{Kind: fleet.Stream, MaxAttempts: 3, TargetLatency: silenceTimeout / firstResponseTimeoutFactor},
		view:  view, service: tg.g.service("s"), ticket: &pace.Ticket{}, features: crashFeatures{{1}, {2}},
		tried: []string{silent}, lastEventID: -1, deadline: tg.g.now() + pauseTestTimeout,
	}
	c.replacements.reset()
	return c, silentAttempt{view.Members[silent], silenceTimeout, 1, func() {}}
}

// A request whose copies run one at a time is not sent on while its attempt is silent, and
// takes no retry from the budget each time the silence is judged.
func TestSuspectedRequestTakesNoRetryFromBudget(t *testing.T) {
	tg := newTestGateway(t)
	tg.g.start = tg.g.start.Add(-time.Minute)
	silent, other := tg.server(serve("ok")), tg.server(serve("ok"))
	tg.alwaysActive()
	c, a := tg.silentCall(silent)
	for i, id := range []string{silent, other} {
		tg.g.crashes.broke(c, tg.cache.View().Members[id], time.Duration(2*i)*time.Second, time.Duration(2*i+1)*time.Second)
		tg.g.crashes.serverDown(id, "entry", time.Duration(2*i+1)*time.Second)
	}
	require.NotNil(t, tg.g.crashes.begin(c, tg.cache.View(), tg.g.now()))
	before := c.service.budget.Balance()
	for range 3 {
		require.False(t, tg.g.replaceSilent(c, a))
	}
	require.False(t, c.replacements.pending())
	require.Equal(t, before, c.service.budget.Balance())
}

// The outcome of the last replacement is recorded as the silence of the replacements is
// judged, not when it is told.
func TestFailureOfLastReplacementIsReturned(t *testing.T) {
	tg := newTestGateway(t)
	silent, next := tg.server(serve("ok")), tg.server(serve("ok"))
	c, _ := tg.silentCall(silent)
	r := &replacement{m: tg.cache.View().Members[next], ctx: t.Context(), began: tg.g.now(), done: make(chan struct{})}
	close(r.done)
	c.replacements.list = []*replacement{r}
	time.AfterFunc(20*time.Millisecond, func() { r.outcome.Store(&replacementOutcome{err: backend.ErrDial}) })
	done, failure := tg.g.adoptReplacement(c)
	require.False(t, done)
	require.NotNil(t, failure)
	require.Equal(t, api.Unreachable, failure.Code)
}

// A server that failed before and has not answered when its attempt is cancelled does not
// count as sound again.
func TestCancelledReplacementRestoresNoServer(t *testing.T) {
	tg := newTestGateway(t)
	tg.g.start = tg.g.start.Add(-time.Minute)
	silent, next := tg.server(serve("ok")), tg.server(serve("ok"))
	c, _ := tg.silentCall(silent)
	m := tg.cache.View().Members[next]
	st := c.service.stateOf(m)
	st.health.eject(0, minEjection)
	require.Equal(t, m, c.service.pick([]*fleet.Member{m}, "", nil, tg.g.now(), coldPolicy{}))
	require.True(t, st.health.probing)
	r := &replacement{m: m, ctx: t.Context(), began: tg.g.now(), done: make(chan struct{})}
	r.cancel = sync.OnceFunc(func() {
		r.outcome.Store(&replacementOutcome{err: backend.ErrNoResponse})
		close(r.done)
	})
	c.replacements.list = []*replacement{r}
	tg.g.dropReplacements(c)
	require.Zero(t, st.inFlight)
	require.False(t, st.health.probing, "the next request may probe the server")
	require.Positive(t, st.health.ejectedUntil)
}

package gateway

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/admit"
	"marjorampitch/fleet"
	"marjorampitch/internal/pipetest"
)

// A stalled group is not active because another group of the same service is.
// Otherwise its streams are taken for silent connections and aborted: 40 streams on
// a simulated day of bryllupslyd-dk-grown on the users' test bench (quiet-1 seed
// 825167132052).
func TestGroupActivityIsPerGroup(t *testing.T) {
	s := newService("s", nil, noStatements(), log.New(io.Discard))
	s.listed = map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	s.observeFirstEvent(time.Second, "a1", time.Millisecond)
	s.observeGap(3*time.Second, "b", "b1", time.Millisecond)
	require.True(t, s.activeFor("b1", 0, 3*time.Second))
	require.False(t, s.activeFor("a1", 0, 3*time.Second))
	s.observeGap(4*time.Second, "a", "a1", time.Millisecond)
	require.True(t, s.activeFor("a2", 0, 4*time.Second))
}

// keepActive reports events of other streams of all servers until the test ends.
func (tg *testGateway) keepActive() {
	done := make(chan struct{})
	tg.t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(groupActivityWindow / 6):
				for id := range tg.cache.View().Members {
					tg.g.service("s").observeGap(tg.g.now(), defaultGroup, id, time.Millisecond)
				}
			}
		}
	}()
}

// event returns a chunk with one event.
func event(id int) string {
	e := fmt.Sprintf("id: %d\ndata: x\n\n", id)
	return fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
}

func streamHead(r *http.Request) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") +
		"\r\nX-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func TestSilentStreamIsNotCutWithoutFurtherAttempt(t *testing.T) {
	const pause = 2 * silenceTimeout
	limited := map[string]struct {
		path  string
		setUp func(tg *testGateway)
	}{
		"not resumable":   {"/fixed/", func(tg *testGateway) { tg.server(serve("other")) }},
		"no other server": {"/stream/", func(*testGateway) {}},
		"no retry budget": {"/stream/", func(tg *testGateway) {
			tg.server(serve("other"))
			tg.g.service("s").budget = admit.NewRetryBudget(0, 0)
		}},
		"attempts used up": {"/stream/", func(tg *testGateway) { tg.server(serve("other")); tg.singleAttempt() }},
	}
	servers := map[string]func(c *conn){
		"in the stream": func(c *conn) {
			r := c.request()
			c.write(streamHead(r) + event(1))
			time.Sleep(pause)
			c.write(event(2) + "0\r\n\r\n")
		},
		"before the response": func(c *conn) {
			r := c.request()
			time.Sleep(pause)
			c.write(streamHead(r) + event(1) + event(2) + "0\r\n\r\n")
		},
	}
	for limit, l := range limited {
		for when, handle := range servers {
			t.Run(limit+", "+when, func(t *testing.T) {
				t.Parallel()
				tg := newTestGateway(t)
				tg.document(func(d *fleet.Document) {
					d.Version = 2
					for i := range d.Routes {
						d.Routes[i].TargetLatency = pause / 4
					}
				})
				slow := tg.server(handle)
				l.setUp(tg)
				tg.onlyFirst(slow)
				tg.keepActive()
				status, body, _ := tg.call(l.path)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, 2, strings.Count(body, "data: x"), body)
				require.NotContains(t, body, "CUT")
			})
		}
	}
}

func TestSilentStreamGoesOnAtAnotherServer(t *testing.T) {
	for when, begin := range map[string]func(c *conn, r *http.Request){
		"in the stream":       func(c *conn, r *http.Request) { c.write(streamHead(r) + event(1)) },
		"before the response": func(*conn, *http.Request) {},
	} {
		t.Run(when, func(t *testing.T) {
			t.Parallel()
			tg := newTestGateway(t)
			first := tg.server(func(c *conn) {
				begin(c, c.request())
				c.request() // returns when the gateway closes the connection
			})
			other := tg.server(func(c *conn) {
				r := c.request()
				last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				c.write(streamHead(r))
				for id := last + 1; id <= 3; id++ {
					c.write(event(id))
				}
				c.write("0\r\n\r\n")
			})
			tg.preferInOrder(first, other)
			tg.keepActive()
			status, body, _ := tg.call("/stream/")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", body)
		})
	}
}

// onlyFirst makes the first request go to this server.
func (tg *testGateway) onlyFirst(id string) {
	s := tg.g.service("s")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range tg.cache.View().Members {
		if m.ID != id {
			s.stateOf(m).inFlight = 1 << 10
		}
	}
}

// singleAttempt publishes a document that allows one attempt.
func (tg *testGateway) singleAttempt() {
	d := *tg.cache.View().Document
	tg.document(func(n *fleet.Document) {
		n.Version, n.Routes = d.Version+1, slices.Clone(d.Routes)
		for i := range n.Routes {
			n.Routes[i].MaxAttempts = 1
		}
	})
}

// Streams with neither a length nor chunks end with their connection.
func TestStreamWithoutLength(t *testing.T) {
	head := func(r *http.Request) string {
		return strings.Replace(streamHead(r), "Transfer-Encoding: chunked\r\n", "", 1)
	}
	whole := func(c *conn) { c.write(head(c.request()) + events(1, 3)) }
	broken := map[string]func(c *conn){
		"within an event":        func(c *conn) { c.write(head(c.request()) + events(1, 2) + "id: 3\nda") },
		"before the first event": func(c *conn) { c.write(head(c.request())) },
		"in the head":            func(c *conn) { c.write(strings.TrimSuffix(head(c.request()), "\r\n\r\n")) },
		"reset": func(c *conn) {
			c.write(head(c.request()) + events(1, 2))
			time.Sleep(30 * time.Millisecond)
			c.reset()
		},
	}
	t.Run("whole", func(t *testing.T) {
		tg := newTestGateway(t)
		tg.server(whole)
		status, body, _ := tg.call("/fixed/")
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, events(1, 3), body)
	})
	for name, handle := range broken {
		t.Run(name+", resumed", func(t *testing.T) {
			tg := newTestGateway(t)
			first := tg.server(handle)
			tg.server(func(c *conn) {
				r := c.request()
				last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				c.write(head(r) + events(last+1, 3))
			})
			tg.onlyFirst(first)
			status, body, _ := tg.call("/stream/")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, events(1, 3), body)
		})
		t.Run(name+", not resumable", func(t *testing.T) {
			tg := newTestGateway(t)
			tg.server(handle)
			status, body, _ := tg.call("/fixed/")
			require.True(t, status == http.StatusBadGateway || strings.HasSuffix(body, " CUT"), "status %d, body %q", status, body)
		})
	}
}

// serveStreams answers streams; script writes the events of the nth one.
func serveStreams(script func(n int, c *conn)) func(c *conn) {
	var served atomic.Int64
	return func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			c.write(strings.Replace(streamHead(r), "\r\n\r\n", "\r\nKeep-Alive: timeout=9\r\n\r\n", 1))
			script(int(served.Add(1)), c)
			c.write("0\r\n\r\n")
		}
	}
}

func resetRequest(c *conn) {
	c.request()
	c.reset()
}

// preferInOrder makes the gateway try the servers in this order.
func (tg *testGateway) preferInOrder(ids ...string) {
	s := tg.g.service("s")
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, id := range ids {
		s.stateOf(tg.cache.View().Members[id]).inFlight = i << 10
	}
}

// The second stream uses the connection of the first, which was silent until it ended.
func TestWatchOfEndedStreamDoesNotCutNextStream(t *testing.T) {
	t.Parallel()
	tg := newTestGateway(t)
	tg.document(allowTime)
	silent, finish := make(chan struct{}), make(chan struct{})
	first := tg.server(serveStreams(func(n int, c *conn) {
		c.write(event(0))
		if n == 1 {
			close(silent)
			<-finish
			return
		}
		for id := 1; id <= 20; id++ {
			time.Sleep(100 * time.Millisecond)
			c.write(event(id))
		}
	}))
	tg.preferInOrder(first, tg.server(resetRequest))
	s := tg.g.service("s")
	ended := make(chan string, 1)
	go func() {
		_, body, _ := tg.call("/stream/")
		ended <- body
	}()
	<-silent
	time.Sleep(silenceTimeout - 100*time.Millisecond)
	s.mu.Lock() // delays the judgement of the silence
	time.Sleep(200 * time.Millisecond)
	close(finish)
	time.Sleep(200 * time.Millisecond)
	s.mu.Unlock()
	require.NotContains(t, <-ended, "CUT")
	_, body, _ := tg.call("/stream/")
	require.NotContains(t, body, "CUT")
	require.Contains(t, body, "id: 20")
}

func TestCallerThatDoesNotReadIsNotSilenceOfServer(t *testing.T) {
	t.Parallel()
	tg := newUnservedGateway(t)
	tg.document(allowTime)
	var resumed atomic.Bool
	first := tg.server(serveStreams(func(_ int, c *conn) {
		for id := 1; id <= 30; id++ {
			c.write(event(id))
			time.Sleep(50 * time.Millisecond)
		}
	}))
	other := tg.server(func(c *conn) {
		resumed.Store(true)
		resetRequest(c)
	})
	tg.preferInOrder(first, other)
	tg.keepActive()
	ln := pipetest.NewListener()
	tg.serveOn(ln)
	c := dialPipe(ln)
	go io.WriteString(c.conn, "POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Id: ff\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n")
	resp, err := http.ReadResponse(c.br, nil)
	require.NoError(t, err)
	_, err = resp.Body.Read(make([]byte, 10))
	require.NoError(t, err)
	time.Sleep(2 * silenceTimeout)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Contains(t, string(rest), "id: 30")
	require.False(t, resumed.Load())
}

// The data arrives while the watch is judging the silence.
func TestDataThatArrivesAsSilenceIsJudgedSparesStream(t *testing.T) {
	for when, write := range map[string]struct {
		before, late func(c *conn, r *http.Request)
	}{
		"in the stream": {
			func(c *conn, r *http.Request) { c.write(streamHead(r) + event(0)) },
			func(c *conn, _ *http.Request) { c.write(event(1)) },
		},
		"before the response": {
			func(*conn, *http.Request) {},
			func(c *conn, r *http.Request) { c.write(streamHead(r) + event(0) + event(1)) },
		},
	} {
		t.Run(when, func(t *testing.T) {
			t.Parallel()
			tg := newTestGateway(t)
			tg.document(func(d *fleet.Document) {
				d.Version = 2
				for i := range d.Routes {
					d.Routes[i].TargetLatency = silenceTimeout / firstResponseTimeoutFactor
				}
			})
			silent, resume := make(chan struct{}), make(chan struct{})
			first := tg.server(func(c *conn) {
				r := c.request()
				write.before(c, r)
				close(silent)
				<-resume
				write.late(c, r)
				time.Sleep(silenceTimeout / 2)
				c.write(event(2) + "0\r\n\r\n")
			})
			tg.preferInOrder(first, tg.server(resetRequest))
			s := tg.g.service("s")
			ended := make(chan string, 1)
			go func() {
				_, body, _ := tg.call("/stream/")
				ended <- body
			}()
			<-silent
			time.Sleep(silenceTimeout - 100*time.Millisecond)
			s.mu.Lock() // delays the judgement of the silence
			time.Sleep(200 * time.Millisecond)
			close(resume)
			time.Sleep(100 * time.Millisecond)
			s.activity[s.activityKey(first)] = activePeriod{0, tg.g.now()} // events of another stream
			s.mu.Unlock()
			body := <-ended
			require.NotContains(t, body, "CUT")
			require.Contains(t, body, "id: 2")
		})
	}
}

// unreachableServer adds a server at whose address nothing listens and returns its id.
func (tg *testGateway) unreachableServer() string {
	tg.servers++
	id := fmt.Sprint("i-", tg.servers)
	tg.cache.Apply([]fleet.Change{&fleet.Server{ID: id, Service: "s", Address: fmt.Sprintf("127.0.0.%d:1", tg.servers), Slots: 4, Seq: 1}}, 1)
	return id
}

// The failed dials leave one attempt within maxServerAttempts.
func TestSilentStreamAfterFailedDialsGoesOnAtAnotherServer(t *testing.T) {
	t.Parallel()
	tg := newTestGateway(t)
	tg.document(allowTime)
	var order []string
	for range maxServerAttempts - 1 {
		order = append(order, tg.unreachableServer())
	}
	silent := tg.server(func(c *conn) {
		c.write(streamHead(c.request()) + event(1))
		c.request() // returns when the gateway closes the connection
	})
	next := tg.server(func(c *conn) { c.write(streamHead(c.request()) + event(2) + "0\r\n\r\n") })
	tg.preferInOrder(append(order, silent, next)...)
	tg.keepActive()
	status, body, _ := tg.call("/stream/")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", body)
}

// The only server that could go on with the silent stream does not.
func TestSilentStreamIsNotCutForAnAttemptThatFails(t *testing.T) {
	for name, handle := range map[string]func(c *conn){
		"refuses": func(c *conn) {
			for r := c.request(); r != nil; r = c.request() {
				c.write("HTTP/1.1 503 X\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Not-Run: full\r\nContent-Length: 0\r\n\r\n")
			}
		},
		"resets": resetRequest,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tg := newTestGateway(t)
			slow := tg.server(func(c *conn) {
				c.write(streamHead(c.request()) + event(1))
				time.Sleep(2 * silenceTimeout)
				c.write(event(2) + "0\r\n\r\n")
			})
			tg.preferInOrder(slow, tg.server(handle))
			tg.keepActive()
			status, body, _ := tg.call("/stream/")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", body)
		})
	}
}

// setGroups assigns the servers to rank groups, as the directory would.
func (tg *testGateway) setGroups(groups map[string]string) {
	byAddress := make(map[string]string)
	for id, group := range groups {
		byAddress[tg.cache.View().Members[id].Address] = group
	}
	s, view := tg.g.service("s"), tg.cache.View()
	tg.g.gate(s, view, view.Document.Match("h", "/stream/"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateGroups(tg.cache.View().Services["s"], byAddress, nil, time.Second)
}

// The gateway learns the groups after it has admitted streams, as one does that starts
// while the store is away. One group is held while the other goes on.
func TestStreamOfHeldGroupIsNotSilentWhileAnotherGroupGoesOn(t *testing.T) {
	t.Parallel()
	tg := newTestGateway(t)
	tg.document(allowTime)
	var arrivals atomic.Int64
	grouped := make(chan struct{})
	held := tg.server(func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			arrivals.Add(1)
			c.write(streamHead(r) + event(1))
			<-grouped
			time.Sleep(2 * silenceTimeout)
			c.write(event(2) + "0\r\n\r\n")
		}
	})
	busy := tg.server(func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			arrivals.Add(1)
			c.write(streamHead(r))
			for id := range 60 {
				c.write(event(id + 1))
				time.Sleep(groupActivityWindow / 6)
			}
			c.write("0\r\n\r\n")
		}
	})
	bodies := make(chan string, 3)
	for _, order := range [][]string{{held, busy}, {busy, held}} {
		tg.preferInOrder(order...)
		resp := tg.open("/stream/")
		go func() {
			body, err := io.ReadAll(resp.Body)
			bodies <- fmt.Sprint(string(body), err)
		}()
	}
	tg.setGroups(map[string]string{held: "a", busy: "b"})
	close(grouped)
	for range 2 {
		require.Contains(t, <-bodies, "<nil>")
	}
	require.EqualValues(t, 2, arrivals.Load(), "a stream was sent on to the other server")
}

// Both streams of a group are held; one of them has its next event a little earlier.
func TestStreamIsNotSilentAsItsGroupGoesOn(t *testing.T) {
	t.Parallel()
	tg := newTestGateway(t)
	var arrivals atomic.Int64
	release := make(chan struct{})
	server := func(delay time.Duration) func(c *conn) {
		return func(c *conn) {
			for r := c.request(); r != nil; r = c.request() {
				arrivals.Add(1)
				c.write(streamHead(r) + event(1))
				<-release
				time.Sleep(delay)
				c.write(event(2))
				time.Sleep(groupActivityWindow)
				c.write(event(3) + "0\r\n\r\n")
			}
		}
	}
	first, second := tg.server(server(0)), tg.server(server(groupActivityWindow/2))
	third := tg.server(serve("other"))
	bodies := make(chan string, 2)
	for _, order := range [][]string{{first, second, third}, {second, first, third}} {
		tg.setGroups(map[string]string{first: "a", second: "a", third: "a"})
		tg.preferInOrder(order...)
		resp := tg.open("/stream/")
		go func() {
			body, err := io.ReadAll(resp.Body)
			bodies <- fmt.Sprint(string(body), err)
		}()
	}
	time.Sleep(2*silenceTimeout - groupActivityWindow/4)
	close(release)
	for range 2 {
		require.Contains(t, <-bodies, "<nil>")
	}
	require.EqualValues(t, 2, arrivals.Load(), "a stream was sent on to another server")
}

package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
)

// resting turns every request away with this Retry-After, if any, and counts them.
func resting(retryAfter string, arrived *atomic.Int64) func(c *conn) {
	header := ""
	if retryAfter != "" {
		header = "Retry-After: " + retryAfter + "\r\n"
	}
	return func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			arrived.Add(1)
			c.write("HTTP/1.1 503 X\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Not-Run: 1\r\n" + header +
				"Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func TestServerThatAsksForRestGetsNoRequests(t *testing.T) {
	tg := newTestGateway(t)
	var arrived atomic.Int64
	tg.server(resting("30", &arrived))
	tg.server(serve("ok"))
	for _, path := range []string{"/again/x", "/once/x", "/stream/x"} {
		for range 20 {
			status, _, _ := tg.call(path)
			assert.Equal(t, http.StatusOK, status)
		}
	}
	require.LessOrEqual(t, arrived.Load(), int64(1), "requests to a server that has asked for rest with its first answer")
}

// A change of what the gateway knows of its deployment must not end a rest.
func TestRestOutlastsChangesOfTheDeployment(t *testing.T) {
	tg := newTestGateway(t)
	var arrived atomic.Int64
	id := tg.server(resting("30", &arrived))
	status, _, _ := tg.call("/again/x")
	require.Equal(t, http.StatusServiceUnavailable, status)
	entry := tg.cache.View().Members[id].Server
	for _, c := range []struct {
		name   string
		change func()
	}{
		{"document", func() { tg.document(func(d *fleet.Document) { d.Version = 2 }) }},
		{"entry", func() {
			next := entry
			next.Seq, next.Slots = entry.Seq+1, entry.Slots+1
			tg.cache.Apply([]fleet.Change{&next}, 1)
		}},
		{"entry gone and back", func() {
			tg.cache.Apply([]fleet.Change{&fleet.ServerGone{ID: id, Invalid: true}}, 1)
			tg.g.service("s").prune(tg.cache.View())
			tg.g.statements.update(nil, tg.cache.View(), tg.g.now())
			tg.cache.Apply([]fleet.Change{&entry}, 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.change()
			status, _, _ := tg.call("/again/x")
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.EqualValues(t, 1, arrived.Load())
		})
	}
	restarted := entry
	restarted.StartedAt++
	tg.cache.Apply([]fleet.Change{&restarted}, 1)
	tg.call("/again/x")
	require.EqualValues(t, 2, arrived.Load(), "another incarnation has not asked for rest")
}

// While all servers rest, requests are refused at once, and told when the first rest ends.
func TestRequestsAreRefusedWhileAllServersRest(t *testing.T) {
	for _, path := range []string{"/again/x", "/once/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			tg := newTestGateway(t)
			var long, short atomic.Int64
			tg.server(resting("3600", &long))
			tg.server(resting("1800", &short))
			for range 10 {
				status, body, h := tg.call(path)
				require.Equal(t, http.StatusServiceUnavailable, status)
				require.Contains(t, body, "217 servers-resting")
				after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.Greater(t, after, 1500.0)
				require.LessOrEqual(t, after, (30*time.Minute + 2*time.Second).Seconds())
			}
			require.EqualValues(t, 1, long.Load())
			require.EqualValues(t, 1, short.Load())
		})
	}
}

// A stream that breaks off goes on at a server that does not rest.
func TestStreamIsNotResumedAtAServerThatRests(t *testing.T) {
	tg := newTestGateway(t)
	var arrived atomic.Int64
	tg.server(resting("30", &arrived))
	tg.call("/stream/x")
	var runs atomic.Int64
	breakingOff := func(c *conn) {
		r := c.request()
		if r == nil {
			return
		}
		if runs.Add(1) == 1 {
			stream(c, r, "seal", 0, 3, false)
			return
		}
		stream(c, r, "seal", 4, 6, true)
	}
	tg.server(breakingOff)
	tg.server(breakingOff)
	tg.g.updateAllGroups()
	status, body, _ := tg.call("/stream/x")
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, events(0, 6), body)
	require.EqualValues(t, 1, arrived.Load())
}

// A server may ask for rest in any 503, also one that does not say that the request has not run.
func TestRestInAnyUnavailableAnswer(t *testing.T) {
	x, m := noStatements(), &fleet.Member{}
	answer := func(status int) *http.Response {
		return &http.Response{StatusCode: status, Header: http.Header{"Retry-After": {"3"}}}
	}
	for _, status := range []int{http.StatusOK, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusInternalServerError} {
		x.observe(m, answer(status), time.Second)
		require.Zero(t, x.resting([]*fleet.Member{m}, time.Second), status)
	}
	x.observe(m, answer(http.StatusServiceUnavailable), time.Second)
	require.Equal(t, 1, x.resting([]*fleet.Member{m}, 4*time.Second-1))
	require.Zero(t, x.resting([]*fleet.Member{m}, 4*time.Second))
}

func TestRestHeader(t *testing.T) {
	const date = "Fri, 04 Dec 2026 12:00:00 GMT"
	for _, c := range []struct {
		name   string
		values []string
		rest   time.Duration
	}{
		{"none", nil, 0},
		{"whole", []string{"3"}, 3 * time.Second},
		{"decimal", []string{"0.25"}, 250 * time.Millisecond},
		{"zero", []string{"0"}, 0},
		{"date", []string{"Fri, 04 Dec 2026 12:00:07 GMT"}, 7 * time.Second},
		{"date in the past", []string{"Fri, 04 Dec 2026 11:00:00 GMT"}, 0},
		{"twice", []string{"2", "5"}, 5 * time.Second},
		{"twice, one invalid", []string{"x", "5"}, 5 * time.Second},
		{"huge", []string{"1e300"}, maxRest},
		{"beyond the largest number", []string{"1e999"}, maxRest},
		{"date far off", []string{"Fri, 04 Dec 2099 12:00:00 GMT"}, maxRest},
		{"negative", []string{"-1"}, 0},
		{"beyond the lowest number", []string{"-1e999"}, 0},
		{"infinite", []string{"Inf"}, 0},
		{"not a number", []string{"NaN"}, 0},
		{"empty", []string{""}, 0},
		{"with a unit", []string{"3s"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := http.Header{"Retry-After": c.values, "Date": {date}}
			assert.Equal(t, c.rest, noStatements().parseRest(&fleet.Member{}, h))
		})
	}
}

// Servers that turn requests away are tried again with one request at a time, which others serve if need be.
func TestRequestIsNotTurnedAwayByServerAfterServer(t *testing.T) {
	for _, c := range []struct{ name, path, retryAfter string }{
		{"idempotent, after a rest", "/again/x", "0.0001"},
		{"not to be repeated, after a rest", "/once/x", "0.0001"},
		{"stream, after a rest", "/stream/x", "0.0001"},
		{"idempotent, without one", "/again/x", ""},
		{"not to be repeated, without one", "/once/x", ""},
		{"stream, without one", "/stream/x", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			tg := newTestGateway(t)
			var arrived [4]atomic.Int64
			for i := range arrived {
				tg.server(resting(c.retryAfter, &arrived[i]))
			}
			tg.server(serve("ok"))
			total := func() (n int64) {
				for i := range arrived {
					n += arrived[i].Load()
				}
				return n
			}
			for i := range arrived {
				for arrived[i].Load() == 0 {
					tg.call(c.path)
				}
			}
			for range 30 {
				before := total()
				status, body, _ := tg.call(c.path)
				assert.Equal(t, http.StatusOK, status, body)
				assert.LessOrEqual(t, total()-before, int64(1), "servers that turned the request away")
			}
		})
	}
}

// A rest holds whatever the reason of the refusal, here a stalled rank group.
func TestServersOfAStalledGroupGetTheirRest(t *testing.T) {
	tg := newTestGateway(t)
	var arrived [2]atomic.Int64
	for i := range arrived {
		tg.server(func(c *conn) {
			for r := c.request(); r != nil; r = c.request() {
				arrived[i].Add(1)
				c.write("HTTP/1.1 503 X\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Not-Run: 1\r\nX-At: i-1\r\nRetry-After: 30\r\n" +
					"Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n")
			}
		})
	}
	for range 5 {
		status, _, h := tg.call("/stream/x")
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, h.Get("Retry-After"))
	}
	for i := range arrived {
		require.LessOrEqual(t, arrived[i].Load(), int64(1))
	}
}

// While one server is at its limit and the other rests, neither gets more.
func TestRestBesideALimit(t *testing.T) {
	tg := newTestGateway(t)
	tg.g.start = time.Now().Add(-time.Minute)
	var arrived atomic.Int64
	tg.server(resting("30", &arrived))
	tg.server(limiting("1.0"))
	served := 0
	for range 50 {
		status, _, h := tg.call("/again/x")
		if status == http.StatusOK {
			served++
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, h.Get("Retry-After"))
	}
	require.LessOrEqual(t, served, 11, "requests in 4 s at 1 a second, with half as much again and 5 tolerated")
	require.EqualValues(t, 1, arrived.Load())
}

// A refusal because of the request says nothing of what the server does with others.
func TestServerThatRefusesAMalformedRequestStaysPreferred(t *testing.T) {
	tg := newTestGateway(t)
	id := tg.server(func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			c.write("HTTP/1.1 400 X\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Not-Run: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n")
		}
	})
	tg.call("/again/x")
	m := tg.cache.View().Members[id]
	require.Nil(t, tg.g.statements.excluded([]*fleet.Member{m}, false, true, tg.g.now()))
}

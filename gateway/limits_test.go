package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
	"marjorampitch/wire"
)

// noStatements returns the statements of a deployment whose servers make none.
func noStatements() *serverStatements { return newServerStatements("", "", log.New(io.Discard)) }

// limiting answers each request and states a limit.
func limiting(limit string) func(c *conn) {
	return func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			c.write("HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Seal: seal\r\nX-Limit: " + limit + "\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// A server that states a limit must not get what the gateway could send it.
func TestServerLimitIsKept(t *testing.T) {
	tg := newTestGateway(t)
	tg.g.start = time.Now().Add(-time.Minute)
	tg.server(limiting("1.0"))
	served, refused := 0, 0
	const calls = 50 // within a small part of a second
	for range calls {
		status, _, h := tg.call("/again/x")
		switch status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
			assert.NotEmpty(t, h.Get("Retry-After"))
		}
	}
	assert.Equal(t, calls, served+refused)
	assert.LessOrEqual(t, served, 11, "requests in 4 s at 1 a second, with half as much again and 5 tolerated")
}

// The others take what a server does not.
func TestRequestsGoToServersWithoutLimit(t *testing.T) {
	tg := newTestGateway(t)
	tg.server(limiting("0.5"))
	tg.server(serve("ok"))
	for range 30 {
		status, _, _ := tg.call("/again/x")
		require.Equal(t, http.StatusOK, status)
	}
}

// A limit that a peer reports holds for the next request.
func TestServerLimitOfPeerIsKept(t *testing.T) {
	sender, receiver := newTestGateway(t), newTestGateway(t)
	id := receiver.server(limiting("1.0"))
	sender.g.opts.Settings.Instance = "sender"
	m := receiver.cache.View().Members[id]
	sender.g.statements.observe(m, &http.Response{StatusCode: http.StatusOK, Header: http.Header{"X-Limit": {"1.0"}}}, time.Second)
	for range 100 {
		sender.g.statements.sent(m, time.Second)
	}
	data, err := sender.g.peers.limitReport(sender.g.statements.report(time.Second)).MarshalMsg([]byte{wire.KindLimitReport})
	require.NoError(t, err)
	require.NoError(t, receiver.g.peers.handleDatagram(data))
	status, _, _ := receiver.call("/again/x")
	require.Equal(t, http.StatusServiceUnavailable, status)
}

func TestServerLimitHeader(t *testing.T) {
	for _, c := range []struct {
		name    string
		values  []string
		rate    float64
		limited bool
	}{
		{"none", nil, 0, false},
		{"decimal", []string{"2.5"}, 2.5, true},
		{"whole", []string{"3"}, 3, true},
		{"zero", []string{"0"}, 0, true},
		{"huge", []string{"1e300"}, 1e300, true},
		{"twice", []string{"4", "2"}, 2, true},
		{"twice, one invalid", []string{"x", "2"}, 2, true},
		{"negative", []string{"-1"}, 0, false},
		{"empty", []string{""}, 0, false},
		{"not a number", []string{"NaN"}, 0, false},
		{"infinite", []string{"+Inf"}, 0, false},
		{"beyond the largest number", []string{"1e999"}, 0, false},
		{"with a unit", []string{"2/s"}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newServerStatements("", "X-Limit", log.New(io.Discard))
			rate, limited := x.parseLimit(&fleet.Member{}, http.Header{"X-Limit": c.values})
			assert.InDelta(t, c.rate, rate, 0)
			assert.Equal(t, c.limited, limited)
		})
	}
}

// The answer of another server at the address says nothing of the one that was meant.
func TestServerLimitOfMisdirectedRequest(t *testing.T) {
	x := newServerStatements("", "X-Limit", log.New(io.Discard))
	m := &fleet.Member{}
	x.observe(m, &http.Response{StatusCode: http.StatusMisdirectedRequest, Header: http.Header{"X-Limit": {"1"}}}, time.Second)
	require.Zero(t, x.limited([]*fleet.Member{m}))
}

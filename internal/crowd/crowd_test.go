package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// standTime is how long a crowd that has done what it does stays, so that the process reads
// what has been sent.
const standTime = 300 * time.Millisecond

// door is a listener and a path at which clients come.
type door struct {
	name  string
	start func(t *testing.T) (d *daemon, host string)
	port  string // that host lacks
	path  string
	// fields of each request. $ID stands for a new id.
	fields string
}

// Fields by which a gateway and an entry know a request.
const (
	gatewayFields = "Marjorampitch-Request-Id: $ID\r\n"
	entryFields   = "X-Organisation: org\r\n"
)

var doors = []door{
	{"gateway, idempotent route", startGateway, frontPort, "/again/x", gatewayFields},
	{"gateway, non-idempotent route", startGateway, frontPort, "/once/x", gatewayFields},
	{"gateway, stream", startGateway, frontPort, "/stream/x", gatewayFields},
	{"gateway, no route", startGateway, frontPort, "/nowhere/x", gatewayFields},
	{"gateway, path of the readiness", startGateway, frontPort, readyPath, gatewayFields},
	{"gateway, readiness listener", startGateway, readyPort, readyPath, ""},
	{"gateway, readiness listener, no route", startGateway, readyPort, "/nowhere/x", ""},
	{"gateway, metrics listener", startGateway, metricsPort, "/metrics", ""},
	{"rebalancer, metrics listener", startRebalancer, metricsPort, "/metrics", ""},
	{"entry, chat", startEntry, "", "/v1/chat/completions", entryFields},
	{"entry, idempotent route", startEntry, "", "/availability", entryFields},
	{"entry, no route", startEntry, "", "/nowhere", entryFields},
	{"entry, readiness", startEntryStatus, "", "/readyz", ""},
	{"entry, metrics", startEntryStatus, "", "/metrics", ""},
	{"side, readiness", startSide, "", "/readyz", ""},
}

// Each kind of client at each door: the process lives, stays within its memory and its
// descriptors, serves an ordinary client beside the crowd and after it, and has its
// descriptors back.
func TestCrowds(t *testing.T) {
	for _, at := range doors {
		t.Run(at.name, func(t *testing.T) {
			for _, k := range append(kinds, allInTurn) {
				t.Run(k.name, func(t *testing.T) { testCrowd(t, at, k) })
			}
		})
	}
}

func testCrowd(t *testing.T, at door, k kind) {
	d, host := at.start(t)
	g := gather(crowdSize, k, host+at.port, at)
	time.Sleep(standTime)
	d.mustServe("beside the crowd")
	g.leave()
	d.mustServe("after the crowd")
	d.mustRecover()
	d.checkLimits()
}

// A head that uses the whole limit of the document is served, also if it consists of very
// many fields. Its client returns after a 503, as ordinary clients do: a server that has just
// been announced takes few requests at first.
func TestLegalHeadOfManyFieldsIsServed(t *testing.T) {
	d, host := startGateway(t)
	d.probe = func(ctx context.Context) error {
		c, err := dial(ctx, host+frontPort, "/again/x", gatewayFields)
		if err != nil {
			return err
		}
		defer c.Close()
		const last = "Content-Length: 0\r\n"
		c.head(shortFields(headLimit-len(c.text(last))) + last)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err
		}
		require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, resp.StatusCode, d.lastLines())
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	}
	d.mustServe("in calm")
}

// Clients that keep their promises do not suffer from a crowd that takes all connections: a
// body that is sent slowly is served, and an idle connection stays usable.
func TestSoundClientsBesideCrowd(t *testing.T) {
	d, host := startGateway(t)
	idle, err := dial(t.Context(), host+frontPort, "/again/x", gatewayFields)
	require.NoError(t, err)
	defer idle.Close()
	slow, err := dial(t.Context(), host+frontPort, "/again/x", gatewayFields)
	require.NoError(t, err)
	defer slow.Close()
	answers := map[*client]*bufio.Reader{idle: bufio.NewReader(idle), slow: bufio.NewReader(slow)}
	status := func(c *client) int {
		require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
		resp, err := http.ReadResponse(answers[c], nil)
		require.NoError(t, err, d.lastLines())
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		return resp.StatusCode
	}
	for served := false; !served; time.Sleep(sampleTime) { // a server that has just been announced takes few requests at first
		idle.head("Content-Length: 0\r\n")
		served = status(idle) == http.StatusOK
	}
	const body = 200
	slow.head(fmt.Sprintf("Content-Length: %d\r\n", body))
	slow.write("x")
	g := gather(crowdSize, kind{send: func(*client) {}}, host+frontPort, doors[0])
	defer g.leave()
	require.NoError(t, slow.SetDeadline(time.Now().Add(patience)))
	slow.slowly(strings.Repeat("x", body-1))
	require.Equal(t, http.StatusOK, status(slow))
	idle.head("Content-Length: 0\r\n")
	require.Equal(t, http.StatusOK, status(idle))
	d.checkLimits()
}

// After crowds of every kind, one after the other, nothing is held for them any more, and as
// many large requests as ever are served at once.
func TestFullShareAfterCrowds(t *testing.T) {
	const large = 16 // requests of bodyLimit bytes, about half of what fits
	d, host := startGateway(t)
	for _, k := range kinds {
		g := gather(crowdSize, k, host+frontPort, doors[0])
		time.Sleep(standTime)
		g.leave()
	}
	d.mustRecover()
	require.Eventually(t, func() bool {
		held, err := metric(t.Context(), host, "marjorampitch_gateway_held_bytes")
		return err == nil && held == "0"
	}, patience, sampleTime, "memory is not given back")
	d.mustServe("after the crowds")
	results := make(chan error, large)
	for range large {
		go func() { results <- request(t.Context(), host+frontPort, "/again/x", bodyLimit) }()
	}
	for range large {
		require.NoError(t, <-results)
	}
	d.checkLimits()
}

// metric returns the value of a metric of a gateway.
func metric(ctx context.Context, host, name string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+metricsPort+"/metrics", nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	_, rest, found := strings.Cut(string(data), "\n"+name+" ")
	if !found {
		return "", fmt.Errorf("no metric %s", name)
	}
	value, _, _ := strings.Cut(rest, "\n")
	return value, nil
}

package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marjorampitch/platform"
	"marjorampitch/platform/platformtest"
)

// Caller behaviour.
const (
	pauseMean   = 40 * time.Millisecond
	callTimeout = 8 * time.Second
)

// organisationOf returns the organisation that an API key belongs to.
func organisationOf(key string) string {
	org, _, _ := strings.Cut(key, "-")
	return org
}

// cutLast is strings.Cut around the last instance of sep.
func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// runCaller sends requests as caller n until ctx ends. It reuses open connections
// until the process behind them is gone.
func (tb *testbed) runCaller(ctx context.Context, n int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		g := tb.gateways[int(tb.randomFloat()*float64(len(tb.gateways)))]
		id := fmt.Sprintf("%d-%d", n, i)
		r := &request{kind: requestKind(tb.randomFloat() * 3), gateway: g.Name, body: "body of " + id, key: tb.key()}
		r.path = platformtest.RoutePrefixes[r.kind] + id
		tb.checker.sent(id, r)
		tb.sendRequest(ctx, client, g, id, r)
		sleep(ctx, time.Duration(tb.randomFloat()*2*float64(pauseMean)))
	}
}

// sendRequest sends one request and passes the answer to the checker.
func (tb *testbed) sendRequest(ctx context.Context, client *http.Client, g *process, id string, r *request) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if tb.randomFloat() < 0.03 {
		time.AfterFunc(time.Duration(tb.randomFloat()*300)*time.Millisecond, cancel) // the caller disconnects
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.frontRelay.Address()+r.path, strings.NewReader(r.body))
	if err != nil {
		tb.checker.Violation("test harness", err.Error())
		return
	}
	req.Host = platformtest.RouteHost
	req.Header.Set(platform.HeaderNames.RequestID, id)
	req.Header.Set(platform.HeaderNames.Key, r.key)
	req.Header.Set(platform.HeaderNames.Deadline, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		tb.answerCut(ctx, id, g)
		return
	}
	defer resp.Body.Close()
	tb.checker.answered(id, resp)
	if resp.StatusCode == http.StatusOK && r.kind == streamed {
		tb.readStream(ctx, id, g, resp.Body)
		return
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		tb.answerCut(ctx, id, g)
	case resp.StatusCode == http.StatusOK:
		tb.checker.completeAnswer(id, resp.Header.Get(platform.HeaderNames.Seal), string(body))
	}
}

// answerCut reports a missing or truncated answer to the checker, unless the
// caller itself disconnected.
func (tb *testbed) answerCut(ctx context.Context, id string, g *process) {
	if ctx.Err() == nil {
		tb.checker.answerCut(id, g.Name)
	}
}

// readStream reads a stream to its end and passes every event to the checker.
func (tb *testbed) readStream(ctx context.Context, id string, g *process, body io.Reader) {
	lines := bufio.NewReader(body)
	n := -1
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			tb.checker.streamEnded(id, err == io.EOF)
			if err != io.EOF {
				tb.answerCut(ctx, id, g)
			}
			return
		}
		switch field, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": "); field {
		case "id":
			if n, err = strconv.Atoi(value); err != nil {
				n = -1
			}
		case "data":
			tb.checker.event(id, n, value)
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

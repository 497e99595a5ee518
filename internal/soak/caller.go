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

// Habits of callers.
const (
	callers     = 12
	pauseMean   = 40 * time.Millisecond
	callTimeout = 8 * time.Second
)

// orgOf is the organisation of a key.
func orgOf(key string) string {
	org, _, _ := strings.Cut(key, "-")
	return org
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// call runs one caller until ctx ends. It keeps using open connections until
// the process behind them is gone.
func (w *world) call(ctx context.Context, n int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		g := w.gateways[int(w.roll()*float64(len(w.gateways)))]
		id := fmt.Sprintf("%d-%d", n, i)
		r := &record{kind: kind(w.roll() * 3), body: "body of " + id, key: w.key()}
		r.path = platformtest.RoutePrefixes[r.kind] + id
		w.judge.sent(id, r)
		w.ask(ctx, client, g, id, r)
		sleep(ctx, time.Duration(w.roll()*2*float64(pauseMean)))
	}
}

// ask sends one request and judges what comes back.
func (w *world) ask(ctx context.Context, client *http.Client, g *process, id string, r *record) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if w.roll() < 0.03 {
		time.AfterFunc(time.Duration(w.roll()*300)*time.Millisecond, cancel) // callers leave
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front.Address()+r.path, strings.NewReader(r.body))
	if err != nil {
		w.judge.Violation("soak", err.Error())
		return
	}
	req.Host = platformtest.RouteHost
	req.Header.Set(platform.HeaderNames.RequestID, id)
	req.Header.Set(platform.HeaderNames.Key, r.key)
	req.Header.Set(platform.HeaderNames.Deadline, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		w.cut(ctx, id, g)
		return
	}
	defer resp.Body.Close()
	w.judge.answered(id, resp)
	if resp.StatusCode == http.StatusOK && r.kind == streamed {
		w.follow(ctx, id, g, resp.Body)
		return
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		w.cut(ctx, id, g)
	case resp.StatusCode == http.StatusOK:
		w.judge.whole(id, resp.Header.Get(platform.HeaderNames.Seal), string(body))
	}
}

// cut judges an answer that did not come, unless the caller itself has left.
func (w *world) cut(ctx context.Context, id string, g *process) {
	if ctx.Err() == nil {
		w.judge.lost(id, g.Name)
	}
}

// follow judges the events of a stream.
func (w *world) follow(ctx context.Context, id string, g *process, body io.Reader) {
	lines := bufio.NewReader(body)
	n := -1
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			w.judge.ended(id, err == io.EOF)
			if err != io.EOF {
				w.cut(ctx, id, g)
			}
			return
		}
		switch field, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": "); field {
		case "id":
			if n, err = strconv.Atoi(value); err != nil {
				n = -1
			}
		case "data":
			w.judge.event(id, n, value)
		}
	}
}

// sleep waits for a while, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

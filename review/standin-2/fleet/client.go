package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Traffic of the clients.
const (
	streamsPerSecond = 8.0
	safePerSecond    = 1.0
	clientGap        = 2 * time.Second // after which a client abandons a stream
)

// kind is a kind of requests.
type kind int

// Values of kind.
const (
	stream kind = iota
	safe        // may run more than once
	once        // may run once at most
)

// request is one request of a client, with its attempts.
type request struct {
	sent   time.Duration
	kind   kind
	served bool
	ended  string // how the last attempt ended
	done   bool
}

// clients send requests through the gateways.
type clients struct {
	d       *deployment
	onReply func(id string, k kind, status int, body string, whole bool) // of plain requests; may be nil
	onSend  func(id string, gateway *process)                            // may be nil
	onHead  func(id string, h http.Header)                               // of a success; may be nil
	mu      sync.Mutex                                                   // guards list
	list    []*request
}

// run sends requests until ctx ends.
func (c *clients) run(ctx context.Context) {
	go c.send(ctx, streamsPerSecond, stream)
	c.send(ctx, safePerSecond, safe)
}

func (c *clients) send(ctx context.Context, perSecond float64, k kind) {
	for n := 0; ; n++ {
		wait := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		x := &request{sent: c.d.rec.now(), kind: k}
		c.mu.Lock()
		c.list = append(c.list, x)
		c.mu.Unlock()
		go c.serve(x, n)
	}
}

// serve sends a request, and once more if it was not served, within its deadline.
func (c *clients) serve(x *request, n int) {
	deadline := time.Second
	if x.kind == stream {
		deadline = 8 * time.Second
	}
	end := time.Now().Add(deadline)
	served, how := false, ""
	for attempt := range 2 {
		left := time.Until(end)
		if left <= 50*time.Millisecond {
			break
		}
		gateway := c.d.gateways[(n+attempt)%len(c.d.gateways)]
		after := time.Duration(0)
		id := fmt.Sprintf("%016x", rand.Uint64())
		c.d.rec.line("client sends %s to %s", id, gateway.Name)
		if c.onSend != nil {
			c.onSend(id, gateway)
		}
		served, how, after = c.attempt(gateway, id, x.kind, left)
		c.d.rec.line("client has of %s: %s", id, how)
		if served || x.kind == once && how != "503" && how != "429" { // only a promise allows another attempt
			break
		}
		time.Sleep(min(after, time.Until(end)/3))
	}
	c.mu.Lock()
	x.served, x.ended, x.done = served, how, true
	c.mu.Unlock()
}

// attempt sends a request once. Each attempt has its own id and connection.
func (c *clients) attempt(gateway *process, id string, k kind, left time.Duration) (served bool, how string, after time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	method, path := http.MethodGet, safePrefix+"lo"+strconv.Itoa(rand.IntN(40))
	var content io.Reader
	switch k {
	case stream:
		method, path, content = http.MethodPost, streamPrefix+id[:2], strings.NewReader(strings.Repeat("p", 700))
	case once:
		method, path, content = http.MethodPost, oncePrefix+id[:2], strings.NewReader(strings.Repeat("b", 600))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.IP+":8200"+path, content)
	if err != nil {
		return false, err.Error(), 0
	}
	r.Host = routeHost
	r.Header.Set("Marjorampitch-Request-Id", id)
	r.Header.Set("Marjorampitch-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	r.Header.Set("Marjorampitch-Credential", "n2ctnfzs989anu6wsjnb")
	if k == stream {
		r.Header.Set("Marjorampitch-Model", "m")
		r.Header.Set("Marjorampitch-Token-Counts", "800,97")
		r.Header.Set("Marjorampitch-Prompt-Prefix", fmt.Sprintf("%x:40,%s:760", 0x100+rand.IntN(60), id))
	}
	// A client abandons a stream after a pause, also before the first event.
	silence := time.AfterFunc(left, cancel)
	if k == stream {
		silence.Reset(clientGap)
	}
	defer silence.Stop()
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return false, "no answer", 0
	}
	defer resp.Body.Close()
	if c.onHead != nil && resp.StatusCode == http.StatusOK {
		c.onHead(id, resp.Header)
	}
	if k != stream {
		body, err := io.ReadAll(resp.Body)
		if c.onReply != nil {
			c.onReply(id, k, resp.StatusCode, string(body), err == nil)
		}
		if resp.StatusCode == http.StatusOK {
			return err == nil && string(body) == plainAnswer, "200", 0
		}
	}
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) //nolint:errcheck // 0 if there is none
		return false, strconv.Itoa(resp.StatusCode), time.Duration(seconds * float64(time.Second))
	}
	lines, next := bufio.NewScanner(resp.Body), 1
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "id: ") {
			continue
		}
		silence.Reset(clientGap)
		if lines.Text() != "id: "+strconv.Itoa(next) {
			return false, "event out of order", 0
		}
		next++
	}
	if lines.Err() != nil || next != streamEvents+1 {
		return false, "stream not complete", 0
	}
	return true, "200", 0
}

// share returns the number of requests sent in a span, the share of them that was served,
// and how the others ended.
func (c *clients) share(from, to time.Duration) (n int, served float64, ends map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	good := 0
	ends = make(map[string]int)
	for _, x := range c.list {
		if x.sent < from || x.sent >= to {
			continue
		}
		n++
		if x.served {
			good++
		} else {
			ends[x.ended]++
		}
	}
	return n, float64(good) / float64(max(n, 1)), ends
}

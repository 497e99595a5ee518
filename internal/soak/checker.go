package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"marjorampitch/platform"
	"marjorampitch/platform/platformtest"
)

// Limits that the checker enforces in addition to those of the settings.
const (
	evacuationLimit = 5 * time.Second // until a data centre that was taken out gets no new requests
	applyLimit      = 2 * time.Second // for gateways to apply a document
	announceDelay   = time.Second     // for gateways to learn that a server is cold, in addition to the second over which its requests are counted
	// timingMargin is the time after the end of a fault after which time limits
	// apply again.
	timingMargin = 3 * time.Second
)

// requestKind is a kind of request. A request of kind once must run at most once;
// a streamed one may be resumed on another server.
type requestKind uint8

const (
	idempotent requestKind = iota
	once
	streamed
)

var requestKindNames = [...]string{"idempotent", "once", "streamed"}

// request is the state of one request.
type request struct {
	kind      requestKind
	gateway   string // name of the gateway to which it is sent
	path      string
	body      string
	key       string
	sent      time.Time
	arrivals  int
	ran       int
	lastEvent int  // number of the last event that the caller received; -1 for none
	neverRun  bool // the answer said that the request has not run and never will
	status    int  // of the answer; 0 for none
	cut       bool // the answer is missing or truncated
}

// checker verifies the invariants of a run from what callers and servers observe.
// It implements platformtest.Observer and is safe for concurrent use.
type checker struct {
	testbed *testbed

	mu           sync.Mutex // guards the fields below; acquired before process.mu, never while testbed.mu is held
	requests     map[string]*request
	revoked      map[string]time.Time   // by key: when the store had a document without it
	added        map[string]time.Time   // by key: when the store had the first document with it
	coldArrivals map[string][]time.Time // by server: requests of the last second
	limited      map[string][]time.Time // by server: requests within limitWindow
	rests        map[restKey][]rest
	gatewayStart time.Time // when a gateway was last started
	violations   []string
	counts       map[string]int       // answers by status; complete streams; cut answers
	served       map[requestKind]int  // complete answers since startRecoveryWindow
	impactEnds   map[impact]time.Time // when the last fault with this impact ends
}

func newChecker(tb *testbed) *checker {
	return &checker{
		testbed: tb, requests: make(map[string]*request), revoked: make(map[string]time.Time), added: make(map[string]time.Time),
		coldArrivals: make(map[string][]time.Time), limited: make(map[string][]time.Time), rests: make(map[restKey][]rest), counts: make(map[string]int), served: make(map[requestKind]int), impactEnds: make(map[impact]time.Time),
	}
}

// Violation implements platformtest.Observer. It records a violation: the check that
// failed and its details.
func (c *checker) Violation(check, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violationLocked(check, detail)
}

// violationLocked records a violation. Callers must hold c.mu.
func (c *checker) violationLocked(check, detail string) {
	c.violations = append(c.violations, fmt.Sprintf("%6.3f s  %s: %s", time.Since(c.testbed.start).Seconds(), check, detail))
}

// keyReplaced records that the store has a document with one key replaced by
// another.
func (c *checker) keyReplaced(removed, added string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.revoked[removed], c.added[added] = now, now
}

// faultActive suspends the invariants of an impact until the given time.
func (c *checker) faultActive(i impact, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.impactEnds[i]) {
		c.impactEnds[i] = until
	}
}

// timingBoundsHold reports whether the last fault that affects timing ended more
// than timingMargin ago. Callers must hold c.mu.
func (c *checker) timingBoundsHold(now time.Time) bool {
	return now.Sub(c.impactEnds[impactTiming]) > timingMargin
}

// sent records a request before its caller sends it.
func (c *checker) sent(id string, r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.sent, r.lastEvent = time.Now(), -1
	c.requests[id] = r
}

// RequestArrived checks a request that a server received.
func (c *checker) RequestArrived(b *platformtest.Backend, id string, r *http.Request, body []byte) {
	now := time.Now()
	leaving, out := c.testbed.leavingSince(b.ID), c.testbed.outSince(b.Centre)
	announced := c.testbed.coldSince(b.ID)
	rate, stated, limited := b.StatedLimit()
	cold := now.Before(b.State().ColdUntil) && !announced.IsZero() && now.Sub(announced) > announceDelay
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.requests[id]
	if q == nil {
		c.violationLocked("unknown request", id)
		return
	}
	q.arrivals++
	c.restingRequestArrived(restKey{b.ID, q.gateway}, now)
	switch {
	case r.Method != http.MethodPost || r.URL.Path != q.path || string(body) != q.body:
		c.violationLocked("request changed", fmt.Sprintf("%s %s", id, r.URL.Path))
	case r.Header.Get(platform.HeaderNames.Key) != "":
		c.violationLocked("API key forwarded", id)
	case r.Header.Get(platform.HeaderNames.Organisation) != organisationOf(q.key):
		c.violationLocked("wrong organisation", id+" "+r.Header.Get(platform.HeaderNames.Organisation))
	}
	if at, ok := c.revoked[q.key]; ok && q.sent.Sub(at) > platformtest.RevokeAfter {
		c.violationLocked("withdrawn key", fmt.Sprintf("%s sent %v after", id, q.sent.Sub(at)))
	}
	if !leaving.IsZero() && q.sent.Sub(leaving) > platformtest.DrainTime && c.timingBoundsHold(now) {
		c.violationLocked("leaving server", fmt.Sprintf("%s at %s, %v after", id, b.ID, now.Sub(leaving)))
	}
	if !out.IsZero() && q.sent.Sub(out) > evacuationLimit && c.timingBoundsHold(now) {
		c.violationLocked("data centre taken out", fmt.Sprintf("%s at %s, %v after", id, b.ID, now.Sub(out)))
	}
	if cold {
		c.coldRequestArrived(b.ID, now)
	}
	if limited {
		c.limitedRequestArrived(b.ID, rate, stated, now)
	} else {
		delete(c.limited, b.ID)
	}
}

// coldRequestArrived checks the number of requests that a cold server received in
// the last second. Callers must hold c.mu.
func (c *checker) coldRequestArrived(id string, now time.Time) {
	list := append(c.coldArrivals[id], now)
	for len(list) > 0 && now.Sub(list[0]) > time.Second {
		list = list[1:]
	}
	c.coldArrivals[id] = list
	if float64(len(list)) > platformtest.ColdPerSecond*platformtest.ColdBurst+platformtest.ColdSlack {
		c.violationLocked("cold server", fmt.Sprintf("%s got %d requests in a second", id, len(list)))
	}
}

// RequestStarted checks that a server may run a request.
func (c *checker) RequestStarted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.requests[id]
	if q == nil {
		return // RequestArrived has reported it
	}
	q.ran++
	if q.kind == once && q.ran > 1 {
		c.violationLocked("ran twice", id)
	}
	if q.neverRun {
		c.violationLocked("ran after \"not run\" answer", id)
	}
}

// answered checks the status and seal of an answer.
func (c *checker) answered(id string, resp *http.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.requests[id]
	c.counts[fmt.Sprint(resp.StatusCode)]++
	q.status = resp.StatusCode
	sealed := resp.Header.Get(platform.HeaderNames.Seal)
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if sealed != "" {
			c.violationLocked("sealed refusal", id)
		}
		if q.kind != idempotent && q.ran > 0 && q.lastEvent < 0 {
			c.violationLocked("\"not run\" answer for a request that ran", id)
		}
		q.neverRun = q.kind != idempotent
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		addedAt, added := c.added[q.key]
		known := !added || q.sent.Sub(addedAt) > applyLimit && c.timingBoundsHold(time.Now())
		if _, revoked := c.revoked[q.key]; !revoked && known {
			c.violationLocked("denied", fmt.Sprintf("%s with status %d", id, resp.StatusCode))
		}
	case http.StatusOK:
		if sealed == "" {
			c.violationLocked("success without a seal", id)
		}
	}
}

// completeAnswer checks the seal and body of a successful answer that is not a
// stream.
func (c *checker) completeAnswer(id, sealed, body string) {
	server, _, _ := cutLast(sealed, ".")
	if sealed != platformtest.ResponseSeal(server, id) || body != platformtest.PlainAnswer(server, id) {
		c.Violation("answer of another request", fmt.Sprintf("%s: %.60q", id, body))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served[c.requests[id].kind]++
}

// event checks one event of a stream: events must arrive in order, without gaps or
// repeats.
func (c *checker) event(id string, n int, data string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.requests[id]
	if n != q.lastEvent+1 || data != platformtest.StreamEvent(id, n) {
		c.violationLocked("event out of order", fmt.Sprintf("%s: %d %q after %d", id, n, data, q.lastEvent))
	}
	q.lastEvent = n
}

// streamEnded checks the end of a stream. clean means that the body ended without
// an error, so that the caller takes the stream for complete.
func (c *checker) streamEnded(id string, clean bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q := c.requests[id]; clean && q.lastEvent != platformtest.StreamEvents-1 {
		c.violationLocked("truncated stream ended cleanly", fmt.Sprintf("%s after event %d", id, q.lastEvent))
	}
	if clean {
		c.counts["streams"]++
		c.served[streamed]++
	}
}

// startRecoveryWindow resets the counts that checkRecovery reads.
func (c *checker) startRecoveryWindow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.served)
}

// checkRecovery checks that requests of every kind have been answered since
// startRecoveryWindow.
func (c *checker) checkRecovery() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, name := range requestKindNames {
		if c.served[requestKind(k)] == 0 {
			c.violationLocked("not recovered", "no complete answer to a request of kind "+name)
		}
	}
}

// answerCut checks a cut answer: a gateway that stops gracefully must not cut
// answers while no other fault is active.
func (c *checker) answerCut(id, gateway string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["cut"]++
	q := c.requests[id]
	q.cut = true
	serversHealthy := c.impactEnds[impactServers].Before(q.sent) // no server may have aborted it
	if q.arrivals > 0 && serversHealthy && c.timingBoundsHold(time.Now()) && c.testbed.stopping(gateway) {
		c.violationLocked("cut by a graceful stop", id+" at "+gateway)
	}
}

package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"marjorampitch/platform"
	"marjorampitch/platform/platformtest"
)

// Bounds that the judge holds the system to, beside those of the settings.
const (
	evacuate   = 5 * time.Second // for the requests to a data centre to end
	applyAfter = 2 * time.Second // for a document to be in force
	heardAfter = time.Second     // for a server's entry to be heard of, beyond the second that counts
	// touch is the time without harm after which a bound in time holds.
	touch = 3 * time.Second
)

// kind says how often a request may run.
type kind uint8

const (
	idempotent kind = iota
	once
	streamed
)

var kindNames = [...]string{"idempotent", "once", "streamed"}

// record is what is known of one request.
type record struct {
	kind     kind
	path     string
	body     string
	key      string
	sent     time.Time
	arrivals int
	ran      int
	last     int  // last event that reached the caller; -1 for none
	neverRun bool // the caller was promised that it has not run and never will
}

// judge knows what callers sent and servers ran, and what may not happen.
type judge struct {
	world *world

	mu       sync.Mutex // guards all below; no other lock is taken under it
	requests map[string]*record
	revoked  map[string]time.Time // keys that a document took away, by when the store had it
	added    map[string]time.Time // keys that a document brought, by when the store had it
	cold     map[string][]time.Time
	faults   []string
	counts   map[string]int     // outcomes
	served   map[kind]int       // whole answers since the last recount
	harmed   map[harm]time.Time // when the last harm of each kind ends
}

func newJudge(w *world) *judge {
	return &judge{
		world: w, requests: make(map[string]*record), revoked: make(map[string]time.Time), added: make(map[string]time.Time),
		cold: make(map[string][]time.Time), counts: make(map[string]int), served: make(map[kind]int), harmed: make(map[harm]time.Time),
	}
}

// Violation notes that something happened that must not.
func (j *judge) Violation(what, detail string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.brokenLocked(what, detail)
}

func (j *judge) brokenLocked(what, detail string) {
	j.faults = append(j.faults, fmt.Sprintf("%6.3f s  %s: %s", time.Since(j.world.start).Seconds(), what, detail))
}

// keys notes that the store has a document without one key and with another.
func (j *judge) keys(withdrawn, added string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.revoked[withdrawn], j.added[added] = now, now
}

// harm notes harm that lasts until a moment.
func (j *judge) harm(h harm, until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if until.After(j.harmed[h]) {
		j.harmed[h] = until
	}
}

// calm reports whether there was no harm for so long that bounds hold. Callers
// hold mu.
func (j *judge) calm(now time.Time) bool { return now.Sub(j.harmed[ways]) > touch }

// sent notes a request before it leaves its caller.
func (j *judge) sent(id string, r *record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.sent, r.last = time.Now(), -1
	j.requests[id] = r
}

// RequestArrived judges a request as a server sees it.
func (j *judge) RequestArrived(b *platformtest.Backend, id string, r *http.Request, body []byte) {
	now := time.Now()
	leaving, out := j.world.leavingSince(b.ID), j.world.outSince(b.Centre)
	said := j.world.coldSince(b.ID)
	cold := now.Before(b.State().ColdUntil) && !said.IsZero() && now.Sub(said) > heardAfter
	j.mu.Lock()
	defer j.mu.Unlock()
	q := j.requests[id]
	if q == nil {
		j.brokenLocked("asked by nobody", id)
		return
	}
	q.arrivals++
	switch {
	case r.Method != http.MethodPost || r.URL.Path != q.path || string(body) != q.body:
		j.brokenLocked("request changed", fmt.Sprintf("%s %s", id, r.URL.Path))
	case r.Header.Get(platform.HeaderNames.Key) != "":
		j.brokenLocked("key passed on", id)
	case r.Header.Get(platform.HeaderNames.Organisation) != orgOf(q.key):
		j.brokenLocked("organisation", id+" "+r.Header.Get(platform.HeaderNames.Organisation))
	}
	if at, ok := j.revoked[q.key]; ok && q.sent.Sub(at) > platformtest.RevokeAfter {
		j.brokenLocked("withdrawn key", fmt.Sprintf("%s sent %v after", id, q.sent.Sub(at)))
	}
	if !leaving.IsZero() && q.sent.Sub(leaving) > platformtest.DrainTime && j.calm(now) {
		j.brokenLocked("leaving server", fmt.Sprintf("%s at %s, %v after", id, b.ID, now.Sub(leaving)))
	}
	if !out.IsZero() && q.sent.Sub(out) > evacuate && j.calm(now) {
		j.brokenLocked("data centre taken out", fmt.Sprintf("%s at %s, %v after", id, b.ID, now.Sub(out)))
	}
	if cold {
		j.coldArrival(b.ID, now)
	}
}

// coldArrival counts what a cold server gets in any second. Callers hold mu.
func (j *judge) coldArrival(id string, now time.Time) {
	list := append(j.cold[id], now)
	for len(list) > 0 && now.Sub(list[0]) > time.Second {
		list = list[1:]
	}
	j.cold[id] = list
	if float64(len(list)) > platformtest.ColdPerSecond*platformtest.ColdBurst+platformtest.ColdSlack {
		j.brokenLocked("cold server", fmt.Sprintf("%s got %d requests in a second", id, len(list)))
	}
}

// RequestStarted notes that a server runs a request.
func (j *judge) RequestStarted(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	q := j.requests[id]
	if q == nil {
		return // noted when it arrived
	}
	q.ran++
	if q.kind == once && q.ran > 1 {
		j.brokenLocked("ran twice", id)
	}
	if q.neverRun {
		j.brokenLocked("ran after all", id)
	}
}

// answered judges the status of an answer.
func (j *judge) answered(id string, resp *http.Response) {
	j.mu.Lock()
	defer j.mu.Unlock()
	q := j.requests[id]
	j.counts[fmt.Sprint(resp.StatusCode)]++
	sealed := resp.Header.Get(platform.HeaderNames.Seal)
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if sealed != "" {
			j.brokenLocked("sealed refusal", id)
		}
		if q.kind != idempotent && q.ran > 0 && q.last < 0 {
			j.brokenLocked("said not to have run", id)
		}
		q.neverRun = q.kind != idempotent
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		added, late := j.added[q.key]
		known := !late || q.sent.Sub(added) > applyAfter && j.calm(time.Now())
		if _, gone := j.revoked[q.key]; !gone && known {
			j.brokenLocked("denied", fmt.Sprintf("%s with %d", id, resp.StatusCode))
		}
	case http.StatusOK:
		if sealed == "" {
			j.brokenLocked("success without a seal", id)
		}
	}
}

// whole judges the body of a plain success.
func (j *judge) whole(id, sealed, body string) {
	server, _, _ := cutLast(sealed, ".")
	if sealed != platformtest.ResponseSeal(server, id) || body != platformtest.PlainAnswer(server, id) {
		j.Violation("answer of another request", fmt.Sprintf("%s: %.60q", id, body))
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.served[j.requests[id].kind]++
}

// event judges one event of a stream.
func (j *judge) event(id string, n int, data string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	q := j.requests[id]
	if n != q.last+1 || data != platformtest.StreamEvent(id, n) {
		j.brokenLocked("order of events", fmt.Sprintf("%s: %d %q after %d", id, n, data, q.last))
	}
	q.last = n
}

// ended judges the end of a stream; clean says that it looked complete.
func (j *judge) ended(id string, clean bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if q := j.requests[id]; clean && q.last != platformtest.StreamEvents-1 {
		j.brokenLocked("stream looks complete", fmt.Sprintf("%s after event %d", id, q.last))
	}
	if clean {
		j.counts["streams"]++
		j.served[streamed]++
	}
}

// recount begins the time in which the system must serve again.
func (j *judge) recount() {
	j.mu.Lock()
	defer j.mu.Unlock()
	clear(j.served)
}

// recover judges whether callers of all kinds are served after the faults.
func (j *judge) recover() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for k, name := range kindNames {
		if j.served[kind(k)] == 0 {
			j.brokenLocked("not recovered", "no whole answer to a request of kind "+name)
		}
	}
}

// lost judges an answer that was cut off by a gateway that was told to stop,
// while nothing else was harmed.
func (j *judge) lost(id, gateway string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts["cut"]++
	q := j.requests[id]
	sound := j.harmed[servers].Before(q.sent) // no server broke off
	if q.arrivals > 0 && sound && j.calm(time.Now()) && j.world.stopping(gateway) {
		j.brokenLocked("cut by a graceful stop", id+" at "+gateway)
	}
}

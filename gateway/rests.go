package gateway

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"marjorampitch/api"
	"marjorampitch/fleet"
)

// maxRest bounds the rest that one answer asks for. A server that wants none for longer
// is asked again.
const maxRest = 24 * time.Hour

// observeRest records the rest that an answer of a server asks for, or that the server
// has accepted a request.
func (x *serverStatements) observeRest(m *fleet.Member, answer *http.Response, now time.Duration) {
	switch {
	case !impliesNotExecuted(answer.StatusCode):
		x.accepted(m, now)
	case answer.StatusCode == http.StatusServiceUnavailable:
		if length := x.parseRest(m, answer.Header); length > 0 {
			x.turnedAway(m, length, now)
		}
	}
}

// turnedAway records that a server has turned a request away and wants none for length;
// 0 if it has not asked for rest.
func (x *serverStatements) turnedAway(m *fleet.Member, length, now time.Duration) {
	x.mu.Lock()
	longer := x.rests.TurnedAway(incarnationOf(m), length, now)
	x.mu.Unlock()
	if longer {
		x.log.Info("server-rests", "server", m.ID, "started_at", m.StartedAt, "service", m.Service, "for_ms", length.Milliseconds())
	}
}

// accepted records that a server has accepted a request.
func (x *serverStatements) accepted(m *fleet.Member, now time.Duration) {
	x.mu.Lock()
	ended := x.rests.Accepted(incarnationOf(m), now)
	x.mu.Unlock()
	if ended {
		x.log.Info("server-accepts-again", "server", m.ID, "started_at", m.StartedAt, "service", m.Service)
	}
}

// parseRest returns the longest rest that the head of an answer asks for; 0 for none.
// Values that cannot be read are logged and do not count.
func (x *serverStatements) parseRest(m *fleet.Member, h http.Header) (longest time.Duration) {
	for _, v := range h.Values(retryAfterHeader) {
		length, ok := parseRetryAfter(v, h.Get("Date"))
		if !ok {
			x.log.Warn("server-rest-invalid", "server", m.ID, "value", v)
			continue
		}
		longest = max(longest, length)
	}
	return longest
}

// parseRetryAfter returns the delay that a Retry-After header states, in seconds or as a
// date, which is taken relative to that of the answer. It is at most maxRest.
func parseRetryAfter(value, date string) (delay time.Duration, ok bool) {
	seconds, err := strconv.ParseFloat(value, 64)
	switch {
	case err == nil && (math.IsNaN(seconds) || math.IsInf(seconds, 0)):
		return 0, false
	case err == nil || errors.Is(err, strconv.ErrRange):
		seconds = min(seconds, maxRest.Seconds())
		return time.Duration(seconds * float64(time.Second)), seconds >= 0
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	answered, err := http.ParseTime(date)
	if err != nil {
		answered = time.Now()
	}
	return min(max(at.Sub(answered), 0), maxRest), true
}

// resting returns the number of the members that rest.
func (x *serverStatements) resting(members []*fleet.Member, now time.Duration) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.rests.Resting(incarnationsOf(members), now)
}

// restRefusal returns the refusal of a request because servers of its service rest and
// no other can take it; nil if none of them rests.
func (x *serverStatements) restRefusal(members []*fleet.Member, now time.Duration) *api.Error {
	x.mu.Lock()
	defer x.mu.Unlock()
	servers := incarnationsOf(members)
	n := x.rests.Resting(servers, now)
	if n == 0 {
		return nil
	}
	e := api.NewError(api.ServersResting, strconv.Itoa(n)+" of "+strconv.Itoa(len(members))+" servers rest")
	e.RetryAfter = x.rests.RetryAfter(servers, now)
	return e
}

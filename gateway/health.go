package gateway

import "time"

// Settings of a health record.
const (
	failureWeight = 0.25 // of the newest result in the share of failures
	ejectShare    = 0.55 // share of failures at which a server gets no work
	ejectFirst    = 500 * time.Millisecond
	ejectLongest  = 4 * time.Second
)

// Severity of results, as the weight of one failure.
const (
	sound    = 0.0
	doubtful = 0.5 // the server refused, as a full one does: never enough to eject it
	faulty   = 0.7 // the server said that it failed: six times in a row are too many
	failed   = 1.0 // no whole answer
)

// health judges one backend server by the results of own requests. After an
// ejection one request at a time tries it. It is not safe for concurrent use.
type health struct {
	failures float64 // recent share
	ejected  time.Duration
	until    time.Duration // no work before; 0 when not ejected
	trial    bool          // a request that tries the server is underway
	away     bool          // ejected because nobody, or another server, answers at its address
}

// usable reports whether the server may get a request.
func (h *health) usable(now time.Duration) bool {
	if h.until == 0 {
		return true
	}
	return now >= h.until && !h.trial
}

// sent notes that a request goes to the server.
func (h *health) sent(now time.Duration) {
	if h.until > 0 && now >= h.until {
		h.trial = true
	}
}

// result takes the end of a request. It reports a change of ejection.
func (h *health) result(now time.Duration, severity float64) (ejected, restored bool) {
	tried := h.trial
	h.trial = false
	h.failures += failureWeight * (severity - h.failures)
	if severity == sound {
		if h.until > 0 && tried {
			*h = health{}
			return false, true
		}
		return false, false
	}
	if h.until > 0 && !tried {
		return false, false
	}
	if tried && severity > doubtful || h.failures >= ejectShare {
		h.eject(now, ejectFirst)
		return true, false
	}
	return false, false
}

// unreachable takes a connection that could not be opened.
func (h *health) unreachable(now time.Duration) {
	h.trial, h.away = false, true
	h.eject(now, ejectFirst)
}

// eject keeps work away for twice the time of the last ejection, within bounds.
func (h *health) eject(now, least time.Duration) {
	if now < h.until {
		return
	}
	h.trial = false
	h.ejected = min(max(2*h.ejected, least), ejectLongest)
	h.until = now + h.ejected
	h.failures = ejectShare / 2
}

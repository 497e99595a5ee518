package gateway

import "time"

// Settings of outlier ejection.
const (
	failureWeight  = 0.25 // weight of the newest result in the moving average
	ejectThreshold = 0.55 // failure rate at which a server is ejected
	minEjection    = 500 * time.Millisecond
	maxEjection    = 4 * time.Second
)

// Severities of results: the weight of one result in the failure rate.
const (
	severityNone    = 0.0
	severityRefused = 0.5 // refused, as by a full server; below ejectThreshold, so refusals alone never eject
	severityError   = 0.7 // the server answered with an error; six in a row eject it
	severityFailed  = 1.0 // no complete response
)

// health does outlier ejection for one backend server by the results of this
// instance's own requests. After an ejection one request at a time probes the
// server. It is not safe for concurrent use.
type health struct {
	failureRate  float64 // moving average of severities
	ejection     time.Duration
	ejectedUntil time.Duration // 0 when not ejected
	probing      bool          // a probe is in flight
	absent       bool          // ejected because no server, or another one, answers at its address
}

// usable reports whether the server may get a request.
func (h *health) usable(now time.Duration) bool {
	if h.ejectedUntil == 0 {
		return true
	}
	return now >= h.ejectedUntil && !h.probing
}

// requestSent records that a request is being sent to the server.
func (h *health) requestSent(now time.Duration) {
	if h.ejectedUntil > 0 && now >= h.ejectedUntil {
		h.probing = true
	}
}

// requestEnded records the result of a request and reports changes of the ejection.
func (h *health) requestEnded(now time.Duration, severity float64) (ejected, restored bool) {
	wasProbe := h.probing
	h.probing = false
	h.failureRate += failureWeight * (severity - h.failureRate)
	if severity == severityNone {
		if h.ejectedUntil > 0 && wasProbe {
			*h = health{}
			return false, true
		}
		return false, false
	}
	if h.ejectedUntil > 0 && !wasProbe {
		return false, false
	}
	if wasProbe && severity > severityRefused || h.failureRate >= ejectThreshold {
		h.eject(now, minEjection)
		return true, false
	}
	return false, false
}

// dialFailed records a failed connection attempt and ejects the server.
func (h *health) dialFailed(now time.Duration) {
	h.probing, h.absent = false, true
	h.eject(now, minEjection)
}

// eject ejects the server for twice the time of its last ejection, within
// [minimum, maxEjection].
func (h *health) eject(now, minimum time.Duration) {
	if now < h.ejectedUntil {
		return
	}
	h.probing = false
	h.ejection = min(max(2*h.ejection, minimum), maxEjection)
	h.ejectedUntil = now + h.ejection
	h.failureRate = ejectThreshold / 2
}

package gateway

import (
	"sync"
	"time"
)

// retryTimeoutRatio is the ratio of a request's timeout to the longest timeout
// seen on its route below which the request counts as a retry. First attempts have
// timeouts above it. A retry has a shorter one, since the earlier attempt and the
// retry delay sent with its refusal have used up a larger part of the caller's time.
const retryTimeoutRatio = 0.845

// timeoutWindow is the time for which the longest timeout of a route is remembered, at
// least; twice as long at most. A caller that offers much more than others must not make
// theirs count as retries for good.
const timeoutWindow = 30 * time.Second

// offeredTimeouts follows the longest timeout that callers offer, by route. Its zero value is
// empty; it is safe for concurrent use.
type offeredTimeouts struct {
	mu     sync.Mutex // guards routes
	routes map[string]*longestTimeout
}

// longestTimeout is the longest timeout of a route in the present window and in the one
// before it.
type longestTimeout struct {
	begun             time.Duration // start of the present window
	present, previous time.Duration
}

// isRetry reports whether a request with this timeout is probably a retry, and records it.
func (o *offeredTimeouts) isRetry(route string, timeout, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.routes == nil {
		o.routes = make(map[string]*longestTimeout)
	}
	l := o.routes[route]
	if l == nil {
		o.forget(now)
		l = &longestTimeout{begun: now}
		o.routes[route] = l
	}
	if since := now - l.begun; since >= timeoutWindow {
		l.previous, l.present, l.begun = l.present, 0, now
		if since >= 2*timeoutWindow {
			l.previous = 0
		}
	}
	l.present = max(l.present, timeout)
	return float64(timeout) < retryTimeoutRatio*float64(max(l.present, l.previous))
}

// forget drops routes that had no request for two windows.
func (o *offeredTimeouts) forget(now time.Duration) {
	for route, l := range o.routes {
		if now-l.begun >= 2*timeoutWindow {
			delete(o.routes, route)
		}
	}
}

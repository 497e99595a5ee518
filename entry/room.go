package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"marjorampitch/api"
)

// Waits between the rounds of a lost request; see roomWait.
const (
	minRoomWait      = 100 * time.Millisecond // after the first round; doubles with each
	maxRoomWait      = 2 * time.Second
	roomPollInterval = 50 * time.Millisecond
)

// roomWait is what a request whose attempt was lost with its server knows of the
// servers that refused it for lack of room. It may ask them again in rounds: a
// round asks each usable server at most once, and the next one starts when a
// server reports room or a Retry-After has passed. A request without a loss is
// refused after its first round, so that overload is rejected at once.
type roomWait struct {
	refusedBy  map[string]bool // servers that refused for lack of room since the last round began
	refusals   uint32          // for lack of room, in all rounds
	retryAfter time.Duration   // the least that servers stated since the last round began
	pause      time.Duration   // least wait before the next round
}

// isLackOfRoom reports whether a server refused a request, unexecuted, because of its load.
func isLackOfRoom(e *api.Error) bool {
	switch e.Code {
	case api.Overloaded, api.ShareExceeded, api.ColdLimit:
		return e.Ran == api.NotRun
	}
	return false
}

// record records a refusal for lack of room.
func (w *roomWait) record(server string, e *api.Error) {
	if w.refusedBy == nil {
		w.refusedBy = make(map[string]bool)
	}
	if len(w.refusedBy) == 0 || e.RetryAfter < w.retryAfter {
		w.retryAfter = e.RetryAfter
	}
	w.refusedBy[server] = true
	w.refusals++
}

// nextPause returns the least wait before the next round, with jitter.
func (w *roomWait) nextPause() time.Duration {
	w.pause = min(max(2*w.pause, minRoomWait), maxRoomWait)
	return w.pause/2 + rand.N(w.pause/2)
}

// awaitRoom waits for the next round. It returns false if there is none: the
// request was never lost, the retry budget does not allow a retry, it may only run
// alone, has used up its executions, or was refused in this round by no server for
// lack of room, or only by servers whose Retry-After ends after its deadline.
func (r *retryLoop) awaitRoom(ctx context.Context) bool {
	executions := r.attemptNumber - r.room.refusals
	switch {
	case r.maxRan == api.NotRun, r.noBudget, r.call.alone, executions >= maxAttempts, len(r.room.refusedBy) == 0:
		return false
	case time.Now().Add(r.room.retryAfter).After(r.call.deadline):
		return false
	}
	if !r.sleepUntilRoom(ctx) {
		return false
	}
	for server := range r.room.refusedBy {
		delete(r.excluded, server)
	}
	clear(r.room.refusedBy)
	r.lastAttempt = r.attemptNumber + maxAttempts - executions
	return true
}

// sleepUntilRoom waits for the pause between rounds, then until a server reports
// room, at most until the Retry-After has passed. It returns false if ctx is done
// first, and sets lastErr.
func (r *retryLoop) sleepUntilRoom(ctx context.Context) bool {
	pause := r.room.nextPause()
	retry := time.NewTimer(max(pause, r.room.retryAfter))
	defer retry.Stop()
	poll := time.NewTimer(pause)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			r.lastErr = contextError(ctx)
			return false
		case <-retry.C:
			return true
		case <-poll.C:
			if r.hasRoom() {
				return true
			}
			poll.Reset(roomPollInterval)
		}
	}
}

// hasRoom reports whether a server that refused the request for lack of room, or
// one to which its connection was lost, reports room.
func (r *retryLoop) hasRoom() bool {
	for server, excluded := range r.excluded {
		if (!excluded || r.room.refusedBy[server]) && r.server.links.hasRoom(server) {
			return true
		}
	}
	return false
}

// hasRoom reports whether the named server may be picked and has room by its last
// report and this front proxy's own requests.
func (t *linkTable) hasRoom(name string) bool {
	t.mu.Lock()
	m, ok := t.members[name]
	t.mu.Unlock()
	if !ok {
		return false
	}
	c := m.base
	m.link.fillCandidate(&c, time.Now())
	return c.Usable() && !c.Full()
}

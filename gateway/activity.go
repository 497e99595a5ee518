package gateway

import "time"

// groupActivityWindow is the longest time between two events of a group's streams
// within which the group counts as active.
const groupActivityWindow = 300 * time.Millisecond

// groupActivity records when the streams of each rank group have events. It is not
// safe for concurrent use.
type groupActivity map[string]activePeriod

// groupActivityKey returns the key of a rank group.
func groupActivityKey(group string) string { return "group " + group }

// activePeriod is a period without a pause of more than groupActivityWindow between
// two events.
type activePeriod struct {
	from, last time.Duration // its first and last event
}

// event records an event of a stream of the group.
func (a groupActivity) event(group string, now time.Duration) {
	p, ok := a[group]
	if !ok || now-p.last > groupActivityWindow {
		p.from = now
	}
	p.last = now
	a[group] = p
}

// activeFor reports whether the group has been active for d without a pause.
func (a groupActivity) activeFor(group string, d, now time.Duration) bool {
	p, ok := a[group]
	return ok && now-p.last <= groupActivityWindow && now-p.from >= d
}

package remap

import "time"

// Outcome is how a switch ended.
type Outcome uint8

// Outcomes of a switch.
const (
	Underway  Outcome = iota // it has not ended
	Completed                // the new map is in force
	Abandoned                // before a hold was ordered
	Cancelled                // after a hold was ordered
	Inherited                // that of an earlier coordinator, cancelled
)

var outcomeNames = [...]string{"underway", "completed", "abandoned", "cancelled", "inherited"}

// String returns the name of o for log lines and metrics.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Record describes a switch for log lines and metrics.
type Record struct {
	Version int64 // of the map; of the goal that cancels it once it is cancelled
	Outcome Outcome
	Missing []int         // ranks that the switch waits for, or waited for when it was abandoned or cancelled
	Refused bool          // a rank had refused an order
	Took    time.Duration // since its start
	// Held is the time for which the next pass of the group was held, as seen by the
	// coordinator.
	Held time.Duration
}

// recorder follows the switch in progress.
type recorder struct {
	record    Record
	start     time.Duration
	heldSince time.Duration // since when the next pass is held; None if it is not
	ended     []Record
}

// begin starts the record of a switch.
func (r *recorder) begin(now time.Duration) {
	r.record, r.start, r.heldSince = Record{}, now, time.Duration(None)
}

// observe records whether the next pass is held.
func (r *recorder) observe(held bool, now time.Duration) {
	switch {
	case held && r.heldSince < 0:
		r.heldSince = now
	case !held && r.heldSince >= 0:
		r.record.Held += now - r.heldSince
		r.heldSince = time.Duration(None)
	}
}

// failed records why a switch is abandoned or cancelled. The first cause counts.
func (r *recorder) failed(o Outcome, missing []int, refused bool) {
	if r.record.Outcome == Underway {
		r.record.Outcome, r.record.Missing, r.record.Refused = o, missing, refused
	}
}

// at returns the record as of now.
func (r *recorder) at(version int64, now time.Duration) Record {
	x := r.record
	x.Version, x.Took = version, now-r.start
	if r.heldSince >= 0 {
		x.Held += now - r.heldSince
	}
	return x
}

// end ends the record, as completed unless failed was called, and returns it.
func (r *recorder) end(version int64, now time.Duration) Record {
	r.failed(Completed, nil, false)
	x := r.at(version, now)
	r.ended = append(r.ended, x)
	return x
}

// TakeEnded returns the records of the switches that have ended since the last call.
func (c *Coordinator) TakeEnded() []Record {
	list := c.recorder.ended
	c.recorder.ended = nil
	return list
}

// InProgress returns the record of the switch in progress so far; ok is false if there is
// none.
func (c *Coordinator) InProgress(now time.Duration) (r Record, ok bool) {
	if c.phase == Idle || c.phase == Sealing {
		return Record{}, false
	}
	r = c.recorder.at(c.goal.Version, now)
	if len(r.Missing) == 0 {
		r.Missing = c.Missing(now)
	}
	return r, true
}

// Missing returns the ranks that the current phase waits for, because they have not
// answered the current goal or not done what it requires; between switches, those whose
// last report is too old for the next one.
func (c *Coordinator) Missing(now time.Duration) []int {
	var ranks []int
	for i := range c.reports {
		if r := &c.reports[i]; i != c.excluded && !(c.isAnswer(r) && c.isDone(r, now)) {
			ranks = append(ranks, i)
		}
	}
	return ranks
}

// isDone reports whether a rank that has answered the current goal has done what the
// phase waits for.
func (c *Coordinator) isDone(r *report, now time.Duration) bool {
	switch c.phase {
	case Idle:
		return now-r.receivedAt < maxReportAge
	case Preparing:
		return r.Prepared == c.goal.Version
	case Confirming:
		return now-r.receivedAt < maxConfirmAge
	case Arming:
		return c.isArmed(r)
	case Cancelling:
		return c.hasCancelled(r)
	case Releasing:
		return r.Held == None
	case Settling:
		return r.Map == c.goal.Version
	}
	return true
}

// nextPassHeld reports whether a rank holds the pass after the last one begun.
func (c *Coordinator) nextPassHeld() bool {
	next := c.lastStep() + 1
	return c.anyReport(func(r *report) bool { return r.Held == next })
}

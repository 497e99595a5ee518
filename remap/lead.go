package remap

// Parameters of a holdLead.
const (
	// minHoldLead is the least number of passes from the last one begun to the one that is
	// held. It allows for the time that orders and reports take.
	minHoldLead = 2
	// maxHoldLead bounds the time for which a switch waits for its pass.
	maxHoldLead = 6
	// unheldSwitches is the number of switches in a row that have not held the group after
	// which the lead is shortened by a pass.
	unheldSwitches = 4
)

// holdLead is the number of passes from the last one begun to the one that is held. It follows
// the time that arming takes: a pass that comes before all ranks are armed is held, and every
// stream of the group pauses, while a later one only keeps the earlier map for another
// pass. The zero value has the least lead.
type holdLead struct {
	more   int64 // passes beyond minHoldLead
	unheld int   // switches since the last that held the group, or since the last change
}

// passes returns the lead.
func (l *holdLead) passes() int64 { return minHoldLead + l.more }

// ended records the end of a switch for which the passes were chosen.
func (l *holdLead) ended(r Record) {
	switch {
	case r.Outcome != Completed:
	case r.Held > 0:
		l.more, l.unheld = min(l.more+1, maxHoldLead-minHoldLead), 0
	case l.unheld+1 < unheldSwitches:
		l.unheld++
	default:
		l.more, l.unheld = max(l.more-1, 0), 0
	}
}

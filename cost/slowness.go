package cost

import (
	"math"
	"time"
)

// Settings of Slowness.
const (
	// SlowFactor is the slowness from which a server counts as slow.
	SlowFactor = 1.2
	// slownessTTL is the age at which a statement no longer counts. Statements of slow
	// servers are repeated several times within it.
	slownessTTL = 1500 * time.Millisecond
	maxSlowness = 100.0
)

// SlownessChange says that a server has begun to count as slow, or no longer does.
type SlownessChange struct {
	Server Server
	Slow   bool
	Factor float64       // as last stated
	Age    time.Duration // of that statement
}

// statement is the slowness that a server incarnation has stated.
type statement struct {
	factor float64
	at     time.Duration
}

// Slowness keeps by which factor backend servers state that their work takes longer than
// usual, by incarnation. What is older than a while is not known any more.
type Slowness struct {
	stated map[Server]statement // factors of at least SlowFactor
}

// NewSlowness returns a Slowness that knows of no slow server.
func NewSlowness() *Slowness { return &Slowness{stated: make(map[Server]statement)} }

// State records the slowness that a server has stated; 1 is the usual speed. Values that
// cannot be right, and those below 1, count as 1 or as the largest that is believed. It
// returns the change that this makes; ok is false for none.
func (x *Slowness) State(s Server, factor float64, now time.Duration) (c SlownessChange, ok bool) {
	if math.IsNaN(factor) || factor < 1 {
		factor = 1
	}
	factor = min(factor, maxSlowness)
	_, was := x.stated[s]
	slow := factor >= SlowFactor
	if slow {
		x.stated[s] = statement{factor: factor, at: now}
	} else {
		delete(x.stated, s)
	}
	return SlownessChange{Server: s, Slow: slow, Factor: factor}, was != slow
}

// Factor returns the slowness of a server; 1 if it is not known to be slow.
func (x *Slowness) Factor(s Server, now time.Duration) float64 {
	if st, ok := x.stated[s]; ok && now-st.at < slownessTTL {
		return st.factor
	}
	return 1
}

// Slow returns the number of servers that count as slow.
func (x *Slowness) Slow() int { return len(x.stated) }

// Expire forgets statements that are too old, and servers that are gone. It returns the
// changes that this makes.
func (x *Slowness) Expire(now time.Duration, gone func(Server) bool) []SlownessChange {
	var changes []SlownessChange
	for s, st := range x.stated {
		if now-st.at >= slownessTTL || gone(s) {
			delete(x.stated, s)
			changes = append(changes, SlownessChange{Server: s, Factor: st.factor, Age: now - st.at})
		}
	}
	return changes
}

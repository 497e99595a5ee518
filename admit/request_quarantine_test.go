package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// overlapSim sends copies of one request, at fixed intervals, to the first of three
// servers that runs; each crashes under it.
type overlapSim struct {
	q         *PartQuarantine
	interval  time.Duration // between two copies
	downUntil [3]time.Duration
	starts    int64
	others    uint64 // requests with other fingerprints
	crashes   []time.Duration
	late      int // copies that reached a server later than overlapStable after the third crash
}

const (
	overlapRun    = 60 * time.Millisecond // of a copy until its server crashes
	overlapDetect = time.Millisecond      // until the crash is confirmed
	overlapDown   = 4 * time.Second       // of a server
	overlapStable = 3 * time.Second
	overlapDay    = 2 * time.Minute
	overlapLimit  = 3 // copies that may arrive late
	overlapOthers = 4 // other requests for each copy
)

// play plays one day.
func (s *overlapSim) play() {
	features := []uint64{badPart}
	type end struct {
		at     time.Duration
		server int
		sent   time.Duration
	}
	var ends []end // in ascending order of at
	next := time.Second
	for now := time.Second; now < overlapDay; now += time.Millisecond {
		for len(ends) > 0 && ends[0].at <= now {
			e := ends[0]
			ends = ends[1:]
			s.q.End(features)
			s.starts++
			s.crashes = append(s.crashes, now)
			s.q.Broke(features, ServerIncarnation{ID: fmt.Sprint(e.server), StartedAt: s.starts}, e.sent, now)
			s.q.ServerDown(fmt.Sprint(e.server), now+overlapDetect)
			s.downUntil[e.server] = now + overlapDown
		}
		if now < next {
			continue
		}
		next += s.interval
		for range overlapOthers {
			s.others++
			s.q.Arrived([]uint64{otherPart + s.others}, now)
		}
		s.q.Arrived(features, now)
		if _, refuse := s.q.Check(features, now); refuse {
			continue
		}
		for i := range s.downUntil {
			if now < s.downUntil[i] {
				continue
			}
			if !s.q.Begin(features, now) {
				break
			}
			if len(s.crashes) >= 3 && now > s.crashes[2]+overlapStable {
				s.late++
			}
			s.downUntil[i] = overlapDay // busy
			ends = append(ends, end{now + overlapRun, i, now})
			break
		}
	}
}

// Copies of a crashing request that overlap must not end more servers than copies one by one.
func TestOverlappingCopiesOfCrashingRequestAreContained(t *testing.T) {
	for _, inUse := range []bool{false, true} {
		for _, interval := range []time.Duration{10, 50, 65, 100, 400} {
			interval *= time.Millisecond
			t.Run(fmt.Sprint("in use ", inUse, " every ", interval), func(t *testing.T) {
				s := &overlapSim{q: NewRequestQuarantine(), interval: interval}
				if inUse {
					s.q.Started([]uint64{badPart}, ServerIncarnation{}, 0)
				}
				s.play()
				assert.NotEmpty(t, s.crashes)
				assert.LessOrEqual(t, s.late, overlapLimit, "late arrivals; %d servers ended", len(s.crashes))
				t.Log(len(s.crashes), "servers ended,", s.late, "late")
			})
		}
	}
}

// Copies of a request that a server answers run side by side.
func TestCopiesOfSoundRequestOverlap(t *testing.T) {
	q, features := NewRequestQuarantine(), []uint64{badPart}
	crashPart(q, features, "a", 0, time.Second)
	assert.True(t, q.Begin(features, time.Second))
	assert.True(t, q.Begin(features, time.Second), "one crash is no reason to run alone")
	crashPart(q, features, "b", time.Second, time.Second)
	assert.False(t, q.Begin(features, time.Second), "two crashes, and copies in flight")
	q.Started(features, ServerIncarnation{ID: "c"}, 2*time.Second)
	assert.True(t, q.Begin(features, 2*time.Second), "the request has had an answer")
	for range 3 {
		q.End(features)
	}
	assert.Empty(t, q.running)
}

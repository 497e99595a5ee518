package admit

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func newTestRests() *ServerRests { return NewServerRests(rand.New(rand.NewPCG(1, 0))) }

func TestRestStandsToItsEnd(t *testing.T) {
	server := ServerIncarnation{ID: "a", StartedAt: 1}
	type ask struct{ length, at time.Duration }
	for _, c := range []struct {
		name string
		asks []ask
		end  time.Duration
	}{
		{"one", []ask{{3 * time.Second, time.Second}}, 4 * time.Second},
		{"shorter after longer", []ask{{3 * time.Second, time.Second}, {time.Second, 2 * time.Second}}, 4 * time.Second},
		{"longer after shorter", []ask{{time.Second, time.Second}, {3 * time.Second, 1500 * time.Millisecond}}, 4500 * time.Millisecond},
		{"again at its end", []ask{{time.Second, time.Second}, {time.Second, 2 * time.Second}}, 3 * time.Second},
		{"no more rest while it lasts", []ask{{3 * time.Second, time.Second}, {0, 2 * time.Second}}, 4 * time.Second},
		{"a fraction", []ask{{250 * time.Millisecond, time.Second}}, 1250 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRests()
			for _, a := range c.asks {
				r.TurnedAway(server, a.length, a.at)
				r.Prune(a.at)
			}
			assert.False(t, r.Allows(server, c.end-1))
			assert.True(t, r.Allows(server, c.end))
		})
	}
}

func TestRestBelongsToAnIncarnation(t *testing.T) {
	r := newTestRests()
	r.TurnedAway(ServerIncarnation{ID: "a", StartedAt: 1}, time.Minute, 0)
	assert.True(t, r.Allows(ServerIncarnation{ID: "a", StartedAt: 2}, time.Second))
	assert.True(t, r.Allows(ServerIncarnation{ID: "b", StartedAt: 1}, time.Second))
}

func TestRestsAreDropped(t *testing.T) {
	r := newTestRests()
	for i := range maxRestingServers + 1 {
		r.TurnedAway(ServerIncarnation{ID: strconv.Itoa(i)}, time.Duration(i+1)*time.Second, 0)
	}
	assert.Len(t, r.rests, maxRestingServers)
	assert.True(t, r.Allows(ServerIncarnation{ID: "0"}, 0), "the first to end is dropped")
	last := (maxRestingServers + 1) * time.Second
	r.Prune(last + restTTL - 1)
	assert.Len(t, r.rests, 1, "servers whose rests have ended are to be tried")
	r.Prune(last + restTTL)
	assert.Empty(t, r.rests)
}

func TestServerIsTriedAfterItsRest(t *testing.T) {
	const end = 3 * time.Second
	server := ServerIncarnation{ID: "a"}
	r := newTestRests()
	r.TurnedAway(server, end, 0)
	assert.False(t, r.Prefers(server, false, end-1))
	assert.True(t, r.Prefers(server, false, end), "the first request tries it")
	assert.False(t, r.Prefers(server, true, end), "no repeat does")
	r.Sent(server, end)
	assert.False(t, r.Prefers(server, false, end+1), "one is enough")
	assert.True(t, r.Allows(server, end+1), "if no other server takes requests, all may go there")
	assert.True(t, r.Prefers(server, false, end+minTrialInterval), "its answer may be lost")
	assert.True(t, r.Accepted(server, end+minTrialInterval))
	assert.True(t, r.Prefers(server, true, end+minTrialInterval))
	assert.False(t, r.Accepted(server, end+minTrialInterval))
}

// The answer to a request that was sent before the server asked for rest does not end it.
func TestOlderAnswerDoesNotEndARest(t *testing.T) {
	server := ServerIncarnation{ID: "a"}
	r := newTestRests()
	r.TurnedAway(server, time.Second, 0)
	assert.False(t, r.Accepted(server, time.Second-1))
	assert.False(t, r.Allows(server, time.Second-1))
}

// All servers of a service ask for rest at once, and callers are refused for as long.
func TestCallersReturnOneAfterTheOtherAfterRests(t *testing.T) {
	const (
		rest     = 3 * time.Second
		interval = 20 * time.Millisecond // between callers
		slice    = 100 * time.Millisecond
	)
	servers := []ServerIncarnation{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	r := newTestRests()
	for i, server := range servers {
		r.TurnedAway(server, rest, time.Duration(i)*10*time.Millisecond)
	}
	returns := make(map[time.Duration]int) // by slice
	for now := 20 * time.Millisecond; now < rest; now += interval {
		assert.Equal(t, len(servers), r.Resting(servers, now))
		after := r.RetryAfter(servers, now)
		assert.GreaterOrEqual(t, now+after, rest, "no server takes a request before that")
		assert.LessOrEqual(t, now+after, rest+maxRestReturnSpread)
		returns[(now+after)/slice]++
	}
	refused := 0
	for _, n := range returns {
		refused += n
		assert.LessOrEqual(t, n, 4*int(slice/interval), "callers that return in %v", slice)
	}
	assert.Equal(t, 149, refused)
	assert.Zero(t, r.RetryAfter(servers, rest+time.Second))
}

// Each gateway tries such a server, so that the rate must fall while nothing changes.
func TestServerThatGoesOnTurningRequestsAwayIsTriedLessAndLess(t *testing.T) {
	server := ServerIncarnation{ID: "a"}
	r := newTestRests()
	r.TurnedAway(server, 0, 0)
	var trials []time.Duration
	for now := time.Duration(0); now < 30*time.Second; now += 50 * time.Millisecond {
		if r.Prefers(server, false, now) {
			trials = append(trials, now)
			r.Sent(server, now)
			r.TurnedAway(server, 0, now+10*time.Millisecond)
		}
	}
	assert.LessOrEqual(t, len(trials), 12)
	last := trials[len(trials)-1]
	assert.GreaterOrEqual(t, last, 30*time.Second-maxTrialInterval, "it is still tried")
	assert.True(t, r.Accepted(server, last+time.Second))
	assert.True(t, r.Prefers(server, true, last+time.Second))
}

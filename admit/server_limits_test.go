package admit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"marjorampitch/wire"
)

// A gateway that has just started must accept a statement that is older than it is.
func TestServerLimitStatedBeforeStart(t *testing.T) {
	server := ServerIncarnation{ID: "a"}
	known, started := newTestLimits("known"), newTestLimits("started")
	known.Stated(server, 1, true, time.Second)
	for range 10 {
		known.Sent(server, time.Second)
	}
	started.Merge(&wire.LimitReport{Instance: "known", Limits: known.Report(time.Minute)}, 2*time.Second)
	assert.Equal(t, 1, started.Limited([]ServerIncarnation{server}))
	assert.False(t, started.Allows(server, 2*time.Second))
}

// A report that is overtaken by a later one of its sender must not count its requests again.
func TestLimitReportsInWrongOrder(t *testing.T) {
	server := ServerIncarnation{ID: "a"}
	l := newTestLimits("self")
	report := func(sentAt int64, sent uint64) {
		limit := wire.ServerLimit{Server: server.hash(), Rate: 4, Limited: true, Sent: sent}
		l.Merge(&wire.LimitReport{Instance: "peer", SentAt: sentAt, Limits: []wire.ServerLimit{limit}}, time.Second)
	}
	report(2, 1)
	report(1, 0)
	report(3, 1)
	assert.InDelta(t, 1, l.servers[server.hash()].bucket.level, 0)
}

// Limits of servers that are gone, and ends of limits, are dropped after a while.
func TestServerLimitsAreDropped(t *testing.T) {
	server := ServerIncarnation{ID: "a"}
	l := newTestLimits("self")
	l.Stated(server, 1, true, 0)
	l.Prune([]ServerIncarnation{server}, limitAbsentTTL)
	l.Prune(nil, 2*limitAbsentTTL)
	assert.False(t, l.Empty(), "it has been gone for as long as a limit is kept")
	l.Prune(nil, 2*limitAbsentTTL+1)
	assert.True(t, l.Empty())
	l.Stated(server, 1, true, 0)
	l.Stated(server, 0, false, time.Second)
	assert.Len(t, l.Report(time.Second), 1, "the peers are told")
	assert.Empty(t, l.Report(time.Second+limitEndedTTL+1))
	assert.True(t, l.Empty())
}

// A peer's report cannot fill the memory or disturb the limits.
func TestInvalidLimitReports(t *testing.T) {
	l := newTestLimits("self")
	l.Merge(&wire.LimitReport{Limits: []wire.ServerLimit{
		{Server: 1, Rate: math.NaN(), Limited: true},
		{Server: 1, Rate: math.Inf(1), Limited: true},
		{Server: 2, Rate: -1, Limited: true},
		{Server: 3, Rate: 1, Limited: true, Age: -1},
		{Server: 4},
	}}, time.Second)
	assert.True(t, l.Empty())
	for i := range uint64(2 * maxLimitedServers) {
		l.Merge(&wire.LimitReport{Limits: []wire.ServerLimit{{Server: i, Rate: 1, Limited: true}}}, time.Second)
	}
	assert.Len(t, l.servers, maxLimitedServers)
}

// A server that states a higher rate must not get more before it states none.
func TestRaisedServerLimitHoldsUntilItsEnd(t *testing.T) {
	server := ServerIncarnation{ID: "a"}
	l := newTestLimits("self")
	rate := func() float64 { return l.servers[server.hash()].rate }
	l.Stated(server, 2, true, time.Second)
	assert.False(t, l.Stated(server, 5, true, 2*time.Second))
	assert.InDelta(t, 2, rate(), 0)
	assert.True(t, l.Stated(server, 1, true, 3*time.Second))
	assert.InDelta(t, 1, rate(), 0)
	older := wire.ServerLimit{Server: server.hash(), Rate: 0.5, Limited: true, Age: 2000}
	l.Merge(&wire.LimitReport{Instance: "peer", Limits: []wire.ServerLimit{older}}, 3*time.Second)
	assert.InDelta(t, 0.5, rate(), 0, "stated before, to a peer")
	assert.True(t, l.Stated(server, 0, false, 4*time.Second))
	assert.True(t, l.Allows(server, 4*time.Second))
	assert.True(t, l.Stated(server, 5, true, 5*time.Second))
	assert.InDelta(t, 5, rate(), 0)
}

func newTestLimits(instance string) *ServerLimits {
	return NewServerLimits(instance, rand.New(rand.NewPCG(1, 1)))
}

package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/admit"
	"marjorampitch/fleet"
	"marjorampitch/internal/clock"
)

// picks returns how many of n requests sent at the same moment the only server of s
// gets.
func picks(s *service, m *fleet.Member, n int, now time.Duration, cold coldPolicy) (count int) {
	for range n {
		if s.pick([]*fleet.Member{m}, "", nil, now, cold) != nil {
			count++
			s.attemptEnded(m, now, severityNone)
		}
	}
	return count
}

// A server that has failed may have restarted cold under its id. While the entries
// read are older than the failure, it gets no more requests than a cold server.
func TestFailedServerCountsAsColdUntilItsNextEntry(t *testing.T) {
	const failure, perSecond, requests = 20 * time.Second, 4, 30
	for name, c := range map[string]struct {
		severity     float64
		entriesSince time.Duration
		got          int
	}{
		"no newer entry":                {severityFailed, failure - time.Second, perSecond},
		"newer entry":                   {severityFailed, failure, requests},
		"complete answer with an error": {severityError, failure - time.Second, requests},
		"refusal":                       {severityRefused, failure - time.Second, requests},
	} {
		t.Run(name, func(t *testing.T) {
			s := newService("s", admit.NewRetryBudget(1, 100), noStatements(), log.New(io.Discard))
			m := &fleet.Member{Server: fleet.Server{ID: "i", Service: "s"}}
			require.NotNil(t, s.pick([]*fleet.Member{m}, "", nil, failure, coldPolicy{}))
			s.attemptEnded(m, failure, c.severity)
			later := failure + 2*time.Second // the window in which it failed is over
			require.Equal(t, c.got, picks(s, m, requests, later, coldPolicy{perSecond: perSecond, entriesSince: c.entriesSince}))
		})
	}
	t.Run("unreachable", func(t *testing.T) {
		s := newService("s", admit.NewRetryBudget(1, 100), noStatements(), log.New(io.Discard))
		m := &fleet.Member{Server: fleet.Server{ID: "i", Service: "s"}}
		require.NotNil(t, s.pick([]*fleet.Member{m}, "", nil, failure, coldPolicy{}))
		s.dialFailed(m, failure)
		later := failure + maxEjection + time.Second
		require.NotNil(t, s.pick([]*fleet.Member{m}, "", nil, later, coldPolicy{}), "the probe after the ejection")
		s.attemptEnded(m, later, severityNone)
		got := 1 + picks(s, m, requests, later, coldPolicy{perSecond: perSecond, entriesSince: failure - time.Second})
		require.Equal(t, perSecond, got)
	})
}

// Servers turn cold at any moment, also without a failure that a gateway sees. While
// the entries cannot be read, no server gets more than a cold one takes.
func TestOutdatedEntriesDoNotShowThatServersAreWarm(t *testing.T) {
	tg := newTestGateway(t)
	tg.document(func(d *fleet.Document) {
		d.Version = 2
		d.Services["s"].ColdPerSecond = defaultInstances // 1 for this gateway
	})
	tg.server(serve("ok"))
	tg.server(serve("ok"))
	c := &call{view: tg.cache.View(), service: tg.g.service("s")}
	members := c.view.Services["s"]
	count := func() (n int) {
		for range 30 {
			if c.service.pick(members, "", nil, 20*time.Second, tg.g.coldPolicy(c)) != nil {
				n++
			}
		}
		return n
	}
	tg.entries.Store(int64(clock.SinceBoot() - (outdatedAfterIntervals+1)*defaultEntryInterval))
	require.Equal(t, len(members), count())
	tg.entries.Store(int64(clock.SinceBoot()))
	require.Equal(t, 30, count())
}

// The end of a cold start is on the clock of the cache, which may have begun long
// before the gateway's.
func TestColdStartEnds(t *testing.T) {
	const limit, requests = 2, 30
	s := newService("s", admit.NewRetryBudget(1, 100), noStatements(), log.New(io.Discard))
	m := &fleet.Member{Server: fleet.Server{ID: "i", Service: "s"}, ColdUntil: time.Hour}
	now := time.Second
	require.Equal(t, limit, picks(s, m, requests, now, coldPolicy{perSecond: limit, cacheNow: time.Hour - 1, entriesSince: now}))
	require.Equal(t, requests, picks(s, m, requests, now, coldPolicy{perSecond: limit, cacheNow: time.Hour, entriesSince: now}))
}

// The gateway takes a failed server for cold while its list of servers is old.
func TestServerThatDropsRequestsWhileTheStoreIsAway(t *testing.T) {
	tg := newTestGateway(t)
	tg.document(func(d *fleet.Document) {
		d.Version = 2
		d.Services["s"].ColdPerSecond = defaultInstances // 1 for this gateway
	})
	var arrivals atomic.Int64
	tg.server(func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			if arrivals.Add(1) == 1 {
				return // drops the connection
			}
			c.write(answer(r, http.StatusOK, "ok"))
		}
	})
	start := time.Now()
	for range 20 {
		tg.call("/once/")
	}
	seconds := int64(time.Since(start)/time.Second) + 1
	require.LessOrEqual(t, arrivals.Load(), 1+2*seconds, "at most two in any second after the first")
	tg.entries.Store(int64(clock.SinceBoot() + 2*defaultEntryInterval)) // entries newer than the failure
	for range 20 {
		status, body, _ := tg.call("/once/")
		require.Equal(t, http.StatusOK, status, body)
	}
}

// A cold server must not get the share of two seconds within one.
func TestColdServerGetsItsShareInAnySecond(t *testing.T) {
	const limit, requests = 4, 30
	s := newService("s", admit.NewRetryBudget(1, 100), noStatements(), log.New(io.Discard))
	m := &fleet.Member{Server: fleet.Server{ID: "i", Service: "s"}, ColdUntil: time.Hour}
	cold := coldPolicy{perSecond: limit}
	require.Equal(t, 1, picks(s, m, 1, 10*time.Second, cold))
	require.Equal(t, limit-1, picks(s, m, requests, 10900*time.Millisecond, cold))
	require.Equal(t, 1, picks(s, m, requests, 11100*time.Millisecond, cold), "of the last second, only the first is over")
	require.Equal(t, limit-1, picks(s, m, requests, 11900*time.Millisecond, cold))
}

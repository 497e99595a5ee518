package cost_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/cost"
)

var model = cost.Model{
	Slots: 10, Step: 4 * time.Millisecond, PerSequence: time.Millisecond, PerContext: 20 * time.Microsecond,
	PrefillRate: 50_000, Horizon: 25,
}

func TestModel(t *testing.T) {
	require.True(t, model.Known())
	require.False(t, cost.Model{}.Known())
	require.Equal(t, 20*time.Millisecond, model.Reading(1000))
	require.Zero(t, cost.Model{}.Reading(1000))
	// Per token 1 ms, a tenth of 4 ms, and 20 us per 1,000 tokens of context.
	require.Equal(t, 10*(1400+21)*time.Microsecond, model.Writing(1045, 10).Round(time.Microsecond))
	x := model.Estimate(1000, 100)
	require.Equal(t, 1100, x.Memory())
	require.Equal(t, model.Reading(1000)+model.Writing(1000, 100), x.Work)
}

// The work of a request declines as it writes; what it holds does not.
func TestWorkDeclines(t *testing.T) {
	l := cost.NewLedger()
	s := cost.Server{ID: "a"}
	e := l.Begin(s, model, model.Estimate(1000, 50), 200, time.Minute)
	begun := l.Own(s)
	require.Equal(t, cost.Load{Requests: 1, Work: model.Reading(1000) + model.Writing(1000, 25), Memory: 1050}, begun)
	l.Wrote(e, 5)
	reading := begun.Work - l.Own(s).Work
	require.InDelta(t, model.Reading(1000), reading, float64(time.Millisecond), "the prompt has been read")
	previous := l.Own(s)
	for range 7 {
		l.Wrote(e, 5)
		require.LessOrEqual(t, l.Own(s).Work, previous.Work+time.Millisecond)
		previous = l.Own(s)
	}
	require.Equal(t, 1050, l.Own(s).Memory)
	require.Less(t, previous.Work, model.Writing(1050, 25)/2)
	for range 9 {
		l.Wrote(e, 5) // more than expected
	}
	require.Positive(t, l.Own(s).Work)
	require.Greater(t, l.Own(s).Memory, 1085)
	require.LessOrEqual(t, l.Own(s).Memory, 1200)
	require.Equal(t, 85, e.Written())
	for range 40 {
		l.Wrote(e, 5) // more than declared
	}
	require.Zero(t, l.Own(s).Work)
	l.End(e)
	l.End(e)
	require.Zero(t, l.Own(s))
}

// Whatever the order of events, loads are never negative and return to zero.
func TestLedgerIsNeverNegative(t *testing.T) {
	rnd := rand.New(rand.NewPCG(2, 1))
	l := cost.NewLedger()
	servers := []cost.Server{{ID: "a", StartedAt: 1}, {ID: "a", StartedAt: 2}, {ID: "b"}}
	var entries []*cost.Entry
	now := time.Duration(0)
	for range 20_000 {
		now += time.Duration(rnd.IntN(20)) * time.Millisecond
		switch rnd.IntN(8) {
		case 0, 1:
			x := model.Estimate(rnd.IntN(3000), float64(rnd.IntN(300)))
			entries = append(entries, l.Begin(servers[rnd.IntN(3)], model, x, rnd.IntN(400), now+time.Duration(rnd.IntN(2000))*time.Millisecond))
		case 2:
			l.Expire(now)
		case 3:
			l.Forget(servers[rnd.IntN(3)])
		case 4:
			l.SetPeer(now, string(rune('p'+rnd.IntN(3))), map[cost.Key]cost.Load{
				servers[rnd.IntN(3)].Key(): {Requests: rnd.IntN(4), Work: time.Duration(rnd.IntN(1e9)), Memory: rnd.IntN(1e5)},
			})
		default:
			if len(entries) == 0 {
				continue
			}
			e := entries[rnd.IntN(len(entries))]
			if rnd.IntN(4) == 0 {
				l.End(e)
			} else {
				l.Wrote(e, rnd.IntN(30)-2)
			}
		}
		for _, s := range servers {
			for _, x := range []cost.Load{l.Own(s), l.Total(s)} {
				require.True(t, x.Requests >= 0 && x.Work >= 0 && x.Memory >= 0, "%+v", x)
			}
		}
	}
	l.Expire(now + time.Hour)
	for _, s := range servers {
		require.Zero(t, l.Total(s))
	}
	require.Empty(t, l.OwnLoads())
}

// A server that has started again does not have the work of its former incarnation.
func TestIncarnationsAreApart(t *testing.T) {
	l := cost.NewLedger()
	before, after := cost.Server{ID: "a", StartedAt: 1}, cost.Server{ID: "a", StartedAt: 2}
	require.NotEqual(t, before.Key(), after.Key())
	e := l.Begin(before, model, model.Estimate(1000, 50), 0, time.Minute)
	require.Zero(t, l.Total(after))
	l.Forget(before)
	require.Zero(t, l.Own(before))
	l.Wrote(e, 5)
	l.End(e)
	require.Zero(t, l.Own(before))
}

// A request whose end was not recorded is dropped some time after its deadline.
func TestLostEnds(t *testing.T) {
	l := cost.NewLedger()
	s := cost.Server{ID: "a"}
	l.Begin(s, model, model.Estimate(1000, 50), 0, time.Minute)
	l.Expire(time.Minute)
	require.Equal(t, 1, l.Own(s).Requests)
	l.Expire(2 * time.Minute)
	require.Zero(t, l.Own(s))
}

func TestPeers(t *testing.T) {
	l := cost.NewLedger()
	s, other := cost.Server{ID: "a"}, cost.Server{ID: "b"}
	x := cost.Load{Requests: 2, Work: time.Second, Memory: 640}
	l.SetPeer(0, "p", map[cost.Key]cost.Load{s.Key(): x, other.Key(): x})
	l.SetPeer(0, "q", map[cost.Key]cost.Load{s.Key(): x})
	require.Equal(t, cost.Load{Requests: 4, Work: 2 * time.Second, Memory: 1280}, l.Total(s))
	require.Zero(t, l.Own(s))
	l.SetPeer(500*time.Millisecond, "p", map[cost.Key]cost.Load{s.Key(): x})
	require.Zero(t, l.Total(other), "a report replaces the one before")
	l.Expire(1200 * time.Millisecond)
	require.Equal(t, x, l.Total(s), "q has gone silent")
	l.SetPeer(1300*time.Millisecond, "p", nil)
	require.Zero(t, l.Total(s))
}

func TestReportOfLoads(t *testing.T) {
	loads := map[cost.Key]cost.Load{}
	for _, id := range []string{"a", "b", "c"} {
		loads[cost.Server{ID: id}.Key()] = cost.Load{Requests: len(loads), Work: time.Duration(len(loads)) * 100 * time.Millisecond, Memory: 6400 * len(loads)}
	}
	data := cost.EncodeLoads(loads)
	require.Less(t, len(data), 10*len(loads))
	got, err := cost.DecodeLoads(data)
	require.NoError(t, err)
	require.Equal(t, loads, got)

	// Values are rounded up.
	key := cost.Server{ID: "a"}.Key()
	got, err = cost.DecodeLoads(cost.EncodeLoads(map[cost.Key]cost.Load{key: {Requests: 1, Work: 1, Memory: 1}}))
	require.NoError(t, err)
	require.Equal(t, cost.Load{Requests: 1, Work: time.Millisecond, Memory: 64}, got[key])

	one := cost.EncodeLoads(map[cost.Key]cost.Load{key: {Requests: 300, Work: time.Second, Memory: 1 << 20}})
	for n := 1; n < len(one); n++ {
		_, err := cost.DecodeLoads(one[:n])
		require.Error(t, err, "a report that is cut within a server")
	}
	_, err = cost.DecodeLoads([]byte{1, 2, 3, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 0, 0})
	require.Error(t, err)
	rnd := rand.New(rand.NewPCG(2, 2))
	for range 2000 {
		noise := make([]byte, rnd.IntN(60))
		for i := range noise {
			noise[i] = byte(rnd.Uint32())
		}
		loads, err := cost.DecodeLoads(noise)
		for _, x := range loads {
			require.NoError(t, err)
			require.True(t, x.Requests >= 0 && x.Work >= 0 && x.Memory >= 0)
		}
	}
}

// A gateway whose requests state absurd sizes does not lose its whole report.
func TestReportOfAbsurdLoads(t *testing.T) {
	absurd, usual := cost.Server{ID: "a"}.Key(), cost.Server{ID: "b"}.Key()
	x := cost.Load{Requests: 1, Work: time.Second, Memory: 640}
	got, err := cost.DecodeLoads(cost.EncodeLoads(map[cost.Key]cost.Load{
		absurd: {Requests: 1 << 30, Work: 1000 * time.Hour, Memory: 1 << 50}, usual: x,
	}))
	require.NoError(t, err)
	require.Equal(t, x, got[usual])
	require.GreaterOrEqual(t, got[absurd].Work, time.Hour)
}

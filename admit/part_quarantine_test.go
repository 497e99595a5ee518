package admit

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjorampitch/wire"
)

const (
	firstPart uint64 = iota + 1 // shared by all requests
	tenantPart
	badPart
	otherPart
)

// crashPart records that a server crashed under a request with these parts, which
// was sent at sentAt and broken off at brokeAt.
func crashPart(q *PartQuarantine, parts []uint64, server string, sentAt, brokeAt time.Duration) {
	q.Broke(parts, ServerIncarnation{ID: server}, sentAt, brokeAt)
	q.ServerDown(server, brokeAt)
}

func refusesPart(q *PartQuarantine, part uint64, now time.Duration) bool {
	_, refuse := q.Check([]uint64{part}, now)
	return refuse
}

// TestPartQuarantineRules checks after which observations a part is refused.
func TestPartQuarantineRules(t *testing.T) {
	bad := []uint64{badPart}
	server := func(id string) ServerIncarnation { return ServerIncarnation{ID: id} }
	const s = time.Second
	for _, c := range []struct {
		name    string
		observe func(q *PartQuarantine)
		now     time.Duration
		refused bool
	}{
		{"one crash", func(q *PartQuarantine) {
			crashPart(q, bad, "a", 0, s)
		}, 2 * s, false},
		{"two crashes", func(q *PartQuarantine) {
			crashPart(q, bad, "a", 0, s)
			crashPart(q, bad, "b", s+partAgeError, 2*s)
		}, 2 * s, true},
		{"two crashes in an order that is not certain", func(q *PartQuarantine) {
			crashPart(q, bad, "a", 0, s)
			crashPart(q, bad, "b", s+partAgeError-1, 2*s)
		}, 2 * s, false},
		{"until the end of the lifetime", func(q *PartQuarantine) {
			crashPart(q, bad, "a", 0, s)
			crashPart(q, bad, "b", s+partAgeError, 2*s)
		}, 2*s + PartTTL, false},
		{"two requests under one crash", func(q *PartQuarantine) {
			crashPart(q, bad, "a", 0, s)
			crashPart(q, bad, "a", 1*s, 2*s)
		}, 2 * s, false},
		{"two incarnations of one server", func(q *PartQuarantine) {
			crashPart(q, bad, "a", 0, s)
			q.Broke(bad, ServerIncarnation{ID: "a", StartedAt: 1}, 3*s, 4*s)
			q.ServerDown("a", 4*s)
		}, 4 * s, true},
		{"servers that crash together", func(q *PartQuarantine) {
			for i := range 10 {
				crashPart(q, bad, fmt.Sprint(i), time.Duration(i)*time.Millisecond, s)
			}
		}, 2 * s, false},
		{"crashes that are not confirmed", func(q *PartQuarantine) {
			q.Broke(bad, server("a"), 0, s)
			q.Broke(bad, server("b"), s+partAgeError, 2*s)
		}, 2 * s, false},
		{"crashes that are confirmed too late", func(q *PartQuarantine) {
			q.Broke(bad, server("a"), 0, s)
			q.Broke(bad, server("b"), s+partAgeError, 2*s)
			q.ServerDown("a", 2*s+partConfirmWindow+1)
			q.ServerDown("b", 2*s+partConfirmWindow+1)
		}, 20 * s, false},
		{"crashes that are confirmed before the requests end", func(q *PartQuarantine) {
			q.ServerDown("a", s)
			q.Broke(bad, server("a"), 0, s)
			q.ServerDown("b", 2*s)
			q.Broke(bad, server("b"), s+partAgeError, 2*s)
		}, 2 * s, true},
		{"servers that were down before the requests", func(q *PartQuarantine) {
			q.ServerDown("a", 0)
			q.Broke(bad, server("a"), 1, s)
			q.ServerDown("b", s-1)
			q.Broke(bad, server("b"), s+partAgeError, 2*s)
		}, 2 * s, false},
		{"a server that answers after the break", func(q *PartQuarantine) {
			crashPart(q, bad, "a", 0, s)
			q.Started([]uint64{otherPart}, server("a"), s+partAnswerDelay+1)
			crashPart(q, bad, "b", 2*s, 3*s)
		}, 3 * s, false},
		{"an answer that arrived before the crash", func(q *PartQuarantine) {
			crashPart(q, bad, "a", 0, s)
			q.Started([]uint64{otherPart}, server("a"), s+partAnswerDelay)
			crashPart(q, bad, "b", 2*s, 3*s)
		}, 3 * s, true},
		{"an answer of the next incarnation", func(q *PartQuarantine) {
			crashPart(q, bad, "a", 0, s)
			q.Started([]uint64{otherPart}, ServerIncarnation{ID: "a", StartedAt: 1}, 4*s)
			crashPart(q, bad, "b", 5*s, 6*s)
		}, 6 * s, true},
		{"an answer on the part", func(q *PartQuarantine) {
			crashPart(q, bad, "a", 0, s)
			crashPart(q, bad, "b", s+partAgeError, 2*s)
			q.Started(bad, server("c"), 3*s)
		}, 3 * s, false},
		{"a part in use", func(q *PartQuarantine) {
			q.Started(bad, server("c"), 0)
			for i := range partInUseLimit - 1 {
				crashPart(q, bad, fmt.Sprint(i), time.Duration(i)*s+partAgeError, time.Duration(i+1)*s)
			}
		}, 10 * s, false},
		{"a part in use that has turned bad", func(q *PartQuarantine) {
			q.Started(bad, server("c"), 0)
			for i := range partInUseLimit {
				crashPart(q, bad, fmt.Sprint(i), time.Duration(i)*s+partAgeError, time.Duration(i+1)*s)
			}
		}, 10 * s, true},
		{"a part that was in use long ago", func(q *PartQuarantine) {
			q.Started(bad, server("c"), 0)
			crashPart(q, bad, "a", partInUseWindow, partInUseWindow+s)
			crashPart(q, bad, "b", partInUseWindow+s+partAgeError, partInUseWindow+2*s)
		}, partInUseWindow + 2*s, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := NewPartQuarantine()
			c.observe(q)
			require.Equal(t, c.refused, refusesPart(q, badPart, c.now))
		})
	}
}

// TestPartQuarantineAtColdStart guards against refusing the parts that requests share
// with those that crash servers while no answer has begun yet.
func TestPartQuarantineAtColdStart(t *testing.T) {
	q := NewPartQuarantine()
	for i := range uint64(100) {
		q.Arrived([]uint64{firstPart + 100*(i%3), tenantPart + 100*(i%3), 1000 + i}, 0)
	}
	bad := []uint64{firstPart, tenantPart, badPart, 2000}
	q.Arrived(bad, 0)
	const s = time.Second
	crashPart(q, bad, "a", 0, s)
	crashPart(q, bad, "b", 2*s, 3*s)
	require.True(t, refusesPart(q, badPart, 3*s))
	require.False(t, refusesPart(q, tenantPart, 3*s))
	require.False(t, refusesPart(q, firstPart, 3*s))
	crashPart(q, []uint64{firstPart, tenantPart, badPart, 2001}, "c", 4*s, 5*s)
	require.True(t, refusesPart(q, badPart, 5*s))
	require.False(t, refusesPart(q, tenantPart, 5*s))
}

// TestPartQuarantineExemption checks that a part of most requests is never refused.
func TestPartQuarantineExemption(t *testing.T) {
	q := NewPartQuarantine()
	for i := range uint64(100) {
		q.Arrived([]uint64{firstPart, 1000 + i}, 0)
	}
	const s = time.Second
	crashPart(q, []uint64{firstPart}, "a", 0, s)
	crashPart(q, []uint64{firstPart}, "b", 2*s, 3*s)
	require.False(t, refusesPart(q, firstPart, 3*s))
	for i := range uint64(maxRecentArrivals) {
		q.Arrived([]uint64{otherPart, 1000 + i}, 4*s)
	}
	require.True(t, refusesPart(q, firstPart, 4*s), "it is no longer carried by most requests")
}

// TestPartQuarantineCoincidence checks that a part that was in flight at crashes by
// chance is not refused once another one has more strikes.
func TestPartQuarantineCoincidence(t *testing.T) {
	const s = time.Second
	q := NewPartQuarantine()
	crashPart(q, []uint64{badPart}, "a", 0, s)
	crashPart(q, []uint64{badPart}, "b", 2*s, 3*s)
	crashPart(q, []uint64{otherPart}, "b", 2*s, 3*s)
	crashPart(q, []uint64{badPart}, "c", 4*s, 5*s)
	crashPart(q, []uint64{otherPart}, "c", 4*s, 5*s)
	require.True(t, refusesPart(q, badPart, 5*s))
	require.False(t, refusesPart(q, otherPart, 5*s))
}

// TestPartQuarantineMayRepeat checks which requests are repeated.
func TestPartQuarantineMayRepeat(t *testing.T) {
	const s = time.Second
	server := ServerIncarnation{ID: "a"}
	parts := []uint64{firstPart, badPart}
	q := NewPartQuarantine()
	q.Started([]uint64{firstPart}, server, 0)
	q.Broke(parts, server, 0, s)
	require.True(t, q.MayRepeat(parts, s), "the first broken attempt")
	q.Broke(parts, ServerIncarnation{ID: "b"}, s, 2*s)
	require.False(t, q.MayRepeat(parts, 2*s), "another break, not confirmed yet")
	require.True(t, q.MayRepeat([]uint64{firstPart, otherPart}, 2*s), "a part in use does not count")
	require.True(t, q.MayRepeat(parts, 20*s), "never confirmed")
}

// TestPartQuarantinePeers checks that a gateway learns what speaks against a part, and
// what speaks for it, from the others.
func TestPartQuarantinePeers(t *testing.T) {
	const s = time.Second
	bad := []uint64{badPart}
	a, b := NewPartQuarantine(), NewPartQuarantine()
	exchange := func(from, to *PartQuarantine, now time.Duration) int {
		e := from.Evidence(now)
		to.Merge(e, now)
		return len(e)
	}
	a.Broke(bad, ServerIncarnation{ID: "1"}, 0, s)
	require.Zero(t, exchange(a, b, s), "not confirmed")
	a.ServerDown("1", s)
	require.Equal(t, 1, exchange(a, b, s))
	crashPart(b, bad, "2", s+partAgeError, 2*s)
	require.True(t, refusesPart(b, badPart, 2*s))
	exchange(b, a, 2*s)
	require.True(t, refusesPart(a, badPart, 2*s))

	b.Broke([]uint64{otherPart}, ServerIncarnation{ID: "4"}, 0, 3*s)
	crashPart(a, []uint64{tenantPart}, "4", 0, 3*s)
	exchange(a, b, 3*s)
	require.True(t, slices.ContainsFunc(b.Evidence(3*s), func(e wire.PartEvidence) bool { return e.Part == otherPart }),
		"a peer confirms the crash")

	restarted := NewPartQuarantine()
	for now := 60 * s; now < 60*s+2*partMaxResend; now += s {
		exchange(a, restarted, now)
	}
	require.True(t, refusesPart(restarted, badPart, 70*s), "evidence is sent again")
	left, _ := restarted.Check(bad, 70*s)
	require.InDelta(t, 2*s+PartTTL-70*s, left, float64(s))

	b.Started(bad, ServerIncarnation{ID: "3"}, 71*s)
	exchange(b, a, 71*s)
	require.False(t, refusesPart(a, badPart, 71*s), "cleared by a peer")
	for now := 71 * s; now < 90*s; now += s {
		exchange(restarted, b, now)
		exchange(b, restarted, now)
	}
	require.False(t, refusesPart(restarted, badPart, 90*s), "cleared in answer to its evidence")
	require.False(t, slices.ContainsFunc(b.Evidence(200*s), func(e wire.PartEvidence) bool { return e.Part == badPart }),
		"cleared evidence is not sent for ever")
}

// TestPartQuarantineBounds checks that the state stays bounded.
func TestPartQuarantineBounds(t *testing.T) {
	q := NewPartQuarantine()
	for i := range 2 * uint64(maxRecentStarts) {
		now := time.Duration(i) * time.Millisecond
		q.Started([]uint64{firstPart, 1<<32 + i}, ServerIncarnation{ID: "s"}, now)
		if i%8 > 0 {
			continue
		}
		server := fmt.Sprint(i)
		crashPart(q, []uint64{firstPart, 1<<40 + i}, server, now, now)
		q.Broke([]uint64{firstPart}, ServerIncarnation{ID: "s" + server}, now, now)
	}
	require.LessOrEqual(t, len(q.suspects), maxPartSuspects)
	require.LessOrEqual(t, len(q.suspects[firstPart].strikes), maxPartStrikes)
	require.LessOrEqual(t, len(q.starts.newer)+len(q.starts.older), 2*maxRecentStarts)
	require.LessOrEqual(t, len(q.down)+len(q.pending), 2*maxServerEvents)
	require.LessOrEqual(t, len(q.Evidence(time.Minute)), maxPartEvidence)
	_, kept := q.starts.last(firstPart)
	require.True(t, kept, "the part that starts again and again")
}

// TestFuzzPartQuarantineMerge checks that the state does not depend on the order or
// repetition of evidence.
func TestFuzzPartQuarantineMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		evidence := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) wire.PartEvidence {
			broke := rapid.Int64Range(0, 5000).Draw(t, "broke")
			return wire.PartEvidence{
				Part:     rapid.Uint64Range(1, 2).Draw(t, "part"),
				Crash:    rapid.Uint64Range(1, 5).Draw(t, "crash"),
				SentAge:  broke + rapid.Int64Range(0, 2000).Draw(t, "ran"),
				BrokeAge: broke,
				InUse:    rapid.Bool().Draw(t, "in use"),
				Cleared:  rapid.Bool().Draw(t, "cleared"),
			}
		}), 1, 30).Draw(t, "evidence")
		shuffled := rapid.Permutation(evidence).Draw(t, "shuffled")
		cut := rapid.IntRange(0, len(shuffled)).Draw(t, "cut")
		const now = 10 * time.Second
		a, b := NewPartQuarantine(), NewPartQuarantine()
		for _, q := range []*PartQuarantine{a, b} {
			q.Started([]uint64{2}, ServerIncarnation{ID: "x"}, 7*time.Second)
		}
		a.Merge(evidence, now)
		b.Merge(shuffled[cut:], now)
		b.Merge(shuffled[:cut], now)
		b.Merge(shuffled, now)
		for part := uint64(1); part <= 2; part++ {
			require.Equal(t, knownStrikes(a, part), knownStrikes(b, part))
			require.Equal(t, refusesPart(a, part, now), refusesPart(b, part, now))
		}
	})
}

// knownStrikes returns what is known against a part, without when it is sent next.
func knownStrikes(q *PartQuarantine, part uint64) []partStrike {
	if q.suspects[part] == nil {
		return nil
	}
	list := append([]partStrike(nil), q.suspects[part].strikes...)
	for i := range list {
		list[i].lastSent, list[i].resend, list[i].asked = 0, 0, false
	}
	return list
}

// TestPartQuarantineRepeats checks that repeating only requests that nothing speaks
// against spares servers.
func TestPartQuarantineRepeats(t *testing.T) {
	config := partDays["later"].deploy("plain")
	crashes := func(mutation partMutation) (n int) {
		for seed := range uint64(100) {
			sim := newPartSim(config, mutation, seed)
			sim.run(config.badFrom + 15*time.Second)
			n += len(sim.crashes)
		}
		return n
	}
	limited, unlimited := crashes(partMutation{}), crashes(partMutation{allRepeats: true})
	t.Logf("%d crashes on 100 days, %d if all requests are repeated", limited, unlimited)
	require.Less(t, limited, unlimited)
}

// BenchmarkPartQuarantine measures one request with four parts, by the number of
// parts with strikes.
func BenchmarkPartQuarantine(b *testing.B) {
	for _, n := range []uint64{0, 10, maxPartSuspects} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := NewPartQuarantine()
			for i := range n {
				crashPart(q, []uint64{1000 + i}, "x", 0, 1)
			}
			parts := []uint64{firstPart, tenantPart, otherPart, 0}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * time.Millisecond
				parts[3] = 1<<32 + uint64(i)
				q.Arrived(parts, now)
				q.Check(parts, now)
				q.Started(parts, ServerIncarnation{ID: "s"}, now)
			}
		})
	}
}

// partDays are the simulated days.
var partDays = map[string]partSimConfig{
	"later":                                  {badRate: 2, badFrom: 20 * time.Second},
	"often":                                  {badRate: 4, badFrom: 20 * time.Second},
	"seldom":                                 {badRate: 1, badFrom: 20 * time.Second},
	"from the start":                         {badRate: 4},
	"from the start, before others":          {badRate: 4, badFirst: true},
	"gateways restart":                       {badRate: 3, badFrom: 20 * time.Second, restarts: true},
	"gateways restart from the start":        {badRate: 3, badFirst: true, restarts: true},
	"part turns bad":                         {badRate: 3, badFrom: 20 * time.Second, usedBefore: true},
	"mass crash":                             {badRate: 2, badFrom: 20 * time.Second, massCrash: partMassCrashes},
	"resets":                                 {badRate: 2, badFrom: 20 * time.Second, resetEvery: time.Second},
	"grey servers":                           {badRate: 2, badFrom: 20 * time.Second, grey: true},
	"flapping":                               {badRate: 2, badFrom: 20 * time.Second, flapping: true},
	"all faults":                             {badRate: 2, badFrom: 20 * time.Second, flapping: true, grey: true, refusals: true, resetEvery: time.Second, restarts: true},
	"no bad part":                            {},
	"no bad part, mass crash":                {massCrash: partMassCrashes, restarts: true},
	"no bad part, groups crash as they open": {openFrom: 3 * time.Second, massCrash: []time.Duration{3020 * time.Millisecond}},
	"no bad part, resets":                    {resetEvery: time.Second, grey: true, restarts: true},
	"no bad part, refusals":                  {refusals: true, resetEvery: 300 * time.Millisecond, restarts: true},
	"no bad part, flapping":                  {flapping: true, restarts: true},
}

var partMassCrashes = []time.Duration{300 * time.Millisecond, 20 * time.Second, 30 * time.Second}

const (
	partDayLength = time.Minute
	// partMinFirst is the least share of sound requests that begin at the first
	// attempt, as a multiple of that without a bad part; see partSim.firstShare.
	partMinFirst = 0.5
)

// partDeployments are one rank group, three, and servers without groups.
var partDeployments = map[string]partSimConfig{
	"small": {gateways: 5, groups: []int{12}, rate: 56},
	"large": {gateways: 14, groups: []int{24, 24, 24}, rate: 200},
	"plain": {gateways: 5, groups: []int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, rate: 56},
}

// deploy returns the configuration of the day in a deployment.
func (c partSimConfig) deploy(name string) partSimConfig {
	at := partDeployments[name]
	c.gateways, c.groups, c.rate = at.gateways, at.groups, at.rate
	return c
}

// playPartDay plays a day in a deployment and checks it.
func playPartDay(day, deployment string, mutation partMutation, seed uint64) (*partSim, error) {
	c := partDays[day].deploy(deployment)
	sim := newPartSim(c, mutation, seed)
	sim.run(partDayLength)
	if c.badRate == 0 {
		return sim, sim.check(0)
	}
	c.badRate = 0
	usual := newPartSim(c, partMutation{}, seed)
	usual.run(partDayLength)
	return sim, sim.check(partMinFirst * usual.firstShare(sim.settledAt()))
}

// TestPartQuarantineSim plays days with and without a bad part and checks what
// callers get.
func TestPartQuarantineSim(t *testing.T) {
	for _, deployment := range []string{"small", "large"} {
		for name := range partDays {
			t.Run(deployment+"/"+name, func(t *testing.T) {
				crashes, worst, late, refused, wrong, sound, first := 0, 0, 0, 0, 0, 0, 1.0
				seeds := partSeeds(deployment)
				for seed := range seeds {
					sim, err := playPartDay(name, deployment, partMutation{}, seed)
					assert.NoError(t, err, "seed %d", seed)
					crashes += len(sim.crashes)
					worst = max(worst, len(sim.crashes))
					late = max(late, sim.late())
					refused += sim.soundRefused
					wrong += len(sim.wrongParts)
					sound += len(sim.sound)
					first = min(first, sim.firstShare(sim.settledAt()))
				}
				t.Logf("%d seeds: %.1f crashes, at most %d; at most %d late; %d of %d sound requests refused, for %d parts; at least %.2f begin at the first attempt",
					seeds, float64(crashes)/float64(seeds), worst, late, refused, sound, wrong, first)
			})
		}
	}
}

// partSeeds returns the number of days to play of each kind, more with FUZZ=1.
func partSeeds(deployment string) uint64 {
	switch {
	case os.Getenv("FUZZ") == "1":
		return 20
	case deployment == "small":
		return 3
	}
	return 1
}

// TestPartQuarantineMutations disables one mechanism at a time and checks that the
// oracle finds a violation.
func TestPartQuarantineMutations(t *testing.T) {
	for name, c := range map[string]struct {
		deployment, day string
		mutation        partMutation
	}{
		"evidence not exchanged":            {"small", "often", partMutation{noExchange: true}},
		"evidence sent only once":           {"small", "gateways restart", partMutation{sentOnce: true}},
		"answers do not clear":              {"small", "no bad part, flapping", partMutation{noStarts: true}},
		"broken connections count":          {"small", "no bad part, resets", partMutation{unconfirmed: true}},
		"crashes not refuted":               {"small", "no bad part, refusals", partMutation{noRefutation: true}},
		"servers that crash together count": {"small", "no bad part, groups crash as they open", partMutation{noEpisodes: true}},
		"late datagrams accepted":           {"large", "no bad part, groups crash as they open", partMutation{acceptLate: true}},
		"arrivals not counted":              {"small", "from the start", partMutation{noArrivals: true}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				if _, err := playPartDay(c.day, c.deployment, c.mutation, seed); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("the oracle found no violation with the mechanism disabled")
		})
	}
}

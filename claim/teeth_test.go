package claim

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// rejected is the oracle's report as a panic.
type rejected string

func reject(format string, args ...any) { panic(rejected(fmt.Sprintf(format, args...))) }

// caught runs f and returns the oracle's report, or "".
func caught(f func()) (report string) {
	defer func() {
		if r := recover(); r != nil {
			report = string(r.(rejected))
		}
	}()
	f()
	return ""
}

// seeded plays one case of three attempts on one key at two entries.
func seeded(without mechanism, seed uint64) string {
	w := newWorld(2, 2, newChooser(seed), reject)
	w.without = without
	w.faults = 4
	w.pending = sameKey(w, 3)
	return caught(func() { w.play(100) })
}

func sameKey(w *world, n int) []*attempt {
	var as []*attempt
	for i := range n {
		as = append(as, &attempt{id: i, key: simKey(w.now, 1), content: 7})
	}
	return as
}

// follow makes the moves whose labels begin as written, in order.
func (w *world) follow(script string) {
	for line := range strings.Lines(script) {
		want := strings.TrimSpace(line)
		if want == "" {
			continue
		}
		found := false
		for _, m := range w.moves() {
			if strings.HasPrefix(m.label, want) {
				w.make(m)
				found = true
				break
			}
		}
		if !found {
			w.fail("no move %q", want)
		}
	}
}

// scripted plays a script of two attempts on one key at two entries.
func scripted(without mechanism, picks []int, script string) string {
	w := newWorld(2, 2, func(int) int { return 0 }, reject)
	w.without = without
	w.faults = 100
	w.picks = picks
	w.pending = sameKey(w, 2)
	return caught(func() { w.follow(script) })
}

// pausedBeforeSend: the claimant of attempt 0 is paused between reading its
// claim back and sending. Meanwhile its claim is sealed and released, the side
// restarts, and attempt 1 runs elsewhere. Then the claimant goes on.
const pausedBeforeSend = `
	attempt at e1
	e1 append
	e1 reads
	attempt at e0
	e0 append
	e0 reads
	e0 reads
	query at s0 of 1 about 0 seal=false
	key answer to 1 about 0
	timer of 1
	query at s0 of 1 about 0 seal=false
	key answer to 1 about 0
	timer of 1
	query at s0 of 1 about 0 seal=true
	key answer to 1 about 0
	e0 append
	e0 reads
	e0 reads
	kill s0
	write request of 1
	request at s1 of 1
	write request of 0
	request at s0 of 0
`

// lateClaim: the claim of attempt 0 lands after the stream has passed its
// ValidUntil and its claimant has claimed again.
const lateClaim = `
	attempt at e1
	e1 append answer lost, late
	timer of 0
	e1 append
	e1 reads
	e1 reads
	e1 reads
	e1 reads
	late append lands
	attempt at e0
	e1 append
	e0 append
	e1 reads
	e1 reads
	write request of 0
	request at s0 of 0
	e0 reads
	e0 reads
	e0 reads
	e0 reads
	e0 reads
	e0 reads
	e0 reads
	query at
	key answer
	timer of 1
	query at
	key answer
	timer of 1
	query at
	key answer
`

// afterLateClaim follows lateClaim where a reader counted the late claim.
const afterLateClaim = `
	e0 append
	e0 reads
	e0 reads
	write request of 1
	request at s1 of 1
`

// refusedCopy: a side refuses the request of attempt 0, which then runs at the
// other side; a copy of the refused request arrives.
const refusedCopy = `
	attempt at e1
	e1 append
	e1 reads
	write request of 0 under 0
	refuse request at s0 of 0 under 0
	reply to 0 under 0
	e1 append
	e1 reads
	e1 reads
	write request of 0 under 2
	request at s1 of 0 under 2
	request at s0 of 0 under 0
`

// lateRefusal: a copy of the refusal of attempt 0's first request arrives while
// its second request is under way.
const lateRefusal = `
	attempt at e1
	e1 append
	e1 reads
	write request of 0 under 0
	refuse request at s0 of 0 under 0
	copy of reply to 0 under 0
	e1 append
	e1 reads
	e1 reads
	write request of 0 under 2
	reply to 0 under 0
`

// afterLateRefusal follows lateRefusal where the copy was taken for an answer
// to the second request.
const afterLateRefusal = `
	e1 append
	e1 reads
	e1 reads
	write request of 0 under 4
	request at s1 of 0 under 2
	request at s0 of 0 under 4
`

// trimmedClaim needs three rules out at once: the entry's check of the age after
// reading back, its notice of trimmed records, and the side's horizon. Attempt 0 runs and its claim is trimmed; attempt 1, which began
// before, reaches the log after that.
const trimmedClaim = `
	attempt at e1
	e1 append
	e1 reads
	write request of 0
	request at s0 of 0
	attempt at e0
	kill e1
	a day passes
	a day passes
	e0 append
	e0 reads
`

// afterTrimmedClaim follows trimmedClaim where the entry reads on.
const afterTrimmedClaim = `
	e0 reads
	write request of 1
	request at s1 of 1
`

// TestTeeth takes one mechanism out at a time: the oracle must see it, and must
// see nothing on the same case with the mechanism in.
func TestTeeth(t *testing.T) {
	for _, without := range []mechanism{readingBack, sealing, sealedRefusal, sealedRemembers, correlation} {
		t.Run(string(without), func(t *testing.T) {
			seed, report := firstSeed(without)
			require.NotEmpty(t, report)
			require.Empty(t, seeded(nothing, seed))
			t.Logf("seed %d: %s", seed, strings.SplitN(report, "\n", 2)[0])
		})
	}
}

// firstSeed returns the first seed whose case the oracle rejects.
func firstSeed(without mechanism) (seed uint64, report string) {
	const seeds = 4000
	for seed = range seeds {
		if report = seeded(without, seed); report != "" {
			break
		}
	}
	return seed, report
}

func TestTeethPausedBeforeSend(t *testing.T) {
	picks := []int{0, 0, 1}
	require.Contains(t, scripted(incarnations, picks, pausedBeforeSend), "ran twice")
	require.Empty(t, scripted(nothing, picks, pausedBeforeSend))
}

func TestTeethLateClaim(t *testing.T) {
	picks := []int{1, 0, 0, 1}
	require.Contains(t, scripted(commonValidity, picks, lateClaim+afterLateClaim), "ran twice")
	require.Empty(t, scripted(nothing, picks, lateClaim))
}

func TestTeethRefusedCopy(t *testing.T) {
	picks := []int{0, 1}
	require.Contains(t, scripted(sealedRefusal, picks, refusedCopy), "ran twice")
	require.Empty(t, scripted(nothing, picks, refusedCopy))
}

func TestTeethLateRefusal(t *testing.T) {
	picks := []int{0, 1, 0}
	require.Contains(t, scripted(correlation, picks, lateRefusal+afterLateRefusal), "ran twice")
	require.Empty(t, scripted(nothing, picks, lateRefusal))
}

func TestTeethTrimmedClaim(t *testing.T) {
	picks := []int{0, 1}
	require.Contains(t, scripted(trimming, picks, trimmedClaim+afterTrimmedClaim), "ran twice")
	require.Empty(t, scripted(nothing, picks, trimmedClaim))
}

package claim

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// violation is the panic value that carries a report of the oracle.
type violation string

func panicViolation(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// violationOf runs f and returns the report of the oracle, or "".
func violationOf(f func()) (report string) {
	defer func() {
		if r := recover(); r != nil {
			report = string(r.(violation))
		}
	}()
	f()
	return ""
}

// runSeed runs one random case of three attempts on one key at two front proxies and
// returns the report of the oracle.
func runSeed(disabled mechanism, seed uint64) string {
	sim := newSimulation(2, 2, seededIntN(seed), panicViolation)
	sim.disabled = disabled
	sim.faults = 4
	sim.pending = attemptsOnOneKey(sim, 3)
	return violationOf(func() { sim.runRandom(100) })
}

func attemptsOnOneKey(sim *simulation, n int) []*attempt {
	var as []*attempt
	for i := range n {
		as = append(as, &attempt{id: i, key: simKey(sim.now, 1), content: 7})
	}
	return as
}

// followScript makes, for each line of the script, the first transition whose label
// has the line as prefix.
func (sim *simulation) followScript(script string) {
	for line := range strings.Lines(script) {
		want := strings.TrimSpace(line)
		if want == "" {
			continue
		}
		found := false
		for _, tr := range sim.transitions() {
			if strings.HasPrefix(tr.label, want) {
				sim.apply(tr)
				found = true
				break
			}
		}
		if !found {
			sim.fail("no enabled transition %q", want)
		}
	}
}

// runScript runs a script of two attempts on one key at two front proxies and returns
// the report of the oracle. The labels name the front proxies e0 and e1, the sidecars
// s0 and s1, attempts by number and claims by offset.
func runScript(disabled mechanism, sideChoices []int, script string) string {
	sim := newSimulation(2, 2, func(int) int { return 0 }, panicViolation)
	sim.disabled = disabled
	sim.faults = 100
	sim.sideChoices = sideChoices
	sim.pending = attemptsOnOneKey(sim, 2)
	return violationOf(func() { sim.followScript(script) })
}

// pausedBeforeSend: the front proxy of attempt 0 is paused between reading its claim
// back and sending the request. Meanwhile its claim is sealed and released, the sidecar
// restarts, and attempt 1 runs on the other sidecar. Then the front proxy continues.
const pausedBeforeSend = `
	attempt at e1
	e1 append
	e1 reads
	attempt at e0
	e0 append
	e0 reads
	e0 reads
	query at s0 by attempt 1 on claim 0, seal=false
	query answer to attempt 1, claim 0
	timer of attempt 1
	query at s0 by attempt 1 on claim 0, seal=false
	query answer to attempt 1, claim 0
	timer of attempt 1
	query at s0 by attempt 1 on claim 0, seal=true
	query answer to attempt 1, claim 0
	e0 append
	e0 reads
	e0 reads
	kill s0
	write request of attempt 1
	request at s1 of attempt 1
	write request of attempt 0
	request at s0 of attempt 0
`

// lateClaim: the claim of attempt 0 is stored after the stream has passed its
// ValidUntil and its front proxy has claimed again.
const lateClaim = `
	attempt at e1
	e1 append answer lost, late
	timer of attempt 0
	e1 append
	e1 reads
	e1 reads
	e1 reads
	e1 reads
	late append stored
	attempt at e0
	e1 append
	e0 append
	e1 reads
	e1 reads
	write request of attempt 0
	request at s0 of attempt 0
	e0 reads
	e0 reads
	e0 reads
	e0 reads
	e0 reads
	e0 reads
	e0 reads
	query at
	query answer
	timer of attempt 1
	query at
	query answer
	timer of attempt 1
	query at
	query answer
`

// afterLateClaim continues lateClaim when one reader accepts the late claim.
const afterLateClaim = `
	e0 append
	e0 reads
	e0 reads
	write request of attempt 1
	request at s1 of attempt 1
`

// refusedCopy: a sidecar refuses the request of attempt 0, which then runs on the other
// sidecar. Then a copy of the refused request arrives.
const refusedCopy = `
	attempt at e1
	e1 append
	e1 reads
	write request of attempt 0, claim 0
	refuse request at s0 of attempt 0, claim 0
	reply to attempt 0, claim 0
	e1 append
	e1 reads
	e1 reads
	write request of attempt 0, claim 2
	request at s1 of attempt 0, claim 2
	request at s0 of attempt 0, claim 0
`

// lateRefusal: a copy of the refusal of the first request of attempt 0 arrives while
// its second request is in flight.
const lateRefusal = `
	attempt at e1
	e1 append
	e1 reads
	write request of attempt 0, claim 0
	refuse request at s0 of attempt 0, claim 0
	copy of reply to attempt 0, claim 0
	e1 append
	e1 reads
	e1 reads
	write request of attempt 0, claim 2
	reply to attempt 0, claim 0
`

// afterLateRefusal continues lateRefusal when the copy is taken for the answer to the
// second request.
const afterLateRefusal = `
	e1 append
	e1 reads
	e1 reads
	write request of attempt 0, claim 4
	request at s1 of attempt 0, claim 2
	request at s0 of attempt 0, claim 4
`

// trimmedClaim: attempt 0 runs and its claim is trimmed. The claim of attempt 1, which
// started before that, is appended afterwards. The key runs twice only if three checks
// are disabled at once: the check of the key age after reading back and the handling
// of trimmed records in the front proxy, and the horizon of the sidecar.
const trimmedClaim = `
	attempt at e1
	e1 append
	e1 reads
	write request of attempt 0
	request at s0 of attempt 0
	attempt at e0
	kill e1
	a day passes
	a day passes
	e0 append
	e0 reads
`

// afterTrimmedClaim continues trimmedClaim when the front proxy reads on.
const afterTrimmedClaim = `
	e0 reads
	write request of attempt 1
	request at s1 of attempt 1
`

// TestMutations disables one mechanism at a time. The oracle must report a violation,
// and none on the same case with the mechanism enabled.
func TestMutations(t *testing.T) {
	for _, disabled := range []mechanism{claimReadBack, sealBeforeRelease, sealOnRefusal, sealMemory, replyMatching} {
		t.Run(string(disabled), func(t *testing.T) {
			seed, report := firstViolation(disabled)
			require.NotEmpty(t, report)
			require.Empty(t, runSeed(noMechanism, seed))
			t.Logf("seed %d: %s", seed, strings.SplitN(report, "\n", 2)[0])
		})
	}
}

// firstViolation returns the first seed whose case violates the oracle, and its report.
func firstViolation(disabled mechanism) (seed uint64, report string) {
	const seeds = 4000
	for seed = range seeds {
		if report = runSeed(disabled, seed); report != "" {
			break
		}
	}
	return seed, report
}

// Without the check of the incarnation, a restarted sidecar runs a request whose claim
// was sealed before the restart, although the call has already run elsewhere.
func TestMutationPausedBeforeSend(t *testing.T) {
	sideChoices := []int{0, 0, 1}
	require.Contains(t, runScript(incarnationCheck, sideChoices, pausedBeforeSend), "ran twice")
	require.Empty(t, runScript(noMechanism, sideChoices, pausedBeforeSend))
}

// If one front proxy ignores ValidUntil, it accepts a claim that the others reject, and
// the call runs twice.
func TestMutationLateClaim(t *testing.T) {
	sideChoices := []int{1, 0, 0, 1}
	require.Contains(t, runScript(uniformExpiry, sideChoices, lateClaim+afterLateClaim), "ran twice")
	require.Empty(t, runScript(noMechanism, sideChoices, lateClaim))
}

// If a refusal does not seal the claim, a late copy of the refused request runs after
// the retry.
func TestMutationRefusedCopy(t *testing.T) {
	sideChoices := []int{0, 1}
	require.Contains(t, runScript(sealOnRefusal, sideChoices, refusedCopy), "ran twice")
	require.Empty(t, runScript(noMechanism, sideChoices, refusedCopy))
}

// If replies are not matched to claims, a late copy of a refusal releases the claim of
// a request in flight, and the retry runs as well.
func TestMutationLateRefusal(t *testing.T) {
	sideChoices := []int{0, 1, 0}
	require.Contains(t, runScript(replyMatching, sideChoices, lateRefusal+afterLateRefusal), "ran twice")
	require.Empty(t, runScript(noMechanism, sideChoices, lateRefusal))
}

// Without the checks against trimmed records, a key whose claim was trimmed is claimed
// and run again.
func TestMutationTrimmedClaim(t *testing.T) {
	sideChoices := []int{0, 1}
	require.Contains(t, runScript(trimGuards, sideChoices, trimmedClaim+afterTrimmedClaim), "ran twice")
	require.Empty(t, runScript(noMechanism, sideChoices, trimmedClaim))
}

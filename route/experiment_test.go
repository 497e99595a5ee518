package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/route"
)

// faultyPicker is a Picker with one fault.
type faultyPicker struct {
	fault string
	stop  chan struct{} // closed to end a blocked pick
}

func (b *faultyPicker) Pick(_ *route.Request, candidates []route.Candidate) (int, bool) {
	switch b.fault {
	case "panics":
		panic("faulty picker")
	case "blocks":
		<-b.stop
	case "picks an unusable candidate":
		for i := range candidates {
			if !candidates[i].Usable() {
				return i, true
			}
		}
	case "picks an index past the end":
		return len(candidates) + 5, true
	case "picks a negative index":
		return -1, true
	case "finds no candidate":
		return 0, false
	case "modifies the candidates":
		for i := range candidates {
			if candidates[i].Leaving {
				candidates[i] = route.Candidate{}
				return i, true
			}
		}
	}
	return 0, true
}

func (b *faultyPicker) Done(route.Feedback) {
	if b.fault == "panics" {
		panic("faulty picker")
	}
}

var faults = []string{
	"panics", "blocks", "picks an unusable candidate", "picks an index past the end", "picks a negative index",
	"finds no candidate", "modifies the candidates",
}

func buildPicker(t *testing.T, name string) route.Picker {
	t.Helper()
	p, err := route.Build(name, 7)
	require.NoError(t, err)
	return p
}

// simulateTraffic simulates n picks with feedback from a fixed seed and returns the picks.
func simulateTraffic(t *testing.T, p route.Picker, n int, code func(session string) api.Code) []int {
	t.Helper()
	source := rand.New(rand.NewPCG(3, 3))
	picks := make([]int, 0, n)
	for k := range n {
		candidates := make([]route.Candidate, 12)
		for i := range candidates {
			name := fmt.Sprintf("engine-%d", i)
			candidates[i] = route.Candidate{
				Name: name, Hash: route.HashName(name), Limit: 16, Running: source.IntN(20), StepMillis: 12,
				Leaving: (k+i)%4 == 0,
			}
		}
		session := fmt.Sprintf("s%d", source.IntN(400))
		req := route.Request{Session: session, Prefix: route.HashName(session)}
		i, ok := p.Pick(&req, candidates)
		require.True(t, ok)
		require.True(t, candidates[i].Usable())
		picks = append(picks, i)
		p.Done(route.Feedback{
			Candidate: candidates[i].Name, Session: session, Code: code(session),
			FirstToken: time.Duration(20+source.IntN(10)) * time.Millisecond,
		})
	}
	return picks
}

func allOK(string) api.Code { return api.OK }

// A candidate policy in shadow mode must not change or delay a pick, even if it fails.
func TestShadowHasNoEffect(t *testing.T) {
	activeOnly := simulateTraffic(t, buildPicker(t, "bounded"), 2000, allOK)
	for _, name := range route.Names() {
		e := route.NewExperiment(buildPicker(t, "bounded"), buildPicker(t, name), route.ExperimentConfig{Shadow: true})
		require.Equal(t, activeOnly, simulateTraffic(t, e, 2000, allOK), name)
		e.Close()
	}
	for _, fault := range faults {
		synctest.Test(t, func(t *testing.T) {
			b := &faultyPicker{fault: fault, stop: make(chan struct{})}
			e := route.NewExperiment(buildPicker(t, "bounded"), b, route.ExperimentConfig{Shadow: true})
			start := time.Now()
			require.Equal(t, activeOnly, simulateTraffic(t, e, 2000, allOK), fault)
			require.Zero(t, time.Since(start), "a pick never waits for the candidate policy")
			close(b.stop)
			synctest.Wait()
			e.Close()
		})
	}
}

// In shadow mode, equal policies must be reported as making equal picks.
func TestShadowCompares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := route.NewExperiment(buildPicker(t, "bounded"), buildPicker(t, "bounded"), route.ExperimentConfig{Shadow: true})
		req := route.Request{Session: "s", Prefix: 5}
		candidates := []route.Candidate{{Name: "a", Hash: 1, Running: 3}, {Name: "b", Hash: 2, Running: 4}}
		for range 100 {
			e.Pick(&req, candidates)
			synctest.Wait()
		}
		r := e.Report()
		require.EqualValues(t, 100, r.Compared)
		require.EqualValues(t, 100, r.Same)
		require.Equal(t, r.Load[0], r.Load[1])
		e.Close()
	})
}

// In share mode a session must not alternate between the two policies.
func TestShareIsStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := route.ExperimentConfig{Share: 0.25, MaxErrorRate: 0.5}
		e := route.NewExperiment(&fixedPicker{0}, &fixedPicker{1}, cfg)
		candidates := []route.Candidate{{Name: "a"}, {Name: "b"}}
		served := 0
		for s := range 4000 {
			req := route.Request{Session: fmt.Sprint(s)}
			first, _ := e.Pick(&req, candidates)
			again, _ := e.Pick(&req, candidates)
			require.Equal(t, first, again)
			served += first
		}
		require.InDelta(t, 1000, served, 100)
		i, _ := e.Pick(&route.Request{}, candidates)
		require.Zero(t, i, "requests without a session stay with the active policy")
		e.Close()
	})
}

// fixedPicker always picks the candidate with the same index.
type fixedPicker struct{ index int }

func (f *fixedPicker) Pick(*route.Request, []route.Candidate) (int, bool) { return f.index, true }
func (f *fixedPicker) Done(route.Feedback)                                {}

// A candidate policy that fails in share mode must not delay or break picks, and its
// share ends.
func TestBrokenCandidateIsHarmless(t *testing.T) {
	for _, fault := range faults {
		synctest.Test(t, func(t *testing.T) {
			b := &faultyPicker{fault: fault, stop: make(chan struct{})}
			e := route.NewExperiment(buildPicker(t, "bounded"), b, route.ExperimentConfig{Share: 0.5, MaxErrorRate: 0.05})
			start := time.Now()
			simulateTraffic(t, e, 2000, allOK) // checks that every pick is usable
			require.LessOrEqual(t, time.Since(start), 500*time.Microsecond, "%s: at most one pick waits for the time-out", fault)
			require.Equal(t, "errors", e.Report().Tripped, fault)
			close(b.stop)
			synctest.Wait()
			e.Close()
		})
	}
}

// The share of a candidate policy must end if its attempts fail or are slow, and only then.
func TestGuards(t *testing.T) {
	run := func(cfg route.ExperimentConfig, feedback func(f *route.Feedback)) route.ExperimentReport {
		var r route.ExperimentReport
		synctest.Test(t, func(t *testing.T) {
			e := route.NewExperiment(&fixedPicker{0}, &fixedPicker{1}, cfg)
			candidates := []route.Candidate{{Name: "a"}, {Name: "b"}}
			for s := range 2000 {
				req := route.Request{Session: fmt.Sprint(s)}
				i, _ := e.Pick(&req, candidates)
				f := route.Feedback{Candidate: candidates[i].Name, Session: req.Session, FirstToken: 20 * time.Millisecond}
				if i == 1 {
					feedback(&f)
				}
				e.Done(f)
			}
			r = e.Report()
			e.Close()
		})
		return r
	}
	cfg := route.ExperimentConfig{Share: 0.5, MaxErrorRate: 0.02, MaxP95Ratio: 1.5}
	healthy := run(cfg, func(*route.Feedback) {})
	require.Empty(t, healthy.Tripped)
	require.InDelta(t, 1000, healthy.Served[1], 100)
	failing := run(cfg, func(f *route.Feedback) { f.Code = api.BackendFailed })
	require.Equal(t, "errors", failing.Tripped)
	require.EqualValues(t, 50, failing.Served[1], "the share ends as soon as the guard has enough samples")
	slow := run(cfg, func(f *route.Feedback) { f.FirstToken *= 2 })
	require.Equal(t, "slower", slow.Tripped)
	require.Less(t, slow.Served[1], int64(100))
}

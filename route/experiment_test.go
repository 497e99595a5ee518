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

// broken is a policy with one fault.
type broken struct {
	fault string
	stop  chan struct{} // ends a blocked pick
}

func (b *broken) Pick(_ *route.Request, candidates []route.Candidate) (int, bool) {
	switch b.fault {
	case "panics":
		panic("broken")
	case "blocks":
		<-b.stop
	case "picks the dead":
		for i := range candidates {
			if !candidates[i].Usable() {
				return i, true
			}
		}
	case "picks beyond the end":
		return len(candidates) + 5, true
	case "picks before the start":
		return -1, true
	case "says none":
		return 0, false
	case "revives the dead":
		for i := range candidates {
			if candidates[i].Leaving {
				candidates[i] = route.Candidate{}
				return i, true
			}
		}
	}
	return 0, true
}

func (b *broken) Done(route.Feedback) {
	if b.fault == "panics" {
		panic("broken")
	}
}

var faults = []string{
	"panics", "blocks", "picks the dead", "picks beyond the end", "picks before the start", "says none", "revives the dead",
}

func build(t *testing.T, name string) route.Picker {
	t.Helper()
	p, err := route.Build(name, 7)
	require.NoError(t, err)
	return p
}

// traffic plays picks and feedback from a fixed seed and returns the picks.
func traffic(t *testing.T, p route.Picker, n int, code func(session string) api.Code) []int {
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

func fine(string) api.Code { return api.OK }

func TestShadowHasNoEffect(t *testing.T) {
	alone := traffic(t, build(t, "bounded"), 2000, fine)
	for _, name := range route.Names() {
		e := route.NewExperiment(build(t, "bounded"), build(t, name), route.ExperimentConfig{Shadow: true})
		require.Equal(t, alone, traffic(t, e, 2000, fine), name)
		e.Close()
	}
	for _, fault := range faults {
		synctest.Test(t, func(t *testing.T) {
			b := &broken{fault: fault, stop: make(chan struct{})}
			e := route.NewExperiment(build(t, "bounded"), b, route.ExperimentConfig{Shadow: true})
			start := time.Now()
			require.Equal(t, alone, traffic(t, e, 2000, fine), fault)
			require.Zero(t, time.Since(start), "a pick never waits for the candidate policy")
			close(b.stop)
			synctest.Wait()
			e.Close()
		})
	}
}

func TestShadowCompares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := route.NewExperiment(build(t, "bounded"), build(t, "bounded"), route.ExperimentConfig{Shadow: true})
		source := route.Request{Session: "s", Prefix: 5}
		candidates := []route.Candidate{{Name: "a", Hash: 1, Running: 3}, {Name: "b", Hash: 2, Running: 4}}
		for range 100 {
			e.Pick(&source, candidates)
			synctest.Wait()
		}
		r := e.Report()
		require.EqualValues(t, 100, r.Compared)
		require.EqualValues(t, 100, r.Same)
		require.Equal(t, r.Load[0], r.Load[1])
		e.Close()
	})
}

func TestShareIsStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := route.ExperimentConfig{Share: 0.25, MaxErrorRate: 0.5}
		e := route.NewExperiment(&fixed{0}, &fixed{1}, cfg)
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

// fixed always picks the same candidate.
type fixed struct{ index int }

func (f *fixed) Pick(*route.Request, []route.Candidate) (int, bool) { return f.index, true }
func (f *fixed) Done(route.Feedback)                                {}

func TestBrokenCandidateIsHarmless(t *testing.T) {
	for _, fault := range faults {
		synctest.Test(t, func(t *testing.T) {
			b := &broken{fault: fault, stop: make(chan struct{})}
			e := route.NewExperiment(build(t, "bounded"), b, route.ExperimentConfig{Share: 0.5, MaxErrorRate: 0.05})
			start := time.Now()
			traffic(t, e, 2000, fine) // requires that every pick is usable
			require.LessOrEqual(t, time.Since(start), 500*time.Microsecond, "%s: one budget at most, once", fault)
			require.Equal(t, "errors", e.Report().Tripped, fault)
			close(b.stop)
			synctest.Wait()
			e.Close()
		})
	}
}

func TestGuards(t *testing.T) {
	run := func(cfg route.ExperimentConfig, feedback func(f *route.Feedback)) route.ExperimentReport {
		var r route.ExperimentReport
		synctest.Test(t, func(t *testing.T) {
			e := route.NewExperiment(&fixed{0}, &fixed{1}, cfg)
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
	good := run(cfg, func(*route.Feedback) {})
	require.Empty(t, good.Tripped)
	require.InDelta(t, 1000, good.Served[1], 100)
	failing := run(cfg, func(f *route.Feedback) { f.Code = api.BackendFailed })
	require.Equal(t, "errors", failing.Tripped)
	require.EqualValues(t, 50, failing.Served[1], "the share ends when the guard has its samples")
	slow := run(cfg, func(f *route.Feedback) { f.FirstToken *= 2 })
	require.Equal(t, "slower", slow.Tripped)
	require.Less(t, slow.Served[1], int64(100))
}

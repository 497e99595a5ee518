package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marjorampitch/backing"
)

func BenchmarkColdStart(b *testing.B) {
	c := NewColdStart(ColdStartConfig{ColdLimit: 4, WarmLimit: 64, ReportsLoad: true, MaxReportAge: time.Hour}, 0)
	c.Observe(1, 1, &backing.EngineReport{Incarnation: "a"})
	b.ReportAllocs()
	for b.Loop() {
		t, _ := c.Admit(2, false)
		c.ResponseStarted(t, 2)
		c.Finish(t, 3, true)
	}
}

// BenchmarkFairShare measures one job from Offer to Finish at a full server, by
// the number of organisations that send jobs.
func BenchmarkFairShare(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 7400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := NewFairShare(rand.New(rand.NewPCG(1, 1)))
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("org-%d", i)
			}
			var running []Job
			now := time.Duration(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				f.Offer(now, Job{ID: uint64(i + 1), Organisation: names[i%n], Weight: 1, Deadline: now + time.Minute}, 64)
				if f.Running() == 64 {
					f.Finish(now, running[0].ID, true)
					running = running[1:]
				}
				start, _ := f.Next(now, 64)
				running = append(running, start...)
			}
			b.ReportMetric(float64(f.Organisations()), "organisations-held")
		})
	}
}

func BenchmarkRetryBudgets(b *testing.B) {
	for _, n := range []int{10, 7400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			budgets := NewRetryBudgets(0.2, 10)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("org-%d", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				budget := budgets.Get(names[i%n])
				budget.Deposit()
				budget.TryWithdraw()
			}
		})
	}
}

func BenchmarkQuarantineCheck(b *testing.B) {
	for _, n := range []int{0, 100, maxSuspects} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := NewQuarantine(2)
			for i := range n {
				q.RecordCrash(uint64(i), []uint64{uint64(i)}, false, 0)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Check(uint64(i%(2*maxSuspects)), 1)
			}
		})
	}
}

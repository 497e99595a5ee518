package slopes

import (
	"fmt"
	"math/rand/v2"
	"time"

	"marjorampitch/admit"
	"marjorampitch/route"
	_ "marjorampitch/route/policies" // registers the policies
)

// pickMeasurements describes the measurement of a pick by the default routing policy.
func pickMeasurements() []Measurement {
	return []Measurement{{
		Name: "pick", Per: "candidate", Unit: "ns", Sizes: []int{4, 16, 64, 256},
		Measure: func(n int) (float64, error) {
			picker, err := route.Build(route.DefaultPolicy, 1)
			if err != nil {
				return 0, err
			}
			candidates := make([]route.Candidate, n)
			for i := range candidates {
				name := fmt.Sprintf("llm-%d", i)
				candidates[i] = route.Candidate{Name: name, Hash: route.HashName(name), Limit: 64, Running: i % 32, StepMillis: 30}
			}
			prefix := uint64(0)
			return nanosPerCall(func() {
				prefix++
				picker.Pick(&route.Request{Prefix: prefix}, candidates)
			}), nil
		},
	}}
}

// admissionMeasurements describes the measurement of a job in a sidecar's fair-share
// queue by the number of organisations with jobs.
func admissionMeasurements() []Measurement {
	return []Measurement{{
		Name: "fair-share", Per: "organisation", Unit: "ns", Sizes: organisationSizes,
		Measure: func(n int) (float64, error) {
			f := admit.NewFairShare(rand.New(rand.NewPCG(1, 1)))
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("org-%d", i)
			}
			const limit = 64
			id := uint64(0)
			return nanosPerCall(func() {
				id++
				now := time.Duration(id) * time.Millisecond
				job := admit.Job{ID: id, Organisation: names[id%uint64(n)], Weight: 1, Deadline: now + time.Minute}
				if f.Offer(now, job, limit) != nil {
					return
				}
				start, _ := f.Next(now, limit)
				for _, j := range start {
					f.Finish(now+time.Millisecond, j.ID, true)
				}
			}), nil
		},
	}}
}

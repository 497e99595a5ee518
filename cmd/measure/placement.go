package main

import (
	"fmt"
	"io"
	"time"

	"github.com/alitto/pond/v2"

	"marjorampitch/placement"
	"marjorampitch/placement/fullrepack"
	"marjorampitch/placement/packed"
	"marjorampitch/placement/placementtest"
	"marjorampitch/placement/speedblind"
	"marjorampitch/placement/static"
)

// Settings of the placement comparison.
const (
	placementWorkers = 3
	placementSeed    = 20261203
	placementLayers  = 2
)

func init() { register("placement", runPlacement) }

// placementWorkloads returns the workloads that every policy runs at 64 ranks
// and 256 experts.
func placementWorkloads() []placementtest.Workload {
	const day = 24 * time.Hour
	slowFrom := 2 * time.Hour
	return []placementtest.Workload{
		{Name: "drift-zipf0.6", Zipf: 0.6, DriftAmplitude: 0.7, Duration: day},
		{Name: "drift-zipf0.9", Zipf: 0.9, DriftAmplitude: 0.7, Duration: day},
		{Name: "drift-zipf1.2", Zipf: 1.2, DriftAmplitude: 0.7, Duration: day},
		{Name: "jump-zipf0.9", Zipf: 0.9, JumpAt: time.Hour, Duration: 3 * time.Hour},
		{Name: "spike3m-zipf0.9", Zipf: 0.9, JumpAt: time.Hour, ReturnAt: time.Hour + 3*time.Minute, Duration: 2 * time.Hour},
		{Name: "spike6m-zipf0.9", Zipf: 0.9, JumpAt: time.Hour, ReturnAt: time.Hour + 6*time.Minute, Duration: 2 * time.Hour},
		{Name: "slow1-zipf0.9", Zipf: 0.9, DriftAmplitude: 0.7, SlowSpeeds: []float64{0.7}, SlowFrom: slowFrom, Duration: day / 2},
		{Name: "slow2-zipf0.9", Zipf: 0.9, DriftAmplitude: 0.7, SlowSpeeds: []float64{0.7, 0.8}, SlowFrom: slowFrom, Duration: day / 2},
	}
}

// placementRuns returns all runs of the comparison: every workload at 64 ranks
// and 256 experts, and drift-zipf0.9 for 6 h at three smaller sizes.
func placementRuns() []placementtest.Simulation {
	policies := []string{static.Name, fullrepack.Name, speedblind.Name, packed.Name}
	shape := placement.Shape{Layers: placementLayers, Ranks: 64, Experts: 256, Slots: 5}
	var runs []placementtest.Simulation
	for _, load := range placementWorkloads() {
		for _, policy := range policies {
			runs = append(runs, placementtest.Simulation{Shape: shape, Workload: load, Policy: policy, Seed: placementSeed})
		}
	}
	drift := placementWorkloads()[1]
	drift.Duration = 6 * time.Hour
	for _, size := range [][2]int{{8, 64}, {16, 128}, {32, 256}} {
		small := placement.Shape{Layers: placementLayers, Ranks: size[0], Experts: size[1], Slots: size[1]/size[0] + 1}
		for _, policy := range policies {
			runs = append(runs, placementtest.Simulation{Shape: small, Workload: drift, Policy: policy, Seed: placementSeed})
		}
	}
	return runs
}

// runPlacement runs the simulations in parallel and prints their results in the
// order of placementRuns.
func runPlacement(out io.Writer) error {
	runs := placementRuns()
	results := make([]placementtest.Result, len(runs))
	pool := pond.NewPool(placementWorkers)
	group := pool.NewGroup()
	for i, r := range runs {
		group.SubmitErr(func() error {
			res, err := r.Run()
			results[i] = res
			return err
		})
	}
	err := group.Wait()
	pool.StopAndWait()
	if err != nil {
		return err
	}
	var base placementtest.Result
	for i, r := range runs {
		if r.Policy == static.Name {
			base = results[i] // static is the first policy of each workload
		}
		printPlacement(out, r, results[i], base)
	}
	return nil
}

// printPlacement prints two lines for one run. steps_against_static is the time
// lost to skew and rebalancing minus that of the static policy, in
// durations of a step without skew; a negative value is a gain.
func printPlacement(out io.Writer, r placementtest.Simulation, res, base placementtest.Result) {
	prefix := fmt.Sprintf("measure=placement policy=%s load=%s ranks=%d experts=%d",
		r.Policy, r.Workload.Name, r.Shape.Ranks, r.Shape.Experts)
	fmt.Fprintf(out, "%s skew_p50=%.3f skew_p95=%.3f skew_p99=%.3f skew_mean=%.3f worst_interval=%.3f above_goal=%s"+
		" bound_p50=%.3f bound_p95=%.3f bound_p99=%.3f bound_slots=%.3f\n",
		prefix, res.P50, res.P95, res.P99, res.Mean, res.WorstInterval, res.AboveTarget,
		res.Bound.P50, res.Bound.P95, res.Bound.P99, res.Bound.Slots)
	stepsAgainstStatic := (res.Mean-base.Mean)*res.Steps + res.CostSteps
	fmt.Fprintf(out, "%s bytes_mib=%d switches=%d switches_moving=%d dropped=%d held_steps=%.1f cost_steps=%.1f"+
		" lost_tokens=%.0f steps=%.0f steps_against_static=%.0f decide_mean=%s decide_max=%s\n",
		prefix, res.Bytes>>20, res.Switches, res.MovingSwitches, res.DroppedMaps, res.HeldSteps, res.CostSteps,
		res.LostTokens, res.Steps, stepsAgainstStatic,
		res.DecideMean.Round(time.Microsecond), res.DecideMax.Round(time.Microsecond))
}

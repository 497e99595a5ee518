// Command soak runs seeded fault-injection tests against gateways and rebalancers
// running as real processes and reports violated invariants; see package
// internal/soak. One run, about 20 s of faults, is called a day (flag --days).
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"marjorampitch/internal/soak"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

// newCommand returns the root command.
func newCommand() *cobra.Command {
	opts := soak.Options{}
	var first uint64
	var days, parallel int
	var dir string
	cmd := &cobra.Command{
		Use:          "soak",
		Short:        "Run seeded fault-injection tests (days) against gateways and rebalancers on loopback",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			if first == 0 {
				first = uint64(time.Now().UnixNano()) % 1_000_000_000
			}
			return runDays(ctx, opts, first, days, parallel, dir)
		},
	}
	cmd.AddCommand(newFailuresCommand())
	f := cmd.Flags()
	f.Uint64Var(&first, "seed", 0, "seed of the first day; 0 picks one from the clock")
	f.IntVar(&days, "days", 1, "number of days to run, with consecutive seeds")
	f.IntVar(&parallel, "parallel", 1, "number of days that run in parallel")
	f.StringVar(&opts.Binary, "binary", "bin/marjorampitch", "path of the program under test")
	f.IntVar(&opts.Gateways, "gateways", 3, "number of gateways")
	f.IntVar(&opts.Callers, "callers", 12, "number of concurrent callers")
	f.DurationVar(&opts.Faults, "faults", 20*time.Second, "how long faults are injected in a day")
	f.BoolVar(&opts.Restores, "restores", false, "have the store come back from older copies")
	f.StringVar(&dir, "out", "out/soak", "directory for settings and logs; kept only for days with violations")
	return cmd
}

// newFailuresCommand returns the subcommand that starts a deployment, makes
// requests fail as docs/OPERATIONS.md describes, and runs a command meanwhile.
func newFailuresCommand() *cobra.Command {
	opts := soak.Options{Seed: 1, Gateways: 2}
	cmd := &cobra.Command{
		Use:          "failures COMMAND [ARG]...",
		Short:        "Make requests fail and run a command that diagnoses them",
		Long:         "The command gets these environment variables: REFUSED, CUT and UNKNOWN hold the ids of the failed requests, LOGS the directory of the logs, METRICS the address of a gateway's metrics.",
		Args:         cobra.MinimumNArgs(1),
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := os.MkdirAll(opts.Dir, 0o755); err != nil {
				return eris.Wrap(err, "create directory of --out")
			}
			return soak.ProvokeFailures(cmd.Context(), opts, func(f soak.Failures) error {
				diagnose := exec.CommandContext(cmd.Context(), args[0], args[1:]...)
				diagnose.Stdout, diagnose.Stderr = os.Stdout, os.Stderr
				diagnose.Env = append(os.Environ(), "REFUSED="+f.Refused, "CUT="+f.Cut, "UNKNOWN="+f.Unknown, "LOGS="+f.Logs, "METRICS="+f.Metrics)
				return diagnose.Run()
			})
		},
	}
	cmd.Flags().StringVar(&opts.Binary, "binary", "bin/marjorampitch", "path of the program under test")
	cmd.Flags().StringVar(&opts.Dir, "out", "out/failures", "directory for settings and logs")
	return cmd
}

// runDays performs the runs with the seeds from first on, at most parallel at a
// time. It returns an error if a run found a violation or could not be set up.
func runDays(ctx context.Context, opts soak.Options, first uint64, days, parallel int, dir string) error {
	slots := make(chan struct{}, max(parallel, 1))
	var running sync.WaitGroup
	var mu sync.Mutex // guards failed
	var failed []uint64
	for i := range days {
		if ctx.Err() != nil {
			break
		}
		run := opts
		run.Seed = first + uint64(i)
		run.Dir = filepath.Join(dir, fmt.Sprint(run.Seed))
		if err := os.MkdirAll(run.Dir, 0o755); err != nil {
			return eris.Wrap(err, "create directory of --out")
		}
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			r, err := soak.Run(ctx, run)
			mu.Lock()
			defer mu.Unlock()
			if !printReport(run.Seed, r, err) {
				failed = append(failed, run.Seed)
			}
		})
	}
	running.Wait()
	if len(failed) > 0 {
		return eris.Errorf("%d of %d days failed, seeds %v", len(failed), days, failed)
	}
	fmt.Printf("%d days, no violations\n", days)
	return nil
}

// printReport prints the result of a run and reports whether it passed.
func printReport(seed uint64, r *soak.Report, err error) bool {
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: answers %v, %d passes, map %d, %d faults\n", seed, r.Counts, r.Passes, r.MapVersion, len(r.Faults))
	if len(r.Violations) == 0 {
		return true
	}
	for _, line := range r.Faults {
		fmt.Println("   fault    ", line)
	}
	for _, line := range r.Violations {
		fmt.Println("   VIOLATION", line)
	}
	return false
}

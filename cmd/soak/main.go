// Command soak plays seeded days of faults against the programs of the users'
// platform and tells what happened that must not; see package internal/soak.
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
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

// command is the command line.
func command() *cobra.Command {
	opts := soak.Options{}
	var first uint64
	var days, parallel int
	var dir string
	cmd := &cobra.Command{
		Use:          "soak",
		Short:        "Play seeded days of faults against gateways and rebalancers on loopback",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			if first == 0 {
				first = uint64(time.Now().UnixNano()) % 1_000_000_000
			}
			return play(ctx, opts, first, days, parallel, dir)
		},
	}
	cmd.AddCommand(failuresCommand())
	f := cmd.Flags()
	f.Uint64Var(&first, "seed", 0, "seed of the first day; 0 for a fresh one")
	f.IntVar(&days, "days", 1, "days to play, with seeds that follow each other")
	f.IntVar(&parallel, "parallel", 1, "days that are played side by side")
	f.StringVar(&opts.Binary, "binary", "bin/marjorampitch", "the program")
	f.IntVar(&opts.Gateways, "gateways", 3, "gateways of a deployment")
	f.IntVar(&opts.Callers, "callers", 12, "callers of a deployment")
	f.DurationVar(&opts.Faults, "faults", 20*time.Second, "time for which faults come in a day")
	f.StringVar(&dir, "out", "out/soak", "folder for settings and logs; those of a day on which something is found are kept")
	return cmd
}

// failuresCommand runs a command while a deployment runs in which requests have
// failed on purpose, as docs/OPERATIONS.md explains them.
func failuresCommand() *cobra.Command {
	opts := soak.Options{Seed: 1, Gateways: 2}
	cmd := &cobra.Command{
		Use:          "failures COMMAND [ARG]...",
		Short:        "Let requests fail, and run a command that looks for the causes",
		Long:         "The command finds the ids in REFUSED, CUT and UNKNOWN, the folder of the logs in LOGS and a gateway's metrics at METRICS.",
		Args:         cobra.MinimumNArgs(1),
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := os.MkdirAll(opts.Dir, 0o755); err != nil {
				return eris.Wrap(err, "--out")
			}
			return soak.Fail(cmd.Context(), opts, func(f soak.Failures) error {
				look := exec.CommandContext(cmd.Context(), args[0], args[1:]...)
				look.Stdout, look.Stderr = os.Stdout, os.Stderr
				look.Env = append(os.Environ(), "REFUSED="+f.Refused, "CUT="+f.Cut, "UNKNOWN="+f.Unknown, "LOGS="+f.Logs, "METRICS="+f.Metrics)
				return look.Run()
			})
		},
	}
	cmd.Flags().StringVar(&opts.Binary, "binary", "bin/marjorampitch", "the program")
	cmd.Flags().StringVar(&opts.Dir, "out", "out/failures", "folder for settings and logs")
	return cmd
}

// play plays days side by side. Error: something was found, or a day could not
// be set up.
func play(ctx context.Context, opts soak.Options, first uint64, days, parallel int, dir string) error {
	slots := make(chan struct{}, max(parallel, 1))
	var ends sync.WaitGroup
	var mu sync.Mutex // guards bad
	var bad []uint64
	for i := range days {
		if ctx.Err() != nil {
			break
		}
		day := opts
		day.Seed = first + uint64(i)
		day.Dir = filepath.Join(dir, fmt.Sprint(day.Seed))
		if err := os.MkdirAll(day.Dir, 0o755); err != nil {
			return eris.Wrap(err, "--out")
		}
		slots <- struct{}{}
		ends.Go(func() {
			defer func() { <-slots }()
			r, err := soak.Run(ctx, day)
			mu.Lock()
			defer mu.Unlock()
			if !tell(day.Seed, r, err) {
				bad = append(bad, day.Seed)
			}
		})
	}
	ends.Wait()
	if len(bad) > 0 {
		return eris.Errorf("%d of %d days with a finding, seeds %v", len(bad), days, bad)
	}
	fmt.Printf("%d days, nothing found\n", days)
	return nil
}

// tell prints what became of a day, and reports whether all was well.
func tell(seed uint64, r *soak.Report, err error) bool {
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: answers %v, %d passes, map %d, %d faults\n", seed, r.Counts, r.Passes, r.Map, len(r.Faults))
	if len(r.Broken) == 0 {
		return true
	}
	for _, line := range r.Faults {
		fmt.Println("   did   ", line)
	}
	for _, line := range r.Broken {
		fmt.Println("   BROKEN", line)
	}
	return false
}

package main

import (
	"encoding/json"
	"net/http"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"marjorampitch/backing"
	"marjorampitch/backing/backingtest"
)

func newLogCommand(s *server) *cobra.Command {
	var appends float64
	var retention int
	cmd := &cobra.Command{
		Use:   "log",
		Short: "Log service in memory",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return s.run("log", func() http.Handler {
				return backingtest.NewLog(
					backingtest.WithAppendRate(appends),
					backingtest.WithRetention(retention),
				).Handler()
			})
		},
	}
	cmd.Flags().Float64Var(&appends, "append-rate", 400, "appends a second; 0 for no limit")
	cmd.Flags().IntVar(&retention, "retention", 0, "records kept in each stream; 0 for all")
	return cmd
}

func newInstancesCommand(s *server) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "instances",
		Short: "Instance list",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			instances, err := readInstances(file)
			if err != nil {
				return err
			}
			return s.run("instances", func() http.Handler {
				return backingtest.NewInstanceList(instances...).Handler()
			})
		},
	}
	cmd.Flags().StringVar(&file, "file", "", "JSON file with the first list, in the form of GET /instances")
	return cmd
}

func readInstances(file string) ([]backing.Instance, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "--file")
	}
	var body backing.InstancesBody
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, eris.Wrap(err, "--file "+file)
	}
	return body.Instances, nil
}

func newWeightsCommand(s *server) *cobra.Command {
	var rate, size int64
	cmd := &cobra.Command{
		Use:   "weights",
		Short: "Weight store with a rate limit",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return s.run("weights", func() http.Handler {
				return backingtest.NewWeightStore(rate, size).Handler()
			})
		},
	}
	cmd.Flags().Int64Var(&rate, "rate", 64<<20, "bytes a second, for all fetches together")
	cmd.Flags().Int64Var(&size, "size", 1<<20, "size of every name's weights in bytes")
	return cmd
}

func newEngineCommand(s *server) *cobra.Command {
	opts := backingtest.DefaultEngineOptions()
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Model engine with continuous batching",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return s.run("engine", func() http.Handler {
				return backingtest.NewEngine(opts).Handler()
			})
		},
	}
	f := cmd.Flags()
	f.IntVar(&opts.MaxRunning, "max-running", opts.MaxRunning, "sequences in one batch")
	f.DurationVar(&opts.StepTime, "step", opts.StepTime, "time of a step")
	f.DurationVar(&opts.StepPerSequence, "step-per-sequence", opts.StepPerSequence, "added to a step for each sequence")
	f.DurationVar(&opts.PrefillPerKB, "prefill", opts.PrefillPerKB, "added to a step for 1000 bytes of prompt")
	f.IntVar(&opts.Tokens, "tokens", opts.Tokens, "length of an answer")
	f.IntVar(&opts.ColdBound, "cold-bound", opts.ColdBound, "load that a cold engine bears; 0: never cold")
	f.IntVar(&opts.WarmAfter, "warm-after", opts.WarmAfter, "completed requests until the engine is warm")
	f.DurationVar(&opts.RestartTime, "restart", opts.RestartTime, "time from a crash until requests are taken")
	f.IntVar(&opts.CacheSessions, "cache-sessions", opts.CacheSessions, "sessions whose prefix is kept")
	f.BoolVar(&opts.ChecksFences, "fences", opts.ChecksFences, "refuse orders with an old fencing number")
	return cmd
}

func newPlainCommand(s *server) *cobra.Command {
	return &cobra.Command{
		Use:   "plain",
		Short: "Booking and dispatch service",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return s.run("plain", func() http.Handler {
				return backingtest.NewPlainService().Handler()
			})
		},
	}
}

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
		Short: "Serve an in-memory log service",
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
	cmd.Flags().Float64Var(&appends, "append-rate", 400, "maximum appends per second; 0: unlimited")
	cmd.Flags().IntVar(&retention, "retention", 0, "number of records retained per stream; 0: all")
	return cmd
}

func newInstancesCommand(s *server) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "instances",
		Short: "Serve an instance list",
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
	cmd.Flags().StringVar(&file, "file", "", "JSON file with the initial list, in the format of GET /instances")
	return cmd
}

func readInstances(file string) ([]backing.Instance, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read instance list")
	}
	var body backing.InstancesBody
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, eris.Wrap(err, "decode instance list "+file)
	}
	return body.Instances, nil
}

func newWeightsCommand(s *server) *cobra.Command {
	var rate, size int64
	cmd := &cobra.Command{
		Use:   "weights",
		Short: "Serve a weight store with a rate limit",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return s.run("weights", func() http.Handler {
				return backingtest.NewWeightStore(rate, size).Handler()
			})
		},
	}
	cmd.Flags().Int64Var(&rate, "rate", 64<<20, "maximum bytes per second, all fetches together")
	cmd.Flags().Int64Var(&size, "size", 1<<20, "size in bytes of the weights under every name")
	return cmd
}

func newEngineCommand(s *server) *cobra.Command {
	opts := backingtest.DefaultEngineOptions()
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Serve a model engine with continuous batching",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return s.run("engine", func() http.Handler {
				return backingtest.NewEngine(opts).Handler()
			})
		},
	}
	f := cmd.Flags()
	f.IntVar(&opts.MaxRunning, "max-running", opts.MaxRunning, "maximum number of sequences in a batch")
	f.DurationVar(&opts.StepTime, "step", opts.StepTime, "base duration of a step")
	f.DurationVar(&opts.StepPerSequence, "step-per-sequence", opts.StepPerSequence, "time added to a step per sequence")
	f.DurationVar(&opts.PrefillPerKB, "prefill", opts.PrefillPerKB, "time added to a step per 1000 bytes of prompt")
	f.IntVar(&opts.Tokens, "tokens", opts.Tokens, "number of tokens in an answer, unless the request sets it")
	f.IntVar(&opts.ColdBound, "cold-bound", opts.ColdBound, "load above which a cold engine crashes; 0: never cold")
	f.IntVar(&opts.WarmAfter, "warm-after", opts.WarmAfter, "number of completed requests after which the engine is warm")
	f.DurationVar(&opts.RestartTime, "restart", opts.RestartTime, "time from a crash until requests are accepted again")
	f.IntVar(&opts.CacheSessions, "cache-sessions", opts.CacheSessions, "number of sessions whose prefix is cached")
	f.BoolVar(&opts.ChecksFences, "fences", opts.ChecksFences, "refuse orders with an outdated fencing number")
	return cmd
}

func newPlainCommand(s *server) *cobra.Command {
	return &cobra.Command{
		Use:   "plain",
		Short: "Serve a booking and dispatch service",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return s.run("plain", func() http.Handler {
				return backingtest.NewPlainService().Handler()
			})
		},
	}
}

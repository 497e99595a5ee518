// Command bench compares the latency of a model engine that is called directly with
// that of the same engine called through a front proxy and a sidecar, and measures
// the processor time of the front proxy and the sidecars under load, which it sends
// through the front proxy. scripts/bench.sh starts the processes.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	b := &bench{}
	cmd := &cobra.Command{
		Use:           "bench",
		Short:         "Compare an engine called directly with one called through the load balancer",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return b.run() },
	}
	f := cmd.Flags()
	f.StringVar(&b.engine, "engine", "", "base URL of the engine")
	f.StringVar(&b.entry, "entry", "", "base URL of the entry")
	f.StringVar(&b.entryStatus, "entry-status", "", "base URL of the entry's status port")
	f.StringVar(&b.chatStatus, "chat-status", "", "base URL of the status port of the engine's sidecar")
	f.StringVar(&b.plainStatus, "plain-status", "", "base URL of the status port of the plain service's sidecar")
	f.IntVar(&b.pairs, "pairs", 200, "number of pairs of streamed requests, one direct and one through the entry")
	f.DurationVar(&b.duration, "duration", defaultDuration, "duration of each load test")
	f.IntVar(&b.callers, "callers", defaultCallers, "number of concurrent callers in a load test")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

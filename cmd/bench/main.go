// Command bench compares a model engine called directly with the same engine
// called through an entry and a side process. scripts/bench.sh starts them.
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
		Short:         "Compare an engine called directly and through the system",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return b.run() },
	}
	f := cmd.Flags()
	f.StringVar(&b.engine, "engine", "", "base URL of the engine")
	f.StringVar(&b.plain, "plain", "", "base URL of the plain service")
	f.StringVar(&b.entry, "entry", "", "base URL of the entry")
	f.StringVar(&b.entryStatus, "entry-status", "", "base URL of the entry's status page")
	f.StringVar(&b.chatStatus, "chat-status", "", "base URL of the status page of the engine's side")
	f.StringVar(&b.plainStatus, "plain-status", "", "base URL of the status page of the plain service's side")
	f.IntVar(&b.pairs, "pairs", 200, "pairs of streamed answers, one direct and one through")
	f.DurationVar(&b.duration, "duration", defaultDuration, "length of each load")
	f.IntVar(&b.callers, "callers", defaultCallers, "callers at once under load")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

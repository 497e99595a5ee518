// Command demo drives the demonstration that scripts/demo.sh sets up: it makes
// a caller's requests through the entries, and checks and prints every answer.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// limit bounds the whole demonstration.
const limit = time.Minute

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	d := &demo{}
	var plain string
	cmd := &cobra.Command{
		Use:           "demo",
		Short:         "Make a caller's requests and check the answers",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			d.plain = strings.Split(plain, ",")
			ctx, stop := context.WithTimeout(context.Background(), limit)
			defer stop()
			return d.run(ctx)
		},
	}
	f := cmd.Flags()
	f.StringVar(&d.host, "host", "127.0.0.1", "address of the entries")
	f.StringVar(&d.logURL, "log", "", "base URL of the log service")
	f.StringVar(&d.listURL, "instances", "", "base URL of the instance list")
	f.StringVar(&plain, "plain", "", "base URLs of the plain services, separated by commas")
	f.StringVar(&d.traces, "traces", "", "file that the processes write their spans to")
	return cmd
}

// run executes the steps in order and stops at the first that fails.
func (d *demo) run(ctx context.Context) error {
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"wait until every entry and side is ready", d.awaitReady},
		{"Bryllupslyd: a streamed draft for a planner on a live call", d.draft},
		{"Bryllupslyd: an availability look-up", d.availability},
		{"Bryllupslyd: a deposit, sent twice with one key through two entries", d.deposit},
		{"Clean Caroni Watch: a summary", d.summary},
		{"Clean Caroni Watch: a dispatch", d.dispatch},
		{"what ran at the plain services", d.executions},
		{"what the log holds", d.logRecords},
		{"the spans of the draft", d.spans},
	}
	for _, step := range steps {
		fmt.Printf("\n== %s\n", step.name)
		if err := step.do(ctx); err != nil {
			return eris.Wrap(err, step.name)
		}
	}
	return nil
}

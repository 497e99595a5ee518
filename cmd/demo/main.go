// Command demo is the client of the demonstration that scripts/demo.sh sets up. It
// sends requests through the front proxies, and checks and prints every answer.
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

// timeout is the time limit of the whole demonstration.
const timeout = time.Minute

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
		Short:         "Send requests through the entries and check the answers",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			d.plain = strings.Split(plain, ",")
			ctx, stop := context.WithTimeout(context.Background(), timeout)
			defer stop()
			return d.run(ctx)
		},
	}
	f := cmd.Flags()
	f.StringVar(&d.host, "host", "127.0.0.1", "IP address of the entries")
	f.StringVar(&d.logURL, "log", "", "base URL of the log service")
	f.StringVar(&plain, "plain", "", "base URLs of the plain services, separated by commas")
	f.StringVar(&d.traces, "traces", "", "trace file of the processes")
	return cmd
}

// run executes the steps in order and returns the error of the first that fails.
func (d *demo) run(ctx context.Context) error {
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"wait until every entry and sidecar is ready", d.awaitReady},
		{"Bryllupslyd: a streamed draft for a planner on a live call", d.draft},
		{"Bryllupslyd: an availability look-up", d.availability},
		{"Bryllupslyd: a deposit, sent twice with the same key through two entries", d.deposit},
		{"Clean Caroni Watch: a summary", d.summary},
		{"Clean Caroni Watch: a dispatch", d.dispatch},
		{"executions at the plain services", d.executions},
		{"contents of the log", d.logRecords},
		{"spans of the draft request", d.spans},
	}
	for _, step := range steps {
		fmt.Printf("\n== %s\n", step.name)
		if err := step.do(ctx); err != nil {
			return eris.Wrap(err, step.name)
		}
	}
	return nil
}

// Command slopes measures how processor time, memory and message sizes grow with the
// number of connections, backend servers, claims, ranks and the like; see package
// internal/slopes. The figures of docs/CAPACITY.md are derived from its output.
package main

import (
	"fmt"
	"os"
	"regexp"

	"github.com/spf13/cobra"

	"marjorampitch/internal/slopes"
)

func main() {
	var only string
	cmd := &cobra.Command{
		Use:           "slopes",
		Short:         "Measure how costs grow with sizes",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			match, err := regexp.Compile(only)
			if err != nil {
				return err
			}
			return slopes.Run(os.Stdout, match)
		},
	}
	cmd.Flags().StringVar(&only, "only", "", "run only measurements whose name matches this regular expression")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

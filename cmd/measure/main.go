// Command measure runs the registered policy comparisons from fixed seeds. It
// prints one or two lines per policy and load:
//
//	measure=NAME policy=POLICY load=LOAD key=value ...
package main

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"sort"

	"github.com/spf13/cobra"
)

// comparison runs one comparison and writes its result lines to out.
type comparison func(out io.Writer) error

// comparisons maps names to comparisons. Only init functions write to it.
var comparisons = map[string]comparison{}

func register(name string, c comparison) { comparisons[name] = c }

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var only string
	cmd := &cobra.Command{
		Use:          "measure",
		Short:        "run the policy comparisons and print their results",
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runComparisons(cmd.OutOrStdout(), only)
		},
	}
	cmd.Flags().StringVar(&only, "only", "", "run only comparisons whose name matches this regular expression")
	return cmd
}

// runComparisons runs the comparisons whose name matches pattern, in ascending
// order of name.
func runComparisons(out io.Writer, pattern string) error {
	match, err := regexp.Compile(pattern)
	if err != nil {
		return err
	}
	names := make([]string, 0, len(comparisons))
	for name := range comparisons {
		if match.MatchString(name) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		if err := comparisons[name](out); err != nil {
			return fmt.Errorf("comparison %s: %w", name, err)
		}
	}
	return nil
}

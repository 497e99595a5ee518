// Command measure runs the registered comparisons from fixed seeds and prints
// one line per figure: measure=NAME policy=POLICY load=LOAD key=value ...
package main

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"sort"

	"github.com/spf13/cobra"
)

// comparison runs one comparison and writes its lines to out.
type comparison func(out io.Writer) error

// comparisons is written by init functions only, one for each file.
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
		Short:        "run the comparisons of policies and print their figures",
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.OutOrStdout(), only)
		},
	}
	cmd.Flags().StringVar(&only, "only", "", "run only comparisons whose name matches this regular expression")
	return cmd
}

// run runs the matching comparisons in ascending order of name.
func run(out io.Writer, only string) error {
	match, err := regexp.Compile(only)
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
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

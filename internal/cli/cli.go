// Package cli implements the command line of marjorampitch: the commands that run
// the daemons and the commands for operators.
package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Run executes the command line and returns the exit code.
func Run(args []string) int {
	root := newRoot()
	root.SetArgs(args)
	parsed := false // set once flags and arguments are valid
	root.PersistentPreRun = func(*cobra.Command, []string) { parsed = true }
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return int(ExitOK)
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	if !parsed {
		return int(ExitUsage)
	}
	return int(exitCode(err))
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "marjorampitch",
		Short:         "Load balancer for expert-parallel model groups",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	o := new(operatorFlags)
	o.register(root)
	root.AddCommand(
		newEntryCommand(),
		newSideCommand(),
		newGatewayCommand(),
		newRebalancerCommand(),
		newPolicyCommand(o),
		newReviewCommand(o),
		newConfigCommand(o),
		newDrainCommand(o),
		newRestoreCommand(o),
		newVersionCommand(o),
	)
	return root
}

// Package cli holds the command line of marjorampitch: the daemons and the operator's commands.
package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of the command line.
const (
	ExitOK    = 0
	ExitError = 1
)

// Run executes the command line and returns the exit code.
func Run(args []string) int {
	root := newRoot()
	root.SetArgs(args)
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return ExitError
	}
	return ExitOK
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "marjorampitch",
		Short:         "Load balancer for expert-parallel model groups",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newEntryCommand(), newSideCommand())
	return root
}

package cli

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"marjorampitch/config"
	"marjorampitch/daemon"
)

// runDaemon is a daemon's main function; see package daemon.
type runDaemon func(ctx context.Context, st *config.Settings, out io.Writer) error

func newEntryCommand() *cobra.Command {
	return newDaemonCommand("entry", "Run an entry: the front that callers talk to", config.RoleEntry, daemon.RunEntry)
}

func newSideCommand() *cobra.Command {
	return newDaemonCommand("side", "Run a side process beside one backend server", config.RoleSide, daemon.RunSide)
}

func newDaemonCommand(use, short string, role config.ProcessRole, run runDaemon) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			st, err := readSettings(file, role)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return run(ctx, st, os.Stderr)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "INI file with the settings of the process")
	cmd.MarkFlagRequired("settings")
	return cmd
}

// readSettings reads the settings of a process that is to have this role.
func readSettings(file string, role config.ProcessRole) (*config.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "--settings")
	}
	st, err := config.ParseSettings(file, data)
	if err != nil {
		return nil, err
	}
	if st.Process.Role != role {
		return nil, eris.Errorf("%s: role = %s, but the command is %s", file, st.Process.Role, role)
	}
	return st, nil
}

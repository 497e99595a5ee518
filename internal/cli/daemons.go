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

// runDaemon runs a daemon until ctx ends and writes its log to out; see package daemon.
type runDaemon func(ctx context.Context, st *config.Settings, out io.Writer) error

func newEntryCommand() *cobra.Command {
	return newDaemonCommand("entry", "Run an entry: the front proxy that accepts callers' requests", config.RoleEntry, daemon.RunEntry)
}

func newSideCommand() *cobra.Command {
	return newDaemonCommand("side", "Run the sidecar of one backend server", config.RoleSide, daemon.RunSide)
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
	cmd.Flags().StringVar(&file, "settings", "", "settings file (INI) of the process")
	cmd.MarkFlagRequired("settings")
	return cmd
}

// readSettings reads a settings file and fails if it is for another role.
func readSettings(file string, role config.ProcessRole) (*config.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read settings file")
	}
	st, err := config.ParseSettings(file, data)
	if err != nil {
		return nil, err
	}
	if st.Process.Role != role {
		return nil, eris.Errorf("%s: role = %s, but the command runs role %s", file, st.Process.Role, role)
	}
	return st, nil
}

package cli

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"marjorampitch/daemon"
	"marjorampitch/platform"
)

func newGatewayCommand() *cobra.Command {
	return newPlatformCommand("gateway", "Run a gateway: the front proxy on the users' platform", daemon.RunGateway)
}

func newRebalancerCommand() *cobra.Command {
	return newPlatformCommand("rebalancer", "Run the rebalancer of one model engine on the users' platform", daemon.RunRebalancer)
}

// newPlatformCommand returns a command that runs a daemon with the platform's
// settings file until SIGINT or SIGTERM.
func newPlatformCommand(use, short string, run func(ctx context.Context, path, logLevel string, out io.Writer) error) *cobra.Command {
	var file, level string
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			if file == "" {
				file = platform.SettingsPath()
			}
			return run(ctx, file, level, os.Stdout)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file of the platform (default: the file named by the platform's environment)")
	cmd.Flags().StringVar(&level, "log-level", "info", "minimum level of log lines on standard output: debug, info, warn or error")
	return cmd
}

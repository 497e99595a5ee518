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
	return newPlatformCommand("gateway", "Run a gateway: the front on the users' platform", daemon.RunGateway)
}

func newRebalancerCommand() *cobra.Command {
	return newPlatformCommand("rebalancer", "Run a rebalancer beside one model engine on the users' platform", daemon.RunRebalancer)
}

// newPlatformCommand runs a daemon with the platform's settings file.
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
	cmd.Flags().StringVar(&file, "settings", "", "settings file of the platform; by default the one that its environment names")
	cmd.Flags().StringVar(&level, "log-level", "info", "least level of the lines on standard output: debug, info, warn or error")
	return cmd
}

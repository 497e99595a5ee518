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
func newPlatformCommand(use, short string, run func(ctx context.Context, path string, out io.Writer) error) *cobra.Command {
	var file string
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
			return run(ctx, file, os.Stdout)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file of the platform; by default the one that its environment names")
	return cmd
}

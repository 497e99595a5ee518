package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"marjorampitch/daemon"
	"marjorampitch/platform"
)

func newGatewayCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run a gateway: the front on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			if file == "" {
				file = platform.SettingsPath()
			}
			return daemon.RunGateway(ctx, file, os.Stdout)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file of the platform; by default the one that its environment names")
	return cmd
}

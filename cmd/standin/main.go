// Command standin serves stand-ins for the external systems: the log service, the
// instance list, the weight store, model engines and plain HTTP services.
package main

import (
	"os"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"
)

func main() {
	logger := log.NewWithOptions(os.Stdout, log.Options{
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
	})
	if err := newRoot(logger).Execute(); err != nil {
		logger.Error("failed", "err", err)
		os.Exit(1)
	}
}

func newRoot(logger *log.Logger) *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Serve stand-ins for the external systems, with fault injection",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	s := &server{logger: logger}
	root.PersistentFlags().StringVar(&s.listen, "listen", "127.0.0.1:0", "address (IP:port) of the first stand-in; port 0 selects free ports")
	root.PersistentFlags().IntVar(&s.count, "count", 1, "number of stand-ins, on consecutive ports")
	root.AddCommand(
		newLogCommand(s),
		newInstancesCommand(s),
		newWeightsCommand(s),
		newEngineCommand(s),
		newPlainCommand(s),
	)
	return root
}

// Command standin serves the stand-ins for the outside systems: the log
// service, the instance list, the weight store, model engines and plain services.
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
		Short:         "Stand-ins for the outside systems, with faults",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	s := &server{logger: logger}
	root.PersistentFlags().StringVar(&s.listen, "listen", "127.0.0.1:0", "address (IP:port) of the first stand-in")
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

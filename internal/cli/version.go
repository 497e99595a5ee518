package cli

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"marjorampitch/config"
	"marjorampitch/wire"
)

// versionResult is the JSON output of "version".
type versionResult struct {
	Revision  string   `json:"revision"`
	Go        string   `json:"go"`
	Formats   []int    `json:"document_formats"`
	Protocols []uint16 `json:"protocols"` // lowest and highest supported version of the wire protocol
}

func newVersionCommand(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the revision and the supported document formats and protocol versions",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v := versionResult{
				Revision:  revision(),
				Go:        runtime.Version(),
				Formats:   config.Formats(),
				Protocols: []uint16{wire.MinVersion, wire.MaxVersion},
			}
			return o.print(cmd, v, func(w io.Writer) {
				fmt.Fprintf(w, "marjorampitch %s, %s, document formats %v, inner protocol %d to %d\n",
					v.Revision, v.Go, v.Formats, wire.MinVersion, wire.MaxVersion)
			})
		},
	}
}

// revision returns the VCS revision that the binary was built from, or its module
// version if the build recorded none.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}

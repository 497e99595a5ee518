package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/user"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"marjorampitch/backing"
	"marjorampitch/claim"
	"marjorampitch/config"
	"marjorampitch/config/publish"
	"marjorampitch/logfold"
	"marjorampitch/placement"
	_ "marjorampitch/placement/fullrepack" // registers "fullrepack"
	_ "marjorampitch/placement/packed"     // registers "packed"
	_ "marjorampitch/placement/speedblind" // registers "speedblind"
	_ "marjorampitch/placement/static"     // registers "static"
	"marjorampitch/route"
	_ "marjorampitch/route/policies" // registers the routing policies
)

// Environment variables with defaults of flags.
const (
	envLogService   = "MARJORAMPITCH_LOG_SERVICE"
	envInstanceList = "MARJORAMPITCH_INSTANCE_LIST"
	envService      = "MARJORAMPITCH_SERVICE"
)

// baseSuffix is appended to the file name of a document to name the file that
// holds its base version.
const baseSuffix = ".base"

// operatorFlags are the flags common to the operator's commands.
type operatorFlags struct {
	logService   string
	instanceList string
	service      string
	author       string
	output       string
}

func (o *operatorFlags) register(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&o.logService, "log-service", os.Getenv(envLogService), "base URL of the log service ($"+envLogService+")")
	flags.StringVar(&o.instanceList, "instance-list", os.Getenv(envInstanceList), "base URL of the instance list ($"+envInstanceList+")")
	flags.StringVar(&o.service, "service", os.Getenv(envService), "name of the service ($"+envService+")")
	flags.StringVar(&o.author, "author", userName(), "author to record with a change")
	flags.StringVarP(&o.output, "output", "o", "text", "output format: text or json")
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// supportedByBuild describes this binary.
func supportedByBuild() config.Build {
	return config.Build{Routing: route.Names(), Placement: placement.Names(), MaxKeyAge: claim.MaxKeyAge}
}

// requireFlags returns an error with ExitUsage if one of flags, values by name, is
// empty.
func requireFlags(flags map[string]string) error {
	for name, value := range flags {
		if value == "" {
			return exit(ExitUsage, "--%s is not set", name)
		}
	}
	return nil
}

func (o *operatorFlags) reader() (*logfold.Reader, error) {
	if err := requireFlags(map[string]string{"log-service": o.logService, "service": o.service}); err != nil {
		return nil, err
	}
	return logfold.NewReader(backing.NewLogClient(o.logService), o.service), nil
}

// readCurrent returns a Reader with the current document, read to the end of the
// log. If the read fails, the Reader holds the state up to the failure.
func (o *operatorFlags) readCurrent(cmd *cobra.Command) (*logfold.Reader, error) {
	r, err := o.reader()
	if err != nil {
		return nil, err
	}
	return r, r.ReadToEnd(cmd.Context())
}

func (o *operatorFlags) publisher() (*publish.Publisher, error) {
	if err := requireFlags(map[string]string{"log-service": o.logService, "service": o.service}); err != nil {
		return nil, err
	}
	return publish.NewPublisher(backing.NewLogClient(o.logService), o.service, o.author), nil
}

// print writes the result of a command to standard output: v as JSON, or with
// text if --output is text.
func (o *operatorFlags) print(cmd *cobra.Command, v any, text func(w io.Writer)) error {
	switch o.output {
	case "json":
		enc := json.NewEncoder(cmd.OutOrStdout())
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	case "text":
		text(cmd.OutOrStdout())
		return nil
	}
	return exit(ExitUsage, "--output is %q, want text or json", o.output)
}

// readBase returns the base version of the document in file, read from the file
// with baseSuffix.
func readBase(file string) (uint64, error) {
	data, err := os.ReadFile(file + baseSuffix)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, exit(ExitUsage, "base version unknown: --base is not set and file %s%s does not exist", file, baseSuffix)
	}
	if err != nil {
		return 0, err
	}
	base, err := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0, exit(ExitUsage, "read base version from %s%s: %v", file, baseSuffix, err)
	}
	return base, nil
}

// writeBase records version as the base version of the document in file.
func writeBase(file string, version uint64) error {
	return os.WriteFile(file+baseSuffix, fmt.Appendf(nil, "%d\n", version), 0o644)
}

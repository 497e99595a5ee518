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

// Environment variables that stand in for flags.
const (
	envLogService   = "MARJORAMPITCH_LOG_SERVICE"
	envInstanceList = "MARJORAMPITCH_INSTANCE_LIST"
	envService      = "MARJORAMPITCH_SERVICE"
)

// baseSuffix is added to a document's file name for the file with the version
// that the document is based on.
const baseSuffix = ".base"

// operatorFlags are common to the operator's commands.
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
	flags.StringVar(&o.author, "author", userName(), "name to record with a change")
	flags.StringVarP(&o.output, "output", "o", "text", "text or json")
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// policies are the names that this build registers.
func policies() config.Policies {
	return config.Policies{Routing: route.Names(), Placement: placement.Names()}
}

// need reports flags that the command can't do without.
func need(flags map[string]string) error {
	for name, value := range flags {
		if value == "" {
			return exit(ExitUsage, "--%s is not set", name)
		}
	}
	return nil
}

func (o *operatorFlags) reader() (*logfold.Reader, error) {
	if err := need(map[string]string{"log-service": o.logService, "service": o.service}); err != nil {
		return nil, err
	}
	return logfold.NewReader(backing.NewLogClient(o.logService), o.service), nil
}

// current reads the log to its end.
func (o *operatorFlags) current(cmd *cobra.Command) (*logfold.Reader, error) {
	r, err := o.reader()
	if err != nil {
		return nil, err
	}
	return r, r.ReadToEnd(cmd.Context())
}

func (o *operatorFlags) publisher() (*publish.Publisher, error) {
	if err := need(map[string]string{"log-service": o.logService, "service": o.service}); err != nil {
		return nil, err
	}
	return publish.NewPublisher(backing.NewLogClient(o.logService), o.service, o.author), nil
}

// print writes v as JSON, or calls text.
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

// readBase returns the version that the document in file is based on.
func readBase(file string) (uint64, error) {
	data, err := os.ReadFile(file + baseSuffix)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, exit(ExitUsage, "neither --base nor the file %s%s says which version the change is based on", file, baseSuffix)
	}
	if err != nil {
		return 0, err
	}
	base, err := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0, exit(ExitUsage, "%s%s: %v", file, baseSuffix, err)
	}
	return base, nil
}

func writeBase(file string, version uint64) error {
	return os.WriteFile(file+baseSuffix, fmt.Appendf(nil, "%d\n", version), 0o644)
}

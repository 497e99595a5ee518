package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/config/inforce"
	"marjorampitch/config/publish"
	"marjorampitch/logfold"
)

// statusPollInterval is the pause between status queries with --wait.
const statusPollInterval = 200 * time.Millisecond

func newPublishCommand(o *operatorFlags) *cobra.Command {
	var base int64
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a document as the version after its base version",
		Long: "Publish a document as the version after its base version, which is given by --base or in\n" +
			"FILE" + baseSuffix + " (see show --write). The base of the first document is 0.\n" +
			"The change is refused if its base is no longer the current version.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			baseVersion := uint64(max(base, 0))
			if base < 0 {
				if baseVersion, err = readBase(args[0]); err != nil {
					return err
				}
			}
			if _, err := config.CheckDocument(args[0], text, supportedByBuild()); err != nil {
				return o.printCheck(cmd, args[0], err)
			}
			result, err := o.publish(cmd.Context(), baseVersion, text)
			if err != nil {
				return err
			}
			if result.Status == publish.Accepted {
				if err := writeBase(args[0], result.Version); err != nil {
					return err
				}
			}
			return o.reportResult(cmd, result, wait)
		},
	}
	cmd.Flags().Int64Var(&base, "base", -1, "base version of the document; by default read from FILE"+baseSuffix)
	registerWait(cmd, &wait)
	return cmd
}

func registerWait(cmd *cobra.Command, wait *time.Duration) {
	cmd.Flags().DurationVar(wait, "wait", 0, "maximum time to wait until the change is in force in every process")
}

func (o *operatorFlags) publish(ctx context.Context, base uint64, text []byte) (publish.Result, error) {
	p, err := o.publisher()
	if err != nil {
		return publish.Result{}, err
	}
	return p.Publish(ctx, base, text)
}

func newResolveCommand(o *operatorFlags) *cobra.Command {
	var base uint64
	var settle bool
	cmd := &cobra.Command{
		Use:   "resolve NONCE",
		Short: "Determine the outcome of a change that was reported as unknown",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := o.publisher()
			if err != nil {
				return err
			}
			result, err := p.Resolve(cmd.Context(), base, args[0], settle)
			if err != nil {
				return err
			}
			return o.reportResult(cmd, result, 0)
		},
	}
	cmd.Flags().Uint64Var(&base, "base", 0, "base version of the change")
	cmd.Flags().BoolVar(&settle, "settle", false, "if the outcome is still open, publish the current document again so that the change can no longer be accepted")
	cmd.MarkFlagRequired("base")
	return cmd
}

func newRestartCommand(o *operatorFlags) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "restart FILE",
		Short: "Start a new version history when the current version is lost",
		Long: "Start a new version history with a document, after every process was down for longer\n" +
			"than the log service retains records. Refused while the current version can still\n" +
			"be determined.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if _, err := config.CheckDocument(args[0], text, supportedByBuild()); err != nil {
				return o.printCheck(cmd, args[0], err)
			}
			p, err := o.publisher()
			if err != nil {
				return err
			}
			result, err := p.Restart(cmd.Context(), text)
			if err != nil {
				return err
			}
			return o.reportResult(cmd, result, wait)
		},
	}
	registerWait(cmd, &wait)
	return cmd
}

// reportResult prints the result of a change, waits up to wait until an accepted
// change is in force in every process, and returns an error with the exit code.
func (o *operatorFlags) reportResult(cmd *cobra.Command, r publish.Result, wait time.Duration) error {
	if err := o.print(cmd, r, func(w io.Writer) { printResult(w, r) }); err != nil {
		return err
	}
	switch {
	case r.Status == publish.Unknown:
		return exit(ExitUnknown, "the outcome of the change is unknown")
	case r.Status == publish.Accepted && wait > 0:
		return o.waitInForce(cmd.Context(), int64(r.Offset), wait)
	case r.Status == publish.Accepted:
		return nil
	case r.Code == api.ConfigInvalid:
		return exit(ExitInvalid, "refused: %s", r.Code)
	case r.Code == api.ConfigConflict:
		return exit(ExitConflict, "refused: %s", r.Code)
	}
	return exit(ExitError, "refused: %s", r.Code)
}

func printResult(w io.Writer, r publish.Result) {
	switch r.Status {
	case publish.Accepted:
		fmt.Fprintf(w, "accepted: version %d at offset %d\n", r.Version, r.Offset)
	case publish.Unknown:
		fmt.Fprintf(w, "unknown: %s\nnonce %s, base %d\n", r.Detail, r.Nonce, r.Base)
	default:
		fmt.Fprintf(w, "refused: %s\n%s", r.Detail, r.Diff)
	}
	if len(r.Problems) > 0 {
		fmt.Fprintln(w, r.Problems.Error())
	}
}

// waitInForce polls the processes until all of them have the document at offset
// or a later one in force.
func (o *operatorFlags) waitInForce(ctx context.Context, offset int64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		reports, err := o.queryProcesses(ctx)
		if err == nil && len(reports) > 0 && inforce.Everywhere(reports, offset) {
			return nil
		}
		select {
		case <-ctx.Done():
			return exit(ExitDiffers, "change accepted, but not in force in every process within %s", wait)
		case <-time.After(statusPollInterval):
		}
	}
}

// queryProcesses asks the live instances of the service which document they have
// in force.
func (o *operatorFlags) queryProcesses(ctx context.Context) ([]inforce.Report, error) {
	if err := requireFlags(map[string]string{"instance-list": o.instanceList, "service": o.service}); err != nil {
		return nil, err
	}
	instances, err := backing.NewInstanceListClient(o.instanceList).Instances(ctx)
	if err != nil {
		return nil, err
	}
	return inforce.Query(ctx, o.service, instances), nil
}

// statusResult is the JSON output of "config status".
type statusResult struct {
	Version    uint64           `json:"version"` // current version according to the log
	Offset     int64            `json:"offset"`
	Everywhere bool             `json:"everywhere"`
	Processes  []inforce.Report `json:"processes"`
}

func newStatusCommand(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show which processes have the current document in force",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := o.readCurrent(cmd)
			if err != nil && !errors.Is(err, backing.ErrUnavailable) {
				return err
			}
			reports, err := o.queryProcesses(cmd.Context())
			if err != nil {
				return err
			}
			result := newStatusResult(&r.State, reports)
			if err := o.print(cmd, result, func(w io.Writer) { printStatus(w, result) }); err != nil {
				return err
			}
			if !result.Everywhere {
				return exit(ExitDiffers, "the current document is not in force in every process")
			}
			return nil
		},
	}
}

func newStatusResult(state *logfold.State, reports []inforce.Report) statusResult {
	return statusResult{
		Version:    state.Version,
		Offset:     int64(state.Offset),
		Everywhere: inforce.Everywhere(reports, int64(state.Offset)),
		Processes:  reports,
	}
}

func printStatus(w io.Writer, s statusResult) {
	fmt.Fprintf(w, "current by the log: version %d at offset %d\n", s.Version, s.Offset)
	for _, r := range s.Processes {
		if r.Error != "" {
			fmt.Fprintf(w, "%-24s %-6s %-8s no answer: %s\n", r.Instance, r.Role, r.DataCentre, r.Error)
			continue
		}
		fmt.Fprintf(w, "%-24s %-6s %-8s version %d at offset %d, current %t, leaving %t\n",
			r.Instance, r.Role, r.DataCentre, r.Version, r.Offset, r.Current, r.Leaving)
	}
}

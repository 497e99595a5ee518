package cli

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"marjorampitch/config"
	"marjorampitch/lint"
	"marjorampitch/platform"
)

// maxCheckedBytes bounds the files that are checked; no process takes a larger one.
const maxCheckedBytes = 8 << 20

// Formats of configurations that are checked.
const (
	formatAuto     = "auto"     // by the first character
	formatINI      = "ini"      // the document of a service
	formatPlatform = "platform" // the operator's configuration in the platform's store
)

// reviewResult is the JSON output of "check".
type reviewResult struct {
	File     string         `json:"file"`
	Findings []lint.Finding `json:"findings"`
	Against  string         `json:"against,omitempty"`
	Changes  []lint.Change  `json:"changes,omitempty"`
}

func newReviewCommand(o *operatorFlags) *cobra.Command {
	var format, against string
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Review a configuration before it is sent: errors, entries without effect, contradictions, differences",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			result, err := review(args[0], format, against)
			if err != nil {
				return err
			}
			if err := o.print(cmd, result, result.writeText); err != nil {
				return err
			}
			return result.exit()
		},
	}
	cmd.Flags().StringVar(&format, "format", formatAuto, "format of the files: auto, ini or platform")
	cmd.Flags().StringVar(&against, "against", "", "file with the version in force, to list what differs from it")
	return cmd
}

// review checks a file and compares it with the version in force, if one is given.
func review(file, format, against string) (*reviewResult, error) {
	data, err := readBounded(file)
	if err != nil {
		return nil, err
	}
	read, err := readerFor(format, data)
	if err != nil {
		return nil, err
	}
	findings, entries := read(file, data)
	result := &reviewResult{File: file, Findings: findings}
	if against == "" || entries == nil {
		return result, nil
	}
	old, err := readBounded(against)
	if err != nil {
		return nil, err
	}
	problems, oldEntries := read(against, old)
	if oldEntries == nil {
		return nil, exit(ExitInvalid, "%s cannot be compared: %s", against, problems[0].Text)
	}
	result.Against, result.Changes = against, lint.Diff(oldEntries, entries)
	return result, nil
}

// readBounded reads a file of at most maxCheckedBytes.
func readBounded(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxCheckedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxCheckedBytes {
		return nil, exit(ExitInvalid, "%s has more than %d bytes", file, maxCheckedBytes)
	}
	return data, nil
}

// configurationReader returns the findings on a configuration, and its entries; nil if
// it cannot be parsed.
type configurationReader func(file string, data []byte) ([]lint.Finding, []lint.Entry)

// readerFor returns the reader of a format; formatAuto is decided by data.
func readerFor(format string, data []byte) (configurationReader, error) {
	switch format {
	case formatINI:
		return reviewINI, nil
	case formatPlatform:
		return reviewPlatform, nil
	case formatAuto:
		if bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
			return reviewPlatform, nil
		}
		return reviewINI, nil
	}
	return nil, exit(ExitUsage, "--format is %q, want auto, ini or platform", format)
}

// reviewINI reviews the document of a service.
func reviewINI(file string, data []byte) ([]lint.Finding, []lint.Entry) {
	keys, err := config.Entries(file, data)
	if err != nil {
		return problemFindings(err), nil
	}
	entries := make([]lint.Entry, 0, len(keys))
	for _, k := range keys {
		entries = append(entries, lint.Entry{Path: "[" + k.Section + "] " + k.Key, Value: k.Value})
	}
	d, err := config.CheckDocument(file, data, supportedByBuild())
	if err != nil {
		return problemFindings(err), entries
	}
	return lint.Document(d), entries
}

// problemFindings returns one finding for each problem of err.
func problemFindings(err error) []lint.Finding {
	problems, ok := config.AsProblems(err)
	if !ok {
		return []lint.Finding{{Kind: lint.Invalid, Text: err.Error()}}
	}
	var list []lint.Finding
	for _, p := range problems {
		list = append(list, lint.Finding{Kind: lint.Invalid, Text: p.String()})
	}
	return list
}

// reviewPlatform reviews the operator's configuration of a deployment.
func reviewPlatform(file string, data []byte) ([]lint.Finding, []lint.Entry) {
	entries, duplicates, err := platform.ConfigurationEntries(data)
	if err != nil {
		return []lint.Finding{{Kind: lint.Invalid, Text: file + ": " + err.Error()}}, nil
	}
	var list []lint.Finding
	for _, path := range duplicates {
		list = append(list, lint.Finding{Kind: lint.Invalid, Entry: path, Text: "the name is given twice"})
	}
	d, err := platform.DecodeDocument(data)
	if err != nil {
		return append(list, lint.Finding{Kind: lint.Invalid, Text: file + ": " + err.Error()}), entries
	}
	return append(list, lint.Fleet(d)...), entries
}

// writeText prints one line for each finding and change.
func (r *reviewResult) writeText(w io.Writer) {
	for _, f := range r.Findings {
		fmt.Fprintln(w, f)
	}
	if r.Against != "" {
		fmt.Fprintf(w, "%d entries differ from %s\n", len(r.Changes), r.Against)
	}
	for _, c := range r.Changes {
		fmt.Fprintln(w, c)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(w, "%s: ok\n", r.File)
	}
}

// exit returns the error that the command ends with. Differences alone are none.
func (r *reviewResult) exit() error {
	switch {
	case lint.Has(r.Findings, lint.Invalid):
		return exit(ExitInvalid, "%s: invalid", r.File)
	case len(r.Findings) > 0:
		return exit(ExitFindings, "%s: %d findings", r.File, len(r.Findings))
	}
	return nil
}

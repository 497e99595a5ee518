package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"marjorampitch/config"
	"marjorampitch/config/publish"
	"marjorampitch/logfold"
)

func newConfigCommand(o *operatorFlags) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check, publish and monitor the configuration document of a service"}
	cmd.AddCommand(
		newCheckCommand(o),
		newDiffCommand(o),
		newPublishCommand(o),
		newResolveCommand(o),
		newRestartCommand(o),
		newShowCommand(o),
		newStatusCommand(o),
		newHistoryCommand(o),
	)
	return cmd
}

// checkResult is the JSON output of "config check".
type checkResult struct {
	File     string          `json:"file"`
	OK       bool            `json:"ok"`
	Problems config.Problems `json:"problems"`
}

func newCheckCommand(o *operatorFlags) *cobra.Command {
	var settings bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a document or, with --settings, the settings file of a process",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if settings {
				_, err = config.ParseSettings(args[0], data)
			} else {
				_, err = config.CheckDocument(args[0], data, supportedByBuild())
			}
			return o.printCheck(cmd, args[0], err)
		},
	}
	cmd.Flags().BoolVar(&settings, "settings", false, "check FILE as the settings file of a process")
	return cmd
}

func (o *operatorFlags) printCheck(cmd *cobra.Command, file string, err error) error {
	problems, _ := config.AsProblems(err)
	result := checkResult{File: file, OK: err == nil, Problems: problems}
	printErr := o.print(cmd, result, func(w io.Writer) {
		if err != nil {
			fmt.Fprintln(w, err)
			return
		}
		fmt.Fprintf(w, "%s: ok\n", file)
	})
	if err != nil {
		return exit(ExitInvalid, "%s: %d problems", file, len(problems))
	}
	return printErr
}

// diffResult is the JSON output of "config diff".
type diffResult struct {
	Version uint64 `json:"version"`
	Differs bool   `json:"differs"`
	Diff    string `json:"diff"`
}

func newDiffCommand(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Compare the current document with a file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			r, err := o.readCurrent(cmd)
			if err != nil {
				return err
			}
			diff := publish.Diff(fmt.Sprintf("version %d", r.State.Version), r.State.Text, args[0], data)
			result := diffResult{Version: r.State.Version, Differs: diff != "", Diff: diff}
			if err := o.print(cmd, result, func(w io.Writer) { fmt.Fprint(w, diff) }); err != nil {
				return err
			}
			if diff != "" {
				return exit(ExitDiffers, "%s differs from version %d", args[0], r.State.Version)
			}
			return nil
		},
	}
}

// showResult is the JSON output of "config show".
type showResult struct {
	Service  string `json:"service"`
	Version  uint64 `json:"version"`
	Offset   int64  `json:"offset"`
	Document string `json:"document"`
}

func newShowCommand(o *operatorFlags) *cobra.Command {
	var write string
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Print the current document, or write it to a file for editing",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := o.readCurrent(cmd)
			if err != nil {
				return err
			}
			if r.State.Doc == nil {
				return exit(ExitError, "service %s has no published document", o.service)
			}
			if write != "" {
				if err := os.WriteFile(write, r.State.Text, 0o644); err != nil {
					return err
				}
				if err := writeBase(write, r.State.Version); err != nil {
					return err
				}
			}
			return o.printShow(cmd, &r.State, write)
		},
	}
	cmd.Flags().StringVar(&write, "write", "", "write the document to FILE, and its version to FILE"+baseSuffix+" for publish")
	return cmd
}

func (o *operatorFlags) printShow(cmd *cobra.Command, state *logfold.State, written string) error {
	result := showResult{Service: o.service, Version: state.Version, Offset: int64(state.Offset), Document: string(state.Text)}
	return o.print(cmd, result, func(w io.Writer) {
		if written != "" {
			fmt.Fprintf(w, "version %d written to %s\n", state.Version, written)
			return
		}
		w.Write(state.Text)
	})
}

// historyEntry is one change in the output of "config history".
type historyEntry struct {
	Offset   int64  `json:"offset"`
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version"`
	Base     uint64 `json:"base"`
	Author   string `json:"author"`
	Code     int    `json:"code"`
	Detail   string `json:"detail,omitempty"`
}

func newHistoryCommand(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the changes in the retained part of the log, with their outcomes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := o.reader()
			if err != nil {
				return err
			}
			r.FromOldest = true
			if err := r.ReadToEnd(cmd.Context()); err != nil {
				return err
			}
			entries := make([]historyEntry, 0, len(r.Outcomes))
			for _, out := range r.Outcomes {
				entries = append(entries, historyEntry{
					Offset: int64(out.Offset), Accepted: out.Accepted, Version: out.Version, Base: out.Base,
					Author: out.Author, Code: int(out.Code), Detail: out.Detail,
				})
			}
			return o.print(cmd, entries, func(w io.Writer) { printHistory(w, entries) })
		},
	}
}

func printHistory(w io.Writer, entries []historyEntry) {
	for _, e := range entries {
		if e.Accepted {
			fmt.Fprintf(w, "offset %d: version %d by %s\n", e.Offset, e.Version, e.Author)
			continue
		}
		fmt.Fprintf(w, "offset %d: refused, by %s, based on version %d: %s\n", e.Offset, e.Author, e.Base, e.Detail)
	}
}

package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"marjorampitch/api"
	"marjorampitch/config"
	"marjorampitch/config/publish"
)

// maxEditAttempts is the number of attempts to publish a one-line change when
// changes by other operators conflict with it.
const maxEditAttempts = 5

// stateChange is a change of the state key of one section of the document.
type stateChange struct {
	kind  string
	name  string
	state string
	force bool
	wait  time.Duration
}

// newDrainCommand returns the command that takes a data centre or backend server
// out of service.
func newDrainCommand(o *operatorFlags) *cobra.Command {
	return newStateCommand(o, "drain", "Take a data centre or backend server out of service", "out", "leaving")
}

// newRestoreCommand returns the command that returns a data centre or backend
// server to service.
func newRestoreCommand(o *operatorFlags) *cobra.Command {
	return newStateCommand(o, "restore", "Return a data centre or backend server to service", "in", "in")
}

// newStateCommand returns the command verb with the subcommands
// "data-centre NAME" and "backend-server NAME".
func newStateCommand(o *operatorFlags, verb, short, centreState, backendState string) *cobra.Command {
	cmd := &cobra.Command{Use: verb, Short: short}
	for kind, state := range map[string]string{
		config.SectionDataCentre: centreState,
		config.SectionBackend:    backendState,
	} {
		change := stateChange{kind: kind, state: state}
		sub := &cobra.Command{
			Use:   kind + " NAME",
			Short: fmt.Sprintf("Publish the document with state = %s in [%s NAME]", state, kind),
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				change.name = args[0]
				return o.changeState(cmd, change)
			},
		}
		sub.Flags().BoolVar(&change.force, "force", false, "publish even if a pool is left without a backend server that accepts new work")
		registerWait(sub, &change.wait)
		cmd.AddCommand(sub)
	}
	return cmd
}

// changeState edits one line of the current document and publishes the result.
// After a conflict it repeats the edit on the new current document: the edit
// does not depend on the rest of the document.
func (o *operatorFlags) changeState(cmd *cobra.Command, change stateChange) error {
	for attempt := 1; ; attempt++ {
		r, err := o.readCurrent(cmd)
		if err != nil {
			return err
		}
		text, err := config.SetState(r.State.Text, change.kind, change.name, change.state)
		if err != nil {
			return err
		}
		if string(text) == string(r.State.Text) {
			return o.printUnchanged(cmd, r.State.Version, change)
		}
		if err := checkPoolsAvailable(r.State.Text, text, change); err != nil {
			return err
		}
		result, err := o.publish(cmd.Context(), r.State.Version, text)
		if err != nil {
			return err
		}
		if result.Code != api.ConfigConflict || attempt == maxEditAttempts {
			return o.reportResult(cmd, result, change.wait)
		}
	}
}

func (o *operatorFlags) printUnchanged(cmd *cobra.Command, version uint64, change stateChange) error {
	result := publish.Result{Status: publish.Accepted, Base: version, Version: version, Detail: "unchanged"}
	return o.print(cmd, result, func(w io.Writer) {
		fmt.Fprintf(w, "unchanged: version %d already has state = %s for %s %s\n", version, change.state, change.kind, change.name)
	})
}

// checkPoolsAvailable returns an error with ExitUnsafe if the change takes the last
// backend server that accepts new work from a pool. before and after are the
// documents before and after the change. With --force, and for a change to state
// "in", it checks nothing.
func checkPoolsAvailable(before, after []byte, change stateChange) error {
	if change.force || change.state == "in" {
		return nil
	}
	old, err := config.ParseDocument("current document", before)
	if err != nil {
		return exit(ExitInvalid, "%v", err)
	}
	doc, err := config.ParseDocument("document", after)
	if err != nil {
		return exit(ExitInvalid, "%v", err)
	}
	oldAvailable := availableBackends(old)
	for pool, available := range availableBackends(doc) {
		if available == 0 && oldAvailable[pool] > 0 {
			return exit(ExitUnsafe, "no backend server of pool %s would accept new work; use --force to publish anyway", pool)
		}
	}
	return nil
}

// availableBackends counts the backend servers that accept new work, by pool.
// Pools without any are included.
func availableBackends(doc *config.Document) map[string]int {
	drained := map[string]bool{} // by data centre
	for _, dc := range doc.DataCentres {
		drained[dc.Name] = dc.Out
	}
	available := map[string]int{}
	for _, b := range doc.Backends {
		available[b.Pool] += 0
		if !b.Leaving && !drained[b.DataCentre] {
			available[b.Pool]++
		}
	}
	return available
}

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

// editTries bounds how often a one-line change is put on top of changes of others.
const editTries = 5

// stateChange is a wish to change the state of one section.
type stateChange struct {
	kind  string
	name  string
	state string
	force bool
	wait  time.Duration
}

// newDrainCommand takes a data centre or backend server out of service.
func newDrainCommand(o *operatorFlags) *cobra.Command {
	return newStateCommand(o, "drain", "Take a data centre or backend server out of service", "out", "leaving")
}

// newRestoreCommand brings a data centre or backend server back.
func newRestoreCommand(o *operatorFlags) *cobra.Command {
	return newStateCommand(o, "restore", "Bring a data centre or backend server back", "in", "in")
}

// newStateCommand returns "VERB data-centre NAME" and "VERB backend-server NAME".
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
		sub.Flags().BoolVar(&change.force, "force", false, "also when nothing is left to take work")
		registerWait(sub, &change.wait)
		cmd.AddCommand(sub)
	}
	return cmd
}

// changeState edits one line of the current document and publishes it. When
// another change comes first, the line is edited in that one: the wish is the
// same on top of any document.
func (o *operatorFlags) changeState(cmd *cobra.Command, change stateChange) error {
	for try := 1; ; try++ {
		r, err := o.current(cmd)
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
		if err := checkSafe(text, change); err != nil {
			return err
		}
		result, err := o.publish(cmd.Context(), r.State.Version, text)
		if err != nil {
			return err
		}
		if result.Code != api.ConfigConflict || try == editTries {
			return o.finish(cmd, result, change.wait)
		}
	}
}

func (o *operatorFlags) printUnchanged(cmd *cobra.Command, version uint64, change stateChange) error {
	result := publish.Result{Status: publish.Accepted, Base: version, Version: version, Detail: "unchanged"}
	return o.print(cmd, result, func(w io.Writer) {
		fmt.Fprintf(w, "unchanged: version %d already has state = %s for %s %s\n", version, change.state, change.kind, change.name)
	})
}

// checkSafe refuses a change after which a pool that had a backend server to
// take work has none.
func checkSafe(text []byte, change stateChange) error {
	if change.force || change.state == "in" {
		return nil
	}
	doc, err := config.ParseDocument("document", text)
	if err != nil {
		return exit(ExitInvalid, "%v", err)
	}
	for pool, open := range openPools(doc) {
		if open == 0 {
			return exit(ExitUnsafe, "no backend server of pool %s would be left to take work; --force does it all the same", pool)
		}
	}
	return nil
}

// openPools counts the backend servers of each pool that take work.
func openPools(doc *config.Document) map[string]int {
	out := map[string]bool{}
	for _, dc := range doc.DataCentres {
		out[dc.Name] = dc.Out
	}
	open := map[string]int{}
	for _, b := range doc.Backends {
		open[b.Pool] += 0
		if !b.Leaving && !out[b.DataCentre] {
			open[b.Pool]++
		}
	}
	return open
}

package cli

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"marjorampitch/placement"
	"marjorampitch/route"
	"marjorampitch/wire"
)

// comparisonResult is the comparison of one entry in the JSON output of "policy compare".
type comparisonResult struct {
	Entry      string           `json:"entry"`
	Comparison *wire.Comparison `json:"comparison"`
}

func newPolicyCommand(o *operatorFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "policy",
		Short: "List policies and compare a candidate policy with the active one",
	}
	cmd.AddCommand(newPolicyListCommand(o), newPolicyCompareCommand(o))
	return cmd
}

// policyNames is the JSON output of "policy list".
type policyNames struct {
	Routing   []string `json:"routing"`
	Placement []string `json:"placement"`
}

func newPolicyListCommand(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the policies that a document can select",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			names := policyNames{Routing: route.Names(), Placement: placement.Names()}
			return o.print(cmd, names, func(w io.Writer) {
				for _, name := range names.Routing {
					fmt.Fprintln(w, "routing  ", name)
				}
				for _, name := range names.Placement {
					fmt.Fprintln(w, "placement", name)
				}
			})
		},
	}
}

func newPolicyCompareCommand(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "compare",
		Short: "Compare the candidate routing policy with the active one, per entry",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reports, err := o.queryProcesses(cmd.Context())
			if err != nil {
				return err
			}
			results := []comparisonResult{}
			for _, r := range reports {
				if r.Comparison != nil {
					results = append(results, comparisonResult{Entry: r.Instance, Comparison: r.Comparison})
				}
			}
			return o.print(cmd, results, func(w io.Writer) { printComparisons(w, results) })
		},
	}
}

func printComparisons(w io.Writer, results []comparisonResult) {
	if len(results) == 0 {
		fmt.Fprintln(w, "no entry has a candidate policy")
		return
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "ENTRY\tPOLICY\tMODE\tPICKS\tSAME\tMEAN LOAD\tSERVED\tFAILED\tFIRST P95\tINVALID\tLATE\tPANICS\tTRIPPED")
	for _, r := range results {
		c := r.Comparison
		compared := max(1, c.Compared)
		for i, name := range []string{c.Active, c.Candidate} {
			mode := "active"
			if i == 1 {
				mode = c.Mode
			}
			fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%.2f\t%d\t%d\t%v\t", r.Entry, name, mode, c.Picks, c.Same,
				float64(c.Load[i])/float64(compared), c.Served[i], c.Failed[i],
				time.Duration(c.FirstP95Micros[i])*time.Microsecond)
			if i == 1 {
				fmt.Fprintf(tw, "%d\t%d\t%d\t%s", c.Invalid, c.Late, c.Panics, c.Tripped)
			}
			fmt.Fprintln(tw)
		}
	}
	tw.Flush()
}

package side

import (
	"fmt"
	"io"
	"text/tabwriter"

	"marjorampitch/internal/node"
	"marjorampitch/internal/recent"
)

// Status is the state of a sidecar as shown on its status page.
type Status struct {
	node.Page
	Refuses    string           `json:"refuses"` // why new requests are refused; empty if they are not
	Cold       bool             `json:"cold"`
	Limit      int              `json:"limit"`
	Running    int              `json:"running"`
	Waiting    int              `json:"waiting"`
	StepMillis float64          `json:"step_millis"`
	Entries    int              `json:"entries"` // open connections of front proxies
	Refusals   []recent.Refusal `json:"refusals"`
}

// Status returns the current state of the sidecar.
func (s *Server) Status() Status {
	r := s.report()
	st := Status{
		Page:       s.node.Page(),
		Cold:       r.Cold,
		Limit:      r.Limit,
		Running:    r.Running,
		Waiting:    r.Waiting,
		StepMillis: float64(r.StepMillis),
		Entries:    len(s.peers()),
		Refusals:   s.refusals.Last(),
	}
	if _, e := s.checkNewWork(); e != nil {
		st.Refuses = e.Error()
	}
	return st
}

// WriteText writes the status as plain text.
func (st Status) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	st.Page.WriteText(tw, "side")
	fmt.Fprintf(tw, "backend\tcold %t\tlimit %d\trunning %d\twaiting %d\tstep %.1f ms\n",
		st.Cold, st.Limit, st.Running, st.Waiting, st.StepMillis)
	fmt.Fprintf(tw, "entries\t%d\trefuses %q\n", st.Entries, st.Refuses)
	fmt.Fprintln(tw)
	recent.WriteText(tw, st.Refusals)
	return tw.Flush()
}

package side

import (
	"fmt"
	"io"
	"text/tabwriter"

	"marjorampitch/internal/recent"
)

// Status is what a side process believes now, for its status page.
type Status struct {
	Instance      string           `json:"instance"`
	DataCentre    string           `json:"data_centre"`
	Service       string           `json:"service"`
	Incarnation   string           `json:"incarnation"`
	ConfigOffset  int64            `json:"config_offset"`
	ConfigVersion uint64           `json:"config_version"`
	Current       bool             `json:"current"`
	Leaving       bool             `json:"leaving"`
	Refuses       string           `json:"refuses"` // why new work is refused now; empty when it is not
	Cold          bool             `json:"cold"`
	Limit         int              `json:"limit"`
	Running       int              `json:"running"`
	Waiting       int              `json:"waiting"`
	StepMillis    float64          `json:"step_millis"`
	Entries       int              `json:"entries"` // open connections
	Refusals      []recent.Refusal `json:"refusals"`
}

// Status returns what the side process believes now.
func (s *Server) Status() Status {
	hello := s.opt.Hello
	r := s.report()
	st := Status{
		Instance:     hello.Instance,
		DataCentre:   hello.DataCentre,
		Service:      hello.Service,
		Incarnation:  hello.Incarnation,
		ConfigOffset: -1,
		Current:      s.opt.Config.Current(),
		Leaving:      r.Leaving,
		Cold:         r.Cold,
		Limit:        r.Limit,
		Running:      r.Running,
		Waiting:      r.Waiting,
		StepMillis:   float64(r.StepMillis),
		Entries:      len(s.peers()),
		Refusals:     s.refusals.Last(),
	}
	if _, e := s.allowed(); e != nil {
		st.Refuses = e.Error()
	}
	if doc := s.opt.Config.Document(); doc != nil {
		st.ConfigOffset = doc.Offset
		st.ConfigVersion = doc.Version
	}
	return st
}

// WriteText writes the status as plain text.
func (st Status) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "side\t%s\t%s\t%s\n", st.Instance, st.DataCentre, st.Service)
	fmt.Fprintf(tw, "config\tversion %d\toffset %d\tcurrent %t\n", st.ConfigVersion, st.ConfigOffset, st.Current)
	fmt.Fprintf(tw, "backend\tcold %t\tlimit %d\trunning %d\twaiting %d\tstep %.1f ms\n",
		st.Cold, st.Limit, st.Running, st.Waiting, st.StepMillis)
	fmt.Fprintf(tw, "entries\t%d\tleaving %t\trefuses %q\n", st.Entries, st.Leaving, st.Refuses)
	fmt.Fprintln(tw)
	recent.WriteText(tw, st.Refusals)
	return tw.Flush()
}

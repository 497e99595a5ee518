package entry

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"marjorampitch/internal/node"
	"marjorampitch/internal/recent"
	"marjorampitch/route"
	"marjorampitch/wire"
)

// Status is the content of a front proxy's status page.
type Status struct {
	node.Page
	Policy     string           `json:"policy"`
	Comparison *wire.Comparison `json:"comparison,omitempty"` // nil without a candidate policy
	Sides      []SideStatus     `json:"sides"`
	Refusals   []recent.Refusal `json:"refusals"`
}

// SideStatus is a front proxy's view of one sidecar and its backend server.
type SideStatus struct {
	Name            string  `json:"name"`
	Address         string  `json:"address"`
	DataCentre      string  `json:"data_centre"`
	Connected       bool    `json:"connected"`    // to the sidecar
	BackendDown     bool    `json:"backend_down"` // the sidecar reports that its backend server is down
	Leaving         bool    `json:"leaving"`
	Cold            bool    `json:"cold"`
	Limit           int     `json:"limit"`
	Running         int     `json:"running"`
	OwnInFlight     int     `json:"own"` // requests of this front proxy in flight
	StepMillis      float64 `json:"step_millis"`
	ReportAgeMillis int64   `json:"report_age_millis"` // -1 before the first report
}

// Status returns the current content of the status page.
func (s *Server) Status() Status {
	return Status{
		Page:       s.node.Page(),
		Policy:     s.policy.name(),
		Comparison: s.policy.comparison(),
		Sides:      s.links.status(),
		Refusals:   s.refusals.Last(),
	}
}

// status returns the status of every link, ordered by name.
func (t *linkTable) status() []SideStatus {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]SideStatus, 0, len(t.links))
	for _, l := range t.links {
		out = append(out, l.status(now, t.members[l.name].base))
	}
	slices.SortFunc(out, func(a, b SideStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (l *link) status(now time.Time, c route.Candidate) SideStatus {
	l.fillCandidate(&c, now)
	connected := l.incarnation() != ""
	return SideStatus{
		Name:            l.name,
		Address:         l.address,
		DataCentre:      l.dataCentre,
		Connected:       connected,
		BackendDown:     connected && c.Excluded,
		Leaving:         c.Leaving,
		Cold:            c.Cold,
		Limit:           c.Limit,
		Running:         c.Running,
		OwnInFlight:     c.OwnInFlight,
		StepMillis:      c.StepMillis,
		ReportAgeMillis: max(-1, c.ReportAge.Milliseconds()),
	}
}

// WriteText writes the status as plain text.
func (st Status) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	st.Page.WriteText(tw, "entry")
	fmt.Fprintf(tw, "policy\t%s\n\n", st.Policy)
	fmt.Fprintln(tw, "SIDE\tDATA CENTRE\tCONNECTED\tDOWN\tLEAVING\tCOLD\tLIMIT\tRUNNING\tOWN\tSTEP MS\tREPORT AGE MS")
	for _, s := range st.Sides {
		fmt.Fprintf(tw, "%s\t%s\t%t\t%t\t%t\t%t\t%d\t%d\t%d\t%.1f\t%d\n", s.Name, s.DataCentre,
			s.Connected, s.BackendDown, s.Leaving, s.Cold, s.Limit, s.Running, s.OwnInFlight, s.StepMillis, s.ReportAgeMillis)
	}
	fmt.Fprintln(tw)
	recent.WriteText(tw, st.Refusals)
	return tw.Flush()
}

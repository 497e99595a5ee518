package route

import (
	"time"

	"marjorampitch/wire"
)

// Table holds the state of the backend servers of one pool as known to one front
// proxy, including the counts of its own requests. It is not safe for concurrent
// use.
type Table struct {
	rows  []Candidate
	meta  []rowMeta // parallel to rows
	index map[string]int
}

// rowMeta holds the state of a row that Pickers do not see.
type rowMeta struct {
	reportedAt        time.Duration // when the last report was received, on the caller's clock
	configuredLeaving bool          // leaving according to the service configuration or the instance list
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{index: map[string]int{}}
}

// Put adds a backend server, or updates its data centre, distance and leaving state.
func (t *Table) Put(name, dataCentre string, distance time.Duration, leaving bool) {
	i, ok := t.index[name]
	if !ok {
		i = len(t.rows)
		t.index[name] = i
		t.rows = append(t.rows, Candidate{Name: name, Hash: HashName(name), ReportAge: NoReport})
		t.meta = append(t.meta, rowMeta{})
	}
	row := &t.rows[i]
	row.DataCentre = dataCentre
	row.Distance = distance
	row.Leaving = leaving
	t.meta[i].configuredLeaving = leaving
}

// Remove removes a backend server.
func (t *Table) Remove(name string) {
	i, ok := t.index[name]
	if !ok {
		return
	}
	last := len(t.rows) - 1
	t.rows[i] = t.rows[last]
	t.meta[i] = t.meta[last]
	t.index[t.rows[i].Name] = i
	t.rows = t.rows[:last]
	t.meta = t.meta[:last]
	delete(t.index, name)
}

// ApplyReport stores a report of the backend server's sidecar, received at now.
func (t *Table) ApplyReport(name string, r *wire.Report, now time.Duration) {
	i, ok := t.index[name]
	if !ok {
		return
	}
	row := &t.rows[i]
	t.meta[i].reportedAt = now
	row.ReportAge = 0
	row.Cold = r.Cold
	row.Leaving = t.meta[i].configuredLeaving || r.Leaving
	row.Limit = r.Limit
	row.Running = r.Running
	row.Waiting = r.Waiting
	row.StepMillis = float64(r.StepMillis)
	row.CacheUsed = float64(r.CacheUsed)
	row.OwnSinceReport = 0
}

// SetExcluded marks a backend server as not to be picked, for example while there
// is no connection to its sidecar, or removes the mark.
func (t *Table) SetExcluded(name string, excluded bool) {
	if i, ok := t.index[name]; ok {
		t.rows[i].Excluded = excluded
	}
}

// Sent records a request sent to the backend server.
func (t *Table) Sent(name string) {
	if i, ok := t.index[name]; ok {
		t.rows[i].OwnInFlight++
		t.rows[i].OwnSinceReport++
	}
}

// Finished records the end of a request recorded by Sent.
func (t *Table) Finished(name string) {
	i, ok := t.index[name]
	if !ok || t.rows[i].OwnInFlight == 0 {
		return
	}
	t.rows[i].OwnInFlight--
	t.rows[i].OwnSinceReport--
}

// Candidates returns all backend servers, with the report ages as of now. The
// slice belongs to the table and is valid until the next call of any method.
func (t *Table) Candidates(now time.Duration) []Candidate {
	for i := range t.rows {
		if t.rows[i].ReportAge != NoReport {
			t.rows[i].ReportAge = now - t.meta[i].reportedAt
		}
	}
	return t.rows
}

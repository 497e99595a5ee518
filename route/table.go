package route

import (
	"time"

	"marjorampitch/wire"
)

// Table holds one entry's beliefs of the backend servers of one pool and keeps
// the corrections for its own requests. It is not safe for concurrent use.
type Table struct {
	rows  []Candidate
	notes []note // one for each row
	index map[string]int
}

// note is what the table keeps beside a row.
type note struct {
	arrived time.Duration // when the last report arrived, on the caller's clock
	listed  bool          // leaving by the document or the instance list
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{index: map[string]int{}}
}

// Put adds a backend server, or changes its data centre, distance and leaving state.
func (t *Table) Put(name, dataCentre string, distance time.Duration, leaving bool) {
	i, ok := t.index[name]
	if !ok {
		i = len(t.rows)
		t.index[name] = i
		t.rows = append(t.rows, Candidate{Name: name, Hash: HashName(name), ReportAge: NoReport})
		t.notes = append(t.notes, note{})
	}
	row := &t.rows[i]
	row.DataCentre = dataCentre
	row.Distance = distance
	row.Leaving = leaving
	t.notes[i].listed = leaving
}

// Remove forgets a backend server.
func (t *Table) Remove(name string) {
	i, ok := t.index[name]
	if !ok {
		return
	}
	last := len(t.rows) - 1
	t.rows[i] = t.rows[last]
	t.notes[i] = t.notes[last]
	t.index[t.rows[i].Name] = i
	t.rows = t.rows[:last]
	t.notes = t.notes[:last]
	delete(t.index, name)
}

// ApplyReport takes a side's report that arrived at now.
func (t *Table) ApplyReport(name string, r *wire.Report, now time.Duration) {
	i, ok := t.index[name]
	if !ok {
		return
	}
	row := &t.rows[i]
	t.notes[i].arrived = now
	row.ReportAge = 0
	row.Cold = r.Cold
	row.Leaving = t.notes[i].listed || r.Leaving
	row.Limit = r.Limit
	row.Running = r.Running
	row.Waiting = r.Waiting
	row.StepMillis = float64(r.StepMillis)
	row.CacheUsed = float64(r.CacheUsed)
	row.OwnSinceReport = 0
}

// SetExcluded sets whether a backend server is to be passed over, for example
// while there is no connection to its side process.
func (t *Table) SetExcluded(name string, excluded bool) {
	if i, ok := t.index[name]; ok {
		t.rows[i].Excluded = excluded
	}
}

// Sent counts a request sent to the backend server.
func (t *Table) Sent(name string) {
	if i, ok := t.index[name]; ok {
		t.rows[i].OwnInFlight++
		t.rows[i].OwnSinceReport++
	}
}

// Finished counts the end of a request sent before.
func (t *Table) Finished(name string) {
	i, ok := t.index[name]
	if !ok || t.rows[i].OwnInFlight == 0 {
		return
	}
	t.rows[i].OwnInFlight--
	t.rows[i].OwnSinceReport--
}

// Candidates returns the rows with their ages at now. The slice belongs to the
// table and is valid until its next call.
func (t *Table) Candidates(now time.Duration) []Candidate {
	for i := range t.rows {
		if t.rows[i].ReportAge != NoReport {
			t.rows[i].ReportAge = now - t.notes[i].arrived
		}
	}
	return t.rows
}

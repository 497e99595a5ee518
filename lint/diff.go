package lint

import (
	"cmp"
	"slices"
)

// Entry is one value of a configuration.
type Entry struct {
	Path  string // such as "[route chat] timeout"
	Value string
}

// Change is one difference between two configurations.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"` // empty if the entry is new
	New  string `json:"new,omitempty"` // empty if the entry is gone
	// Added and Removed tell an empty value from an entry that is not there.
	Added   bool `json:"added,omitempty"`
	Removed bool `json:"removed,omitempty"`
}

// String returns the change as "+ path = new", "- path = old" or "~ path = old -> new".
func (c Change) String() string {
	switch {
	case c.Added:
		return "+ " + c.Path + " = " + c.New
	case c.Removed:
		return "- " + c.Path + " = " + c.Old
	}
	return "~ " + c.Path + " = " + c.Old + " -> " + c.New
}

// Diff returns the changes from the old entries to the new ones, ordered by path. The
// order of the entries does not count. Of entries with the same path the last counts.
func Diff(old, updated []Entry) []Change {
	before, after := byPath(old), byPath(updated)
	var changes []Change
	for path, value := range before {
		now, kept := after[path]
		switch {
		case !kept:
			changes = append(changes, Change{Path: path, Old: value, Removed: true})
		case now != value:
			changes = append(changes, Change{Path: path, Old: value, New: now})
		}
	}
	for path, value := range after {
		if _, known := before[path]; !known {
			changes = append(changes, Change{Path: path, New: value, Added: true})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return changes
}

func byPath(entries []Entry) map[string]string {
	m := make(map[string]string, len(entries))
	for _, e := range entries {
		m[e.Path] = e.Value
	}
	return m
}

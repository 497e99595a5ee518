package config

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one error found in a file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // counted from 1; 0 if the problem is not tied to a line
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Found   string `json:"found,omitempty"` // the invalid text; empty if something is missing
	Want    string `json:"want"`            // description of what was expected
}

// String returns the problem as "file:line: [section] key: found ..., want ...".
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:", p.File, p.Line)
	if p.Section != "" {
		fmt.Fprintf(&b, " [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s:", p.Key)
	}
	if p.Found != "" {
		fmt.Fprintf(&b, " found %q,", p.Found)
	}
	fmt.Fprintf(&b, " want %s", p.Want)
	return b.String()
}

// Problems lists all errors found in a file, sorted by line. It is returned as an
// error only if it is not empty.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// err sorts ps by line and returns it, or returns nil if ps is empty.
func (ps Problems) err() error {
	if len(ps) == 0 {
		return nil
	}
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].Line < ps[j].Line })
	return ps
}

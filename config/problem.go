package config

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // counted from 1; 0 when the fault belongs to no line
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Found   string `json:"found,omitempty"` // the offending text; empty when something is missing
	Want    string `json:"want"`            // what was expected
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

// Problems is every fault of a file, in order of line. It is an error when
// it is not empty.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// err returns ps sorted by line, or nil when there are none.
func (ps Problems) err() error {
	if len(ps) == 0 {
		return nil
	}
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].Line < ps[j].Line })
	return ps
}

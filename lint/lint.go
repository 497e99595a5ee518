// Package lint reviews a configuration before it is published: errors, entries that can
// never match, values that contradict each other, and what differs from the version in
// force. It reads nothing but the configuration, so a finding holds whatever the state
// of the deployment is.
package lint

import (
	"cmp"
	"fmt"
	"slices"
)

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	Invalid       Kind = "invalid"       // no process loads the configuration, or each may read it differently
	Unreachable   Kind = "unreachable"   // the entry can never match or have an effect
	Contradiction Kind = "contradiction" // two values cannot both hold
)

// Finding is one result of a review.
type Finding struct {
	Kind  Kind   `json:"kind"`
	Entry string `json:"entry"` // such as "route chat"; empty for the whole configuration
	Text  string `json:"text"`
}

// String returns the finding as "kind: entry: text".
func (f Finding) String() string {
	if f.Entry == "" {
		return fmt.Sprintf("%s: %s", f.Kind, f.Text)
	}
	return fmt.Sprintf("%s: %s: %s", f.Kind, f.Entry, f.Text)
}

// findings collects findings.
type findings []Finding

func (f *findings) add(kind Kind, entry, format string, args ...any) {
	*f = append(*f, Finding{Kind: kind, Entry: entry, Text: fmt.Sprintf(format, args...)})
}

// sorted returns the findings by kind, in the order invalid, unreachable,
// contradiction, those of a kind in the order of the configuration.
func (f findings) sorted() []Finding {
	order := []Kind{Invalid, Unreachable, Contradiction}
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Compare(slices.Index(order, a.Kind), slices.Index(order, b.Kind))
	})
	return f
}

// Has reports whether one of the findings is of this kind.
func Has(list []Finding, kind Kind) bool {
	return slices.ContainsFunc(list, func(f Finding) bool { return f.Kind == kind })
}

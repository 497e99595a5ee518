package config

import (
	"errors"
	"slices"
	"strings"
)

// Policies are the names of the policies that a build registers.
type Policies struct {
	Routing   []string
	Placement []string
}

// CheckDocument is ParseDocument and a check that this build has the policies
// that the document names. Operators' commands use it before they publish; it
// plays no part in judging what is published, since builds may differ.
func CheckDocument(file string, data []byte, known Policies) (*Document, error) {
	doc, err := ParseDocument(file, data)
	if err != nil {
		return nil, err
	}
	c := &checker{file: file, data: data}
	named := []struct {
		section, key, name string
		known              []string
	}{
		{"routing", "policy", doc.Routing.Policy, known.Routing},
		{"routing", "candidate", doc.Routing.Candidate, known.Routing},
		{"placement", "policy", doc.Placement.Policy, known.Placement},
	}
	for _, n := range named {
		if n.name != "" && !slices.Contains(n.known, n.name) {
			c.add(n.section, n.key, n.name, "a policy of this build: "+strings.Join(n.known, ", "))
		}
	}
	return doc, c.problems.err()
}

// AsProblems returns the problems that err stands for, if it does.
func AsProblems(err error) (Problems, bool) {
	var problems Problems
	ok := errors.As(err, &problems)
	return problems, ok
}

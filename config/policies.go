package config

import (
	"errors"
	"slices"
	"strings"
)

// Policies lists the names of the policies that a build registers.
type Policies struct {
	Routing   []string
	Placement []string
}

// CheckDocument parses a document like ParseDocument and also checks that the
// policies it names are among known. Operator commands call it before they
// publish. Processes do not apply this check to a published document, because
// their builds may differ. The error is a Problems.
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
			c.addProblem(n.section, n.key, n.name, "a policy registered in this build: "+strings.Join(n.known, ", "))
		}
	}
	return doc, c.problems.err()
}

// AsProblems returns the Problems in the chain of err; ok is false if there is none.
func AsProblems(err error) (Problems, bool) {
	var problems Problems
	ok := errors.As(err, &problems)
	return problems, ok
}

package config

import (
	"errors"
	"slices"
	"strings"
	"time"
)

// Build describes what a build supports.
type Build struct {
	Routing   []string      // names of the registered routing policies
	Placement []string      // names of the registered placement policies
	MaxKeyAge time.Duration // longest key-max-age that is applied; 0 for no limit
}

// CheckDocument parses a document like ParseDocument and also checks that build
// supports it. Operator commands call it before they publish. Processes do not
// apply this check to a published document, because their builds may differ. The
// error is a Problems.
func CheckDocument(file string, data []byte, build Build) (*Document, error) {
	doc, err := ParseDocument(file, data)
	if err != nil {
		return nil, err
	}
	c := &checker{file: file, data: data}
	named := []struct {
		section, key, name string
		known              []string
	}{
		{"routing", "policy", doc.Routing.Policy, build.Routing},
		{"routing", "candidate", doc.Routing.Candidate, build.Routing},
		{"placement", "policy", doc.Placement.Policy, build.Placement},
	}
	for _, n := range named {
		if n.name != "" && !slices.Contains(n.known, n.name) {
			c.addProblem(n.section, n.key, n.name, "a policy registered in this build: "+strings.Join(n.known, ", "))
		}
	}
	if age := doc.Limits.KeyMaxAge; build.MaxKeyAge > 0 && age > build.MaxKeyAge {
		c.addProblem("limits", "key-max-age", age.String(), "at most "+build.MaxKeyAge.String()+", for which claims are kept")
	}
	return doc, c.problems.err()
}

// AsProblems returns the Problems in the chain of err; ok is false if there is none.
func AsProblems(err error) (Problems, bool) {
	var problems Problems
	ok := errors.As(err, &problems)
	return problems, ok
}

package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// document holds what scripts change of the service's document.
type document struct {
	out     map[string]bool // data centres taken out
	leaving map[string]bool // backend servers leaving
}

// set changes the state of a data centre or backend server: in, out or leaving.
func (d *document) set(name, state string) error {
	if d.out == nil {
		d.out = make(map[string]bool)
		d.leaving = make(map[string]bool)
	}
	switch state {
	case "out":
		d.out[name] = true
	case "leaving":
		d.leaving[name] = true
	case "in":
		delete(d.out, name)
		delete(d.leaving, name)
	default:
		return fmt.Errorf("state %q: want in, out or leaving", state)
	}
	return nil
}

const documentHead = `[service]
name = ` + service + `
format = 1

[organisation ` + organisation + `]
weight = 1

[routing]
policy = bounded
subset = 0

[placement]
policy = packed
horizon = 10m
margin = 1.5

[limits]
cold-start = 2
retry-budget = 0.5
key-max-age = 1h
fresh-for = 5s
crash-limit = 2
`

const chatRoute = `
[route chat]
path = /v1/chat/completions
pool = engines
idempotent = yes
streaming = yes
timeout = 2m
`

const plainRoutes = `
[route availability]
path = /availability
pool = plain
idempotent = yes
timeout = 20s

[route deposit]
path = /deposits
pool = plain
idempotent = no
timeout = 20s
look-up = /deposits/by-key/{key}

[route dispatch]
path = /dispatches
pool = plain
idempotent = no
timeout = 20s
`

// text returns the document for the backend servers.
func (d *document) text(backends map[string]*backend, groups map[string]*rankGroup) string {
	var b strings.Builder
	b.WriteString(documentHead)
	centres := make(map[string]bool)
	engines, plain := false, false
	for _, name := range slices.Sorted(maps.Keys(backends)) {
		be := backends[name]
		centres[be.dataCentre] = true
		engines = engines || be.engine != nil
		plain = plain || be.plain != nil
		b.WriteString(d.backend(be))
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		b.WriteString(groups[name].section())
	}
	if engines {
		b.WriteString(chatRoute)
	}
	if plain {
		b.WriteString(plainRoutes)
	}
	for _, name := range slices.Sorted(maps.Keys(centres)) {
		fmt.Fprintf(&b, "\n[data-centre %s]\nregion = r\nstate = %s\n", name, state(d.out[name], "out"))
	}
	return b.String()
}

func (d *document) backend(be *backend) string {
	kind, pool, models := "plain", "plain", ""
	if be.engine != nil {
		kind, pool, models = "engine", "engines", "models = "+model+"\n"
	}
	if be.group != nil {
		models += fmt.Sprintf("group = %s\nrank = %d\n", be.group.name, be.rank)
	}
	return fmt.Sprintf("\n[backend-server %s]\ndata-centre = %s\nkind = %s\npool = %s\n%smax-running = %d\nstate = %s\n",
		be.name, be.dataCentre, kind, pool, models, be.maxRunning, state(d.leaving[be.name], "leaving"))
}

func state(gone bool, word string) string {
	if gone {
		return word
	}
	return "in"
}

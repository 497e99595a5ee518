package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// document is the state behind the service configuration that scripts publish.
type document struct {
	centresOut      map[string]bool // data centres out of service
	backendsLeaving map[string]bool // backend servers that drain
}

// set sets the state of a data centre (in or out) or backend server (in or leaving).
func (d *document) set(name, state string) error {
	if d.centresOut == nil {
		d.centresOut = make(map[string]bool)
		d.backendsLeaving = make(map[string]bool)
	}
	switch state {
	case "out":
		d.centresOut[name] = true
	case "leaving":
		d.backendsLeaving[name] = true
	case "in":
		delete(d.centresOut, name)
		delete(d.backendsLeaving, name)
	default:
		return fmt.Errorf("set state of %s: got %q, want in, out or leaving", name, state)
	}
	return nil
}

const documentPreamble = `[service]
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

// render returns the service configuration for the given backend servers and groups.
func (d *document) render(backends map[string]*backend, groups map[string]*rankGroup) string {
	var b strings.Builder
	b.WriteString(documentPreamble)
	centres := make(map[string]bool)
	engines, plain := false, false
	for _, name := range slices.Sorted(maps.Keys(backends)) {
		be := backends[name]
		centres[be.dataCentre] = true
		engines = engines || be.engine != nil
		plain = plain || be.plain != nil
		b.WriteString(d.backendSection(be))
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		b.WriteString(groups[name].documentSection())
	}
	if engines {
		b.WriteString(chatRoute)
	}
	if plain {
		b.WriteString(plainRoutes)
	}
	for _, name := range slices.Sorted(maps.Keys(centres)) {
		fmt.Fprintf(&b, "\n[data-centre %s]\nregion = r\nstate = %s\n", name, stateValue(d.centresOut[name], "out"))
	}
	return b.String()
}

// backendSection returns the section of one backend server.
func (d *document) backendSection(be *backend) string {
	kind, pool, models := "plain", "plain", ""
	if be.engine != nil {
		kind, pool, models = "engine", "engines", "models = "+model+"\n"
	}
	if be.group != nil {
		models += fmt.Sprintf("group = %s\nrank = %d\n", be.group.name, be.rank)
	}
	return fmt.Sprintf("\n[backend-server %s]\ndata-centre = %s\nkind = %s\npool = %s\n%smax-running = %d\nstate = %s\n",
		be.name, be.dataCentre, kind, pool, models, be.maxRunning, stateValue(d.backendsLeaving[be.name], "leaving"))
}

// stateValue returns value if set is true, and the default state otherwise.
func stateValue(set bool, value string) string {
	if set {
		return value
	}
	return "in"
}

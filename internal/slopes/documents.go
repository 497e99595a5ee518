package slopes

import (
	"fmt"
	"strings"

	"marjorampitch/config"
	"marjorampitch/logfold"
)

var (
	backendSizes      = []int{100, 400, 1_600, 3_100}
	organisationSizes = []int{10, 100, 1_000, 7_400}
)

// documentMeasurements describes the measurements of parsing, storing, sending and
// receiving a service configuration.
func documentMeasurements() []Measurement {
	withBackends := func(n int) string { return documentText(n, 10) }
	withOrganisations := func(n int) string { return documentText(10, n) }
	return []Measurement{
		documentMeasurement("document-parse", "backend-server", "us", backendSizes, withBackends, parseTime),
		documentMeasurement("document-parse", "organisation", "us", organisationSizes, withOrganisations, parseTime),
		documentMeasurement("document-packed", "backend-server", "B", backendSizes, withBackends, packedSize),
		documentMeasurement("document-delta", "backend-server", "B", backendSizes, withBackends, deltaSize),
		documentMeasurement("document-delta-read", "backend-server", "us", backendSizes, withBackends, deltaTime),
		documentMeasurement("document-packed", "organisation", "B", organisationSizes, withOrganisations, packedSize),
		documentMeasurement("document-memory", "backend-server", "B", backendSizes, withBackends, documentMemory),
		documentMeasurement("document-memory", "organisation", "B", organisationSizes, withOrganisations, documentMemory),
	}
}

func documentMeasurement(name, per, unit string, sizes []int, text func(int) string, cost func(string) (float64, error)) Measurement {
	return Measurement{
		Name: name, Per: per, Unit: unit, Sizes: sizes,
		Measure: func(n int) (float64, error) { return cost(text(n)) },
	}
}

func parseTime(text string) (float64, error) {
	var failed error
	data := []byte(text)
	cost := nanosPerCall(func() {
		doc, err := config.ParseDocument("slope.ini", data)
		if err != nil {
			failed = err
			return
		}
		doc.Backend("none")
	})
	return cost / 1e3, failed
}

func packedSize(text string) (float64, error) {
	packed, err := logfold.Pack([]byte(text))
	return float64(len(packed)), err
}

func documentMemory(text string) (float64, error) {
	before := memoryInUse()
	doc, err := config.ParseDocument("slope.ini", []byte(text))
	if err != nil {
		return 0, err
	}
	doc.Backend("none")
	used := memoryInUse() - before
	if doc.Service.Name == "" {
		return 0, fmt.Errorf("parsed document has no service name")
	}
	return used, nil
}

// documentText returns a service configuration with at least 35 backend servers,
// 35 models in 35 pools, and six data centres.
func documentText(backends, organisations int) string {
	var b strings.Builder
	b.WriteString("[service]\nname = slope\nformat = 1\n")
	for dc := range 6 {
		fmt.Fprintf(&b, "[data-centre dc%d]\nregion = r%d\nstate = in\n", dc, dc/2)
	}
	for m := range 35 {
		fmt.Fprintf(&b, "[route chat-%d]\npath = /m%d/v1/chat/completions\npool = pool-%d\nidempotent = yes\nstreaming = yes\ntimeout = 30s\n", m, m, m)
	}
	for i := range max(backends, 35) {
		fmt.Fprintf(&b, "[backend-server dc%d-llm-%d]\ndata-centre = dc%d\nkind = engine\npool = pool-%d\nmodels = model-%d\nmax-running = 64\nstate = in\n",
			i%6, i, i%6, i%35, i%35)
	}
	for i := range organisations {
		fmt.Fprintf(&b, "[organisation org-%d]\nweight = %d\n", i, 1+i%5)
	}
	b.WriteString("[routing]\npolicy = bounded\nsubset = 4\n[placement]\npolicy = packed\n[limits]\ncold-start = 2\n")
	return b.String()
}

// withServerLeaving returns the text with the state of one backend server
// changed to leaving.
func withServerLeaving(text string) string {
	return strings.Replace(text, "max-running = 64\nstate = in\n", "max-running = 64\nstate = leaving\n", 1)
}

func deltaSize(text string) (float64, error) {
	delta, err := logfold.PackDelta([]byte(text), []byte(withServerLeaving(text)))
	return float64(len(delta)), err
}

func deltaTime(text string) (float64, error) {
	base := []byte(text)
	delta, err := logfold.PackDelta(base, []byte(withServerLeaving(text)))
	if err != nil {
		return 0, err
	}
	cost := nanosPerCall(func() { _, err = logfold.UnpackDelta(base, delta) })
	return cost / 1e3, err
}

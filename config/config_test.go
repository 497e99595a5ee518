package config_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/config"
)

func readExample(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("../examples/" + name)
	require.NoError(t, err)
	return data
}

func TestExampleDocuments(t *testing.T) {
	for _, name := range []string{"bryllupslyd.ini", "caroni-watch.ini"} {
		doc, err := config.ParseDocument(name, readExample(t, name))
		require.NoError(t, err)
		require.Len(t, doc.DataCentres, 3)
		require.Len(t, doc.Backends, 15)
		require.Len(t, doc.Organisations, 10)
		require.Len(t, doc.Groups, 1)
		require.Equal(t, 200_000_000, doc.Groups[0].WeightRate)
	}
}

// invalidDocument has invalid lines, keys and references in all kinds of sections.
// TestAllProblemsAtOnce lists the lines.
const invalidDocument = `stray = 1
[service]
name = Wrong Name
format = 1
colour = red
[data-centre a]
region = r
state = outside
[data-centre a]
[backend-server x]
data-centre = nowhere
kind = engine
pool = p
models = m, m
max-running = 1
group = g
rank = 7
[backend-server y]
data-centre = a
kind = plain
pool = p
max-running = many
state =
[organisation o]
weight = 0
[route r]
path = v1
pool = q
idempotent = no
streaming = yes
timeout = 30
look-up = /by-key
[group g]
model = other
ranks = 2
experts = 8
layers = 1
slots = 2
weight-rate = 100
[routing]
policy = one
candidate = one
mode = share
[placement]
policy = one
policy = two
no delimiter here
[limits]
fresh-for = 1ms
[unknown]
a = b
`

// Every problem of a document is reported with its line, not only the first one.
func TestAllProblemsAtOnce(t *testing.T) {
	_, err := config.ParseDocument("b.ini", []byte(invalidDocument))
	var problems config.Problems
	require.ErrorAs(t, err, &problems)
	type position struct {
		Line int
		Key  string
	}
	var got []position
	for _, p := range problems {
		require.Equal(t, "b.ini", p.File)
		require.NotEmpty(t, p.Want)
		got = append(got, position{p.Line, p.Key})
	}
	require.Equal(t, []position{
		{1, "stray"},
		{3, "name"},
		{5, "colour"},
		{8, "state"},
		{9, ""},
		{11, "data-centre"},
		{14, "models"},
		{14, "models"},
		{15, "max-running"},
		{17, "rank"},
		{21, "pool"},
		{22, "max-running"},
		{23, "state"},
		{25, "weight"},
		{27, "path"},
		{28, "pool"},
		{30, "streaming"},
		{31, "timeout"},
		{32, "look-up"},
		{35, "ranks"},
		{35, "ranks"},
		{38, "slots"},
		{39, "weight-rate"},
		{40, "share"},
		{42, "candidate"},
		{46, "policy"},
		{47, ""},
		{49, "fresh-for"},
		{50, ""},
	}, got, "%v", err)
}

func TestUnsupportedFormatsAreRejected(t *testing.T) {
	for _, data := range []string{"", "[service]\nformat = 2\n", "[service]\nformat = x\n", "[service]\nformat = 1 \n\x00"} {
		_, err := config.ParseDocument("f.ini", []byte(data))
		require.ErrorAs(t, err, new(config.Problems), "%q", data)
	}
}

const sideSettings = `[process]
role = side
instance = dk1-llm-1
service = bryllupslyd
data-centre = dk1
listen = 127.0.0.1:7101
status = 127.0.0.1:7201 ; health checks
[platform]
log-service = http://127.0.0.1:7000/
instance-list = http://127.0.0.1:7001
[backend-server]
url = http://127.0.0.1:7301
[trace]
exporter = file
target = /tmp/spans.json
`

func TestSideSettings(t *testing.T) {
	st, err := config.ParseSettings("side.ini", []byte(sideSettings))
	require.NoError(t, err)
	require.Equal(t, config.RoleSide, st.Process.Role)
	require.Equal(t, "127.0.0.1:7201", st.Process.Status)
	require.Equal(t, "http://127.0.0.1:7000", st.Platform.LogService)
	require.Equal(t, config.BackendSettings{Name: "dk1-llm-1", URL: "http://127.0.0.1:7301", DataCentre: "dk1"}, st.Backend)
	require.Equal(t, config.LogInfo, st.Log)
	require.Equal(t, config.TraceSettings{Exporter: config.TraceFile, Target: "/tmp/spans.json"}, st.Trace)
}

func TestEntrySettingsProblems(t *testing.T) {
	const text = `[process]
role = entry
instance = e1
service = s
data-centre = d
listen = localhost:1
http = 127.0.0.1:2
status = 127.0.0.1:2
drain-wait = 5
[platform]
log-service = 127.0.0.1:1
[backend-server]
url = http://127.0.0.1:7301
[trace]
exporter = none
target = x
`
	_, err := config.ParseSettings("e.ini", []byte(text))
	var problems config.Problems
	require.ErrorAs(t, err, &problems)
	var keys []string
	for _, p := range problems {
		keys = append(keys, p.Key)
	}
	require.Equal(t, []string{"listen", "status", "drain-wait", "instance-list", "log-service", "", "target"}, keys, "%v", err)
}

func TestSetStatePreservesAllOtherText(t *testing.T) {
	text := "# top\n[data-centre a] ; first\nregion = r\nstate = in  ; since May\n\n[data-centre b]\nregion = in\n"
	out, err := config.SetState([]byte(text), config.SectionDataCentre, "a", "out")
	require.NoError(t, err)
	require.Equal(t, strings.Replace(text, "state = in  ;", "state = out  ;", 1), string(out))
	out, err = config.SetState(out, config.SectionDataCentre, "b", "out")
	require.NoError(t, err)
	require.Contains(t, string(out), "[data-centre b]\nstate = out\nregion = in\n")
	_, err = config.SetState(out, config.SectionBackend, "a", "leaving")
	require.ErrorIs(t, err, config.ErrNoSection)
}

func TestSetStateOnExamples(t *testing.T) {
	for _, name := range []string{"bryllupslyd.ini", "caroni-watch.ini"} {
		text := readExample(t, name)
		doc, err := config.ParseDocument(name, text)
		require.NoError(t, err)
		for _, b := range doc.Backends {
			changed, err := config.SetState(text, config.SectionBackend, b.Name, "leaving")
			require.NoError(t, err)
			after, err := config.ParseDocument(name, changed)
			require.NoError(t, err)
			for i, other := range after.Backends {
				want := doc.Backends[i]
				want.Leaving = other.Name == b.Name
				require.Equal(t, want, other)
			}
			back, err := config.SetState(changed, config.SectionBackend, b.Name, "in")
			require.NoError(t, err)
			require.Equal(t, string(text), string(back))
		}
	}
}

// A document that a build does not fully support is refused before it is published,
// with the file, line and key; processes accept it.
func TestDocumentBeyondBuildIsRefused(t *testing.T) {
	const name = "caroni-watch.ini"
	text := string(readExample(t, name))
	require.Contains(t, text, "[limits]")
	text = strings.Replace(text, "[limits]", "[limits]\nkey-max-age = 48h", 1)
	text = strings.Replace(text, "key-max-age = 1h", "", 1)
	doc, err := config.ParseDocument(name, []byte(text))
	require.NoError(t, err)
	build := config.Build{Routing: []string{doc.Routing.Policy, doc.Routing.Candidate}, Placement: []string{doc.Placement.Policy}}
	_, err = config.CheckDocument(name, []byte(text), build)
	require.NoError(t, err, "no limit")
	build.MaxKeyAge = 24 * time.Hour
	_, err = config.CheckDocument(name, []byte(text), build)
	problems, ok := config.AsProblems(err)
	require.True(t, ok)
	require.Len(t, problems, 1)
	line := strings.Count(text[:strings.Index(text, "key-max-age")], "\n") + 1
	require.Equal(t, config.Problem{File: name, Line: line, Section: "limits", Key: "key-max-age", Found: "48h0m0s", Want: "at most 24h0m0s, for which claims are kept"}, problems[0])
	_, err = config.CheckDocument(name, []byte(text), config.Build{Placement: build.Placement})
	require.ErrorContains(t, err, "policy")
}

// Limits of a process have defaults, and bounds below which nothing could be served.
func TestLimitsInSettings(t *testing.T) {
	st, err := config.ParseSettings("side.ini", []byte(sideSettings))
	require.NoError(t, err)
	require.Positive(t, st.Process.MemoryMB)
	require.Positive(t, st.Process.Sockets)
	limited := strings.Replace(sideSettings, "[process]\n", "[process]\nmemory-mb = 96\nsockets = 300\n", 1)
	st, err = config.ParseSettings("side.ini", []byte(limited))
	require.NoError(t, err)
	require.Equal(t, 96, st.Process.MemoryMB)
	require.Equal(t, 300, st.Process.Sockets)
	for _, bad := range []string{"memory-mb = 1", "memory-mb = 96MB", "sockets = -1", "sockets = 0"} {
		_, err = config.ParseSettings("side.ini", []byte(strings.Replace(sideSettings, "[process]\n", "[process]\n"+bad+"\n", 1)))
		var problems config.Problems
		require.ErrorAs(t, err, &problems, bad)
	}
}

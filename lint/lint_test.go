package lint

import (
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/config"
	"marjorampitch/fleet"
)

// example returns the text of an example document.
func example(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../examples/bryllupslyd.ini")
	require.NoError(t, err)
	return string(text)
}

func parse(t *testing.T, text string) *config.Document {
	t.Helper()
	d, err := config.ParseDocument("test.ini", []byte(text))
	require.NoError(t, err)
	return d
}

func TestExampleHasNoFindings(t *testing.T) {
	require.Empty(t, Document(parse(t, example(t))))
}

func TestFindingsOfDocuments(t *testing.T) {
	text := example(t)
	for name, c := range map[string]struct {
		text, want string
	}{
		"pool without routes":  {strings.ReplaceAll(text, "pool = bookings\nidempotent", "pool = planners\nidempotent"), "unreachable: pool bookings: no route names it, so its backend servers get no requests"},
		"all data centres out": {strings.ReplaceAll(text, "region = dk-east\nstate = in\n", "region = dk-east\nstate = out\n"), "contradiction: route chat: all backend servers of pool planners are leaving or in data centres that are out"},
	} {
		t.Run(name, func(t *testing.T) {
			found := Document(parse(t, c.text))
			require.Equal(t, c.want, found[0].String())
		})
	}
}

// Front proxies may be in a data centre without backend servers, which has a vote.
func TestDataCentreWithoutServersIsSound(t *testing.T) {
	require.Empty(t, Document(parse(t, example(t)+"\n[data-centre dk9]\nregion = dk-east\n")))
}

func TestFindingsOfKeysAndCandidates(t *testing.T) {
	d := parse(t, example(t))
	d.Limits.KeyMaxAge = 5 * time.Second
	d.Routing = config.Routing{Policy: "bounded", Candidate: "random", Mode: config.ModeOff}
	found := Document(d)
	require.Equal(t, []Kind{Unreachable, Contradiction, Contradiction}, kinds(found))
	require.Contains(t, found[0].Text, "mode is off")
	require.Contains(t, found[1].Text, "a key may expire")
	d.Routing = config.Routing{Policy: "bounded", Candidate: "random", Mode: config.ModeShare}
	require.Contains(t, Document(d)[0].Text, "share of 0")
}

func kinds(list []Finding) []Kind {
	var out []Kind
	for _, f := range list {
		out = append(out, f.Kind)
	}
	return out
}

// soundFleet returns a document without findings.
func soundFleet() *fleet.Document {
	return &fleet.Document{
		Version: 1,
		Routes: []fleet.Route{
			{
				Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: fleet.Stream, Timeout: 8 * time.Second, TargetLatency: time.Second,
				TargetGap: time.Second, Split: []fleet.WeightedService{{Service: "model", Weight: 1}}, MaxAttempts: 2, Resume: true,
			},
			{Name: "book", Host: "a.example", Prefix: "/", Timeout: time.Second, MaxAttempts: 1, Split: []fleet.WeightedService{{Service: "booking", Weight: 1}}},
		},
		Services: map[string]*fleet.Service{
			"model": {Name: "model", MaxConns: 100, Engine: &fleet.Engine{
				Slots: 8, PrefillRate: 1000, Experts: &fleet.Experts{LayerSets: 2, PerSet: 16, MaxPerRank: 5, SparePerRank: 1, StepShare: 0.5},
			}},
			"booking": {Name: "booking"},
		},
		Organisations: []fleet.Organisation{{Name: "x", Keys: []string{"k1"}, Priority: -1}},
		Limits:        fleet.Limits{HeaderBytes: 1000, HeaderTimeout: time.Second},
	}
}

func TestSoundFleetHasNoFindings(t *testing.T) {
	require.Empty(t, Fleet(soundFleet()))
	require.NotPanics(t, func() { Fleet(&fleet.Document{}) })
}

func TestFindingsOfFleets(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*fleet.Document)
		want   []string
	}{
		"same match": {func(d *fleet.Document) {
			again := d.Routes[0]
			again.Name = "again"
			d.Routes = append(d.Routes, again)
		}, []string{`unreachable: route again: route chat has the same host and prefix "/chat/" and goes first`}},
		"host with a port":     {func(d *fleet.Document) { d.Routes[0].Host = "a.example:80" }, []string{`unreachable: route chat: host "a.example:80" has a port, and requests are matched without it`}},
		"no host":              {func(d *fleet.Document) { d.Routes[0].Host = "" }, []string{"unreachable: route chat: it names no host"}},
		"prefix without slash": {func(d *fleet.Document) { d.Routes[0].Prefix = "chat/" }, []string{`unreachable: route chat: prefix "chat/" does not begin with a slash, as every path does`}},
		"no prefix":            {func(d *fleet.Document) { d.Routes[1].Prefix = "" }, []string{"invalid: route book: it has no prefix"}},
		"prefix with a query":  {func(d *fleet.Document) { d.Routes[0].Prefix = "/chat?a=/" }, []string{`unreachable: route chat: prefix "/chat?a=/" has characters that no path has`}},
		"prefix not ended":     {func(d *fleet.Document) { d.Routes[0].Prefix = "/chat" }, []string{`invalid: route chat: prefix "/chat" does not end with a slash`}},
		"unknown service":      {func(d *fleet.Document) { d.Routes[1].Split[0].Service = "bookings" }, []string{`invalid: route book: service "bookings" is not described`, "unreachable: service booking: no route sends requests to it"}},
		"weight not a number":  {func(d *fleet.Document) { d.Routes[1].Split[0].Weight = math.NaN() }, []string{`invalid: route book: weight NaN of service "booking" is not a positive number`}},
		"weights of 0":         {func(d *fleet.Document) { d.Routes[1].Split[0].Weight = 0 }, []string{"invalid: route book: all weights are 0"}},
		"one weight of 0": {func(d *fleet.Document) {
			d.Routes[1].Split = append(d.Routes[1].Split, fleet.WeightedService{Service: "model"})
		}, []string{`unreachable: route book: service "model" has weight 0 and gets no requests`}},
		"no timeout":               {func(d *fleet.Document) { d.Routes[1].Timeout = 0 }, nil},
		"negative timeout":         {func(d *fleet.Document) { d.Routes[1].Timeout = -1 }, []string{"invalid: route book: the timeout is negative"}},
		"negative objective":       {func(d *fleet.Document) { d.Routes[1].TargetLatency = -time.Second }, []string{"invalid: route book: the latency objective is negative"}},
		"objective over timeout":   {func(d *fleet.Document) { d.Routes[1].TargetLatency = time.Minute }, []string{"contradiction: route book: the latency objective 1m0s exceeds the timeout 1s"}},
		"gap over timeout":         {func(d *fleet.Document) { d.Routes[0].TargetGap = time.Minute }, []string{"contradiction: route chat: the objective for gaps 1m0s exceeds the timeout 8s"}},
		"gap without stream":       {func(d *fleet.Document) { d.Routes[1].TargetGap = time.Millisecond }, []string{"unreachable: route book: the objective for gaps has no effect, as responses are no streams"}},
		"resume without stream":    {func(d *fleet.Document) { d.Routes[1].Resume = true }, []string{"unreachable: route book: resuming has no effect, as responses are no streams", "contradiction: route book: streams may be resumed, but a request may be sent to one backend server only"}},
		"negative priority":        {func(d *fleet.Document) { d.Routes[1].Priority = -1 }, []string{"invalid: route book: priority -1 is negative"}},
		"fewer connections":        {func(d *fleet.Document) { d.Services["model"].MaxConns = 3 }, []string{"contradiction: service model: a backend server runs 8 requests at once, but accepts 3 connections"}},
		"negative limit":           {func(d *fleet.Document) { d.Limits.IdleTimeout = -1 }, []string{"invalid: limits: a limit is negative"}},
		"negative connections":     {func(d *fleet.Document) { d.Services["booking"].MaxConns = -3 }, []string{"invalid: service booking: a limit is negative"}},
		"no slots":                 {func(d *fleet.Document) { d.Services["model"].Engine.Slots = 0 }, []string{"invalid: service model: the engine's slots must be positive, its prefill rate and times not negative"}},
		"no prefill rate":          {func(d *fleet.Document) { d.Services["model"].Engine.PrefillRate = 0 }, nil},
		"negative prefill rate":    {func(d *fleet.Document) { d.Services["model"].Engine.PrefillRate = -1 }, []string{"invalid: service model: the engine's slots must be positive, its prefill rate and times not negative"}},
		"share over 1":             {func(d *fleet.Document) { d.Services["model"].Engine.Experts.StepShare = 2 }, []string{"invalid: service model: layer sets and experts of a rank must be positive, spare experts not negative, their share of a step from 0 to 1"}},
		"more places than experts": {func(d *fleet.Document) { d.Services["model"].Engine.Experts.MaxPerRank = 17 }, []string{"contradiction: service model: a rank may hold 17 experts of a set, which has 16"}},
		"no key":                   {func(d *fleet.Document) { d.Organisations[0].Keys = nil }, []string{"unreachable: organisation x: it has no API key"}},
		"empty key":                {func(d *fleet.Document) { d.Organisations[0].Keys = []string{""} }, []string{"unreachable: organisation x: an API key is empty"}},
		"key twice":                {func(d *fleet.Document) { d.Organisations[0].Keys = []string{"k", "k"} }, []string{"unreachable: organisation x: an API key is given twice"}},
		"key of another": {func(d *fleet.Document) {
			d.Organisations = append(d.Organisations, fleet.Organisation{Name: "y", Keys: []string{"k1"}})
		}, []string{"invalid: organisation y: organisation x has the same API key"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := soundFleet()
			c.change(d)
			var got []string
			for _, f := range Fleet(d) {
				got = append(got, f.String())
			}
			require.Equal(t, c.want, got)
		})
	}
}

func TestDiff(t *testing.T) {
	old := []Entry{{"a", "1"}, {"b", "2"}, {"c", ""}}
	updated := []Entry{{"d", "4"}, {"c", ""}, {"b", "3"}, {"e", ""}}
	var lines []string
	for _, c := range Diff(old, updated) {
		lines = append(lines, c.String())
	}
	require.Equal(t, []string{"- a = 1", "~ b = 2 -> 3", "+ d = 4", "+ e = "}, lines)
	require.Empty(t, Diff(old, old))
}

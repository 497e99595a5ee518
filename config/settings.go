package config

import (
	"strings"
	"time"
)

// ProcessRole says what a process does.
type ProcessRole string

// Roles of processes with settings.
const (
	RoleEntry ProcessRole = "entry"
	RoleSide  ProcessRole = "side"
)

// TraceExporter says where traces go.
type TraceExporter string

// Trace exporters.
const (
	TraceNone TraceExporter = "none"
	TraceFile TraceExporter = "file" // Target is a path
	TraceOTLP TraceExporter = "otlp" // Target is a URL
)

// LogLevel is the least severe level that is written.
type LogLevel string

// Levels of log lines.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Settings is the settings file of one process. It is read once, at start.
type Settings struct {
	Process  ProcessSettings
	Platform PlatformSettings
	Backend  BackendSettings // of a side
	Log      LogLevel
	Trace    TraceSettings
}

// ProcessSettings is section [process].
type ProcessSettings struct {
	Role       ProcessRole
	Instance   string // name in the instance list
	Service    string // service whose document the process follows
	DataCentre string
	Listen     string        // IP:port of the inner protocol
	HTTP       string        // IP:port for callers; entries only
	Status     string        // IP:port of health checks, metrics and the status page
	DrainWait  time.Duration // from readiness off until new connections are refused
}

// PlatformSettings is section [platform]: base URLs of the platform's services.
type PlatformSettings struct {
	LogService   string
	InstanceList string
	WeightStore  string // empty where no group is served
}

// BackendSettings is section [backend-server] of a side: the server that it
// stands before.
type BackendSettings struct {
	Name       string // NAME of its section in the document
	URL        string // base URL
	DataCentre string
}

// TraceSettings is section [trace].
type TraceSettings struct {
	Exporter TraceExporter
	Target   string
}

// Bounds and defaults of settings.
const (
	maxDrainWait     = 10 * time.Minute
	defaultDrainWait = 5 * time.Second
)

// ParseSettings reads and checks the settings of a process. file is used in
// problems only. The error is a Problems.
func ParseSettings(file string, data []byte) (*Settings, error) {
	c, err := newChecker(file, data)
	if err != nil {
		return nil, err
	}
	st := &Settings{}
	opened := c.openSettings()
	c.process(opened["process"], &st.Process)
	c.platform(opened["platform"], &st.Platform)
	c.backendSettings(opened["backend-server"], st)
	st.Log = LogLevel(opened["log"].choice("level", optional, string(LogInfo), string(LogDebug), string(LogWarn), string(LogError)))
	c.trace(opened["trace"], &st.Trace)
	for _, title := range settingsSections {
		opened[title].close()
	}
	if err := c.problems.err(); err != nil {
		return nil, err
	}
	return st, nil
}

// settingsSections are the sections of a settings file.
var settingsSections = []string{"process", "platform", "backend-server", "log", "trace"}

// openSettings opens every section of a settings file, absent ones too.
func (c *checker) openSettings() map[string]*section {
	opened := map[string]*section{}
	for _, title := range settingsSections {
		opened[title] = c.absent(title)
	}
	for _, raw := range c.sections() {
		if opened[raw.Name()] == nil {
			c.add(raw.Name(), "", raw.Name(), "a known section: "+strings.Join(settingsSections, ", "))
			continue
		}
		opened[raw.Name()] = c.open(raw, map[string]string{})
	}
	return opened
}

func (c *checker) process(s *section, p *ProcessSettings) {
	p.Role = ProcessRole(s.choice("role", required, string(RoleEntry), string(RoleSide)))
	p.Instance = s.ident("instance", required)
	p.Service = s.ident("service", required)
	p.DataCentre = s.ident("data-centre", required)
	p.Listen = s.address("listen", required)
	p.Status = s.address("status", required)
	p.DrainWait = s.duration("drain-wait", optional, defaultDrainWait, 0, maxDrainWait)
	if p.Role == RoleEntry {
		p.HTTP = s.address("http", required)
	} else if _, given := s.raw["http"]; given {
		s.bad("http", s.address("http", optional), "no such key for a side; callers talk to entries")
	}
	seen := map[string]string{}
	for _, a := range []struct{ key, value string }{{"listen", p.Listen}, {"http", p.HTTP}, {"status", p.Status}} {
		if other := seen[a.value]; a.value != "" && other != "" {
			s.bad(a.key, a.value, "another address than that of "+other)
		}
		seen[a.value] = a.key
	}
}

func (c *checker) platform(s *section, p *PlatformSettings) {
	p.LogService = s.link("log-service", required)
	p.InstanceList = s.link("instance-list", required)
	p.WeightStore = s.link("weight-store", optional)
}

func (c *checker) backendSettings(s *section, st *Settings) {
	if st.Process.Role == RoleEntry {
		if len(s.raw) > 0 {
			c.add(s.title, "", s.title, "no such section for an entry")
			s.raw = nil
		}
		return
	}
	st.Backend.URL = s.link("url", required)
	st.Backend.Name = s.ident("name", optional)
	if st.Backend.Name == "" {
		st.Backend.Name = st.Process.Instance
	}
	st.Backend.DataCentre = s.ident("data-centre", optional)
	if st.Backend.DataCentre == "" {
		st.Backend.DataCentre = st.Process.DataCentre
	}
	if st.Backend.DataCentre != st.Process.DataCentre {
		s.bad("data-centre", st.Backend.DataCentre, "the data centre of the process, "+st.Process.DataCentre)
	}
}

func (c *checker) trace(s *section, t *TraceSettings) {
	t.Exporter = TraceExporter(s.choice("exporter", optional, string(TraceNone), string(TraceFile), string(TraceOTLP)))
	switch t.Exporter {
	case TraceOTLP:
		t.Target = s.link("target", required)
	case TraceFile:
		t.Target, _ = s.take("target", required, "the path of a file")
	default:
		if text, given := s.raw["target"]; given {
			s.take("target", optional, "")
			s.bad("target", text, "exporter = file or otlp, or no target")
		}
	}
}

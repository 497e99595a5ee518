package config

import (
	"strings"
	"time"
)

// ProcessRole is the role of a process.
type ProcessRole string

// Roles of processes that have a settings file.
const (
	RoleEntry ProcessRole = "entry" // front proxy
	RoleSide  ProcessRole = "side"  // sidecar
)

// TraceExporter is the kind of destination for traces.
type TraceExporter string

// Trace exporters.
const (
	TraceNone TraceExporter = "none"
	TraceFile TraceExporter = "file" // Target is a file path
	TraceOTLP TraceExporter = "otlp" // Target is a URL
)

// LogLevel is the lowest severity of log lines that are written.
type LogLevel string

// Levels of log lines.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Settings is the parsed settings file of one process. The file is read once, at
// start.
type Settings struct {
	Process  ProcessSettings
	Platform PlatformSettings
	Backend  BackendSettings // sidecars only
	Log      LogLevel
	Trace    TraceSettings
}

// ProcessSettings holds the keys of section [process].
type ProcessSettings struct {
	Role       ProcessRole
	Instance   string // name in the instance list
	Service    string // service whose document applies to the process
	DataCentre string
	Listen     string        // IP:port of the wire protocol between processes
	HTTP       string        // IP:port for HTTP requests of callers; front proxies only
	Status     string        // IP:port of health checks, metrics and the status page
	DrainWait  time.Duration // time between reporting not ready and refusing new connections
	MemoryMB   int           // memory that the process may take, in MiB
	Sockets    int           // sockets that the process may have open
}

// PlatformSettings holds the keys of section [platform]: base URLs of the
// platform services.
type PlatformSettings struct {
	LogService   string
	InstanceList string
	WeightStore  string // empty if no group is served
}

// BackendSettings holds the keys of section [backend-server]: the backend server
// that a sidecar serves.
type BackendSettings struct {
	Name       string // NAME of its section in the document
	URL        string // base URL
	DataCentre string
}

// TraceSettings holds the keys of section [trace].
type TraceSettings struct {
	Exporter TraceExporter
	Target   string // path or URL, see the exporters; empty for TraceNone
}

// Bounds and defaults of settings.
const (
	maxDrainWait     = 10 * time.Minute
	defaultDrainWait = 5 * time.Second
	minMemoryMB      = 32
	maxMemoryMB      = 1 << 20
	defaultMemoryMB  = 1024
	minSockets       = 64
	maxSockets       = 1 << 20
	defaultSockets   = 16384
)

// ParseSettings parses and validates the settings file of a process. file is used
// in problems only. The error is a Problems.
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
		opened[title].reportUnknownKeys()
	}
	if err := c.problems.err(); err != nil {
		return nil, err
	}
	return st, nil
}

// settingsSections are the sections of a settings file.
var settingsSections = []string{"process", "platform", "backend-server", "log", "trace"}

// openSettings returns every section of a settings file by title, with an empty
// section for each one missing in the file.
func (c *checker) openSettings() map[string]*section {
	opened := map[string]*section{}
	for _, title := range settingsSections {
		opened[title] = c.emptySection(title)
	}
	for _, raw := range c.sections() {
		if opened[raw.Name()] == nil {
			c.addProblem(raw.Name(), "", raw.Name(), "a known section: "+strings.Join(settingsSections, ", "))
			continue
		}
		opened[raw.Name()] = c.openSection(raw, map[string]string{})
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
	p.MemoryMB = s.integer("memory-mb", optional, defaultMemoryMB, minMemoryMB, maxMemoryMB)
	p.Sockets = s.integer("sockets", optional, defaultSockets, minSockets, maxSockets)
	if p.Role == RoleEntry {
		p.HTTP = s.address("http", required)
	} else if _, given := s.unread["http"]; given {
		s.addProblem("http", s.address("http", optional), "no such key with role = side, since callers connect to processes with role = entry")
	}
	seen := map[string]string{}
	for _, a := range []struct{ key, value string }{{"listen", p.Listen}, {"http", p.HTTP}, {"status", p.Status}} {
		if other := seen[a.value]; a.value != "" && other != "" {
			s.addProblem(a.key, a.value, "an address other than that of "+other)
		}
		seen[a.value] = a.key
	}
}

func (c *checker) platform(s *section, p *PlatformSettings) {
	p.LogService = s.url("log-service", required)
	p.InstanceList = s.url("instance-list", required)
	p.WeightStore = s.url("weight-store", optional)
}

func (c *checker) backendSettings(s *section, st *Settings) {
	if st.Process.Role == RoleEntry {
		if len(s.unread) > 0 {
			c.addProblem(s.title, "", s.title, "no such section with role = entry")
			s.unread = nil
		}
		return
	}
	st.Backend.URL = s.url("url", required)
	st.Backend.Name = s.ident("name", optional)
	if st.Backend.Name == "" {
		st.Backend.Name = st.Process.Instance
	}
	st.Backend.DataCentre = s.ident("data-centre", optional)
	if st.Backend.DataCentre == "" {
		st.Backend.DataCentre = st.Process.DataCentre
	}
	if st.Backend.DataCentre != st.Process.DataCentre {
		s.addProblem("data-centre", st.Backend.DataCentre, "the data centre of the process, "+st.Process.DataCentre)
	}
}

func (c *checker) trace(s *section, t *TraceSettings) {
	t.Exporter = TraceExporter(s.choice("exporter", optional, string(TraceNone), string(TraceFile), string(TraceOTLP)))
	switch t.Exporter {
	case TraceOTLP:
		t.Target = s.url("target", required)
	case TraceFile:
		t.Target, _ = s.take("target", required, "a file path")
	default:
		if text, given := s.unread["target"]; given {
			s.take("target", optional, "")
			s.addProblem("target", text, "exporter = file or exporter = otlp, or no target")
		}
	}
}

// Package telemetry sets up the observability of a process: logs, traces, metrics,
// and the HTTP endpoints for health and metrics.
package telemetry

import (
	"io"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
)

// Identity identifies a process in logs and traces.
type Identity struct {
	Role       string // such as "entry" or "side"
	Instance   string
	DataCentre string
}

// NewLogger returns a logger that writes one logfmt line per event to w. level is
// "debug", "info", "warn" or "error". Error: level is unknown.
func NewLogger(w io.Writer, level string, id Identity) (*log.Logger, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "parse log level %q", level)
	}
	logger := log.NewWithOptions(w, log.Options{
		Formatter:       log.LogfmtFormatter,
		Level:           l,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
	})
	return logger.With("role", id.Role, "instance", id.Instance, "dc", id.DataCentre), nil
}

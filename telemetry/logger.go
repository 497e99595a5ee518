// Package telemetry sets up what a process shows of itself: log lines, traces,
// metrics, and the HTTP endpoints for health and metrics.
package telemetry

import (
	"io"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
)

// Identity names one process in logs and traces.
type Identity struct {
	Role       string // "entry" or "side"
	Instance   string
	DataCentre string
}

// NewLogger returns a logger that writes one logfmt line for each event.
// level is "debug", "info", "warn" or "error". Error: an unknown level.
func NewLogger(w io.Writer, level string, id Identity) (*log.Logger, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q", level)
	}
	logger := log.NewWithOptions(w, log.Options{
		Formatter:       log.LogfmtFormatter,
		Level:           l,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
	})
	return logger.With("role", id.Role, "instance", id.Instance, "dc", id.DataCentre), nil
}

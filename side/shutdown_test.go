package side

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/internal/node"
	"marjorampitch/logfold"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// heldConfig is a configuration whose document is read only once release is closed.
type heldConfig struct {
	node.ConfigView
	reading chan struct{} // receives a value when the document is to be read
	release chan struct{}
}

func (c *heldConfig) Document() *logfold.ActiveDocument {
	c.reading <- struct{}{}
	<-c.release
	return nil
}

// A shutdown does not end before a request that was received earlier is answered.
func TestShutdownWaitsForRequestBeingAccepted(t *testing.T) {
	config := &heldConfig{reading: make(chan struct{}), release: make(chan struct{})}
	s := New(Options{Config: config, Log: log.New(io.Discard), Metrics: telemetry.NewSideMetrics(telemetry.NewRegistry())})
	handled, ended := make(chan struct{}), make(chan error, 1)
	conn := closedConn(t)
	go func() {
		defer close(handled)
		s.Handle(conn, &wire.Request{RequestID: "r", Idempotent: true, BudgetMillis: 1000})
	}()
	<-config.reading
	go func() { ended <- s.Shutdown(context.Background()) }()
	select {
	case <-ended:
		require.Fail(t, "the shutdown ended before the request was answered")
	case <-time.After(5 * drainPollInterval):
	}
	close(config.release)
	<-handled
	require.NoError(t, <-ended)
}

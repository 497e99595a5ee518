package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/backing"
	"marjorampitch/internal/pipetest"
	"marjorampitch/telemetry"
)

// downLog is a log service that cannot be reached.
type downLog struct{ backing.Log }

func (downLog) Read(context.Context, string, backing.Offset, int, time.Duration) (backing.Batch, error) {
	return backing.Batch{}, backing.ErrUnavailable
}

func TestRequestReadAsShutdownClosesIdleConnectionsIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drainWait = time.Second
		s := New(Options{
			Config: noConfig{}, ClaimLog: downLog{}, Log: log.New(io.Discard),
			Metrics: telemetry.NewEntryMetrics(telemetry.NewRegistry()), DrainWait: drainWait,
		})
		ln := pipetest.NewListener()
		served := make(chan error, 1)
		go func() { served <- s.serveCallers(ln) }()
		client, server := ln.Dial()
		br := bufio.NewReader(client)
		call := func() (closed bool, err error) {
			if _, err := fmt.Fprint(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				return false, err
			}
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				return false, err
			}
			_, err = io.Copy(io.Discard, resp.Body)
			return resp.Close, err
		}
		_, err := call()
		require.NoError(t, err)
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		time.Sleep(drainWait - 50*time.Millisecond)
		server.Stall = 100 * time.Millisecond
		closed, err := call()
		client.Close()
		time.Sleep(10 * time.Minute)
		require.NoError(t, err)
		require.True(t, closed)
		require.NoError(t, <-served)
		require.NoError(t, <-stopped)
	})
}

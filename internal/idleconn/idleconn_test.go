package idleconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/internal/pipetest"
)

const (
	idleLimit   = 20 * time.Second
	headTimeout = 10 * time.Second
	request     = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
)

// serveInBubble runs test in virtual time against a server whose idle connections are
// ended once a second.
func serveInBubble(t *testing.T, h http.HandlerFunc, test func(t *testing.T, ln *pipetest.Listener, tracker *Tracker)) {
	synctest.Test(t, func(t *testing.T) {
		srv := &http.Server{Handler: h, ReadHeaderTimeout: headTimeout}
		tracker, ln := Track(srv, Options{}), pipetest.NewListener()
		go srv.Serve(tracker.Listener(ln))
		ctx, stop := context.WithCancel(context.Background())
		defer func() {
			stop()
			srv.Close()
			time.Sleep(10 * time.Minute) // goroutines end
		}()
		go func() {
			for ctx.Err() == nil {
				time.Sleep(time.Second)
				tracker.ExpireIdle(idleLimit)
			}
		}()
		test(t, ln, tracker)
	})
}

func readAnswer(t *testing.T, br *bufio.Reader) {
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
}

// Both requests come in one segment, so that no read belongs to the second one.
func TestPipelinedRequestOutlivesIdleLimit(t *testing.T) {
	cancelled := make(chan bool, 1)
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(5 * idleLimit)
			cancelled <- r.Context().Err() != nil
		}
		io.WriteString(w, "ok")
	}
	serveInBubble(t, handler, func(t *testing.T, ln *pipetest.Listener, _ *Tracker) {
		c, _ := ln.Dial()
		defer c.Close()
		go io.WriteString(c, "POST /fast HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\nPOST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		br := bufio.NewReader(c)
		readAnswer(t, br)
		readAnswer(t, br)
		require.False(t, <-cancelled, "the request that is being handled was cancelled by the idle limit")
	})
}

func TestHeadTimeoutOutlivesWithdrawnExpiry(t *testing.T) {
	serveInBubble(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, ln *pipetest.Listener, tracker *Tracker) {
		c, server := ln.Dial()
		defer c.Close()
		time.Sleep(headTimeout / 2)
		server.Stall = headTimeout / 10
		io.WriteString(c, "P")
		tracker.ExpireIdle(0)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*headTimeout)))
		_, err := io.ReadAll(c) // http.Server answers a part of a request line with 400
		require.NoError(t, err, "the connection is open still")
	})
}

func TestExpiredConnectionsAreForgotten(t *testing.T) {
	handler := func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }
	serveInBubble(t, handler, func(t *testing.T, ln *pipetest.Listener, tracker *Tracker) {
		for range 10 {
			c, _ := ln.Dial()
			io.WriteString(c, request)
			readAnswer(t, bufio.NewReader(c))
		}
		require.Equal(t, 10, tracker.Open())
		time.Sleep(idleLimit + 2*time.Second)
		require.Zero(t, tracker.Open())
	})
}

func TestRequestWaitingInSocketBufferIsRead(t *testing.T) {
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })}
	tracker := Track(srv, Options{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go srv.Serve(tracker.Listener(ln))
	defer srv.Close()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 50 {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		br := bufio.NewReader(c)
		io.WriteString(c, request)
		readAnswer(t, br)
		time.Sleep(time.Millisecond)
		io.WriteString(c, request)
		tracker.ExpireIdle(0)
		readAnswer(t, br)
		c.Close()
	}
}

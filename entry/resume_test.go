package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/internal/node"
	"marjorampitch/logfold"
	"marjorampitch/wire"
)

// brokenSide is a sidecar that closes the connection in the middle of the answer
// and refuses to resume it.
type brokenSide struct{}

func (brokenSide) Handle(c *wire.Conn, m wire.Message) {
	req, ok := m.(*wire.Request)
	if !ok {
		return
	}
	if req.ResumeFrom > 0 {
		c.Send(&wire.Refusal{Stream: req.Stream, Attempt: req.Attempt, Code: int(api.Leaving), Ran: uint8(api.NotRun)})
		return
	}
	c.Send(&wire.Head{Stream: req.Stream, Attempt: req.Attempt, Status: 200})
	c.Send(&wire.Chunk{Stream: req.Stream, Attempt: req.Attempt, Data: []byte("half")})
	c.CloseAfterFlush()
}

func (brokenSide) Closed(*wire.Conn, error) {}

func (brokenSide) NextHeartbeat(*wire.Conn) wire.Heartbeat { return wire.Heartbeat{} }

// noConfig is the view of a process without a service configuration.
type noConfig struct{ node.ConfigView }

func (noConfig) Document() *logfold.ActiveDocument { return nil }

func (noConfig) FillHeartbeat(*wire.Heartbeat) {}

func (noConfig) ReceiveHeartbeat(string, string, *wire.Heartbeat, time.Time) *wire.ConfigQuery {
	return nil
}

// startBrokenSide starts a brokenSide and returns its address.
func startBrokenSide(t *testing.T) string { return startSide(t, brokenSide{}, brokenSide{}) }

// startSide starts a sidecar that handles messages with h and returns its address.
func startSide(t *testing.T, h wire.Handler, b wire.HeartbeatSource) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			wire.Accept(nc, wire.Hello{Role: wire.RoleSide, Instance: "s1", Incarnation: "i1"}, h, b)
		}
	}()
	return ln.Addr().String()
}

// A claim may name a sidecar to which the front proxy has no link, because it is
// outside its subset. The table must then dial it, but not one that is not in the
// instance list.
func TestTableDialsUnlinkedSideOnDemand(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	table := newLinkTable("n1", node.New(wire.Hello{Role: wire.RoleEntry}, noConfig{}), log.New(io.Discard))
	list := []backing.Instance{{Name: "s1", Address: startBrokenSide(t), Role: listRoleSide}}
	table.update(ctx, &logfold.ActiveDocument{Doc: &config.Document{}}, list)
	require.Empty(t, table.links)
	require.Nil(t, table.getOrStart("s2"))
	l := table.getOrStart("s1")
	require.NotNil(t, l)
	require.Eventually(t, func() bool { return l.incarnation() == "i1" }, 10*time.Second, time.Millisecond)
	require.Same(t, l, table.getOrStart("s1"))
}

// When the connection is lost during an answer and the resume is refused as not
// run, the answer to the caller must not say that the request did not run.
func TestRefusedResumeReportsMayHaveRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	l := newLink("s1", startBrokenSide(t), "", node.New(wire.Hello{Role: wire.RoleEntry}, noConfig{}), log.New(io.Discard))
	go l.run(ctx)
	require.Eventually(t, func() bool { return l.incarnation() != "" }, 10*time.Second, time.Millisecond)
	r := &retryLoop{
		call:          &call{route: &config.Route{Idempotent: true}, deadline: time.Now().Add(10 * time.Second)},
		resp:          newResponse(httptest.NewRecorder(), "id"),
		asm:           newAssembler(),
		attemptNumber: 1,
	}
	out := r.sendWithResume(ctx, l)
	require.NotNil(t, out.err)
	require.Equal(t, api.MayHaveRun, out.err.Ran, out.err.Error())
}

// cuttingSide is a sidecar that cuts its first answer short and sends the next one
// whole. Both begin alike.
type cuttingSide struct {
	brokenSide
	answers *atomic.Int64
}

func (s cuttingSide) Handle(c *wire.Conn, m wire.Message) {
	req, ok := m.(*wire.Request)
	if !ok {
		return
	}
	n := s.answers.Add(1)
	c.Send(&wire.Head{Stream: req.Stream, Attempt: req.Attempt, Status: int(200 + n), Headers: []wire.Header{{Name: "X-Answer", Value: fmt.Sprint(n)}}})
	c.Send(&wire.Chunk{Stream: req.Stream, Attempt: req.Attempt, Data: []byte("ab")})
	if n == 1 {
		c.Send(&wire.Refusal{Stream: req.Stream, Attempt: req.Attempt, Code: int(api.BackendFailed), Ran: uint8(api.MayHaveRun)})
		return
	}
	c.Send(&wire.Chunk{Stream: req.Stream, Attempt: req.Attempt, Seq: 1, Data: []byte("cd")})
	c.Send(&wire.End{Stream: req.Stream, Attempt: req.Attempt, Count: 2})
}

// A buffered answer whose first attempt broke off is the whole answer of the second
// attempt: what the caller never saw must be delivered again.
func TestRetriedBufferedAnswerIsWhole(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	side := cuttingSide{answers: new(atomic.Int64)}
	l := newLink("s1", startSide(t, side, side), "", node.New(wire.Hello{Role: wire.RoleEntry}, noConfig{}), log.New(io.Discard))
	go l.run(ctx)
	require.Eventually(t, func() bool { return l.incarnation() != "" }, 10*time.Second, time.Millisecond)
	w := httptest.NewRecorder()
	r := &retryLoop{
		call: &call{route: &config.Route{Idempotent: true}, deadline: time.Now().Add(10 * time.Second)},
		resp: newResponse(w, "id"),
		asm:  newAssembler(),
	}
	for range 2 {
		r.beginAttempt()
		r.lastErr = r.sendWithResume(ctx, l).err
	}
	require.Nil(t, r.lastErr)
	require.NoError(t, r.resp.complete())
	require.Equal(t, "abcd", w.Body.String())
	require.Equal(t, 202, w.Code)
	require.Equal(t, []string{"2"}, w.Header().Values("X-Answer"))
}

// An event stream that the caller has begun to receive goes on after what was
// delivered.
func TestRetriedStreamContinues(t *testing.T) {
	asm := newAssembler()
	w := httptest.NewRecorder()
	r := &retryLoop{resp: newResponse(w, "id"), asm: asm}
	r.beginAttempt()
	r.resp.head(&wire.Head{Status: 200, Headers: []wire.Header{{Name: "Content-Type", Value: "text/event-stream"}}})
	deliver := func(attempt uint32, n int) {
		for _, data := range asm.add(&wire.Chunk{Attempt: attempt, Seq: uint64(n), Data: event(n, 0)}) {
			require.NoError(t, r.resp.write(data))
		}
	}
	deliver(1, 0)
	r.beginAttempt()
	deliver(2, 0)
	deliver(2, 1)
	require.Equal(t, string(event(0, 0))+string(event(1, 0)), w.Body.String())
}

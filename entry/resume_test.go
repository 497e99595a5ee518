package entry

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
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
func startBrokenSide(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			wire.Accept(nc, wire.Hello{Role: wire.RoleSide, Instance: "s1", Incarnation: "i1"}, brokenSide{}, brokenSide{})
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

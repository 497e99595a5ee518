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

// breaking is a side process that breaks off the first answer and refuses its resume.
type breaking struct{}

func (breaking) Handle(c *wire.Conn, m wire.Message) {
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

func (breaking) Closed(*wire.Conn, error) {}

func (breaking) NextHeartbeat(*wire.Conn) wire.Heartbeat { return wire.Heartbeat{} }

// noConfig is the view of a process without a document.
type noConfig struct{ node.ConfigView }

func (noConfig) Document() *logfold.ActiveDocument { return nil }

func (noConfig) FillHeartbeat(*wire.Heartbeat) {}

func (noConfig) ReceiveHeartbeat(string, string, *wire.Heartbeat, time.Time) *wire.ConfigQuery {
	return nil
}

// breakingSide starts one and returns its address.
func breakingSide(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			wire.Accept(nc, wire.Hello{Role: wire.RoleSide, Instance: "s1", Incarnation: "i1"}, breaking{}, breaking{})
		}
	}()
	return ln.Addr().String()
}

// A claim may name a side process that this entry has no link to.
func TestLinkOnDemand(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	table := newTable("n1", node.New(wire.Hello{Role: wire.RoleEntry}, noConfig{}), log.New(io.Discard))
	list := []backing.Instance{{Name: "s1", Address: breakingSide(t), Role: listRoleSide}}
	table.update(ctx, &logfold.ActiveDocument{Doc: &config.Document{}}, list)
	require.Empty(t, table.links)
	require.Nil(t, table.link("s2"))
	l := table.link("s1")
	require.NotNil(t, l)
	require.Eventually(t, func() bool { return l.incarnation() == "i1" }, 10*time.Second, time.Millisecond)
	require.Same(t, l, table.link("s1"))
}

// A request whose answer broke off has run, whatever is said of its resume.
func TestRefusedResumeIsNotNotRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	l := newLink("s1", breakingSide(t), "", node.New(wire.Hello{Role: wire.RoleEntry}, noConfig{}), log.New(io.Discard))
	go l.run(ctx)
	require.Eventually(t, func() bool { return l.incarnation() != "" }, 10*time.Second, time.Millisecond)
	r := &run{
		call:   &call{route: &config.Route{Idempotent: true}, deadline: time.Now().Add(10 * time.Second)},
		answer: newAnswer(httptest.NewRecorder(), "id"),
		parts:  newAssembler(),
		number: 1,
	}
	out := r.attempt(ctx, l)
	require.NotNil(t, out.err)
	require.Equal(t, api.MayHaveRun, out.err.Ran, out.err.Error())
}

package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/admit"
	"marjorampitch/config"
	"marjorampitch/internal/node"
	"marjorampitch/wire"
)

// connTo returns a connection to a peer with the given incarnation.
func connTo(t *testing.T, incarnation string) *wire.Conn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	n := node.New(wire.Hello{Incarnation: incarnation}, noConfig{})
	go func() {
		if nc, err := ln.Accept(); err == nil {
			wire.Accept(nc, n.Hello(), discardHandler{}, n)
		}
	}()
	c, err := wire.Dial(context.Background(), ln.Addr().String(), wire.Hello{}, discardHandler{}, n)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close(nil) })
	return c
}

// discardHandler ignores all messages.
type discardHandler struct{}

func (discardHandler) Handle(*wire.Conn, wire.Message) {}
func (discardHandler) Closed(*wire.Conn, error)        {}

// A lost connection counts as a crash at once. That of a trial leads to refusal
// only if the sidecar returns as another incarnation.
func TestLostSidesCountAsCrashes(t *testing.T) {
	n := node.New(wire.Hello{}, noConfig{})
	c := &call{fingerprint: 7}
	one := &link{name: "e1", node: n}
	two := &link{name: "e2", node: n}
	three := &link{name: "e3", node: n}

	one.recordCrash(connTo(t, "a"), c)
	require.Equal(t, admit.Run, n.Quarantine().Check(7))
	two.recordCrash(connTo(t, "b"), c)
	require.Equal(t, admit.RunAlone, n.Quarantine().Check(7))

	c.alone = true
	three.recordCrash(connTo(t, "c"), c)
	three.resolveTrial(connTo(t, "c"))
	require.Equal(t, admit.RunAlone, n.Quarantine().Check(7), "the sidecar is back as the same incarnation, so it did not crash")
	three.recordCrash(connTo(t, "c"), c)
	three.resolveTrial(connTo(t, "d"))
	require.Equal(t, admit.Refuse, n.Quarantine().Check(7))
}

// A sidecar that returns within reconnectTimeout has not crashed, even if the caller
// disconnects before.
func TestReturningSideIsNoCrashAfterCallerDisconnected(t *testing.T) {
	for name, c := range map[string]struct {
		returns bool
		want    admit.Verdict
	}{
		"returns": {true, admit.Run},
		"lost":    {false, admit.RunAlone},
	} {
		t.Run(name, func(t *testing.T) {
			n := node.New(wire.Hello{Role: wire.RoleEntry}, noConfig{})
			lost := []*wire.Conn{connTo(t, "a"), connTo(t, "b")}
			returned := []*wire.Conn{connTo(t, "a"), connTo(t, "b")}
			synctest.Test(t, func(t *testing.T) {
				request := &call{route: &config.Route{Idempotent: true}, deadline: time.Now().Add(time.Minute), fingerprint: 1}
				for i := range lost {
					l := newLink(fmt.Sprint("s", i), "", "", n, log.New(io.Discard))
					l.activate(lost[i])
					ctx, disconnect := context.WithCancel(context.Background())
					go func() {
						time.Sleep(time.Second)
						l.Closed(lost[i], io.EOF)
						time.Sleep(100 * time.Millisecond)
						disconnect()
						time.Sleep(100 * time.Millisecond)
						if c.returns {
							l.activate(returned[i])
						}
					}()
					r := &retryLoop{call: request, resp: newResponse(httptest.NewRecorder(), "id"), asm: newAssembler(), attemptNumber: 1}
					out := r.sendWithResume(ctx, l)
					require.NotNil(t, out.err)
				}
				time.Sleep(2 * reconnectTimeout)
				require.Equal(t, c.want, n.Quarantine().Check(request.fingerprint))
			})
		})
	}
}

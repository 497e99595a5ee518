package entry

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/admit"
	"marjorampitch/internal/node"
	"marjorampitch/wire"
)

// peerOf returns a connection whose peer is one incarnation of a side process.
func peerOf(t *testing.T, incarnation string) *wire.Conn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	n := node.New(wire.Hello{Incarnation: incarnation}, noConfig{})
	go func() {
		if nc, err := ln.Accept(); err == nil {
			wire.Accept(nc, n.Hello(), quiet{}, n)
		}
	}()
	c, err := wire.Dial(context.Background(), ln.Addr().String(), wire.Hello{}, quiet{}, n)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close(nil) })
	return c
}

// quiet is a handler of nothing.
type quiet struct{}

func (quiet) Handle(*wire.Conn, wire.Message) {}
func (quiet) Closed(*wire.Conn, error)        {}

func TestWitnessOfLostSides(t *testing.T) {
	n := node.New(wire.Hello{}, noConfig{})
	c := &call{fingerprint: 7}
	one := &link{name: "e1", node: n}
	two := &link{name: "e2", node: n}
	three := &link{name: "e3", node: n}

	one.witness(peerOf(t, "a"), c)
	require.Equal(t, admit.Run, n.Suspicion().Judge(7))
	two.witness(peerOf(t, "b"), c)
	require.Equal(t, admit.RunAlone, n.Suspicion().Judge(7))

	c.alone = true
	three.witness(peerOf(t, "c"), c)
	three.judgeTrial(peerOf(t, "c"))
	require.Equal(t, admit.RunAlone, n.Suspicion().Judge(7), "the network was cut, not the server lost")
	three.witness(peerOf(t, "c"), c)
	three.judgeTrial(peerOf(t, "d"))
	require.Equal(t, admit.Refuse, n.Suspicion().Judge(7))
}

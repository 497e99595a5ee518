package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// A group that stands still for a while is not taken for a silent connection
// because another group of the service goes on (found by a hunt on
// bryllupslyd-dk-grown, quiet-1 seed 825167132052: 40 streams cut).
func TestProgressIsOfOneGroup(t *testing.T) {
	s := newService("s", nil, log.New(io.Discard))
	s.began(time.Second, "a", time.Millisecond)
	s.event(3*time.Second, "b", time.Millisecond)
	require.True(t, s.progressed("b", 2*time.Second))
	require.False(t, s.progressed("a", 2*time.Second))
	s.event(4*time.Second, "a", time.Millisecond)
	require.True(t, s.progressed("a", 3*time.Second))
}

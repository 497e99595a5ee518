package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// A stalled group is not active because another group of the same service is.
// Otherwise its streams are taken for silent connections and aborted: 40 streams on
// a simulated day of bryllupslyd-dk-grown on the users' test bench (quiet-1 seed
// 825167132052).
func TestGroupActivityIsPerGroup(t *testing.T) {
	s := newService("s", nil, log.New(io.Discard))
	s.observeFirstEvent(time.Second, "a", time.Millisecond)
	s.observeGap(3*time.Second, "b", time.Millisecond)
	require.True(t, s.activeSince("b", 2*time.Second))
	require.False(t, s.activeSince("a", 2*time.Second))
	s.observeGap(4*time.Second, "a", time.Millisecond)
	require.True(t, s.activeSince("a", 3*time.Second))
}

package side

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/backing"
	"marjorampitch/config"
)

// A backend server that crashed is down until an answer that was asked for afterwards.
func TestCrashedServerIsDownUntilItAnswers(t *testing.T) {
	l := newLimiter(&config.Backend{Kind: config.KindEngine, MaxRunning: 4}, config.Limits{ColdStartLimit: 2})
	before := l.now()
	l.observe(before, &backing.EngineReport{Incarnation: "a"})
	require.False(t, l.isDown())
	time.Sleep(time.Millisecond)
	l.crashed("a")
	require.False(t, l.report().Down, "entries would pass it over before they know why")
	l.announced()
	require.True(t, l.report().Down)
	l.observe(before, &backing.EngineReport{Incarnation: "a"})
	require.True(t, l.isDown(), "the answer was asked for before the crash")
	l.observe(l.now(), &backing.EngineReport{Incarnation: "b"})
	require.False(t, l.isDown())
}

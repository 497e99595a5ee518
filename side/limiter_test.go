package side

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/backing"
	"marjorampitch/config"
)

// A crashed backend server stays down until it sends a report that was requested
// after the crash, and is reported as down only once the crash was announced.
func TestCrashedServerIsDownUntilNewerReport(t *testing.T) {
	l := newLimiter(&config.Backend{Kind: config.KindEngine, MaxRunning: 4}, config.Limits{ColdStartLimit: 2})
	before := l.now()
	l.observe(before, &backing.EngineReport{Incarnation: "a"})
	require.False(t, l.isDown())
	time.Sleep(time.Millisecond)
	l.recordCrash("a")
	require.False(t, l.report().Down, "must not be reported as down before the crash is announced")
	l.setCrashAnnounced()
	require.True(t, l.report().Down)
	l.observe(before, &backing.EngineReport{Incarnation: "a"})
	require.True(t, l.isDown(), "the report was requested before the crash")
	l.observe(l.now(), &backing.EngineReport{Incarnation: "b"})
	require.False(t, l.isDown())
}

package callerconn

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// However many connections yield, a line a second tells how many they were.
func TestYieldLogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := &YieldLog{Log: log.New(&out)}
		const perSecond, seconds = 1000, 3
		for range seconds * perSecond {
			l.Record(Yield{Peer: "127.0.0.1:1", Cause: YieldIdle})
			time.Sleep(time.Second / perSecond)
		}
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		require.Len(t, lines, seconds)
		require.Contains(t, lines[0], "count=1 ")
		require.Contains(t, lines[1], "count=1000 ")
	})
}

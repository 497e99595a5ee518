package callerconn

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// yieldLogInterval is the least time between two lines of a YieldLog.
const yieldLogInterval = time.Second

// YieldLog logs connections that have yielded: the first one at once, and then one line a
// second at most, however many there are. It is safe for concurrent use.
type YieldLog struct {
	Log *log.Logger

	mu     sync.Mutex // guards the fields below
	logged time.Time  // of the last line
	count  int        // since the last line
}

// Record logs a connection that has yielded.
func (l *YieldLog) Record(y Yield) {
	l.mu.Lock()
	l.count++
	count, now := l.count, time.Now()
	due := now.Sub(l.logged) >= yieldLogInterval
	if due {
		l.logged, l.count = now, 0
	}
	l.mu.Unlock()
	if due {
		l.Log.Warn("connections-yielded", "count", count, "last_caller", y.Peer, "last_cause", y.Cause)
	}
}

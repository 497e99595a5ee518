package telemetry

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against blocking on a reader that does not read: lines beyond the capacity
// are dropped, and their number is reported when the reader resumes.
func TestLogWriterDropsLinesWhenPipeIsFull(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	lw := NewLogWriter(w, 10, 1<<20)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const written = 1000 // more than the 64 lines that a pipe holds
	for range written {
		n, err := lw.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	seen := make(chan string)
	go func() {
		var all bytes.Buffer
		all.ReadFrom(r)
		seen <- all.String()
	}()
	for {
		if _, err := lw.Write([]byte("last\n")); err != nil || lw.dropped.Load() == 0 {
			break
		}
	}
	<-lw.Close()
	w.Close()
	out := <-seen
	require.Contains(t, out, "msg=lines-dropped")
	require.Less(t, strings.Count(out, string(line)), written)
}

// blockedWriter blocks its first write until released.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// Close ends a writer whose queue is full once its lines are written.
func TestLogWriterClosesWithFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		lw := NewLogWriter(out, 2, 1<<20)
		for range 5 {
			lw.Write([]byte("line\n"))
			synctest.Wait()
		}
		done := lw.Close()
		close(out.release)
		select {
		case <-done:
		case <-time.After(time.Minute):
			t.Fatal("not closed")
		}
		require.Equal(t, 3, strings.Count(out.String(), "line\n"), "one being written and two queued")
	})
}

// Lines are written complete and in order.
func TestLogWriterKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	lw := NewLogWriter(&out, 100, 1<<20)
	want := ""
	for i := range 50 {
		line := fmt.Sprintln("line", i)
		want += line
		lw.Write([]byte(line))
	}
	<-lw.Close()
	require.Equal(t, want, out.String())
}

// Lines of one kind beyond the limit per second are suppressed and counted; other
// kinds are not affected.
func TestLogWriterLimitsLinesPerKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		lw := NewLogWriter(&out, 1000, 5)
		line := func(kind string) {
			_, err := lw.Write([]byte("level=info msg=" + kind + " x=1\n"))
			require.NoError(t, err)
		}
		for range 12 {
			line("often")
		}
		line("seldom")
		time.Sleep(2 * time.Second)
		line("often")
		<-lw.Close()
		require.Equal(t, 6, strings.Count(out.String(), "msg=often"))
		require.Equal(t, 1, strings.Count(out.String(), "msg=seldom"))
		require.Equal(t, 1, strings.Count(out.String(), "msg=lines-limited kind=often count=7\n"))
	})
}

// Lines hold what callers send; those that wait are bounded in bytes, too.
func TestLogWriterCutsLongLines(t *testing.T) {
	var out bytes.Buffer
	w := NewLogWriter(&out, 10, 10)
	line := []byte("level=info msg=x request=" + strings.Repeat("y", 2*maxLineBytes) + "\n")
	_, err := w.Write(line)
	require.NoError(t, err)
	_, err = w.Write([]byte("level=info msg=x request=z\n"))
	require.NoError(t, err)
	<-w.Close()
	first, second, _ := strings.Cut(out.String(), "\n")
	require.Len(t, first+"\n", maxLineBytes)
	require.True(t, strings.HasSuffix(first+"\n", cutMark))
	require.Equal(t, "level=info msg=x request=z\n", second)
}

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

// A reader that never reads delays nobody: lines beyond the room are left out,
// and counted once the reader reads on.
func TestBoundedWithAFullPipe(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	b := NewLogWriter(w, 10, 1<<20)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const written = 1000 // a pipe holds 64 of them
	for range written {
		n, err := b.Write(line)
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
		if _, err := b.Write([]byte("last\n")); err != nil || b.dropped.Load() == 0 {
			break
		}
	}
	b.lines <- nil // there is room again sooner or later
	<-b.done
	w.Close()
	out := <-seen
	require.Contains(t, out, "msg=lines-dropped")
	require.Less(t, strings.Count(out, string(line)), written)
}

// Lines come out whole and in order.
func TestBoundedKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	b := NewLogWriter(&out, 100, 1<<20)
	want := ""
	for i := range 50 {
		line := fmt.Sprintln("line", i)
		want += line
		b.Write([]byte(line))
	}
	<-b.Close()
	require.Equal(t, want, out.String())
}

// Of one kind of line so many a second are let through, and the rest counted;
// other kinds are not touched.
func TestLinesOfAKindAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewLogWriter(&out, 1000, 5)
		line := func(kind string) {
			_, err := b.Write([]byte("level=info msg=" + kind + " x=1\n"))
			require.NoError(t, err)
		}
		for range 12 {
			line("often")
		}
		line("seldom")
		time.Sleep(2 * time.Second)
		line("often")
		<-b.Close()
		require.Equal(t, 6, strings.Count(out.String(), "msg=often"))
		require.Equal(t, 1, strings.Count(out.String(), "msg=seldom"))
		require.Equal(t, 1, strings.Count(out.String(), "msg=lines-limited kind=often count=7\n"))
	})
}

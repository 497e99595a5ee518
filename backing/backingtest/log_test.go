package backingtest_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/backing"
	"marjorampitch/backing/backingtest"
)

// logs returns a simulated log, and its clients by name: the log itself and an HTTP
// client.
func logs(t *testing.T) (*backingtest.Log, map[string]backing.Log) {
	l := backingtest.NewLog()
	srv := httptest.NewServer(l.Handler())
	t.Cleanup(srv.Close)
	return l, map[string]backing.Log{"direct": l, "http": backing.NewLogClient(srv.URL)}
}

func TestLogAppendAndRead(t *testing.T) {
	l, clients := logs(t)
	ctx := t.Context()
	for name, c := range clients {
		first, err := c.Append(ctx, name, [][]byte{[]byte("a"), []byte("b")})
		require.NoError(t, err)
		require.Equal(t, backing.Offset(0), first)
		first, err = c.Append(ctx, name, [][]byte{[]byte("c")})
		require.NoError(t, err)
		require.Equal(t, backing.Offset(2), first)

		batch, err := c.Read(ctx, name, 1, 10, 0)
		require.NoError(t, err)
		require.Equal(t, backing.Batch{
			Records: []backing.Record{{Offset: 1, Data: []byte("b")}, {Offset: 2, Data: []byte("c")}},
			End:     3,
		}, batch)

		l.Trim(name, 2)
		batch, err = c.Read(ctx, name, 1, 10, 0)
		require.ErrorIs(t, err, backing.ErrTrimmed)
		require.Equal(t, backing.Batch{Start: 2, End: 3}, batch)
	}
}

func TestLogReadWaits(t *testing.T) {
	_, clients := logs(t)
	for name, c := range clients {
		got := make(chan backing.Batch, 1)
		go func() {
			b, _ := c.Read(t.Context(), name, 0, 10, time.Minute)
			got <- b
		}()
		_, err := c.Append(t.Context(), name, [][]byte{[]byte("x")})
		require.NoError(t, err)
		require.Len(t, (<-got).Records, 1)
	}
}

// Each fault must give the error of its kind, and only a lost answer may leave the
// record stored: an append reported as refused must never be stored.
func TestLogFaults(t *testing.T) {
	l, clients := logs(t)
	cases := []struct {
		name   string
		faults backingtest.LogFaults
		want   error
		stored bool
	}{
		{"refuse", backingtest.LogFaults{Outage: backingtest.OutageRefuse}, backing.ErrRefused, false},
		{"break", backingtest.LogFaults{Outage: backingtest.OutageBreak}, backing.ErrUnknown, false},
		{"hang", backingtest.LogFaults{Outage: backingtest.OutageHang}, backing.ErrUnknown, false},
		{"lost", backingtest.LogFaults{LoseAnswers: 1}, backing.ErrUnknown, true},
	}
	for _, c := range cases {
		for kind, client := range clients {
			t.Run(c.name+"/"+kind, func(t *testing.T) {
				l.SetFaults(c.faults)
				ctx := t.Context()
				if c.faults.Outage == backingtest.OutageHang {
					short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
					defer cancel()
					ctx = short
				}
				_, err := client.Append(ctx, t.Name(), [][]byte{[]byte("x")})
				require.ErrorIs(t, err, c.want)
				if c.faults.Outage != backingtest.OutageNone {
					_, err = client.Read(ctx, t.Name(), 0, 1, 0)
					require.ErrorIs(t, err, backing.ErrUnavailable)
				}
				l.SetFaults(backingtest.LogFaults{})
				batch, err := client.Read(t.Context(), t.Name(), 0, 1, 0)
				require.NoError(t, err)
				require.Equal(t, c.stored, len(batch.Records) == 1)
			})
		}
	}
}

func TestLogLateAppendTakesEffect(t *testing.T) {
	l, clients := logs(t)
	for name, c := range clients {
		l.SetFaults(backingtest.LogFaults{LateAppends: 1, LateBy: backingtest.Duration(50 * time.Millisecond)})
		_, err := c.Append(t.Context(), name, [][]byte{[]byte("late")})
		require.ErrorIs(t, err, backing.ErrUnknown)
		first, err := c.Append(t.Context(), name, [][]byte{[]byte("next")})
		require.NoError(t, err)
		require.Equal(t, backing.Offset(0), first)
		batch, err := c.Read(t.Context(), name, 1, 1, time.Minute)
		require.NoError(t, err)
		require.Equal(t, []byte("late"), batch.Records[0].Data)
	}
}

func TestLogClientRefusedWithoutConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	c := backing.NewLogClient("http://" + address)
	_, err = c.Append(t.Context(), "s", [][]byte{[]byte("x")})
	require.ErrorIs(t, err, backing.ErrRefused)
}

func ExampleLog() {
	l := backingtest.NewLog()
	ctx := context.Background()
	_, _ = l.Append(ctx, "config", [][]byte{[]byte("first")})
	batch, _ := l.Read(ctx, "config", 0, 10, 0)
	fmt.Println(len(batch.Records), batch.End, string(batch.Records[0].Data))

	l.SetFaults(backingtest.LogFaults{LoseAnswers: 1})
	_, err := l.Append(ctx, "config", [][]byte{[]byte("second")})
	fmt.Println(err)
	batch, _ = l.Read(ctx, "config", 1, 10, 0)
	fmt.Println(string(batch.Records[0].Data))
	// Output:
	// 1 1 first
	// backing: outcome of append unknown
	// second
}

package entry

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/internal/node"
	"marjorampitch/wire"
)

// callersPerTest is the number of answers in tests of a select, which picks at
// random among the cases that are ready.
const callersPerTest = 40

// slowSink is a caller that takes 6 s to read each chunk.
type slowSink struct{}

func (slowSink) head(*wire.Head) {}
func (slowSink) write([]byte) error {
	time.Sleep(6 * time.Second)
	return nil
}

// pausedContext is the context of a request whose process is paused once, after
// it has begun to wait for messages; resumed is called at the end of the pause.
type pausedContext struct {
	context.Context
	resumed func()
}

func (c *pausedContext) Done() <-chan struct{} {
	if resumed := c.resumed; resumed != nil {
		c.resumed = nil
		time.Sleep(progressTimeout + time.Second)
		resumed()
	}
	return c.Context.Done()
}

func newTestStream(conn *wire.Conn) (*clientStream, *assembler) {
	l := newLink("s1", "", "", node.New(wire.Hello{}, nil), log.New(io.Discard))
	asm := newAssembler()
	asm.restart(1)
	return &clientStream{link: l, conn: conn, stream: 1, inbox: newInbox()}, asm
}

// An answer that arrives while a slow caller reads goes on.
func TestSlowCallerIsNoLackOfProgress(t *testing.T) {
	conn := connTo(t, "i1")
	synctest.Test(t, func(t *testing.T) {
		broken := 0
		for range callersPerTest {
			cs, asm := newTestStream(conn)
			cs.inbox.put(&wire.Chunk{Stream: 1, Attempt: 1, Seq: 0, Data: []byte("a")})
			cs.inbox.put(&wire.Chunk{Stream: 1, Attempt: 1, Seq: 1, Data: []byte("b")})
			go func() {
				time.Sleep(3 * time.Second)
				cs.inbox.put(&wire.End{Stream: 1, Attempt: 1, Count: 2})
			}()
			if out := receiveAnswer(context.Background(), cs, asm, slowSink{}); out.err != nil {
				broken++
			}
		}
		require.Zero(t, broken, "of %d answers", callersPerTest)
	})
}

// An answer that is in the inbox when the process has been paused is passed on.
func TestAnswerReceivedInPauseIsNoLackOfProgress(t *testing.T) {
	conn := connTo(t, "i1")
	synctest.Test(t, func(t *testing.T) {
		broken := 0
		for range callersPerTest {
			cs, asm := newTestStream(conn)
			ctx := &pausedContext{context.Background(), func() {
				cs.inbox.put(&wire.Chunk{Stream: 1, Attempt: 1, Seq: 0, Data: []byte("a")})
				cs.inbox.put(&wire.End{Stream: 1, Attempt: 1, Count: 1})
			}}
			if out := receiveAnswer(ctx, cs, asm, &bufferSink{}); out.err != nil {
				broken++
			}
		}
		require.Zero(t, broken, "of %d answers", callersPerTest)
	})
}

// An answer that is complete in the inbox when its deadline passes is delivered.
func TestCompleteAnswerIsDeliveredAtDeadline(t *testing.T) {
	conn := connTo(t, "i1")
	synctest.Test(t, func(t *testing.T) {
		lost, givenUp := 0, 0
		for range callersPerTest {
			deadline, cancel := context.WithTimeout(context.Background(), time.Second)
			cs, asm := newTestStream(conn)
			ctx := &pausedContext{deadline, func() {
				cs.inbox.put(&wire.Chunk{Stream: 1, Attempt: 1, Seq: 0, Data: []byte("a")})
				cs.inbox.put(&wire.End{Stream: 1, Attempt: 1, Count: 1})
			}}
			if out := receiveAnswer(ctx, cs, asm, &bufferSink{}); out.err != nil {
				lost++
			}
			cs, asm = newTestStream(conn)
			ctx = &pausedContext{deadline, func() {
				cs.inbox.put(&wire.Chunk{Stream: 1, Attempt: 1, Seq: 0, Data: []byte("a")})
			}}
			if out := receiveAnswer(ctx, cs, asm, &bufferSink{}); out.err != nil && out.err.Code == api.DeadlineExceeded {
				givenUp++
			}
			cancel()
		}
		require.Zero(t, lost, "of %d complete answers", callersPerTest)
		require.Equal(t, callersPerTest, givenUp, "incomplete answers")
	})
}

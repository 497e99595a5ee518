package entry

import (
	"sync"

	"marjorampitch/wire"
)

// inbox queues the messages of one stream between the connection's reader,
// which must not block, and the request's goroutine. The window that the
// entry granted bounds the bytes in it.
type inbox struct {
	mu       sync.Mutex
	messages []wire.Message
	lost     error         // set when the connection failed; no message follows
	ready    chan struct{} // holds a token when there is something to take
}

func newInbox() *inbox {
	return &inbox{ready: make(chan struct{}, 1)}
}

// put appends a message.
func (b *inbox) put(m wire.Message) {
	b.mu.Lock()
	b.messages = append(b.messages, m)
	b.mu.Unlock()
	b.wake()
}

// fail records that the connection is gone.
func (b *inbox) fail(err error) {
	b.mu.Lock()
	b.lost = err
	b.mu.Unlock()
	b.wake()
}

func (b *inbox) wake() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take returns and removes what is queued; lost is not nil when the
// connection failed after those messages.
func (b *inbox) take() (messages []wire.Message, lost error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	messages, b.messages = b.messages, nil
	return messages, b.lost
}

package entry

import (
	"sync"

	"marjorampitch/wire"
)

// inbox queues the messages of one stream between the connection's reader
// goroutine, which must not block, and the request's goroutine. Its size is
// bounded by the flow control window that the front proxy granted.
type inbox struct {
	mu       sync.Mutex
	messages []wire.Message
	connErr  error         // set when the connection was lost; no message follows
	ready    chan struct{} // holds an element if there is something to take
}

func newInbox() *inbox {
	return &inbox{ready: make(chan struct{}, 1)}
}

// put appends a message.
func (b *inbox) put(m wire.Message) {
	b.mu.Lock()
	b.messages = append(b.messages, m)
	b.mu.Unlock()
	b.signal()
}

// fail records the loss of the connection.
func (b *inbox) fail(err error) {
	b.mu.Lock()
	b.connErr = err
	b.mu.Unlock()
	b.signal()
}

func (b *inbox) signal() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take removes and returns the queued messages. connErr is not nil if the
// connection was lost after them.
func (b *inbox) take() (messages []wire.Message, connErr error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	messages, b.messages = b.messages, nil
	return messages, b.connErr
}

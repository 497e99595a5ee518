package idleconn

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Reading of the rest of a body that no handler has read.
const (
	// restWait is how long a response waits for it, so that the connection can be kept if
	// the body has been sent with the head.
	restWait = 20 * time.Millisecond
	// maxRest is the most bytes that are read for it.
	maxRest = 256 << 10
)

// SkipBody leaves the rest of a request's body unread. The response is the last one on the
// connection, which is closed so that the response can arrive. Without it, http.Server sends a response after it has read up to 256 KiB of
// the rest, however long that takes.
func SkipBody(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.mu.Lock()
		c.skipped = true
		c.mu.Unlock()
	}
	w.Header().Set("Connection", "close")
	http.NewResponseController(w).SetReadDeadline(longAgo) //nolint:errcheck // not supported by some writers of tests
}

// FinishBody reads the rest of a request's body if it is there, and otherwise skips it.
func FinishBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if r.Header.Get("Expect") == "" && control.SetReadDeadline(time.Now().Add(restWait)) == nil {
		if _, err := io.CopyN(io.Discard, r.Body, maxRest); errors.Is(err, io.EOF) {
			control.SetReadDeadline(time.Time{}) //nolint:errcheck // has been set before
			return
		}
	}
	SkipBody(w, r)
}

package idleconn

import "net/http"

// SkipBody leaves the rest of a request's body unread. The response is the last one on the
// connection. Without it, http.Server sends a response after it has read up to 256 KiB of
// the rest, however long that takes.
func SkipBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	http.NewResponseController(w).SetReadDeadline(longAgo) //nolint:errcheck // not supported by some writers of tests
}

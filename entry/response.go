package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// maxBufferedBytes bounds the responses that are buffered until they are
// complete. A longer one, or one for which there is no room, is forwarded as it arrives, and
// the request cannot be retried after that.
const maxBufferedBytes = 1 << 20

// callerWriteTimeout is how long one write to a caller may take.
const callerWriteTimeout = 10 * time.Second

// deadlineExtensionInterval is the minimum time between two extensions of the
// write deadline. A write may therefore begin with up to this much of
// callerWriteTimeout used up.
const deadlineExtensionInterval = time.Second

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code       int    `json:"code"`
	Name       string `json:"name"`
	Ran        string `json:"ran"`
	Message    string `json:"message"`
	RetryAfter int    `json:"retry_after_seconds,omitempty"`
	RequestID  string `json:"request_id"`
}

// response writes the HTTP response to one caller. Server-sent events are
// forwarded chunk by chunk. Any other response is buffered until it is complete,
// so that nothing of a failed attempt reaches the caller.
type response struct {
	w         http.ResponseWriter
	rc        *http.ResponseController
	requestID string
	servedBy  string
	attempts  int
	replayed  bool

	responseHead  *wire.Head // latest one received before the HTTP header was sent
	streaming     bool       // forward chunks as they arrive
	headerSent    bool
	buffered      bytes.Buffer
	held          *held               // from which the room for buffered is taken
	nextExtension time.Time           // the write deadline is not extended before this time
	lastWrite     time.Time           // of a chunk of a stream
	observeGap    func(time.Duration) // called with the time between two chunks of a stream; may be nil
}

func newResponse(w http.ResponseWriter, requestID string) *response {
	return &response{w: w, rc: http.NewResponseController(w), requestID: requestID}
}

// head implements sink. It has no effect once the HTTP header was sent.
func (r *response) head(h *wire.Head) {
	if r.headerSent {
		return
	}
	r.responseHead = h
	r.streaming = isEventStream(h.Headers)
}

// write implements sink.
func (r *response) write(data []byte) error {
	if !r.streaming && !r.headerSent {
		r.buffered.Write(data)
		if r.buffered.Len() <= maxBufferedBytes && r.held.reserve(bufferCopies*len(data)) {
			return nil
		}
		data = bytes.Clone(r.buffered.Bytes())
		r.buffered.Reset()
	}
	r.sendHeader()
	if d, ok := r.sinceLastWrite(time.Now()); ok && r.observeGap != nil {
		r.observeGap(d)
	}
	return r.flush(data)
}

// sinceLastWrite returns the time since the last chunk of a stream was written
// and records now as the time of the current one. ok is false for the first chunk.
func (r *response) sinceLastWrite(now time.Time) (d time.Duration, ok bool) {
	last := r.lastWrite
	r.lastWrite = now
	return now.Sub(last), !last.IsZero()
}

// flush writes data to the caller within the write deadline.
func (r *response) flush(data []byte) error {
	if err := r.extendWriteDeadline(time.Now()); err != nil {
		return err
	}
	if _, err := r.w.Write(data); err != nil {
		return err
	}
	return r.rc.Flush()
}

// clearWriteDeadline removes the write deadline from the connection, which may
// be reused by the caller's next request.
func (r *response) clearWriteDeadline() { r.rc.SetWriteDeadline(time.Time{}) }

// extendWriteDeadline extends the write deadline, at most once every
// deadlineExtensionInterval: setting it costs about as much as encoding one chunk.
func (r *response) extendWriteDeadline(now time.Time) error {
	if now.Before(r.nextExtension) {
		return nil
	}
	r.nextExtension = now.Add(deadlineExtensionInterval)
	err := r.rc.SetWriteDeadline(now.Add(callerWriteTimeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// startOver drops the head and the buffered bytes of an abandoned attempt. The HTTP
// header must not have been sent.
func (r *response) startOver() {
	r.buffered.Reset()
	r.responseHead, r.streaming = nil, false
}

// started reports whether the HTTP header was sent.
func (r *response) started() bool { return r.headerSent }

// sendHeader sends the status and headers of a successful response, once.
func (r *response) sendHeader() {
	if r.headerSent {
		return
	}
	r.headerSent = true
	h := r.w.Header()
	for _, field := range r.responseHead.Headers {
		h.Add(field.Name, field.Value)
	}
	r.setResult(api.OK, api.DidRun)
	h.Set(api.HeaderServedBy, r.servedBy)
	h.Set(api.HeaderAttempts, strconv.Itoa(r.attempts))
	if r.replayed {
		h.Set(api.HeaderReplayed, "true")
	}
	if !r.streaming {
		h.Set("Content-Length", strconv.Itoa(r.buffered.Len()))
		if r.buffered.Len() == 0 {
			h.Del("Content-Length")
		}
	}
	r.w.WriteHeader(r.responseHead.Status)
}

func (r *response) setResult(code api.Code, ran api.Ran) {
	h := r.w.Header()
	h.Set(api.HeaderResultCode, strconv.Itoa(int(code)))
	h.Set(api.HeaderRan, ran.String())
	h.Set(api.HeaderRequestID, r.requestID)
}

// complete sends the rest of a successful response.
func (r *response) complete() error {
	if r.responseHead == nil {
		r.responseHead = &wire.Head{Status: http.StatusOK}
	}
	r.sendHeader()
	return r.flush(r.buffered.Bytes())
}

// fail sends an error response. If part of a stream was sent, it sends an error
// event; if part of any other response was sent, it aborts the connection. A
// truncated response therefore never looks complete to the caller.
func (r *response) fail(e *api.Error) {
	body := r.errorBody(e)
	if !r.headerSent {
		r.sendError(e, body)
		return
	}
	if !r.streaming {
		panic(http.ErrAbortHandler)
	}
	event := fmt.Sprintf("event: error\ndata: %s\n\n", body)
	if r.flush([]byte(event)) != nil {
		panic(http.ErrAbortHandler)
	}
}

func (r *response) sendError(e *api.Error, body []byte) {
	r.headerSent = true
	h := r.w.Header()
	r.setResult(e.Code, e.Ran)
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderAttempts, strconv.Itoa(r.attempts))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(e.RetryAfter)))
	}
	r.w.WriteHeader(e.Code.Info().Status)
	r.flush(append(body, '\n'))
}

func (r *response) errorBody(e *api.Error) []byte {
	body, err := json.Marshal(errorBody{errorFields{
		Code:       int(e.Code),
		Name:       e.Code.Info().Name,
		Ran:        e.Ran.String(),
		Message:    e.Detail,
		RetryAfter: ceilSeconds(e.RetryAfter),
		RequestID:  r.requestID,
	}})
	if err != nil {
		return []byte(`{"error":{"code":901}}`)
	}
	return body
}

// ceilSeconds rounds d up to whole seconds, the unit of Retry-After.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

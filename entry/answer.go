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

// maxBuffered bounds the answers that are held until they are whole; a longer
// one is passed on as it arrives and cannot be retried after that.
const maxBuffered = 1 << 20

// callerWriteTimeout bounds how long a caller may take to accept one write.
const callerWriteTimeout = 10 * time.Second

// deadlineSlack is how much of callerWriteTimeout may have passed before a write begins.
const deadlineSlack = time.Second

// errorBody is the JSON body of a refusal or failure.
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

// answer writes one answer to a caller. A streamed answer is passed on chunk
// by chunk; any other is held until it is whole, so that an attempt that
// breaks off leaves no trace.
type answer struct {
	w         http.ResponseWriter
	rc        *http.ResponseController
	requestID string
	servedBy  string
	attempts  int
	replayed  bool

	first     *wire.Head // head of the first attempt that had one
	stream    bool       // pass on at once
	sent      bool       // the HTTP header has left
	buffered  bytes.Buffer
	extendAt  time.Time           // when the write deadline is moved next
	writtenAt time.Time           // when a part of a stream last left
	between   func(time.Duration) // takes the time between two parts of a stream; nil for none
}

func newAnswer(w http.ResponseWriter, requestID string) *answer {
	return &answer{w: w, rc: http.NewResponseController(w), requestID: requestID}
}

// head implements sink. Once the HTTP header has left, a later head changes nothing.
func (a *answer) head(h *wire.Head) {
	if a.sent {
		return
	}
	a.first = h
	a.stream = isEventStream(h.Headers)
}

// write implements sink.
func (a *answer) write(data []byte) error {
	if !a.stream && !a.sent {
		a.buffered.Write(data)
		if a.buffered.Len() <= maxBuffered {
			return nil
		}
		data = bytes.Clone(a.buffered.Bytes())
		a.buffered.Reset()
	}
	a.sendHeader()
	if d, ok := a.sinceLast(time.Now()); ok && a.between != nil {
		a.between(d)
	}
	return a.flush(data)
}

// sinceLast returns the time since a part of a stream last left, and notes
// that one leaves now; ok is false for the first.
func (a *answer) sinceLast(now time.Time) (d time.Duration, ok bool) {
	last := a.writtenAt
	a.writtenAt = now
	return now.Sub(last), !last.IsZero()
}

// flush passes bytes on to the caller, who must accept them in time.
func (a *answer) flush(data []byte) error {
	if err := a.extendDeadline(time.Now()); err != nil {
		return err
	}
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	return a.rc.Flush()
}

// release lifts the last write's deadline from the connection, which other
// requests may use next.
func (a *answer) release() { a.rc.SetWriteDeadline(time.Time{}) }

// extendDeadline moves the write deadline, which costs about as much as
// encoding a token, once it has come nearer by deadlineSlack.
func (a *answer) extendDeadline(now time.Time) error {
	if now.Before(a.extendAt) {
		return nil
	}
	a.extendAt = now.Add(deadlineSlack)
	err := a.rc.SetWriteDeadline(now.Add(callerWriteTimeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// discard drops what an attempt that will not be continued left in the buffer.
func (a *answer) discard() { a.buffered.Reset() }

// begun reports whether the caller has received any part of the answer.
func (a *answer) begun() bool { return a.sent }

// sendHeader sends the status and headers of a good answer, once.
func (a *answer) sendHeader() {
	if a.sent {
		return
	}
	a.sent = true
	h := a.w.Header()
	for _, field := range a.first.Headers {
		h.Add(field.Name, field.Value)
	}
	a.setResult(api.OK, api.DidRun)
	h.Set(api.HeaderServedBy, a.servedBy)
	h.Set(api.HeaderAttempts, strconv.Itoa(a.attempts))
	if a.replayed {
		h.Set(api.HeaderReplayed, "true")
	}
	if !a.stream {
		h.Set("Content-Length", strconv.Itoa(a.buffered.Len()))
		if a.buffered.Len() == 0 {
			h.Del("Content-Length")
		}
	}
	a.w.WriteHeader(a.first.Status)
}

func (a *answer) setResult(code api.Code, ran api.Ran) {
	h := a.w.Header()
	h.Set(api.HeaderResultCode, strconv.Itoa(int(code)))
	h.Set(api.HeaderRan, ran.String())
	h.Set(api.HeaderRequestID, a.requestID)
}

// complete finishes a whole answer.
func (a *answer) complete() error {
	if a.first == nil {
		a.first = &wire.Head{Status: http.StatusOK}
	}
	a.sendHeader()
	return a.flush(a.buffered.Bytes())
}

// fail sends the final answer of a request that got no whole one. After part
// of a stream has left, it is an explicit error event; after part of any other
// answer, the connection is aborted: there is never a clean end.
func (a *answer) fail(e *api.Error) {
	body := a.errorBody(e)
	if !a.sent {
		a.sendError(e, body)
		return
	}
	if !a.stream {
		panic(http.ErrAbortHandler)
	}
	event := fmt.Sprintf("event: error\ndata: %s\n\n", body)
	if a.flush([]byte(event)) != nil {
		panic(http.ErrAbortHandler)
	}
}

func (a *answer) sendError(e *api.Error, body []byte) {
	a.sent = true
	h := a.w.Header()
	a.setResult(e.Code, e.Ran)
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderAttempts, strconv.Itoa(a.attempts))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds(e.RetryAfter)))
	}
	a.w.WriteHeader(e.Code.Info().Status)
	a.flush(append(body, '\n'))
}

func (a *answer) errorBody(e *api.Error) []byte {
	body, err := json.Marshal(errorBody{errorFields{
		Code:       int(e.Code),
		Name:       e.Code.Info().Name,
		Ran:        e.Ran.String(),
		Message:    e.Detail,
		RetryAfter: seconds(e.RetryAfter),
		RequestID:  a.requestID,
	}})
	if err != nil {
		return []byte(`{"error":{"code":901}}`)
	}
	return body
}

// seconds rounds up to the whole seconds that Retry-After is given in.
func seconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

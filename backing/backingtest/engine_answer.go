package backingtest

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"marjorampitch/api"
)

// Object types and finish reason of chat completions.
const (
	objectAnswer = "chat.completion"
	objectChunk  = "chat.completion.chunk"
	finishStop   = "stop"
)

// nextToken returns the number of the next token. At the end of the answer, ok and
// gone are false; gone is true if the caller disconnected or the engine crashed.
func (e *Engine) nextToken(r *http.Request, s *sequence) (n int, ok, gone bool) {
	select {
	case n, ok = <-s.tokens:
		return n, ok, false
	case <-s.broken:
		return 0, false, true
	case <-r.Context().Done():
		return 0, false, true
	}
}

// stream sends the answer as server-sent events, one for each token.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req *ChatRequest, s *sequence) {
	out := newEventStream(w, r, req)
	hash := xxhash.Sum64String(s.prompt)
	for sent := 0; ; sent++ {
		n, ok, gone := e.nextToken(r, s)
		if limit := e.Faults().BreakAfter; gone || limit > 0 && sent >= limit {
			abort()
		}
		if !ok {
			out.finish()
			return
		}
		out.send(ChatChoice{Delta: &ChatDelta{Content: token(hash, n)}})
	}
}

// eventStream writes the events of one streamed answer.
type eventStream struct {
	w    http.ResponseWriter
	part ChatResponse
	buf  []byte
}

func newEventStream(w http.ResponseWriter, r *http.Request, req *ChatRequest) *eventStream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	id := "chatcmpl-" + r.Header.Get(api.HeaderRequestID)
	return &eventStream{w: w, part: ChatResponse{ID: id, Object: objectChunk, Model: req.Model}}
}

// send writes one event. It aborts the request if the write fails.
func (s *eventStream) send(choice ChatChoice) {
	s.part.Choices = []ChatChoice{choice}
	body, err := json.Marshal(&s.part)
	if err != nil {
		abort()
	}
	s.write(body)
}

func (s *eventStream) write(data []byte) {
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, "\n\n"...)
	if _, err := s.w.Write(s.buf); err != nil {
		abort()
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		abort()
	}
}

// finish ends a complete answer.
func (s *eventStream) finish() {
	stop := finishStop
	s.send(ChatChoice{Delta: &ChatDelta{}, FinishReason: &stop})
	s.write([]byte("[DONE]"))
}

// answer sends the answer in one response.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, req *ChatRequest, s *sequence) {
	var text strings.Builder
	hash := xxhash.Sum64String(s.prompt)
	count := 0
	for {
		n, ok, gone := e.nextToken(r, s)
		if gone {
			abort()
		}
		if !ok {
			break
		}
		text.WriteString(token(hash, n))
		count++
	}
	stop := finishStop
	message := &ChatMessage{Role: "assistant", Content: text.String()}
	writeJSON(w, http.StatusOK, ChatResponse{
		ID:      "chatcmpl-" + r.Header.Get(api.HeaderRequestID),
		Object:  objectAnswer,
		Model:   req.Model,
		Choices: []ChatChoice{{Message: message, FinishReason: &stop}},
		Usage:   &ChatUsage{CompletionTokens: count},
	})
}

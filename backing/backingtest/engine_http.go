package backingtest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"marjorampitch/api"
	"marjorampitch/backing"
)

const (
	maxTokens = 100_000
	// HeaderResumeFrom is the number of the first token that a chat completion should return.
	HeaderResumeFrom = "X-Resume-From"
)

// ChatMessage is one message of a chat completion request.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the part of the body of POST /v1/chat/completions that is used.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Priority  int           `json:"priority,omitempty"` // lower numbers run first
}

// Prompt returns the text that determines the answer: all messages, joined by
// newlines.
func (r *ChatRequest) Prompt() string {
	parts := make([]string, 0, len(r.Messages))
	for _, m := range r.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

// ChatChoice is the only choice in a response or in an event of a streamed response.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatDelta is the text that an event of a streamed response adds.
type ChatDelta struct {
	Content string `json:"content"`
}

// ChatUsage is the token count of a response.
type ChatUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// ChatResponse is a chat completion, or one event of a streamed one.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *ChatUsage   `json:"usage,omitempty"`
}

// EngineEvent is the body of POST /events, which triggers a one-time event.
type EngineEvent struct {
	Event string `json:"event"` // "crash" or "turn-cold"
}

// Handler serves chat completions, /load, /orders, /stats, /faults and /events.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /orders", e.serveState)
	mux.HandleFunc("POST /events", e.serveEvent)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Stats())
	})
	serveFaults(mux, e.Faults, e.SetFaults)
	return mux
}

// awaitUp waits while the engine is frozen, as with a stopped process, and closes the
// connection while it is down, as with a crashed process.
func (e *Engine) awaitUp(r *http.Request) {
	for {
		e.mu.Lock()
		frozen, down, changed := e.faults.Freeze, e.down(), e.changed
		e.mu.Unlock()
		if down {
			abort()
		}
		if !frozen {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			abort()
		}
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	e.awaitUp(r)
	if e.Faults().LoadOutage {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, e.reportTo(r.RemoteAddr))
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	e.awaitUp(r)
	var o backing.EngineOrder
	if !readJSON(w, r, &o) {
		return
	}
	state, err := e.Order(o)
	if err != nil {
		writeJSON(w, http.StatusConflict, state)
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	e.awaitUp(r)
	writeJSON(w, http.StatusOK, e.RankState())
}

func (e *Engine) serveEvent(w http.ResponseWriter, r *http.Request) {
	var event EngineEvent
	if !readJSON(w, r, &event) {
		return
	}
	switch event.Event {
	case "crash":
		e.Crash()
	case "turn-cold":
		e.TurnCold()
	default:
		http.Error(w, "event: want crash or turn-cold", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveChat executes one chat completion.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	e.awaitUp(r)
	var req ChatRequest
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	from, total, ok := e.tokenRange(w, r, &req)
	if !ok {
		return
	}
	session := r.Header.Get(api.HeaderSession)
	s := newSequence(req.Prompt(), session, req.Priority, from, total)
	run := EngineRun{
		RequestID:   r.Header.Get(api.HeaderRequestID),
		Key:         r.Header.Get(api.HeaderIdempotencyKey),
		Session:     session,
		TraceParent: r.Header.Get("Traceparent"),
		From:        from,
	}
	if !e.submit(s, run) {
		abort()
	}
	defer e.cancel(s)
	if req.Stream {
		e.stream(w, r, &req, s)
		return
	}
	e.answer(w, r, &req, s)
}

// tokenRange returns the range of the requested tokens: from the number from up to, but
// not including, total. If the request is invalid, it responds and returns false.
func (e *Engine) tokenRange(w http.ResponseWriter, r *http.Request, req *ChatRequest) (from, total int, ok bool) {
	total = e.opts.Tokens
	if req.MaxTokens > 0 {
		total = min(req.MaxTokens, maxTokens)
	}
	if text := r.Header.Get(HeaderResumeFrom); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > total {
			http.Error(w, HeaderResumeFrom+": want a token number", http.StatusBadRequest)
			return 0, 0, false
		}
		from = n
	}
	return from, total, true
}

package scenario

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"marjorampitch/api"
	"marjorampitch/backing/backingtest"
)

// Kinds of calls; any other kind is the path of an action, such as "deposits".
const (
	kindChat   = "chat"
	kindLookUp = "availability"
)

// Outcome says what became of a call, as its caller sees it.
type Outcome string

// Outcomes of a call.
const (
	Whole   Outcome = "whole"   // the whole answer to this request
	Refused Outcome = "refused" // a refusal that says "not run"
	Failed  Outcome = "failed"  // an explicit error that says "may have run" or "ran"
	Cut     Outcome = "cut"     // the connection broke
	Wrong   Outcome = "wrong"   // an answer that seems whole and isn't this request's
	Gone    Outcome = "gone"    // the caller itself went away
)

// Call is one request of a caller.
type Call struct {
	Kind   string
	Tokens int    // length of a chat's answer
	Key    string // idempotency key of an action
	Body   string // of an action
	Prompt string // of a chat; made unique when empty
	Leave  int    // go away after this many tokens; 0: never
	Entry  string // the only entry to use; empty: as the balancer gives
	Turn   int    // of the balancer
}

// Result is what became of a Call.
type Result struct {
	Outcome  Outcome
	Entry    string
	Status   int
	Code     api.Code
	Ran      string
	ServedBy string
	Replayed bool
	Text     string // answer of an action
	Detail   string
}

// callClient keeps connections, as callers do. Like theirs, it may send a
// request with an idempotency key again when a connection that it reused fails.
var callClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// Do makes the call through the first entry of the rotation that is ready and
// accepts a connection.
func (w *World) Do(ctx context.Context, c Call) Result {
	if c.Kind == kindChat && c.Prompt == "" {
		c.Prompt = "prompt " + uuid.NewString()
	}
	for _, d := range w.rotation(c.Turn) {
		if c.Entry != "" && d.name != c.Entry || c.Entry == "" && !d.ready() {
			continue
		}
		res, sent := d.do(ctx, c)
		if sent || c.Entry != "" {
			res.Entry = d.name
			return res
		}
	}
	return Result{Outcome: Refused, Ran: api.NotRun.String(), Detail: "no entry is ready"}
}

// do makes the call through one entry; sent is false when no connection could be had.
func (d *daemon) do(ctx context.Context, c Call) (res Result, sent bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := c.request(ctx, "http://"+d.http)
	if err != nil {
		return Result{Outcome: Cut, Detail: err.Error()}, true
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	resp, err := callClient.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return Result{Outcome: Cut, Detail: err.Error()}, connected
	}
	defer resp.Body.Close()
	code, _ := strconv.Atoi(resp.Header.Get(api.HeaderResultCode))
	res = Result{
		Status:   resp.StatusCode,
		Code:     api.Code(code),
		Ran:      resp.Header.Get(api.HeaderRan),
		ServedBy: resp.Header.Get(api.HeaderServedBy),
		Replayed: resp.Header.Get(api.HeaderReplayed) == "true",
	}
	switch {
	case res.Code != api.OK || resp.Header.Get(api.HeaderResultCode) == "":
		res.refusal(resp)
	case c.Kind == kindChat:
		res.stream(resp.Body, c)
	default:
		res.whole(resp.Body)
	}
	return res, true
}

// request makes the HTTP request of a call.
func (c *Call) request(ctx context.Context, base string) (*http.Request, error) {
	method, path, body := http.MethodPost, "/"+c.Kind, []byte(c.Body)
	switch c.Kind {
	case kindChat:
		path = "/v1/chat/completions"
		body = c.chatBody()
	case kindLookUp:
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(api.HeaderOrganisation, organisation)
	req.Header.Set("Content-Type", "application/json")
	if c.Key != "" {
		req.Header.Set(api.HeaderIdempotencyKey, c.Key)
	}
	return req, nil
}

func (c *Call) chatBody() []byte {
	body, err := json.Marshal(backingtest.ChatRequest{
		Model:     model,
		Messages:  []backingtest.ChatMessage{{Role: "user", Content: c.Prompt}},
		Stream:    true,
		MaxTokens: c.Tokens,
	})
	if err != nil {
		panic(err) // the type has no value that can't be encoded
	}
	return body
}

// refusal reads an answer that carries an error.
func (r *Result) refusal(resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	r.Detail = string(body)
	r.Outcome = Failed
	if err != nil {
		r.Outcome = Cut
	} else if r.Ran == api.NotRun.String() {
		r.Outcome = Refused
	}
}

// whole reads the answer of an action or a look-up.
func (r *Result) whole(body io.Reader) {
	text, err := io.ReadAll(body)
	r.Text = string(text)
	r.Outcome = Whole
	if err != nil {
		r.Outcome = Cut
		r.Detail = err.Error()
	}
}

// stream reads a streamed answer and compares it with the one that the prompt has.
func (r *Result) stream(body io.Reader, c Call) {
	got, end := readEvents(bufio.NewReader(body), c.Leave)
	want := backingtest.AnswerText(c.Prompt, c.Tokens)
	r.Outcome = end
	if end == Whole && got != want || !strings.HasPrefix(want, got) {
		r.Outcome = Wrong
		r.Detail = "got " + strconv.Quote(got) + ", want " + strconv.Quote(want)
	}
}

// readEvents returns the text of a stream of events and how it ended. It goes
// away after leave tokens, if leave isn't 0.
func readEvents(body *bufio.Reader, leave int) (text string, end Outcome) {
	var b strings.Builder
	for tokens := 0; ; {
		line, err := body.ReadString('\n')
		if err != nil {
			return b.String(), Cut
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), Whole
		}
		var part backingtest.ChatResponse
		if json.Unmarshal([]byte(data), &part) != nil || len(part.Choices) == 0 {
			return b.String(), Failed
		}
		b.WriteString(part.Choices[0].Delta.Content)
		if tokens++; tokens == leave {
			return b.String(), Gone
		}
	}
}

// newKey returns an idempotency key that was born now.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

const retryPause = 20 * time.Millisecond

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

// Kinds of calls with special handling. Any other kind is the path of an action,
// such as "deposits".
const (
	kindChat   = "chat"
	kindLookUp = "availability"
)

// Outcome is the result of a call as its caller observes it.
type Outcome string

// Outcomes of a call.
const (
	Whole   Outcome = "whole"   // a complete answer; for a chat, with the expected text
	Refused Outcome = "refused" // an error that says "not run"
	Failed  Outcome = "failed"  // an error that says "may have run" or "ran"
	Cut     Outcome = "cut"     // the connection broke
	Wrong   Outcome = "wrong"   // a chat with a text that is not the expected one or, if incomplete, not its beginning
	Gone    Outcome = "gone"    // the caller disconnected
)

// Call describes one request of a caller.
type Call struct {
	Kind       string
	Tokens     int    // length of the answer to a chat
	Key        string // idempotency key of an action
	Body       string // of an action
	Prompt     string // of a chat; empty for a unique one
	LeaveAfter int    // disconnect after this many tokens; 0 for never
	Entry      string // the only entry to use; empty for the next in rotation
	Turn       int    // position in the rotation of the entries
}

// Result describes how a Call ended: its outcome and the parts of the answer that
// scenarios check.
type Result struct {
	Outcome    Outcome
	Entry      string
	Status     int
	Code       api.Code
	Ran        string
	RetryAfter time.Duration // 0 if the answer states none
	ServedBy   string
	Replayed   bool
	Text       string // answer to an action or a look-up
	Detail     string
}

// callClient keeps idle connections, as the HTTP clients of real callers do. Like
// them, it may resend a request with an idempotency key if a reused connection
// fails.
var callClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// Do sends the call to the first entry in rotation that is ready and accepts a
// connection, or to c.Entry if it is set. It is safe for concurrent use.
func (tb *Testbed) Do(ctx context.Context, c Call) Result {
	if c.Kind == kindChat && c.Prompt == "" {
		c.Prompt = "prompt " + uuid.NewString()
	}
	for _, d := range tb.rotation(c.Turn) {
		if c.Entry != "" && d.name != c.Entry || c.Entry == "" && !d.ready() {
			continue
		}
		res, sent := d.do(ctx, c)
		if sent || c.Entry != "" {
			res.Entry = d.name
			return res
		}
	}
	return Result{Outcome: Refused, Ran: api.NotRun.String(), Detail: "no entry is ready and accepts connections"}
}

// do sends the call to one entry; sent is false if no connection was established.
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
	retryAfter, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	res = Result{
		Status:     resp.StatusCode,
		Code:       api.Code(code),
		Ran:        resp.Header.Get(api.HeaderRan),
		RetryAfter: time.Duration(retryAfter) * time.Second,
		ServedBy:   resp.Header.Get(api.HeaderServedBy),
		Replayed:   resp.Header.Get(api.HeaderReplayed) == "true",
	}
	switch {
	case res.Code != api.OK || resp.Header.Get(api.HeaderResultCode) == "":
		res.readError(resp)
	case c.Kind == kindChat:
		res.readStream(resp.Body, c)
	default:
		res.readAnswer(resp.Body)
	}
	return res, true
}

// request returns the HTTP request of a call.
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

// chatBody returns the body of a chat request.
func (c *Call) chatBody() []byte {
	body, err := json.Marshal(backingtest.ChatRequest{
		Model:     model,
		Messages:  []backingtest.ChatMessage{{Role: "user", Content: c.Prompt}},
		Stream:    true,
		MaxTokens: c.Tokens,
	})
	if err != nil {
		panic(err) // every value of the type can be encoded
	}
	return body
}

// readError reads an answer that carries an error.
func (r *Result) readError(resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	r.Detail = string(body)
	r.Outcome = Failed
	if err != nil {
		r.Outcome = Cut
	} else if r.Ran == api.NotRun.String() {
		r.Outcome = Refused
	}
}

// readAnswer reads the answer to an action or a look-up.
func (r *Result) readAnswer(body io.Reader) {
	text, err := io.ReadAll(body)
	r.Text = string(text)
	r.Outcome = Whole
	if err != nil {
		r.Outcome = Cut
		r.Detail = err.Error()
	}
}

// readStream reads a streamed answer and compares it with the one expected for
// the prompt.
func (r *Result) readStream(body io.Reader, c Call) {
	got, end := readEvents(bufio.NewReader(body), c.LeaveAfter)
	want := backingtest.AnswerText(c.Prompt, c.Tokens)
	r.Outcome = end
	if end == Whole && got != want || !strings.HasPrefix(want, got) {
		r.Outcome = Wrong
		r.Detail = "got " + strconv.Quote(got) + ", want " + strconv.Quote(want)
	}
}

// readEvents returns the text of a stream of events and how it ended. It stops
// reading after leaveAfter tokens unless that is 0.
func readEvents(body *bufio.Reader, leaveAfter int) (text string, end Outcome) {
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
		if tokens++; tokens == leaveAfter {
			return b.String(), Gone
		}
	}
}

// newIdempotencyKey returns a new idempotency key with the current time.
func newIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

// retryPause is the pause of a caller after a refused call.
const retryPause = 20 * time.Millisecond

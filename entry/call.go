package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"marjorampitch/api"
	"marjorampitch/config"
	"marjorampitch/internal/callerconn"
	"marjorampitch/internal/idleconn"
	"marjorampitch/route"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// prefixBytes is the length of the prompt prefix that is hashed if a request
// names no session.
const prefixBytes = 256

// call is a parsed request.
type call struct {
	id           string
	route        *config.Route
	method       string
	path         string // including the query
	headers      []wire.Header
	body         []byte
	organisation string
	session      string
	priority     api.Priority
	model        string
	streaming    bool // the response is requested as server-sent events
	key          string
	fingerprint  uint64
	prefix       uint64 // hash that is equal for requests with a shared prompt prefix
	deadline     time.Time
	configOffset int64
	alone        bool // the quarantine verdict is admit.RunAlone: suspected of crashing backend servers
}

// chatFields holds the fields of a chat completion request that routing depends on.
type chatFields struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// parse reads and validates a request against the active service configuration,
// which is the one at offset of the configuration log. The call is never nil;
// if there is an error, it holds the fields parsed so far.
func parse(r *http.Request, doc *config.Document, offset int64, now time.Time) (*call, *api.Error) {
	c := &call{
		id:           requestID(r),
		method:       r.Method,
		path:         r.URL.RequestURI(),
		organisation: r.Header.Get(api.HeaderOrganisation),
		session:      r.Header.Get(api.HeaderSession),
		key:          r.Header.Get(api.HeaderIdempotencyKey),
		configOffset: offset,
	}
	c.route = doc.Route(r.URL.Path)
	if c.route == nil {
		return c, api.NewError(api.UnknownRoute, r.URL.Path)
	}
	if e := c.parseHeaders(r, doc, now); e != nil {
		return c, e
	}
	if e := c.readBody(r); e != nil {
		return c, e
	}
	if e := c.parseChat(doc); e != nil {
		return c, e
	}
	c.fingerprint = c.contentHash()
	return c, nil
}

// requestID returns a unique id for a request. It begins with the caller's own
// id, if that can be logged safely. The generated suffix keeps two requests with
// the same caller's id apart.
func requestID(r *http.Request) string {
	id := uuid.NewString()
	callerID := r.Header.Get(api.HeaderRequestID)
	if callerID == "" || len(callerID) > api.MaxRequestIDLen || strings.ContainsFunc(callerID, unprintable) {
		return id
	}
	return callerID + "." + id
}

func unprintable(r rune) bool { return r <= ' ' || r > '~' || r == '"' }

func (c *call) parseHeaders(r *http.Request, doc *config.Document, now time.Time) *api.Error {
	for _, value := range []string{c.organisation, c.session, c.key} {
		if len(value) > api.MaxNameBytes {
			return api.NewError(api.HeaderTooLarge, "organisation, session or key")
		}
	}
	if doc.Organisation(c.organisation) == nil {
		return api.NewError(api.UnknownOrganisation, c.organisation)
	}
	priority, ok := api.ParsePriority(r.Header.Get(api.HeaderPriority))
	if !ok {
		return api.NewError(api.BadRequest, api.HeaderPriority+" is not live, normal or batch")
	}
	c.priority = priority
	timeout, e := parseTimeout(r.Header.Get(api.HeaderTimeout), c.route)
	if e != nil {
		return e
	}
	c.deadline = now.Add(timeout)
	c.headers = callerHeaders(r.Header)
	return nil
}

// parseTimeout returns the smaller of the caller's timeout and the route's.
func parseTimeout(value string, route *config.Route) (time.Duration, *api.Error) {
	limit := route.Timeout
	if limit <= 0 {
		limit = api.DefaultTimeout
	}
	if value == "" {
		return limit, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 || d > api.MaxTimeout {
		return 0, api.NewError(api.BadRequest, api.HeaderTimeout+" is not a duration between 0 and "+api.MaxTimeout.String())
	}
	return min(d, limit), nil
}

// callerHeaders returns the headers that are forwarded to the backend server unchanged.
func callerHeaders(h http.Header) []wire.Header {
	var out []wire.Header
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", "Authorization"} {
		for _, v := range h.Values(name) {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}

func (c *call) readBody(r *http.Request) *api.Error {
	body, err := idleconn.Conn(r).ReadBody(r.Body, r.ContentLength, api.MaxBodyBytes+1)
	switch {
	case errors.Is(err, callerconn.ErrNoRoom):
		return api.NewError(api.BuffersFull, "")
	case err != nil:
		return api.NewError(api.BadRequest, "body: "+err.Error())
	case len(body) > api.MaxBodyBytes:
		return api.NewError(api.BodyTooLarge, "")
	}
	r.Trailer = nil // never passed on
	c.body = body
	return nil
}

// parseChat reads the model and the streaming flag of a chat completion request.
// On routes that do not stream, it sets only the prefix hash.
func (c *call) parseChat(doc *config.Document) *api.Error {
	if !c.route.Streaming {
		c.prefix = xxhash.Sum64String(c.session)
		return nil
	}
	var chat chatFields
	if err := json.Unmarshal(c.body, &chat); err != nil {
		return api.NewError(api.BadRequest, "body: "+err.Error())
	}
	c.model = chat.Model
	c.streaming = chat.Stream
	c.prefix = prefixHash(c.session, &chat)
	if !doc.Serves(c.route.Pool, c.model) {
		return api.NewError(api.UnknownModel, c.model)
	}
	return nil
}

// prefixHash returns the hash of the session or, without one, of the start of
// the first message; 0 if there is neither.
func prefixHash(session string, chat *chatFields) uint64 {
	if session != "" {
		return xxhash.Sum64String(session)
	}
	if len(chat.Messages) == 0 {
		return 0
	}
	first := chat.Messages[0].Content
	return xxhash.Sum64(first[:min(len(first), prefixBytes)])
}

// contentHash returns the fingerprint of the request.
func (c *call) contentHash() uint64 {
	return route.Fingerprint(c.method, c.path, c.organisation, c.body)
}

// wireRequest returns the message for attempt number n.
func (c *call) wireRequest(ctx context.Context, n uint32, now time.Time) *wire.Request {
	return &wire.Request{
		RequestID:    c.id,
		Attempt:      n,
		Method:       c.method,
		Path:         c.path,
		Headers:      c.headers,
		Body:         c.body,
		Streaming:    c.streaming,
		Organisation: c.organisation,
		Session:      c.session,
		Priority:     uint8(c.priority),
		Model:        c.model,
		BudgetMillis: c.deadline.Sub(now).Milliseconds(),
		Fingerprint:  c.fingerprint,
		ConfigOffset: c.configOffset,
		Idempotent:   c.route.Idempotent,
		Key:          c.key,
		ClaimOffset:  -1,
		Alone:        c.alone,
		TraceParent:  telemetry.TraceParent(ctx),
	}
}

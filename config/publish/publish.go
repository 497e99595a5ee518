// Package publish changes the document of a service: it appends an operator's
// change to the log service and finds out what became of it.
//
// A change is accepted only if the version that it is based on is still the
// current one, so no operator overwrites a change that he hasn't seen. When
// the answer to the append is lost, the change is found again by its nonce.
package publish

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pmezard/go-difflib/difflib"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/logfold"
)

// Status says what became of a change.
type Status string

// Fates of a change.
const (
	Accepted Status = "accepted" // it became the version of the result
	Refused  Status = "refused"  // it is not and will not become a version
	Unknown  Status = "unknown"  // it may be or become a version; Resolve tells
)

// Result is the answer to a publishing.
type Result struct {
	Status   Status          `json:"status"`
	Code     api.Code        `json:"code"`
	Base     uint64          `json:"base"`
	Version  uint64          `json:"version"` // of the change if accepted, else the current one
	Offset   backing.Offset  `json:"offset"`  // of the record if accepted
	Nonce    string          `json:"nonce,omitempty"`
	Detail   string          `json:"detail,omitempty"`
	Problems config.Problems `json:"problems,omitempty"`
	Diff     string          `json:"diff,omitempty"` // from the current document to the refused one
}

// Times of a publishing.
const (
	readBackEvery = 200 * time.Millisecond
	// DefaultReadBackTimeout is how long Publish goes on reading back.
	DefaultReadBackTimeout = 5 * time.Second
)

// Publisher publishes changes of one service.
type Publisher struct {
	Log             backing.Log
	Service         string
	Author          string
	ReadBackTimeout time.Duration                        // how long to read back; 0: once
	Nonce           func() string                        // NewPublisher sets a random one
	Sleep           func(context.Context, time.Duration) // between reads back
}

// NewPublisher returns a Publisher with DefaultReadBackTimeout.
func NewPublisher(log backing.Log, service, author string) *Publisher {
	return &Publisher{
		Log:             log,
		Service:         service,
		Author:          author,
		ReadBackTimeout: DefaultReadBackTimeout,
		Nonce:           uuid.NewString,
		Sleep:           sleep,
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Publish proposes text as the version after base. The error is one of the
// log service's, before anything was appended.
func (p *Publisher) Publish(ctx context.Context, base uint64, text []byte) (Result, error) {
	doc, refusal := p.check(base, text)
	if refusal != nil {
		return *refusal, nil
	}
	reader := logfold.NewReader(p.Log, p.Service)
	if err := reader.ReadToEnd(ctx); err != nil {
		return Result{}, err
	}
	if reader.State.Version != base {
		return p.conflict(&reader.State, base, text), nil
	}
	change, err := p.newChange(reader.State.Text, base, doc.Service.Format, text)
	if err != nil {
		return Result{}, err
	}
	return p.append(ctx, reader, change, text)
}

// check parses text; refusal is nil when it may be published.
func (p *Publisher) check(base uint64, text []byte) (doc *config.Document, refusal *Result) {
	doc, err := config.ParseDocument("document", text)
	if err != nil {
		problems, _ := config.AsProblems(err)
		return nil, &Result{Status: Refused, Code: api.ConfigInvalid, Base: base, Problems: problems}
	}
	if doc.Service.Name != p.Service {
		detail := fmt.Sprintf("the document is that of service %q, not %q", doc.Service.Name, p.Service)
		return nil, &Result{Status: Refused, Code: api.ConfigInvalid, Base: base, Detail: detail}
	}
	return doc, nil
}

// newChange makes the record of a change. It is a delta where there is a
// document to make it against: the record counts only if that is still current.
func (p *Publisher) newChange(current []byte, base uint64, format int, text []byte) (*logfold.ConfigChange, error) {
	change := &logfold.ConfigChange{
		Service: p.Service,
		Base:    base,
		Format:  format,
		Delta:   current != nil,
		Author:  p.Author,
		Nonce:   p.Nonce(),
	}
	var err error
	if change.Delta {
		change.Document, err = logfold.PackDelta(current, text)
	} else {
		change.Document, err = logfold.Pack(text)
	}
	return change, err
}

// append appends the change once and reads back what became of it.
func (p *Publisher) append(ctx context.Context, reader *logfold.Reader, change *logfold.ConfigChange, text []byte) (Result, error) {
	data, err := change.MarshalMsg(nil)
	if err != nil {
		return Result{}, err
	}
	_, err = p.Log.Append(ctx, logfold.ConfigStream(p.Service), [][]byte{data})
	if errors.Is(err, backing.ErrRefused) {
		detail := "the log service refused the append; the change is not and will not be stored"
		return Result{Status: Refused, Code: api.LogUnavailable, Base: change.Base, Version: reader.State.Version, Detail: detail}, nil
	}
	return p.readBack(ctx, reader, change, text), nil
}

// readBack reads until the change is found or patience ends.
func (p *Publisher) readBack(ctx context.Context, reader *logfold.Reader, change *logfold.ConfigChange, text []byte) Result {
	for waited := time.Duration(0); ; waited += readBackEvery {
		if reader.ReadToEnd(ctx) == nil {
			if r, ok := p.find(reader, change.Base, change.Nonce, text); ok {
				return r
			}
		}
		if waited >= p.ReadBackTimeout || ctx.Err() != nil {
			detail := "the append was sent and its fate is not yet known; config resolve tells"
			return Result{Status: Unknown, Code: api.ConfigUnknown, Base: change.Base, Nonce: change.Nonce, Detail: detail}
		}
		p.Sleep(ctx, readBackEvery)
	}
}

// find settles the fate of a change from what reader has judged; ok is false
// while it is open. The change may be stored late and twice, so that:
// accepted once is accepted; and not accepted is settled as soon as the
// current version is beyond its base, for then it can't be any more.
func (p *Publisher) find(reader *logfold.Reader, base uint64, nonce string, text []byte) (Result, bool) {
	refusal := logfold.Outcome{Code: api.ConfigConflict, Detail: "another change became the next version"}
	invalid := false
	for _, out := range reader.Outcomes {
		if out.Nonce != nonce {
			continue
		}
		if out.Accepted {
			return Result{Status: Accepted, Base: base, Version: out.Version, Offset: out.Offset, Nonce: nonce}, true
		}
		invalid = invalid || out.Code == api.ConfigInvalid
		refusal = out
	}
	covered := reader.StartVersion <= base
	if !invalid && (!covered || reader.State.Version <= base) {
		return Result{}, false
	}
	r := p.conflict(&reader.State, base, text)
	r.Code, r.Detail, r.Nonce = refusal.Code, refusal.Detail, nonce
	return r, true
}

func (p *Publisher) conflict(current *logfold.State, base uint64, text []byte) Result {
	r := Result{
		Status:  Refused,
		Code:    api.ConfigConflict,
		Base:    base,
		Version: current.Version,
		Detail:  fmt.Sprintf("the change is based on version %d, current is %d", base, current.Version),
	}
	if text != nil {
		r.Diff = Diff(fmt.Sprintf("version %d", current.Version), current.Text, "refused", text)
	}
	return r
}

// Resolve tells what became of a change whose fate was unknown. With settle
// set, a change that is still open is closed: the current document is
// published once more, as a version of its own, after which the change can't
// be accepted any more.
func (p *Publisher) Resolve(ctx context.Context, base uint64, nonce string, settle bool) (Result, error) {
	reader := logfold.NewReader(p.Log, p.Service)
	reader.FromOldest = true
	if err := reader.ReadToEnd(ctx); err != nil {
		return Result{}, err
	}
	if r, ok := p.find(reader, base, nonce, nil); ok {
		return r, nil
	}
	open := Result{Status: Unknown, Code: api.ConfigUnknown, Base: base, Nonce: nonce, Version: reader.State.Version}
	switch {
	case reader.StartVersion > base:
		open.Detail = "the records of that time are no longer retained"
		return open, nil
	case !settle || reader.State.Doc == nil:
		open.Detail = "the change is not stored, and may be later"
		return open, nil
	}
	seal, err := p.newChange(reader.State.Text, base, reader.State.Doc.Service.Format, reader.State.Text)
	if err != nil {
		return Result{}, err
	}
	if _, err := p.append(ctx, reader, seal, nil); err != nil {
		return Result{}, err
	}
	if r, ok := p.find(reader, base, nonce, nil); ok {
		return r, nil
	}
	open.Detail = "the change could not be closed; try again"
	return open, nil
}

// Diff returns the unified diff between two documents; empty when they are equal.
func Diff(fromName string, from []byte, toName string, to []byte) string {
	if bytes.Equal(from, to) {
		return ""
	}
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(strings.TrimSuffix(string(from), "\n")),
		B:        difflib.SplitLines(strings.TrimSuffix(string(to), "\n")),
		FromFile: fromName,
		ToFile:   toName,
		Context:  3,
	})
	if err != nil {
		return err.Error()
	}
	return text
}

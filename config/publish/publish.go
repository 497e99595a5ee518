// Package publish publishes changes of a service configuration: it appends an
// operator's change to the log service and determines its outcome.
//
// A change is accepted only if the version that it is based on is still the
// current one, so that no operator overwrites a change that they have not seen.
// If the answer to the append is lost, the change is found in the log by its
// nonce.
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

// Status is the outcome of a change.
type Status string

// Outcomes of a change.
const (
	Accepted Status = "accepted" // the change was accepted as Result.Version
	Refused  Status = "refused"  // the change was not and cannot be accepted
	Unknown  Status = "unknown"  // the change may have been, or may still be, accepted; see Publisher.Resolve
)

// Result is the result of publishing or resolving a change.
type Result struct {
	Status   Status          `json:"status"`
	Code     api.Code        `json:"code"`
	Base     uint64          `json:"base"`            // version that the change is based on
	Version  uint64          `json:"version"`         // version of the change if accepted, else the current version
	Offset   backing.Offset  `json:"offset"`          // log offset of the change if accepted
	Nonce    string          `json:"nonce,omitempty"` // identifies the change in the log
	Detail   string          `json:"detail,omitempty"`
	Problems config.Problems `json:"problems,omitempty"`
	Diff     string          `json:"diff,omitempty"` // unified diff from the current document to the refused one
}

const (
	readBackInterval = 200 * time.Millisecond
	// DefaultReadBackTimeout is the default of Publisher.ReadBackTimeout.
	DefaultReadBackTimeout = 5 * time.Second
)

// Publisher publishes changes of one service's configuration.
type Publisher struct {
	Log             backing.Log
	Service         string
	Author          string
	ReadBackTimeout time.Duration                        // maximum time to read a change back after the append; 0 to read once
	Nonce           func() string                        // returns a unique nonce; NewPublisher sets a random generator
	Sleep           func(context.Context, time.Duration) // waits between reads; NewPublisher sets one that ends with the context
}

// NewPublisher returns a Publisher with DefaultReadBackTimeout and random nonces.
// author is stored with every change.
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

// Publish validates text and publishes it as the version after base. A refusal or
// unknown outcome is returned in the Result. If it returns an error, nothing was
// appended; the error is one of reading the log or of encoding the change.
func (p *Publisher) Publish(ctx context.Context, base uint64, text []byte) (Result, error) {
	doc, refusal := p.validate(base, text)
	if refusal != nil {
		return *refusal, nil
	}
	reader := logfold.NewReader(p.Log, p.Service)
	if err := reader.ReadToEnd(ctx); err != nil {
		return Result{}, err
	}
	if reader.State.Version != base {
		return p.conflictResult(&reader.State, base, text), nil
	}
	change, err := p.newChange(reader.State.Text, base, doc.Service.Format, text)
	if err != nil {
		return Result{}, err
	}
	return p.appendChange(ctx, reader, change, text)
}

// validate parses text as a document of the service. refusal is nil if text may be
// published.
func (p *Publisher) validate(base uint64, text []byte) (doc *config.Document, refusal *Result) {
	doc, err := config.ParseDocument("document", text)
	if err != nil {
		problems, _ := config.AsProblems(err)
		return nil, &Result{Status: Refused, Code: api.ConfigInvalid, Base: base, Problems: problems}
	}
	if doc.Service.Name != p.Service {
		detail := fmt.Sprintf("the document is for service %q, want %q", doc.Service.Name, p.Service)
		return nil, &Result{Status: Refused, Code: api.ConfigInvalid, Base: base, Detail: detail}
	}
	return doc, nil
}

// newChange returns the record of a change, with a new nonce. If there is a current
// document, the record holds a delta against it. This is safe because the change is
// accepted only if that document is still the current one.
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

// appendChange appends the change once and reads back its outcome.
func (p *Publisher) appendChange(ctx context.Context, reader *logfold.Reader, change *logfold.ConfigChange, text []byte) (Result, error) {
	data, err := change.MarshalMsg(nil)
	if err != nil {
		return Result{}, err
	}
	_, err = p.Log.Append(ctx, logfold.ConfigStream(p.Service), [][]byte{data})
	if errors.Is(err, backing.ErrRefused) {
		detail := "the log service refused the append; the change was not stored and will not be"
		return Result{Status: Refused, Code: api.LogUnavailable, Base: change.Base, Version: reader.State.Version, Detail: detail}, nil
	}
	return p.readBack(ctx, reader, change, text), nil
}

// readBack reads the log until the outcome of the change is known, or until
// ReadBackTimeout has passed or ctx has ended.
func (p *Publisher) readBack(ctx context.Context, reader *logfold.Reader, change *logfold.ConfigChange, text []byte) Result {
	for waited := time.Duration(0); ; waited += readBackInterval {
		if reader.ReadToEnd(ctx) == nil {
			if r, ok := p.findResult(reader, change.Base, change.Nonce, text); ok {
				return r
			}
		}
		if waited >= p.ReadBackTimeout || ctx.Err() != nil {
			detail := "the append was sent and its outcome is not yet known; find it out with config resolve"
			return Result{Status: Unknown, Code: api.ConfigUnknown, Base: change.Base, Nonce: change.Nonce, Detail: detail}
		}
		p.Sleep(ctx, readBackInterval)
	}
}

// findResult determines the outcome of a change from the records that reader has
// applied. It returns false while the outcome is open. A change may be stored late
// and more than once, so it is accepted if any of its records was accepted. It is
// refused if one of its records is invalid, or once the current version is beyond
// its base, because it can no longer be accepted then.
func (p *Publisher) findResult(reader *logfold.Reader, base uint64, nonce string, text []byte) (Result, bool) {
	refusal := logfold.Outcome{Code: api.ConfigConflict, Detail: "another change became the version after the base"}
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
	complete := reader.StartVersion <= base // Outcomes includes all records applied at version base
	if !invalid && (!complete || reader.State.Version <= base) {
		return Result{}, false
	}
	r := p.conflictResult(&reader.State, base, text)
	r.Code, r.Detail, r.Nonce = refusal.Code, refusal.Detail, nonce
	return r, true
}

func (p *Publisher) conflictResult(current *logfold.State, base uint64, text []byte) Result {
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

// Resolve determines the outcome of a change that was published with result
// Unknown. If settle is set and the outcome is still open, Resolve publishes the
// current document again as a new version, after which the change can no longer be
// accepted. The error is one of reading the log or of encoding the change.
func (p *Publisher) Resolve(ctx context.Context, base uint64, nonce string, settle bool) (Result, error) {
	reader := logfold.NewReader(p.Log, p.Service)
	reader.FromOldest = true
	if err := reader.ReadToEnd(ctx); err != nil {
		return Result{}, err
	}
	if r, ok := p.findResult(reader, base, nonce, nil); ok {
		return r, nil
	}
	unresolved := Result{Status: Unknown, Code: api.ConfigUnknown, Base: base, Nonce: nonce, Version: reader.State.Version}
	switch {
	case reader.StartVersion > base:
		unresolved.Detail = "the log no longer retains the records that followed the base version"
		return unresolved, nil
	case !settle || reader.State.Doc == nil:
		unresolved.Detail = "the change is not stored yet and may still be stored later"
		return unresolved, nil
	}
	noOp, err := p.newChange(reader.State.Text, base, reader.State.Doc.Service.Format, reader.State.Text)
	if err != nil {
		return Result{}, err
	}
	if _, err := p.appendChange(ctx, reader, noOp, nil); err != nil {
		return Result{}, err
	}
	if r, ok := p.findResult(reader, base, nonce, nil); ok {
		return r, nil
	}
	unresolved.Detail = "the outcome is still open after publishing the current document again; run config resolve again"
	return unresolved, nil
}

// Diff returns the unified diff between two documents, or "" if they are equal.
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

package logfold

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/config"
)

// ErrUnknownFormat reports a change that this build cannot validate because its
// format is unknown. The state remains at the record before it.
var ErrUnknownFormat = eris.New("logfold: format of the next change is unknown to this build")

// ErrGap reports a record whose offset does not follow the last applied one.
var ErrGap = eris.New("logfold: record does not follow the last applied one")

// Outcome is the result of applying one record of the configuration stream.
type Outcome struct {
	Offset   backing.Offset
	Accepted bool
	Version  uint64   // current version after applying the record
	Base     uint64   // version that the change is based on
	Code     api.Code // OK, ConfigInvalid or ConfigConflict
	Detail   string   // reason of the refusal
	Author   string
	Nonce    string
}

// State is the state after applying the records of the configuration stream up
// to ReadTo. It may be copied; Doc and Text are immutable.
type State struct {
	Service string
	ReadTo  backing.Offset // last record applied
	Version uint64         // number of accepted changes, or higher after a restart of the history
	Offset  backing.Offset // record of the last accepted change
	packed  []byte         // Text compressed by Pack; nil until needed
	Text    []byte         // text of the document of the last accepted change
	Doc     *config.Document
}

// NewState returns the state before the first record.
func NewState(service string) State {
	return State{Service: service, ReadTo: backing.NoOffset, Offset: backing.NoOffset}
}

// Apply applies the next record. A change is accepted if its base is the
// current version or it is a valid restart, and if its document passes the
// checks of its format. A refused change is not an error. On ErrUnknownFormat
// and ErrGap the state is unchanged.
func (s *State) Apply(rec backing.Record) (Outcome, error) {
	if rec.Offset != s.ReadTo+1 {
		return Outcome{}, ErrGap
	}
	var change ConfigChange
	_, err := change.UnmarshalMsg(rec.Data)
	out := Outcome{Offset: rec.Offset, Base: change.Base, Author: change.Author, Nonce: change.Nonce}
	switch {
	case err != nil:
		out.Code, out.Detail = api.ConfigInvalid, "the record cannot be decoded"
	case change.Restart && change.At != int64(rec.Offset):
		out.Code = api.ConfigConflict
		out.Detail = fmt.Sprintf("a restart meant for offset %d", change.At)
	case !change.Restart && change.Base != s.Version:
		out.Code = api.ConfigConflict
		out.Detail = fmt.Sprintf("based on version %d, current is %d", change.Base, s.Version)
	case !slices.Contains(config.Formats(), change.Format):
		return Outcome{}, ErrUnknownFormat
	default:
		s.applyChange(rec.Offset, &change, &out)
	}
	s.ReadTo = rec.Offset
	out.Version = s.Version
	return out, nil
}

// applyChange validates the document of a change with the right base and
// accepts it if it is valid.
func (s *State) applyChange(at backing.Offset, change *ConfigChange, out *Outcome) {
	text, err := change.text(s.Text)
	var doc *config.Document
	if err == nil {
		doc, err = checkDocument(s.Service, change.Format, text)
	}
	if err != nil {
		out.Code, out.Detail = api.ConfigInvalid, err.Error()
		return
	}
	out.Accepted = true
	s.Version++
	if change.Restart {
		s.Version = uint64(at) + 1
	}
	s.Offset = at
	s.packed, s.Text, s.Doc = nil, text, doc
	if !change.Delta {
		s.packed = change.Document
	}
}

// text returns the text of the document of a change on a base with the given text.
func (c *ConfigChange) text(base []byte) ([]byte, error) {
	if c.Delta && c.Restart {
		return nil, errNotDelta // a restart is applied without history, so it has no base
	}
	if c.Delta {
		return UnpackDelta(base, c.Document)
	}
	return Unpack(c.Document)
}

// Packed returns the text compressed by Pack, or nil if compression fails.
func (s *State) Packed() []byte {
	if s.packed == nil {
		s.packed, _ = Pack(s.Text)
	}
	return s.packed
}

// checkDocument parses and validates a document of the given service and format.
func checkDocument(service string, format int, text []byte) (*config.Document, error) {
	doc, err := config.ParseDocument(service, text)
	if err != nil {
		return nil, err
	}
	if doc.Service.Format != format {
		return nil, eris.Errorf("the record says format %d, the document %d", format, doc.Service.Format)
	}
	if doc.Service.Name != service {
		return nil, eris.Errorf("the document is that of service %q", doc.Service.Name)
	}
	return doc, nil
}

// Checkpoint returns the checkpoint record of the state. It is nil before the
// first accepted change.
func (s *State) Checkpoint() *Checkpoint {
	if s.Doc == nil {
		return nil
	}
	return &Checkpoint{
		Service:  s.Service,
		ReadTo:   int64(s.ReadTo),
		Offset:   int64(s.Offset),
		Version:  s.Version,
		Document: s.Packed(),
	}
}

// stateOf returns the state encoded in a checkpoint or in the message of a peer.
// It returns false if this build cannot parse the document.
func stateOf(cp *Checkpoint) (State, bool) {
	text, err := Unpack(cp.Document)
	if err != nil {
		return State{}, false
	}
	doc, err := config.ParseDocument(cp.Service, text)
	if err != nil || doc.Service.Name != cp.Service {
		return State{}, false
	}
	return State{
		Service: cp.Service,
		ReadTo:  backing.Offset(cp.ReadTo),
		Version: cp.Version,
		Offset:  backing.Offset(cp.Offset),
		packed:  cp.Document,
		Text:    text,
		Doc:     doc,
	}, true
}

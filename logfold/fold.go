package logfold

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/config"
)

// ErrUnknownFormat says that a change can't be judged by this build, since it does
// not know the checks of the change's format. The fold stops before it.
var ErrUnknownFormat = eris.New("logfold: format of the next change is unknown to this build")

// ErrGap says that a record is not the next one.
var ErrGap = eris.New("logfold: record is not the next one")

// Outcome is the judgement of one record of the configuration stream.
type Outcome struct {
	Offset   backing.Offset
	Accepted bool
	Version  uint64   // current version after the record
	Base     uint64   // version that the change is based on
	Code     api.Code // OK, ConfigInvalid or ConfigConflict
	Detail   string   // why it was refused
	Author   string
	Nonce    string
}

// State is the state after the records of the configuration stream up to
// ReadTo. It is a value; Doc and Text are never changed in place.
type State struct {
	Service string
	ReadTo  backing.Offset // last record judged
	Version uint64         // number of accepted changes
	Offset  backing.Offset // accepted record of that version
	packed  []byte         // its document, compressed by Pack; nil until it is asked for
	Text    []byte         // its document
	Doc     *config.Document
}

// NewState returns the state before the first record.
func NewState(service string) State {
	return State{Service: service, ReadTo: backing.None, Offset: backing.None}
}

// Apply judges the next record. A change is accepted if its base is the
// current version, or it is a valid restart, and its document passes the
// checks of its format.
// Errors: ErrFormat, ErrGap; the state is then unchanged.
func (f *State) Apply(rec backing.Record) (Outcome, error) {
	if rec.Offset != f.ReadTo+1 {
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
	case !change.Restart && change.Base != f.Version:
		out.Code = api.ConfigConflict
		out.Detail = fmt.Sprintf("based on version %d, current is %d", change.Base, f.Version)
	case !slices.Contains(config.Formats(), change.Format):
		return Outcome{}, ErrUnknownFormat
	default:
		f.judge(rec.Offset, &change, &out)
	}
	f.ReadTo = rec.Offset
	out.Version = f.Version
	return out, nil
}

// judge checks the document of a change with the right base, and takes it
// over when it passes.
func (f *State) judge(at backing.Offset, change *ConfigChange, out *Outcome) {
	text, err := change.text(f.Text)
	var doc *config.Document
	if err == nil {
		doc, err = checkDocument(f.Service, change.Format, text)
	}
	if err != nil {
		out.Code, out.Detail = api.ConfigInvalid, err.Error()
		return
	}
	out.Accepted = true
	f.Version++
	if change.Restart {
		f.Version = uint64(at) + 1
	}
	f.Offset = at
	f.packed, f.Text, f.Doc = nil, text, doc
	if !change.Delta {
		f.packed = change.Document
	}
}

// text returns the document of a change whose base has the text base.
func (c *ConfigChange) text(base []byte) ([]byte, error) {
	if c.Delta && c.Restart {
		return nil, errDelta // a restart is judged without history
	}
	if c.Delta {
		return UnpackDelta(base, c.Document)
	}
	return Unpack(c.Document)
}

// Packed returns the document, compressed by Pack. It is nil when it cannot be.
func (f *State) Packed() []byte {
	if f.packed == nil {
		f.packed, _ = Pack(f.Text)
	}
	return f.packed
}

// checkDocument judges a document by the checks of format.
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

// Checkpoint returns the record that stands for f. It is nil before the
// first accepted change.
func (f *State) Checkpoint() *Checkpoint {
	if f.Doc == nil {
		return nil
	}
	return &Checkpoint{
		Service:  f.Service,
		ReadTo:   int64(f.ReadTo),
		Offset:   int64(f.Offset),
		Version:  f.Version,
		Document: f.Packed(),
	}
}

// foldOf returns the state that a checkpoint or a peer's message stands for.
// ok is false when this build can't read its document.
func foldOf(cp *Checkpoint) (State, bool) {
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

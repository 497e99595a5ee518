package claim

//go:generate go tool -modfile=../tools/go.mod msgp -file records.go -o records_gen.go -tests=false

import (
	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"marjorampitch/wire"
)

//msgp:ignore recordKind

// MaxAnswerBytes limits the encoded answer in an Outcome record.
const MaxAnswerBytes = 32 << 10

// recordKind is the first byte of a record. The meaning of a kind never changes.
// Readers ignore unknown kinds.
type recordKind uint8

const (
	kindClaim recordKind = iota + 1
	kindOutcome
	kindRelease
	kindPadding
)

// ErrInvalidRecord reports a record that cannot be decoded.
var ErrInvalidRecord = eris.New("claim: record cannot be decoded")

// Key is an idempotency key: the 16 bytes of a UUIDv7.
type Key [16]byte

// Claim claims a key for one call. It is identified by its offset in the stream.
type Claim struct {
	Key             Key    `msg:"k"`
	Fingerprint     uint64 `msg:"f"` // hash of the call's content
	Claimant        string `msg:"c"` // incarnation of the front proxy
	Nonce           uint64 `msg:"n"` // unique within the claimant
	Side            string `msg:"s"` // sidecar instance that may run the call
	SideIncarnation string `msg:"i"` // incarnation of the sidecar
	ValidUntil      int64  `msg:"u"` // highest offset at which the claim is valid
}

// Outcome stores the answer of the call that ran under a claim. Later outcomes of the
// key are ignored.
type Outcome struct {
	Key     Key         `msg:"k"`
	Offset  int64       `msg:"o"` // offset of the claim
	Answer  wire.Answer `msg:"a"`
	Dropped bool        `msg:"d"` // the answer exceeds MaxAnswerBytes and only its status is stored
}

// Release frees a key after its claim was sealed or its request was never sent.
type Release struct {
	Key    Key   `msg:"k"`
	Offset int64 `msg:"o"` // offset of the claim
}

// record is a value stored in a claim stream.
type record interface {
	msgp.Marshaler
	msgp.Sizer
	recordKind() recordKind
}

func (*Claim) recordKind() recordKind   { return kindClaim }
func (*Outcome) recordKind() recordKind { return kindOutcome }
func (*Release) recordKind() recordKind { return kindRelease }

// encode returns the stored form of r: the kind and the msgpack encoding.
func encode(r record) []byte {
	buf := make([]byte, 1, 1+r.Msgsize())
	buf[0] = byte(r.recordKind())
	out, err := r.MarshalMsg(buf)
	if err != nil {
		// All fields of records have types that msgp encodes without error.
		panic(err)
	}
	return out
}

// padding returns a record that only moves the end of the stream.
func padding() []byte { return []byte{byte(kindPadding)} }

// decode decodes the stored form. The record is nil for an unknown kind. Errors:
// ErrInvalidRecord.
func decode(data []byte) (record, error) {
	if len(data) == 0 {
		return nil, ErrInvalidRecord
	}
	var r interface {
		record
		msgp.Unmarshaler
	}
	switch recordKind(data[0]) {
	case kindClaim:
		r = new(Claim)
	case kindOutcome:
		r = new(Outcome)
	case kindRelease:
		r = new(Release)
	default:
		return nil, nil
	}
	if _, err := r.UnmarshalMsg(data[1:]); err != nil {
		return nil, eris.Wrap(ErrInvalidRecord, err.Error())
	}
	return r, nil
}

// newOutcome returns the Outcome record of an answer. It drops the headers and body of
// an answer that exceeds MaxAnswerBytes.
func newOutcome(k Key, offset int64, a wire.Answer) *Outcome {
	o := &Outcome{Key: k, Offset: offset, Answer: a}
	if a.Msgsize() > MaxAnswerBytes {
		o.Answer = wire.Answer{Status: a.Status}
		o.Dropped = true
	}
	return o
}

// Record returns the stored form of c.
func (c *Claim) Record() []byte { return encode(c) }

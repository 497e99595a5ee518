package claim

//go:generate go tool -modfile=../tools/go.mod msgp -file records.go -o records_gen.go -tests=false

import (
	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"marjorampitch/wire"
)

//msgp:ignore recordKind

// MaxAnswerBytes bounds the body and headers of an answer in an Outcome record.
const MaxAnswerBytes = 32 << 10

// recordKind is the first byte of a record. A kind's meaning never changes;
// readers pass over kinds that they do not know.
type recordKind uint8

const (
	kindClaim recordKind = iota + 1
	kindOutcome
	kindRelease
	kindPadding
)

// ErrInvalidRecord says that a record cannot be decoded.
var ErrInvalidRecord = eris.New("claim: record cannot be decoded")

// Key is an idempotency key: the 16 bytes of a UUIDv7.
type Key [16]byte

// Claim asks for a key on behalf of one call. Its own offset in the stream
// identifies it from then on.
type Claim struct {
	Key             Key    `msg:"k"`
	Fingerprint     uint64 `msg:"f"` // hash of the call's content
	Claimant        string `msg:"c"` // incarnation of the entry
	Nonce           uint64 `msg:"n"` // unique within the claimant
	Side            string `msg:"s"` // instance that may run the call
	SideIncarnation string `msg:"i"` // incarnation of that instance
	ValidUntil      int64  `msg:"u"` // last offset at which the record counts
}

// Outcome stores the answer of the call that ran under a claim. It is final.
type Outcome struct {
	Key     Key         `msg:"k"`
	Offset  int64       `msg:"o"` // of the claim
	Answer  wire.Answer `msg:"a"`
	Dropped bool        `msg:"d"` // the answer exceeds MaxAnswerBytes; only its status is stored
}

// Release opens a key again after its claim was sealed or never sent.
type Release struct {
	Key    Key   `msg:"k"`
	Offset int64 `msg:"o"` // of the claim
}

// record is a value that a claim stream stores.
type record interface {
	msgp.Marshaler
	msgp.Sizer
	recordKind() recordKind
}

func (*Claim) recordKind() recordKind   { return kindClaim }
func (*Outcome) recordKind() recordKind { return kindOutcome }
func (*Release) recordKind() recordKind { return kindRelease }

// encode returns the stored form of r.
func encode(r record) []byte {
	buf := make([]byte, 1, 1+r.Msgsize())
	buf[0] = byte(r.recordKind())
	out, err := r.MarshalMsg(buf)
	if err != nil {
		// Only types that msgp knows are fields of records.
		panic(err)
	}
	return out
}

// padding is a record that only moves the end of the stream.
func padding() []byte { return []byte{byte(kindPadding)} }

// decode reads the stored form; a kind that is not known yields nil.
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

// newOutcome returns the Outcome record of an answer, without the headers and
// body when they are too large.
func newOutcome(k Key, offset int64, a wire.Answer) *Outcome {
	o := &Outcome{Key: k, Offset: offset, Answer: a}
	if a.Msgsize() > MaxAnswerBytes {
		o.Answer = wire.Answer{Status: a.Status}
		o.Dropped = true
	}
	return o
}

// Record returns the stored form of c, as a claim stream holds it.
func (c *Claim) Record() []byte { return encode(c) }

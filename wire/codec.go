package wire

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"
)

// Kind is the first byte of a frame's payload.
type Kind uint8

// Kinds of frames. The values are part of the protocol.
const (
	KindHello Kind = iota + 1
	KindHeartbeat
	KindConfig
	KindRequest
	KindHead
	KindChunk
	KindEnd
	KindRefusal
	KindCancel
	KindCredit
	KindKeyQuery
	KindKeyAnswer
	KindOrder
	KindOrderAck
	KindStatusQuery
	KindStatus
	KindConfigQuery
)

// Sizes of a frame.
const (
	lengthBytes   = 4
	MaxFrameBytes = 4 << 20 // maximum payload: kind byte and body
)

// Errors of the codec. Each of them closes the connection on which it occurs.
var (
	ErrFrameSize = eris.New("wire: frame size out of bounds")
	ErrFrameKind = eris.New("wire: unknown frame kind")
	ErrFrameBody = eris.New("wire: frame body cannot be decoded")
)

// Message is a message of the protocol. Only pointers to types of this package
// implement it.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
	msgp.Sizer
	kind() Kind
}

func (*Hello) kind() Kind       { return KindHello }
func (*Heartbeat) kind() Kind   { return KindHeartbeat }
func (*Config) kind() Kind      { return KindConfig }
func (*Request) kind() Kind     { return KindRequest }
func (*Head) kind() Kind        { return KindHead }
func (*Chunk) kind() Kind       { return KindChunk }
func (*End) kind() Kind         { return KindEnd }
func (*Refusal) kind() Kind     { return KindRefusal }
func (*Cancel) kind() Kind      { return KindCancel }
func (*Credit) kind() Kind      { return KindCredit }
func (*KeyQuery) kind() Kind    { return KindKeyQuery }
func (*KeyAnswer) kind() Kind   { return KindKeyAnswer }
func (*Order) kind() Kind       { return KindOrder }
func (*OrderAck) kind() Kind    { return KindOrderAck }
func (*StatusQuery) kind() Kind { return KindStatusQuery }
func (*Status) kind() Kind      { return KindStatus }
func (*ConfigQuery) kind() Kind { return KindConfigQuery }

// newMessage returns an empty message of kind k, or nil if k is unknown.
func newMessage(k Kind) Message {
	switch k {
	case KindHello:
		return new(Hello)
	case KindHeartbeat:
		return new(Heartbeat)
	case KindConfig:
		return new(Config)
	case KindRequest:
		return new(Request)
	case KindHead:
		return new(Head)
	case KindChunk:
		return new(Chunk)
	case KindEnd:
		return new(End)
	case KindRefusal:
		return new(Refusal)
	case KindCancel:
		return new(Cancel)
	case KindCredit:
		return new(Credit)
	case KindKeyQuery:
		return new(KeyQuery)
	case KindKeyAnswer:
		return new(KeyAnswer)
	case KindOrder:
		return new(Order)
	case KindOrderAck:
		return new(OrderAck)
	case KindStatusQuery:
		return new(StatusQuery)
	case KindStatus:
		return new(Status)
	case KindConfigQuery:
		return new(ConfigQuery)
	}
	return nil
}

// AppendFrame appends the frame of m to buf and returns the extended slice.
// Error: ErrFrameSize if m is too large. On any error, buf is returned unchanged.
func AppendFrame(buf []byte, m Message) ([]byte, error) {
	start := len(buf)
	out := append(buf, 0, 0, 0, 0, byte(m.kind()))
	out, err := m.MarshalMsg(out)
	if err != nil {
		return buf, eris.Wrap(err, "wire: encode")
	}
	size := len(out) - start - lengthBytes
	if size > MaxFrameBytes {
		return buf, ErrFrameSize
	}
	binary.BigEndian.PutUint32(out[start:], uint32(size))
	return out, nil
}

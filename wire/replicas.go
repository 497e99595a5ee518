package wire

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"
)

// maxReplicas bounds the replicas of one map that are decoded.
const maxReplicas = 16384

// ErrReplicas is returned for replicas that cannot be decoded.
var ErrReplicas = eris.New("wire: malformed replicas")

// Replicas lists the additional copies of a map. They are encoded by set and rank, in
// about ten bits each, because a coordinator sends them to every rank of its group over
// a narrow link. Decoded, they are ordered by set, rank and expert.
//
// A set is encoded as its distance from the one before it, the number of ranks up to
// the last one with a replica, the bytes of an expert (1 or 2), for each rank as many
// 1 bits as it has replicas and a 0 bit, padded to a byte, and the experts. No replicas
// are encoded as an empty list, which builds that encode replicas as a list decode, too:
// while a group runs both, goals without a map are understood by all its ranks.
type Replicas []Replica

// compare orders replicas by set, rank and expert.
func (r Replica) compare(o Replica) int {
	return cmp.Or(cmp.Compare(r.Set, o.Set), cmp.Compare(r.Rank, o.Rank), cmp.Compare(r.Expert, o.Expert))
}

// appendPacked appends the encoded replicas to b.
func (l Replicas) appendPacked(b []byte) []byte {
	sorted := slices.Clone(l)
	slices.SortFunc(sorted, Replica.compare)
	before := uint16(0)
	for len(sorted) > 0 {
		set := sorted[0].Set
		n := len(sorted)
		if end := slices.IndexFunc(sorted, func(r Replica) bool { return r.Set != set }); end >= 0 {
			n = end
		}
		b = binary.AppendUvarint(b, uint64(set-before))
		b = appendSet(b, sorted[:n])
		sorted, before = sorted[n:], set
	}
	return b
}

// appendSet appends the replicas of one set, which are ordered.
func appendSet(b []byte, replicas Replicas) []byte {
	ranks := int(replicas[len(replicas)-1].Rank) + 1
	width := byte(1)
	if slices.ContainsFunc(replicas, func(r Replica) bool { return r.Expert > math.MaxUint8 }) {
		width = 2
	}
	b = append(binary.AppendUvarint(b, uint64(ranks)), width)
	counts := make([]byte, (ranks+len(replicas)+7)/8)
	for i, r := range replicas {
		bit := int(r.Rank) + i // each rank before has a 0 bit, each replica before a 1 bit
		counts[bit/8] |= 1 << (bit % 8)
	}
	b = append(b, counts...)
	for _, r := range replicas {
		b = append(b, byte(r.Expert))
		if width == 2 {
			b = append(b, byte(r.Expert>>8))
		}
	}
	return b
}

// unpackReplicas decodes what appendPacked has encoded. It fails with ErrReplicas.
func unpackReplicas(b []byte) (Replicas, error) {
	var list Replicas
	set := uint64(0)
	for len(b) > 0 {
		distance, n := binary.Uvarint(b)
		if n <= 0 || distance > math.MaxUint16 {
			return nil, eris.Wrap(ErrReplicas, "set")
		}
		if set += distance; set > math.MaxUint16 {
			return nil, eris.Wrap(ErrReplicas, "set")
		}
		var err error
		if list, b, err = unpackSet(list, b[n:], uint16(set)); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// unpackSet appends the replicas of one set to list and returns the rest of b.
func unpackSet(list Replicas, b []byte, set uint16) (Replicas, []byte, error) {
	ranks, n := binary.Uvarint(b)
	if n <= 0 || ranks > math.MaxUint16+1 || len(b) == n {
		return nil, nil, eris.Wrap(ErrReplicas, "ranks")
	}
	width := int(b[n])
	if width != 1 && width != 2 {
		return nil, nil, eris.Wrap(ErrReplicas, "width of experts")
	}
	b = b[n+1:]
	first, bit := len(list), 0
	for rank := uint64(0); rank < ranks; bit++ {
		switch {
		case bit/8 >= len(b) || len(list) > maxReplicas:
			return nil, nil, eris.Wrap(ErrReplicas, "counts")
		case b[bit/8]&(1<<(bit%8)) == 0:
			rank++
		default:
			list = append(list, Replica{Set: set, Rank: uint16(rank)})
		}
	}
	b = b[(bit+7)/8:]
	experts := list[first:]
	if len(b) < width*len(experts) {
		return nil, nil, eris.Wrap(ErrReplicas, "experts")
	}
	for i := range experts {
		experts[i].Expert = uint16(b[i*width])
		if width == 2 {
			experts[i].Expert |= uint16(b[i*width+1]) << 8
		}
	}
	return list, b[width*len(experts):], nil
}

// MarshalMsg implements msgp.Marshaler.
func (l Replicas) MarshalMsg(b []byte) ([]byte, error) {
	if len(l) == 0 {
		return msgp.AppendArrayHeader(b, 0), nil
	}
	return msgp.AppendBytes(b, l.appendPacked(nil)), nil
}

// UnmarshalMsg implements msgp.Unmarshaler.
func (l *Replicas) UnmarshalMsg(b []byte) (rest []byte, err error) {
	if msgp.NextType(b) == msgp.ArrayType {
		n, rest, err := msgp.ReadArrayHeaderBytes(b)
		if err != nil {
			return b, err
		}
		return rest, l.setList(n)
	}
	packed, rest, err := msgp.ReadBytesZC(b)
	if err != nil {
		return b, err
	}
	*l, err = unpackReplicas(packed)
	return rest, err
}

// setList sets l to a list of n elements, of which only the empty one is decoded.
func (l *Replicas) setList(n uint32) error {
	if n > 0 {
		return eris.Wrap(ErrReplicas, "list")
	}
	*l = nil
	return nil
}

// EncodeMsg implements msgp.Encodable.
func (l Replicas) EncodeMsg(w *msgp.Writer) error {
	if len(l) == 0 {
		return w.WriteArrayHeader(0)
	}
	return w.WriteBytes(l.appendPacked(nil))
}

// DecodeMsg implements msgp.Decodable.
func (l *Replicas) DecodeMsg(r *msgp.Reader) error {
	kind, err := r.NextType()
	if err != nil {
		return err
	}
	if kind == msgp.ArrayType {
		n, err := r.ReadArrayHeader()
		if err != nil {
			return err
		}
		return l.setList(n)
	}
	packed, err := r.ReadBytes(nil)
	if err != nil {
		return err
	}
	*l, err = unpackReplicas(packed)
	return err
}

// Msgsize returns about the encoded size in bytes.
func (l Replicas) Msgsize() int { return msgp.BytesPrefixSize + 4*len(l) }

package rebalance

import (
	"github.com/rotisserie/eris"

	"marjorampitch/remap"
	"marjorampitch/store"
)

// claimTopicPrefix is the prefix of the topic to which the processes of a group append
// their claims. The position of a claim is its term.
const claimTopicPrefix = "coordinators."

// termOffsetBits is the number of low bits of a term that hold the offset of its claim. The
// others hold the era of the store, so that terms are unique, and rise, also after the
// store has come back from an older copy and gives offsets out again.
const termOffsetBits = 24

// errTermRange means that a claim has a position that no term can express.
var errTermRange = eris.New("rebalance: position of the claim is out of range")

// claimTerm returns the term of the claim at a position. Error: errTermRange.
func claimTerm(p store.Position) (int64, error) {
	if p.Offset < 0 || p.Offset >= 1<<termOffsetBits || p.Era < 0 || p.Era > remap.MaxTerm>>termOffsetBits {
		return remap.None, eris.Wrapf(errTermRange, "offset %d of era %d", p.Offset, p.Era)
	}
	term := p.Era<<termOffsetBits | p.Offset
	if term > remap.MaxTerm {
		return remap.None, eris.Wrapf(errTermRange, "offset %d of era %d", p.Offset, p.Era)
	}
	return term, nil
}

// claimPosition returns the position of the claim of a term.
func claimPosition(term int64) store.Position {
	return store.Position{Era: term >> termOffsetBits, Offset: term & (1<<termOffsetBits - 1)}
}

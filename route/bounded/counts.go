package bounded

import "marjorampitch/route"

// Sizes of the counts.
const (
	countSlots = 8192
	// countWindow is the number of picks after which counts have halved.
	countWindow = 512
)

// counts estimates the share of each prefix in the recent picks, in a table of
// fixed size: of prefixes that meet in a slot, the one picked more often stays.
type counts struct {
	picks int
	slots []tally
}

// tally is the count of one prefix, halved once in each window.
type tally struct {
	prefix uint64
	window int
	count  float64
}

func newCounts() *counts {
	return &counts{slots: make([]tally, countSlots)}
}

// add counts one pick of the prefix and returns its share of the picks.
func (c *counts) add(prefix uint64) float64 {
	c.picks++
	t := &c.slots[route.Mix(prefix, 0)%countSlots]
	t.decay(c.picks / countWindow)
	if t.prefix != prefix {
		t.count--
		if t.count <= 0 {
			t.prefix, t.count = prefix, 1
		}
		return 0
	}
	share := t.count / c.total()
	t.count++
	return share
}

// decay halves the count for each window that has passed.
func (t *tally) decay(window int) {
	for t.window < window && t.count >= 1 {
		t.count /= 2
		t.window++
	}
	t.window = window
}

// total is the count that a prefix would have which had every pick.
func (c *counts) total() float64 {
	return countWindow + float64(c.picks%countWindow)
}

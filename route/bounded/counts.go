package bounded

import "marjorampitch/route"

// Settings of prefixCounts.
const (
	prefixSlots = 8192 // number of slots in the table
	// halvingInterval is the number of picks after which all counts are halved.
	halvingInterval = 512
)

// prefixCounts estimates the share of each prefix in the recent picks. The table
// has a fixed size; of the prefixes that hash to the same slot, it keeps the one
// that is picked more often.
type prefixCounts struct {
	picks int
	slots []prefixCount
}

// prefixCount is the count of one prefix, halved once per interval.
type prefixCount struct {
	prefix   uint64
	interval int
	count    float64
}

func newPrefixCounts() *prefixCounts {
	return &prefixCounts{slots: make([]prefixCount, prefixSlots)}
}

// add records one pick of the prefix and returns its estimated share of the picks
// before.
func (c *prefixCounts) add(prefix uint64) float64 {
	c.picks++
	t := &c.slots[route.Mix(prefix, 0)%prefixSlots]
	t.decay(c.picks / halvingInterval)
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

// decay halves the count for each interval that has passed.
func (t *prefixCount) decay(interval int) {
	for t.interval < interval && t.count >= 1 {
		t.count /= 2
		t.interval++
	}
	t.interval = interval
}

// total returns the count of a prefix that was picked every time.
func (c *prefixCounts) total() float64 {
	return halvingInterval + float64(c.picks%halvingInterval)
}

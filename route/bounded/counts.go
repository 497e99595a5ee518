package bounded

import "github.com/hashicorp/golang-lru/v2/simplelru"

// Sizes of the counts.
const (
	countedPrefixes = 4096
	// countWindow is the number of picks after which counts have halved.
	countWindow = 512
)

// counts estimates the share of each prefix in the recent picks.
type counts struct {
	picks    int
	prefixes *simplelru.LRU[uint64, *tally]
}

// tally is the count of one prefix, halved once in each window.
type tally struct {
	window int
	count  float64
}

func newCounts() *counts {
	prefixes, _ := simplelru.NewLRU[uint64, *tally](countedPrefixes, nil) // fails for sizes below 1 only
	return &counts{prefixes: prefixes}
}

// add counts one pick of the prefix and returns its share of the picks.
func (c *counts) add(prefix uint64) float64 {
	c.picks++
	window := c.picks / countWindow
	t, ok := c.prefixes.Get(prefix)
	if !ok {
		t = &tally{window: window}
		c.prefixes.Add(prefix, t)
	}
	for t.window < window && t.count > 0 {
		t.count /= 2
		t.window++
	}
	t.window = window
	share := t.count / c.total()
	t.count++
	return share
}

// total is the count that a prefix would have which had every pick.
func (c *counts) total() float64 {
	return countWindow + float64(c.picks%countWindow)
}

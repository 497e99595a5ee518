package route

import "slices"

// Member is a front proxy or sidecar in the instance list.
type Member struct {
	Name       string
	DataCentre string
}

// Settings of Subset.
const (
	// localShare is the fraction of a subset in the front proxy's own data centre.
	localShare = 0.5
	// maxLoadRatio limits the front proxies per sidecar, relative to the mean. The
	// limit is exceeded only if a front proxy would otherwise get too few sidecars.
	maxLoadRatio = 1.25
)

// Subset returns the indices, in ascending order, of the sidecars that the named
// front proxy connects to. The result is deterministic: all processes with the
// same member lists compute the same connections. Each front proxy connects to at
// least size sidecars, and each sidecar has at least one front proxy. Adding or
// removing a member changes few connections of the others. A front proxy that is
// not in entries is treated as if it were.
//
// If size is 0 or not less than the number of sidecars, Subset returns all of
// them. Call it once per pool when the members change: the cost is proportional
// to the number of front proxies times the number of sidecars.
func Subset(entry string, entries, sides []Member, size int) []int {
	if size <= 0 || size >= len(sides) {
		all := make([]int, len(sides))
		for i := range all {
			all[i] = i
		}
		return all
	}
	a := newAssignment(entries, sides, size)
	a.assign(true)
	a.assign(false)
	a.coverSides()
	for e := range entries {
		if entries[e].Name == entry {
			slices.Sort(a.chosen[e])
			return a.chosen[e]
		}
	}
	return Subset(entry, append(slices.Clone(entries), Member{Name: entry}), sides, size)
}

// assignment holds the connections chosen so far. Entries are the front proxies,
// sides the sidecars.
type assignment struct {
	entries, sides []Member
	entryHash      []uint64
	sideHash       []uint64
	order          []int // entries sorted by hash
	size           int
	chosen         [][]int // sides chosen for each entry
	entryCount     []int   // number of entries of each side
}

func newAssignment(entries, sides []Member, size int) *assignment {
	a := &assignment{
		entries:    entries,
		sides:      sides,
		entryHash:  hashes(entries),
		sideHash:   hashes(sides),
		size:       size,
		chosen:     make([][]int, len(entries)),
		entryCount: make([]int, len(sides)),
	}
	a.order = make([]int, len(entries))
	for i := range a.order {
		a.order[i] = i
	}
	slices.SortFunc(a.order, func(i, j int) int {
		if a.entryHash[i] < a.entryHash[j] {
			return -1
		}
		return 1
	})
	return a
}

func hashes(members []Member) []uint64 {
	h := make([]uint64, len(members))
	for i := range members {
		h[i] = HashName(members[i].Name)
	}
	return h
}

// assign chooses sides for every entry: with local set those of its own data
// centre, up to the local share; otherwise those of other data centres, up to the
// full size.
func (a *assignment) assign(local bool) {
	limit := a.sideLimits(local)
	for _, e := range a.order {
		target := a.target(e, local)
		for _, s := range a.rankedSides(e, local) {
			if len(a.chosen[e]) >= target {
				break
			}
			if a.entryCount[s] < limit[s] {
				a.link(e, s)
			}
		}
		a.fillUp(e, target, local)
	}
}

// target returns the number of sides that the entry should have after this round.
func (a *assignment) target(e int, local bool) int {
	if !local {
		return a.size
	}
	return min(int(localShare*float64(a.size)), a.sidesIn(a.entries[e].DataCentre))
}

func (a *assignment) sidesIn(dataCentre string) int {
	n := 0
	for _, s := range a.sides {
		if s.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// sideLimits returns the largest number of entries of each side in this round.
func (a *assignment) sideLimits(local bool) []int {
	limit := make([]int, len(a.sides))
	if !local {
		bound := ceil(maxLoadRatio * float64(len(a.entries)*a.size) / float64(len(a.sides)))
		for s := range limit {
			limit[s] = bound
		}
		return limit
	}
	bounds := map[string]int{}
	for _, e := range a.entries {
		bounds[e.DataCentre] += int(localShare * float64(a.size))
	}
	for dc, n := range bounds {
		bounds[dc] = ceil(maxLoadRatio * float64(n) / float64(max(1, a.sidesIn(dc))))
	}
	for s := range limit {
		limit[s] = bounds[a.sides[s].DataCentre]
	}
	return limit
}

func ceil(x float64) int {
	n := int(x)
	if float64(n) < x {
		n++
	}
	return n
}

// rankedSides returns the sides in the entry's own data centre, or those in the
// others, in the entry's rendezvous order.
func (a *assignment) rankedSides(e int, local bool) []int {
	ranked := make([]int, 0, len(a.sides))
	scores := make([]uint64, len(a.sides))
	for s := range a.sides {
		if (a.sides[s].DataCentre == a.entries[e].DataCentre) != local {
			continue
		}
		scores[s] = Mix(a.entryHash[e], a.sideHash[s])
		ranked = append(ranked, s)
	}
	slices.SortFunc(ranked, func(i, j int) int {
		if scores[i] > scores[j] {
			return -1
		}
		return 1
	})
	return ranked
}

// fillUp adds sides to an entry that the limits left with fewer than target,
// regardless of the limits.
func (a *assignment) fillUp(e, target int, local bool) {
	if len(a.chosen[e]) >= target {
		return
	}
	candidates := a.rankedSides(e, local)
	if !local {
		candidates = append(candidates, a.rankedSides(e, true)...)
	}
	for _, s := range candidates {
		if len(a.chosen[e]) >= target {
			return
		}
		if !slices.Contains(a.chosen[e], s) {
			a.link(e, s)
		}
	}
}

func (a *assignment) link(e, s int) {
	a.chosen[e] = append(a.chosen[e], s)
	a.entryCount[s]++
}

// coverSides adds entries to the sides with fewer than half the mean number.
func (a *assignment) coverSides() {
	least := max(1, len(a.entries)*a.size/len(a.sides)/2)
	for s := range a.sides {
		for a.entryCount[s] < min(least, len(a.entries)) {
			a.link(a.bestUnlinkedEntry(s), s)
		}
	}
}

// bestUnlinkedEntry returns the first entry in the side's rendezvous order that is
// not linked to it.
func (a *assignment) bestUnlinkedEntry(s int) int {
	best, bestScore := -1, uint64(0)
	for e := range a.entries {
		score := Mix(a.sideHash[s], a.entryHash[e])
		if best >= 0 && score <= bestScore {
			continue
		}
		if !slices.Contains(a.chosen[e], s) {
			best, bestScore = e, score
		}
	}
	return best
}

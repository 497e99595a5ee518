package route

import "slices"

// Member is an entry or a side process as the instance list names it.
type Member struct {
	Name       string
	DataCentre string
}

// Shares and bounds of subsets.
const (
	// localShare is the part of a subset that lies in the entry's own data centre.
	localShare = 0.5
	// subsetSlack is how far above the mean number of entries a side may be chosen.
	subsetSlack = 1.25
)

// Subset returns the indices, in ascending order, of the sides that the entry
// connects to. All processes that know the same members compute the same
// links: every entry takes at least size sides, and no side is left without
// entries. A member that comes or goes moves few links of the others.
//
// With size 0, or not fewer than the sides, the result is all of them. Call it
// once for each pool, when members change: it costs entries times sides.
func Subset(entry string, entries, sides []Member, size int) []int {
	if size <= 0 || size >= len(sides) {
		all := make([]int, len(sides))
		for i := range all {
			all[i] = i
		}
		return all
	}
	l := newLinks(entries, sides, size)
	l.choose(true)
	l.choose(false)
	l.cover()
	for e := range entries {
		if entries[e].Name == entry {
			slices.Sort(l.taken[e])
			return l.taken[e]
		}
	}
	return Subset(entry, append(slices.Clone(entries), Member{Name: entry}), sides, size)
}

// links is the choice of all entries while it is made.
type links struct {
	entries, sides []Member
	entryHash      []uint64
	sideHash       []uint64
	order          []int // entries in the order of their hashes
	size           int
	taken          [][]int // sides of each entry
	load           []int   // entries of each side
}

func newLinks(entries, sides []Member, size int) *links {
	l := &links{
		entries:   entries,
		sides:     sides,
		entryHash: hashes(entries),
		sideHash:  hashes(sides),
		size:      size,
		taken:     make([][]int, len(entries)),
		load:      make([]int, len(sides)),
	}
	l.order = make([]int, len(entries))
	for i := range l.order {
		l.order[i] = i
	}
	slices.SortFunc(l.order, func(a, b int) int {
		if l.entryHash[a] < l.entryHash[b] {
			return -1
		}
		return 1
	})
	return l
}

func hashes(members []Member) []uint64 {
	h := make([]uint64, len(members))
	for i := range members {
		h[i] = HashName(members[i].Name)
	}
	return h
}

// choose lets every entry take sides: with local set those of its own data
// centre, up to its local share; else any others, up to the whole size.
func (l *links) choose(local bool) {
	limit := l.limits(local)
	for _, e := range l.order {
		want := l.want(e, local)
		for _, s := range l.ranked(e, local) {
			if len(l.taken[e]) >= want {
				break
			}
			if l.load[s] < limit[s] {
				l.link(e, s)
			}
		}
		l.fill(e, want, local)
	}
}

// want is the number of sides that the entry is to have after this round.
func (l *links) want(e int, local bool) int {
	if !local {
		return l.size
	}
	return min(int(localShare*float64(l.size)), l.inCentre(l.entries[e].DataCentre))
}

func (l *links) inCentre(dataCentre string) int {
	n := 0
	for _, s := range l.sides {
		if s.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// limits returns, for each side, the number of entries at which it is full.
func (l *links) limits(local bool) []int {
	limit := make([]int, len(l.sides))
	if !local {
		bound := ceil(subsetSlack * float64(len(l.entries)*l.size) / float64(len(l.sides)))
		for s := range limit {
			limit[s] = bound
		}
		return limit
	}
	bounds := map[string]int{}
	for _, e := range l.entries {
		bounds[e.DataCentre] += int(localShare * float64(l.size))
	}
	for dc, n := range bounds {
		bounds[dc] = ceil(subsetSlack * float64(n) / float64(max(1, l.inCentre(dc))))
	}
	for s := range limit {
		limit[s] = bounds[l.sides[s].DataCentre]
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

// ranked returns the sides open to the entry in its rendezvous order.
func (l *links) ranked(e int, local bool) []int {
	ranked := make([]int, 0, len(l.sides))
	ranks := make([]uint64, len(l.sides))
	for s := range l.sides {
		if (l.sides[s].DataCentre == l.entries[e].DataCentre) != local {
			continue
		}
		ranks[s] = Mix(l.entryHash[e], l.sideHash[s])
		ranked = append(ranked, s)
	}
	slices.SortFunc(ranked, func(a, b int) int {
		if ranks[a] > ranks[b] {
			return -1
		}
		return 1
	})
	return ranked
}

// fill completes an entry's choice when the bounds left it short.
func (l *links) fill(e, want int, local bool) {
	if len(l.taken[e]) >= want {
		return
	}
	candidates := l.ranked(e, local)
	if !local {
		candidates = append(candidates, l.ranked(e, true)...)
	}
	for _, s := range candidates {
		if len(l.taken[e]) >= want {
			return
		}
		if !slices.Contains(l.taken[e], s) {
			l.link(e, s)
		}
	}
}

func (l *links) link(e, s int) {
	l.taken[e] = append(l.taken[e], s)
	l.load[s]++
}

// cover gives entries to the sides that too few entries chose.
func (l *links) cover() {
	least := max(1, len(l.entries)*l.size/len(l.sides)/2)
	for s := range l.sides {
		for l.load[s] < min(least, len(l.entries)) {
			l.link(l.bestWithout(s), s)
		}
	}
}

// bestWithout returns the entry first in the side's order that has not taken it.
func (l *links) bestWithout(s int) int {
	best, bestRank := -1, uint64(0)
	for e := range l.entries {
		rank := Mix(l.sideHash[s], l.entryHash[e])
		if best >= 0 && rank <= bestRank {
			continue
		}
		if !slices.Contains(l.taken[e], s) {
			best, bestRank = e, rank
		}
	}
	return best
}

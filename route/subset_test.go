package route_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/route"
)

const (
	numEntries     = 120
	poolSides      = 90 // about 3,100 sidecars over 35 models
	subsetSize     = 8
	numDataCentres = 6
)

func members(kind string, n int) []route.Member {
	m := make([]route.Member, n)
	for i := range m {
		m[i] = route.Member{Name: fmt.Sprintf("%s-%d", kind, i), DataCentre: fmt.Sprintf("dc-%d", i%numDataCentres)}
	}
	return m
}

// allLinks returns the set of all links, each in the form "entry side".
func allLinks(entries, sides []route.Member) map[string]bool {
	links := map[string]bool{}
	for _, e := range entries {
		for _, s := range route.Subset(e.Name, entries, sides, subsetSize) {
			links[e.Name+" "+sides[s].Name] = true
		}
	}
	return links
}

// No front proxy may get too few or too many sidecars, and no sidecar too few or too
// many front proxies; part of each subset is in other data centres.
func TestSubsetBalance(t *testing.T) {
	entries, sides := members("entry", numEntries), members("side", poolSides)
	load := map[int]int{}
	for _, e := range entries {
		subset := route.Subset(e.Name, entries, sides, subsetSize)
		require.GreaterOrEqual(t, len(subset), subsetSize)
		require.LessOrEqual(t, len(subset), 2*subsetSize)
		local := 0
		for _, s := range subset {
			load[s]++
			if sides[s].DataCentre == e.DataCentre {
				local++
			}
		}
		require.GreaterOrEqual(t, local, subsetSize/2)
		require.Less(t, local, len(subset), "some sidecars are in other data centres")
	}
	mean := numEntries * subsetSize / poolSides
	for s := range sides {
		require.GreaterOrEqual(t, load[s], mean/2, "side %d", s)
		require.LessOrEqual(t, load[s], 2*mean, "side %d", s)
	}
}

// Removing one member must move few of the other connections.
func TestSubsetStable(t *testing.T) {
	entries, sides := members("entry", 60), members("side", poolSides)
	before := allLinks(entries, sides)
	movedShare := func(after map[string]bool) float64 {
		n := 0
		for link := range after {
			if !before[link] {
				n++
			}
		}
		return float64(n) / float64(len(before))
	}
	side := movedShare(allLinks(entries, slices.Delete(slices.Clone(sides), 7, 8)))
	entry := movedShare(allLinks(slices.Delete(slices.Clone(entries), 7, 8), sides))
	t.Logf("share of links moved: one side removed %.3f, one entry removed %.3f", side, entry)
	require.Less(t, side, 0.10)
	require.Less(t, entry, 0.10)
}

// Without a size below the number of sidecars, a front proxy connects to all of them;
// one that is not listed gets a subset as well.
func TestSubsetAll(t *testing.T) {
	sides := members("side", 15)
	require.Len(t, route.Subset("x", members("entry", 3), sides, 0), 15)
	require.Len(t, route.Subset("x", members("entry", 3), sides, 15), 15)
	require.GreaterOrEqual(t, len(route.Subset("unlisted", members("entry", 3), sides, 6)), 6)
}

package scenario

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"marjorampitch/backing/backingtest"
)

// Sizes of a rank group.
const (
	groupExperts = 8
	groupLayers  = 2
)

// rankGroup is a group of engines that run their forward passes in lock-step.
type rankGroup struct {
	name  string
	slots int
	ranks []*backend
}

// AddGroup starts the engines of a group, one per rank.
func (tb *Testbed) AddGroup(name, dataCentre string, slots int, engines []string) error {
	g := &rankGroup{name: name, slots: slots}
	lockstep := backingtest.NewLockstep(len(engines))
	for rank, engine := range engines {
		opts := backingtest.DefaultEngineOptions()
		opts.Lockstep, opts.Rank = lockstep, rank
		if err := tb.AddEngine(engine, dataCentre, opts); err != nil {
			return err
		}
		b := tb.backends[engine]
		b.group, b.rank = g, rank
		g.ranks = append(g.ranks, b)
	}
	tb.groups[name] = g
	return nil
}

// documentSection returns the group's section of the service configuration.
func (g *rankGroup) documentSection() string {
	return fmt.Sprintf("\n[group %s]\nmodel = %s\nranks = %d\nexperts = %d\nlayers = %d\nslots = %d\nweight-rate = 64MB/s\n",
		g.name, model, len(g.ranks), groupExperts, groupLayers, g.slots)
}

// counters returns the counters of a group. conflicts: pairs of step ranges that
// overlap and used different maps; maps: maps that every rank has used; staged:
// ranks that hold a staged map; begun: steps that every rank has begun.
func (g *rankGroup) counters() counters {
	var spans [][]backingtest.RankSpan
	staged := 0
	for _, b := range g.ranks {
		spans = append(spans, b.engine.Stats().Steps)
		staged += boolToInt(b.engine.RankState().Staged != 0)
	}
	return counters{
		"conflicts": conflicts(spans),
		"maps":      commonMaps(spans),
		"staged":    staged,
		"begun":     minBegun(spans),
	}
}

// conflicts counts pairs of overlapping ranges of steps with different epochs or
// maps, of different ranks or of two incarnations of one rank.
func conflicts(ranks [][]backingtest.RankSpan) int {
	var all []backingtest.RankSpan
	for _, spans := range ranks {
		all = append(all, spans...)
	}
	n := 0
	for i, a := range all {
		for _, b := range all[:i] {
			overlap := a.First <= b.Last && b.First <= a.Last
			if overlap && (a.Epoch != b.Epoch || a.MapHash != b.MapHash) {
				n++
			}
		}
	}
	return n
}

// commonMaps counts the maps with which every rank has begun a step.
func commonMaps(ranks [][]backingtest.RankSpan) int {
	users := make(map[string]int)
	for _, spans := range ranks {
		own := make(map[string]bool)
		for _, s := range spans {
			own[s.MapHash] = true
		}
		for hash := range own {
			users[hash]++
		}
	}
	n := 0
	for _, ranksOf := range users {
		n += boolToInt(ranksOf == len(ranks))
	}
	return n
}

// minBegun returns the number of steps begun by the rank that began the fewest.
func minBegun(ranks [][]backingtest.RankSpan) int {
	lowest := -1
	for _, spans := range ranks {
		begun := 0
		for _, s := range spans {
			begun += int(s.Last - s.First + 1)
		}
		if lowest < 0 || begun < lowest {
			lowest = begun
		}
	}
	return lowest
}

// groupCommand starts a group of engines: group [-slots N] NAME DATA-CENTRE ENGINE...
func (tb *Testbed) groupCommand(args []string) error {
	slots := 0
	f := newFlagSet("group")
	f.IntVar(&slots, "slots", groupExperts/2, "")
	if err := f.Parse(args); err != nil {
		return err
	}
	if f.NArg() < 3 {
		return eris.New("usage: group [-slots N] NAME DATA-CENTRE ENGINE...")
	}
	return tb.AddGroup(f.Arg(0), f.Arg(1), slots, f.Args()[2:])
}

// slotsCommand changes the number of expert slots of groups: slots NAME=N... The
// next publish command publishes it.
func (tb *Testbed) slotsCommand(args []string) error {
	return forEach(args, func(arg string) error {
		name, value, _ := strings.Cut(arg, "=")
		g, ok := tb.groups[name]
		if !ok {
			return eris.Errorf("no group %q", name)
		}
		_, err := fmt.Sscan(value, &g.slots)
		return err
	})
}

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

// rankGroup is a group of engines in lock-step.
type rankGroup struct {
	name  string
	slots int
	ranks []*backend
}

// AddGroup starts a group of engines, one rank each.
func (w *World) AddGroup(name, dataCentre string, slots int, engines []string) error {
	g := &rankGroup{name: name, slots: slots}
	lockstep := backingtest.NewLockstep(len(engines))
	for rank, engine := range engines {
		opts := backingtest.DefaultEngineOptions()
		opts.Lockstep, opts.Rank = lockstep, rank
		if err := w.AddEngine(engine, dataCentre, opts); err != nil {
			return err
		}
		b := w.backends[engine]
		b.group, b.rank = g, rank
		g.ranks = append(g.ranks, b)
	}
	w.groups[name] = g
	return nil
}

// section is the group's section of the document.
func (g *rankGroup) section() string {
	return fmt.Sprintf("\n[group %s]\nmodel = %s\nranks = %d\nexperts = %d\nlayers = %d\nslots = %d\nweight-rate = 64MB/s\n",
		g.name, model, len(g.ranks), groupExperts, groupLayers, g.slots)
}

// counters of a group: conflicts are steps that two ranks began with different
// maps; maps are those that every rank has used; staged are ranks that hold a
// staged map; begun is the number of steps that every rank has begun.
func (g *rankGroup) counters() counters {
	var spans [][]backingtest.RankSpan
	staged := 0
	for _, b := range g.ranks {
		spans = append(spans, b.engine.Stats().Steps)
		staged += number(b.engine.RankState().Staged != 0)
	}
	return counters{
		"conflicts": conflicts(spans),
		"maps":      commonMaps(spans),
		"staged":    staged,
		"begun":     leastBegun(spans),
	}
}

// conflicts counts pairs of overlapping runs of steps with different maps, of
// different ranks or of two lives of one.
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

// commonMaps counts the maps that every rank has begun a step with.
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
		n += number(ranksOf == len(ranks))
	}
	return n
}

func leastBegun(ranks [][]backingtest.RankSpan) int {
	least := -1
	for _, spans := range ranks {
		begun := 0
		for _, s := range spans {
			begun += int(s.Last - s.First + 1)
		}
		if least < 0 || begun < least {
			least = begun
		}
	}
	return least
}

// groupVerb starts a group of engines: group [-slots N] NAME DATA-CENTRE ENGINE...
func (w *World) groupVerb(args []string) error {
	slots := 0
	f := flags("group")
	f.IntVar(&slots, "slots", groupExperts/2, "")
	if err := f.Parse(args); err != nil {
		return err
	}
	if f.NArg() < 3 {
		return eris.New("want: NAME DATA-CENTRE ENGINE...")
	}
	return w.AddGroup(f.Arg(0), f.Arg(1), slots, f.Args()[2:])
}

// slotsVerb changes the expert slots of groups, to be published: slots NAME=N...
func (w *World) slotsVerb(args []string) error {
	return each(args, func(arg string) error {
		name, value, _ := strings.Cut(arg, "=")
		g, ok := w.groups[name]
		if !ok {
			return eris.Errorf("no group %q", name)
		}
		_, err := fmt.Sscan(value, &g.slots)
		return err
	})
}

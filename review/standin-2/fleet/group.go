package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Shape of the group, as in the site that the cases name.
const (
	ranks      = 12
	sets       = 3
	experts    = 96 // per set
	placements = 11 // per rank and set
	spare      = 4
	copyTime   = 400 * time.Millisecond // of one expert to one rank
	passTime   = 40 * time.Millisecond
	picks      = 400.0 // of a set by the requests of one rank in one pass
	skew       = 1.3
)

const (
	groupName = "g0"
	none      = int64(-1)
)

// group simulates the model engines of a rank group. Its passes begin while streams run,
// or always if busy is set.
type group struct {
	rec  *record
	busy bool

	mu       sync.Mutex // guards the fields below
	step     int64
	streams  int
	mixed    string // the first pass that began with two different maps; empty for none
	weights  [sets][]float64
	ranks    [ranks]rank
	passDone chan struct{}           // closed at each pass
	onCopy   func()                  // called, with mu held, when a rank begins to copy experts
	endless  [ranks]bool             // reports are bytes without end
	random   func() *rand.Rand       // source of the demand
	holds    map[int64]time.Duration // when a pass was first held
}

// rank is the state of one engine.
type rank struct {
	seq, version, highest          int64
	prepared, armed, armedAt, held int64
	copying                        int64 // version whose experts are being copied
	content                        map[int64]string
	experts                        map[int64][sets][]int
	counts                         [sets * experts]int64
}

func newGroup(rec *record, busy bool) *group {
	g := &group{rec: rec, busy: busy, passDone: make(chan struct{}), holds: make(map[int64]time.Duration)}
	source := rand.New(rand.NewPCG(rand.Uint64(), 1))
	g.random = func() *rand.Rand { return source }
	for r := range g.ranks {
		x := &g.ranks[r]
		x.prepared, x.armed, x.held, x.copying = none, none, none, none
		var own [sets][]int
		for s := range sets {
			for e := r; e < experts; e += ranks {
				own[s] = append(own[s], e)
			}
		}
		x.content = map[int64]string{0: ""}
		x.experts = map[int64][sets][]int{0: own}
	}
	for s := range g.weights {
		g.weights[s] = zipf(source, nil, 1)
	}
	return g
}

// zipf returns the shares in which the experts of a set are chosen. A part of the order of
// old, if not nil, is drawn anew.
func zipf(source *rand.Rand, old []float64, part float64) []float64 {
	w := make([]float64, experts)
	if old == nil {
		sum := 0.0
		for i := range w {
			w[i] = 1 / math.Pow(float64(i+1), skew)
			sum += w[i]
		}
		for i := range w {
			w[i] /= sum
		}
	} else {
		copy(w, old)
	}
	for i := range w {
		if source.Float64() < part {
			j := source.IntN(experts)
			w[i], w[j] = w[j], w[i]
		}
	}
	return w
}

// shiftDemand changes which experts are in demand.
func (g *group) shiftDemand() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range g.weights {
		g.weights[s] = zipf(g.random(), g.weights[s], 0.65)
	}
}

// run makes passes until ctx ends.
func (g *group) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(passTime)
		g.mu.Lock()
		if (g.busy || g.streams > 0) && g.beginPass() {
			close(g.passDone)
			g.passDone = make(chan struct{})
		}
		g.mu.Unlock()
	}
}

// beginPass begins the next pass unless a rank holds it. The caller holds mu.
func (g *group) beginPass() bool {
	next := g.step + 1
	for r := range g.ranks {
		if g.ranks[r].held == next {
			if _, known := g.holds[next]; !known {
				g.holds[next] = g.rec.now()
			}
			return false
		}
	}
	g.step = next
	for r := range g.ranks {
		x := &g.ranks[r]
		if x.armed != none && x.armedAt == next {
			x.version, x.armed, x.prepared = x.armed, none, none
		}
		for s := range sets {
			for e := range experts {
				x.counts[s*experts+e] += int64(math.Round(picks * g.weights[s][e]))
			}
		}
	}
	first := &g.ranks[0]
	for r := range g.ranks {
		x := &g.ranks[r]
		if x.version == first.version && x.content[x.version] == first.content[first.version] {
			continue
		}
		if g.mixed == "" {
			g.mixed = fmt.Sprintf("pass %d began with map %d at rank 0 and map %d at rank %d", next, first.version, x.version, r)
			g.rec.line("MAP broken: %s; maps by rank: %s", g.mixed, g.versions())
		}
		break
	}
	return true
}

// versions lists the maps in use. The caller holds mu.
func (g *group) versions() string {
	list := make([]int64, ranks)
	for r := range g.ranks {
		list[r] = g.ranks[r].version
	}
	return fmt.Sprint(list)
}

// progress returns the number of passes, the map of rank 0, and the pass with two maps.
func (g *group) progress() (step, version int64, mixed string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step, g.ranks[0].version, g.mixed
}

// state describes holds and arms, for the record.
func (g *group) state() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	text := fmt.Sprintf("last pass begun %d", g.step)
	armed := 0
	for r := range g.ranks {
		x := &g.ranks[r]
		if x.held != none {
			text += fmt.Sprintf(", rank %d holds pass %d", r, x.held)
		}
		if x.armed != none {
			armed++
		}
	}
	return text + fmt.Sprintf(", %d ranks are armed", armed)
}

func optional(v int64) any {
	if v == none {
		return nil
	}
	return v
}

func (g *group) serveReport(w http.ResponseWriter, r int) {
	g.mu.Lock()
	endless := g.endless[r]
	x := &g.ranks[r]
	doc := map[string]any{
		"stage": "colocated", "models": []any{}, "busy": x.copying != none, "seq": x.seq, "queued": 0, "running": g.streams / ranks,
		"kv_used": 0, "kv_total": 280000, "handles": 0, "pace": 1.0,
		"group": map[string]any{"name": groupName, "epoch": 1, "rank": r, "state": "open"}, "size": ranks, "step": g.step,
		"map": x.version, "prepared": optional(x.prepared), "held": optional(x.held),
	}
	if x.armed != none {
		doc["armed"] = map[string]any{"version": x.armed, "step": x.armedAt}
	}
	g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if endless {
		bytes, sent := make([]byte, 64<<10), 0
		for {
			if _, err := w.Write(bytes); err != nil {
				g.rec.line("rank %d: GET /marjorampitch/report is answered with %d MB, then the caller closes", r, sent>>20)
				return
			}
			sent += len(bytes)
		}
	}
	json.NewEncoder(w).Encode(doc) //nolint:errcheck // the caller detects a failed write
}

func (g *group) servePicked(w http.ResponseWriter, r int) {
	g.mu.Lock()
	doc := map[string]any{"step": g.step, "epoch": 1, "counts": g.ranks[r].counts}
	g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(doc) //nolint:errcheck // as above
}

// order is the body of an order.
type order struct {
	Op      string    `json:"op"`
	Epoch   *int64    `json:"epoch"`
	Expect  *int64    `json:"expect"`
	Version int64     `json:"version"`
	Step    int64     `json:"step"`
	Map     [][][]int `json:"map"`
}

func (g *group) serveOrder(w http.ResponseWriter, r *http.Request, rank int) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	x := &g.ranks[rank]
	status := http.StatusConflict
	if (o.Epoch == nil || *o.Epoch == 1) && (o.Expect == nil || *o.Expect == x.seq) {
		status = g.carryOut(&o, rank)
	}
	switch o.Op {
	case "prepare", "arm":
	default:
		g.rec.line("rank %d: %s step %d version %d, expect %d of %d: %d", rank, o.Op, o.Step, o.Version, *o.Expect, x.seq, status)
	}
	w.WriteHeader(status)
}

// carryOut carries an order out and returns the status of its answer: 202 if it has begun
// something, which is then counted in seq, 200 if it is done. The caller holds mu.
func (g *group) carryOut(o *order, r int) int {
	x := &g.ranks[r]
	switch o.Op {
	case "prepare":
		return g.prepare(o, r)
	case "arm":
		switch {
		case x.armed == o.Version && x.armedAt == o.Step:
			return http.StatusOK
		case x.prepared != o.Version || g.step >= o.Step:
			return http.StatusConflict
		}
		x.armed, x.armedAt = o.Version, o.Step
	case "disarm":
		if x.version == o.Version {
			return http.StatusConflict
		}
		if x.armed == o.Version {
			x.armed = none
		}
	case "hold":
		if g.step >= o.Step || x.held != none && x.held != o.Step {
			return http.StatusConflict
		}
		x.held = o.Step
	case "go":
		if x.held == o.Step {
			x.held = none
		}
	default:
		return http.StatusBadRequest
	}
	return http.StatusOK
}

// prepare begins to copy the experts that a map adds to a rank. The caller holds mu.
func (g *group) prepare(o *order, r int) int {
	x := &g.ranks[r]
	if o.Version <= x.highest || x.armed != none || len(o.Map) != sets {
		return http.StatusConflict
	}
	var held [sets][]int
	added := 0
	for s := range sets {
		if len(o.Map[s]) != ranks || len(o.Map[s][r]) > placements {
			return http.StatusConflict
		}
		held[s] = o.Map[s][r]
		n := 0
		for _, e := range held[s] {
			if !contains(x.experts[x.version][s], e) {
				n++
			}
		}
		if n > spare {
			return http.StatusConflict
		}
		added += n
	}
	x.highest, x.prepared, x.copying = o.Version, none, none
	x.content[o.Version], x.experts[o.Version] = fmt.Sprint(o.Map), held
	if g.onCopy != nil {
		g.onCopy()
	}
	if added == 0 {
		x.prepared = o.Version
		return http.StatusOK
	}
	x.seq++
	x.copying = o.Version
	time.AfterFunc(time.Duration(added)*copyTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if x.copying == o.Version {
			x.copying, x.prepared = none, o.Version
		}
	})
	return http.StatusAccepted
}

func contains(list []int, e int) bool {
	for _, x := range list {
		if x == e {
			return true
		}
	}
	return false
}

// await waits for the next pass. It returns false if ctx ends first.
func (g *group) await(ctx context.Context) bool {
	g.mu.Lock()
	done := g.passDone
	g.mu.Unlock()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// addStreams changes the number of running streams.
func (g *group) addStreams(n int) {
	g.mu.Lock()
	g.streams += n
	g.mu.Unlock()
}

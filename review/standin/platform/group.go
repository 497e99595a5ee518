package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Dimensions of the group, as in the configuration of ModelConfig.
const (
	Sets       = 3
	Experts    = 96
	placements = 11
	spare      = 4
	slots      = 12
	copyTime   = 400 * time.Millisecond // expert_mb over link_mbps
	passTime   = 25 * time.Millisecond
	prefill    = 2 // passes until the first event of a stream
	events     = 24
	none       = int64(-1)
)

// Group is a group of model workers that execute all passes together, as PROTOCOL.md
// describes them. It checks that a pass begins with one map at all ranks.
type Group struct {
	t *Test
	// OnOrder is called after an order has been confirmed with 202, with its name, rank and
	// version. It may be nil.
	OnOrder func(op string, rank int, version int64)

	mu       sync.Mutex
	ranks    []*Rank
	step     int64
	streams  map[*stream]bool
	weights  [][]float64 // popularity of the experts, by set
	rnd      *rand.Rand
	Broken   []string      // passes that began with different maps
	heldAt   time.Duration // since when the next pass is held; 0 if it is not
	LastPass time.Duration
}

// Rank is the worker of one rank.
type Rank struct {
	Entry
	group *Group
	rank  int

	seq, version, highest    int64
	prepared, armed, armedAt int64
	held                     int64
	busy                     bool
	busyUntil                time.Duration
	copying                  int64
	maps                     map[int64][][]int // experts by set, of the versions that it has had
	counts                   []int64
	running                  int
}

type stream struct {
	rank    *Rank
	wait    int
	event   int
	out     chan int // ids of events
	stopped bool
}

// NewGroup starts n workers on the given addresses and lets them write their entries.
func NewGroup(t *Test, s *Store, service string, addresses []string) (*Group, error) {
	g := &Group{t: t, streams: map[*stream]bool{}, rnd: rand.New(rand.NewPCG(rand.Uint64(), 1))}
	for i, address := range addresses {
		r := &Rank{
			group: g, rank: i, prepared: none, armed: none, armedAt: none, held: none,
			Entry:  Entry{ID: fmt.Sprintf("m-%d", i), Service: service, Address: address, Zone: "za", Slots: slots, Born: time.Now().UnixMilli()},
			maps:   map[int64][][]int{},
			counts: make([]int64, Sets*Experts),
		}
		initial := make([][]int, Sets)
		for set := range initial {
			for e := i; e < Experts; e += len(addresses) {
				initial[set] = append(initial[set], e)
			}
		}
		r.maps[0] = initial
		g.ranks = append(g.ranks, r)
	}
	g.weights = make([][]float64, Sets)
	for set := range g.weights {
		g.weights[set] = make([]float64, Experts)
		for e := range g.weights[set] {
			g.weights[set][e] = 1
		}
	}
	for _, r := range g.ranks {
		ln, err := net.Listen("tcp", r.Address)
		if err != nil {
			return nil, err
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /marjorampitch/report", r.serveReport)
		mux.HandleFunc("GET /marjorampitch/picked", r.servePicked)
		mux.HandleFunc("POST /marjorampitch/order", r.serveOrder)
		mux.HandleFunc("/", r.serveStream)
		go http.Serve(ln, mux) //nolint:errcheck // ends with the program
		go r.Beat(s)
	}
	go g.run()
	return g, nil
}

// Shift makes other experts liked.
func (g *Group) Shift() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for set := range g.weights {
		order := g.rnd.Perm(Experts)
		for i, e := range order {
			g.weights[set][e] = 1 / math.Pow(float64(i+1), 1.3)
		}
	}
	g.t.Log("group: other experts are in demand")
}

// State returns the versions in force and the passes so far.
func (g *Group) State() (versions []int64, step int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		versions = append(versions, r.version)
	}
	return versions, g.step
}

// Describe returns the state of all ranks for the record.
func (g *Group) Describe() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := fmt.Sprintf("pass %d", g.step)
	for _, r := range g.ranks {
		out += fmt.Sprintf("; rank %d map %d", r.rank, r.version)
		if r.prepared != none {
			out += fmt.Sprintf(" prepared %d", r.prepared)
		}
		if r.armed != none {
			out += fmt.Sprintf(" armed %d at %d", r.armed, r.armedAt)
		}
		if r.held != none {
			out += fmt.Sprintf(" holds %d", r.held)
		}
	}
	return out
}

// HeldSince returns since when the group does not begin its next pass because of a hold;
// 0 if it is not held.
func (g *Group) HeldSince() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heldAt
}

func (g *Group) run() {
	for {
		time.Sleep(passTime)
		g.mu.Lock()
		now := g.t.Now()
		for _, r := range g.ranks {
			if r.busy && now >= r.busyUntil {
				r.busy, r.prepared = false, r.copying
			}
		}
		if len(g.streams) > 0 {
			g.pass(now)
		}
		g.mu.Unlock()
	}
}

// pass begins the next pass unless a rank holds it. The caller holds mu.
func (g *Group) pass(now time.Duration) {
	next := g.step + 1
	for _, r := range g.ranks {
		if r.held == next {
			if g.heldAt == 0 {
				g.heldAt = now
			}
			return
		}
	}
	g.heldAt, g.LastPass, g.step = 0, now, next
	for _, r := range g.ranks {
		if r.armed != none && r.armedAt == next {
			g.t.Log("group: rank %d begins pass %d with map %d", r.rank, next, r.armed)
			r.version, r.armed, r.prepared = r.armed, none, none
		}
	}
	g.check(next)
	for _, r := range g.ranks {
		if r.running == 0 {
			continue
		}
		for set := range Sets {
			g.pick(r, set)
		}
	}
	for x := range g.streams {
		if x.wait > 0 {
			x.wait--
			continue
		}
		x.event++
		select {
		case x.out <- x.event:
		default:
		}
		if x.event >= events {
			close(x.out)
			delete(g.streams, x)
			x.rank.running--
		}
	}
}

// pick counts what the requests of a rank choose in a pass. The caller holds mu.
func (g *Group) pick(r *Rank, set int) {
	total := 0.0
	for _, w := range g.weights[set] {
		total += w
	}
	for range 40 * r.running {
		x := g.rnd.Float64() * total
		for e, w := range g.weights[set] {
			if x -= w; x < 0 {
				r.counts[set*Experts+e]++
				break
			}
		}
	}
}

// check compares the maps of all ranks: "a pass begins while two ranks of a group have
// different maps, by version or content". The content is what the rank was told of all
// ranks' experts. The caller holds mu.
func (g *Group) check(pass int64) {
	first := g.ranks[0]
	for _, r := range g.ranks[1:] {
		if r.version != first.version {
			g.broken(pass, fmt.Sprintf("rank 0 has map %d, rank %d has map %d", first.version, r.rank, r.version))
			return
		}
	}
	if first.version == 0 {
		return
	}
	for _, r := range g.ranks[1:] {
		if a, b := first.content(), r.content(); a != b {
			g.broken(pass, fmt.Sprintf("rank 0 and rank %d both have map %d, with different contents: set 0 is %.160s... at rank 0 and %.160s... at rank %d",
				r.rank, first.version, a, b, r.rank))
			return
		}
	}
}

func (g *Group) broken(pass int64, what string) {
	g.Broken = append(g.Broken, what)
	if n := len(g.Broken); n <= 3 {
		g.t.Break("pass %d begins with different maps: %s", pass, what)
	}
}

// content returns the map in force as the rank was told it.
func (r *Rank) content() string { return fmt.Sprint(r.maps[r.version]) }

func optional(v int64) any {
	if v == none {
		return nil
	}
	return v
}

func (r *Rank) serveReport(w http.ResponseWriter, _ *http.Request) {
	g := r.group
	g.mu.Lock()
	doc := map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"busy": r.busy, "seq": r.seq, "queued": 0, "running": r.running, "kv_used": 0, "kv_total": 280000, "handles": 0, "pace": 1, "born": r.Born,
		"group": map[string]any{"name": "g", "epoch": 1, "rank": r.rank, "state": "open"}, "size": len(g.ranks),
		"step": g.step, "map": r.version, "prepared": optional(r.prepared), "held": optional(r.held),
	}
	if r.armed != none {
		doc["armed"] = map[string]any{"version": r.armed, "step": r.armedAt}
	}
	g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(doc) //nolint:errcheck // the caller notices
}

func (r *Rank) servePicked(w http.ResponseWriter, _ *http.Request) {
	g := r.group
	g.mu.Lock()
	doc := map[string]any{"step": g.step, "epoch": 1, "counts": slices.Clone(r.counts)}
	g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(doc) //nolint:errcheck // as above
}

type order struct {
	Op      string    `json:"op"`
	Epoch   *int64    `json:"epoch"`
	Expect  *int64    `json:"expect"`
	Version int64     `json:"version"`
	Step    int64     `json:"step"`
	Map     [][][]int `json:"map"`
}

func (r *Rank) serveOrder(w http.ResponseWriter, req *http.Request) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := r.group
	g.mu.Lock()
	status := http.StatusConflict
	if (o.Epoch == nil || *o.Epoch == 1) && (o.Expect == nil || *o.Expect == r.seq) {
		status = r.apply(&o)
	}
	if status == http.StatusAccepted {
		r.seq++
	}
	g.t.Log("worker rank %d: order %s version %d step %d: %d", r.rank, o.Op, o.Version, o.Step, status)
	g.mu.Unlock()
	w.WriteHeader(status)
	if status == http.StatusAccepted && g.OnOrder != nil {
		g.OnOrder(o.Op, r.rank, o.Version)
	}
}

// apply carries an order out. The caller holds the group's mu.
func (r *Rank) apply(o *order) int {
	g := r.group
	switch o.Op {
	case "prepare":
		return r.prepare(o)
	case "arm":
		switch {
		case r.armed == o.Version && r.armedAt == o.Step:
			return http.StatusOK
		case r.prepared != o.Version || g.step >= o.Step:
			return http.StatusConflict
		}
		r.armed, r.armedAt = o.Version, o.Step
	case "disarm":
		switch {
		case r.version == o.Version:
			return http.StatusConflict
		case r.armed != o.Version:
			return http.StatusOK
		}
		r.armed = none
	case "hold":
		switch {
		case r.held == o.Step:
			return http.StatusOK
		case g.step >= o.Step || r.held != none:
			return http.StatusConflict
		}
		r.held = o.Step
	case "go":
		if r.held != o.Step {
			return http.StatusOK
		}
		r.held = none
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

func (r *Rank) prepare(o *order) int {
	g := r.group
	if o.Version <= r.highest || r.armed != none || len(o.Map) != Sets {
		return http.StatusConflict
	}
	added := 0
	for set, rows := range o.Map {
		if len(rows) != len(g.ranks) {
			return http.StatusConflict
		}
		placed := make([]bool, Experts)
		for _, row := range rows {
			if len(row) > placements {
				return http.StatusConflict
			}
			for _, e := range row {
				placed[e] = true
			}
		}
		if slices.Contains(placed, false) {
			return http.StatusConflict
		}
		fresh := 0
		for _, e := range rows[r.rank] {
			if !slices.Contains(r.own()[set], e) {
				fresh++
			}
		}
		if fresh > spare {
			return http.StatusConflict
		}
		added += fresh
	}
	r.highest, r.prepared = o.Version, none
	flat := make([][]int, 0, Sets*len(g.ranks))
	for _, rows := range o.Map {
		for _, row := range rows {
			sorted := slices.Clone(row)
			slices.Sort(sorted)
			flat = append(flat, sorted)
		}
	}
	r.maps[o.Version] = flat
	r.busy, r.copying, r.busyUntil = true, o.Version, g.t.Now()+time.Duration(added)*copyTime
	if added == 0 {
		r.busy, r.prepared = false, o.Version
	}
	return http.StatusAccepted
}

// own returns the rank's own experts under the map in force, by set.
func (r *Rank) own() [][]int {
	if r.version == 0 {
		return r.maps[0]
	}
	flat, n := r.maps[r.version], len(r.group.ranks)
	own := make([][]int, Sets)
	for set := range own {
		own[set] = flat[set*n+r.rank]
	}
	return own
}

// serveStream runs a request: a stream of events, one a pass.
func (r *Rank) serveStream(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Marjorampitch-Request-Id")
	if want := req.Header.Get("Marjorampitch-Expect-Instance"); want != "" && want != r.ID {
		w.Header().Set("Marjorampitch-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	io.Copy(io.Discard, req.Body) //nolint:errcheck // the body is short
	g := r.group
	x := &stream{rank: r, wait: prefill, out: make(chan int, events+1)}
	fmt.Sscan(req.Header.Get("Last-Event-Id"), &x.event) //nolint:errcheck // none is no event
	g.mu.Lock()
	if r.running >= slots {
		g.mu.Unlock()
		w.Header().Set("Marjorampitch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if x.event >= events {
		close(x.out)
	} else {
		g.streams[x] = true
		r.running++
	}
	g.mu.Unlock()
	leave := func() {
		g.mu.Lock()
		if g.streams[x] {
			delete(g.streams, x)
			r.running--
		}
		g.mu.Unlock()
	}
	defer leave()
	limit := time.After(8 * time.Second)
	begun := false
	for {
		select {
		case event, ok := <-x.out:
			if !begun {
				begun = true
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Marjorampitch-Request-Id", id)
				w.Header().Set("Marjorampitch-Response-Seal", Seal(r.ID, id))
				w.Header().Set("Marjorampitch-Weight-Versions", "1")
			}
			if !ok {
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s of %s\n\n", event, fmt.Sprint(event), id)
			w.(http.Flusher).Flush()
		case <-limit: // the value of Marjorampitch-Deadline-Ms is no longer than that
			if !begun {
				w.Header().Set("Marjorampitch-Request-Id", id)
				w.WriteHeader(http.StatusGatewayTimeout)
				return
			}
			panic(http.ErrAbortHandler)
		case <-req.Context().Done():
			return
		}
	}
}

// ModelConfig returns a configuration with one service of models and one stream route.
func ModelConfig(version int) []byte {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-stream", "host": "svc.example", "path_prefix": "/draft/", "kind": "stream", "timeout_ms": 8000,
			"target_latency_ms": 500, "priority": 1, "service": "models", "max_attempts": 2, "allow_anonymous": false,
			"session_affinity": true, "resume_streams": true, "target_gap_ms": 120,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{ModelKey}, "priority": 1}},
		"services": []map[string]any{
			{"name": "models", "health_path": "/health", "max_conns": 408, "protocol": "h1", "tls": false, "cold_start_s": 3, "cold_per_s": 36, "engine": map[string]any{
				"slots": slots, "kv_capacity": 280000, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183, "read_per_s": 61400,
				"usual": map[string]any{"prompt": 800, "answer": 97}, "sets": Sets, "experts": Experts, "placements": placements, "spare": spare,
				"expert_share": 0.85, "expert_mb": 2200, "link_mbps": 44000, "form_ms": 600,
			}},
		},
	})
	if err != nil {
		panic(err) // the types are fixed
	}
	return data
}

// ModelKey is the key of the tenant of ModelConfig.
const ModelKey = "n2ctnfzs989anu6wsjnb"

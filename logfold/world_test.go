package logfold_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"marjorampitch/backing"
	"marjorampitch/config/publish"
	"marjorampitch/logfold"
	"marjorampitch/wire"
)

const (
	tick       = 100 * time.Millisecond
	beatEvery  = wire.HeartbeatInterval
	freshFor   = 5 * time.Second
	retention  = 60 * time.Second
	service    = "s"
	numCentres = 3
	readFails  = 800 * time.Millisecond // time until a read of an unreachable log fails
)

// text returns a document that tells itself apart by mark.
func text(mark int, valid bool) []byte {
	var b strings.Builder
	b.WriteString("[service]\nname = s\nformat = 1\n")
	for i := range numCentres {
		fmt.Fprintf(&b, "[data-centre d%d]\nregion = r\n", i)
	}
	b.WriteString("[backend-server b]\ndata-centre = d0\nkind = plain\npool = p\nmax-running = 4\n")
	b.WriteString("[route r]\npath = /r\npool = p\nidempotent = yes\n")
	fmt.Fprintf(&b, "[organisation o]\nweight = %d\n", mark+1)
	if valid {
		b.WriteString("[routing]\npolicy = random\n[placement]\npolicy = static\n[limits]\nfresh-for = 5s\n")
	}
	return []byte(b.String())
}

// stored is a record with the time it was stored at.
type stored struct {
	at   time.Duration
	data []byte
}

// stream keeps all records ever stored; those before start are cut.
type stream struct {
	all   []stored
	start backing.Offset
}

// fate is what becomes of an append.
type fate int

const (
	stores fate = iota
	losesAnswer
	landsLate
	neverLands
	refused
	numFates
)

// late is an append that lands at a later time.
type late struct {
	at   time.Duration
	name string
	data []byte
}

// world is the log service, the processes and what stands between them, in
// virtual time.
type world struct {
	now     time.Duration
	rng     *rand.Rand
	streams map[string]*stream
	late    []late
	logDown bool // nobody can read
	fate    fate // of the next append
	lateBy  time.Duration
	race    func() // runs just before the next append
	procs   []*proc
	cut     map[[2]int]bool // pairs of processes without a connection
	events  []event
	downs   []bool // per tick: in most data centres somebody could not read
	counts  map[string]int
	steps   int

	anyCheckpoint bool // mechanism taken out
}

// event is something under way to a process.
type event struct {
	at    time.Duration
	to    *proc
	life  int
	event logfold.Event
}

// wait is a read that waits for a record.
type wait struct {
	sent     time.Duration
	deadline time.Duration
	read     logfold.ReadConfig
}

type proc struct {
	id       int
	centre   string
	reading  logfold.ReadMode
	writes   bool
	follower *logfold.Follower
	born     time.Duration
	life     int
	logCut   bool
	paused   bool
	waits    []wait
	top      int64 // highest offset in force in this life
	stale    []event
}

func newWorld(seed uint64) *world {
	w := &world{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		streams: map[string]*stream{logfold.ConfigStream(service): {}, logfold.CheckpointStream(service): {}},
		cut:     map[[2]int]bool{},
		counts:  map[string]int{},
	}
	return w
}

// addDefault adds an entry and a side in every data centre.
func (w *world) addDefault() {
	sides := []logfold.ReadMode{logfold.ReadWhenNeeded, logfold.ReadNever, logfold.ReadWhenNeeded}
	for i := range numCentres {
		w.add(fmt.Sprintf("d%d", i), logfold.ReadAlways, true)
		w.add(fmt.Sprintf("d%d", i), sides[i], false)
	}
}

func (w *world) add(centre string, reading logfold.ReadMode, writes bool) {
	p := &proc{id: len(w.procs), centre: centre, reading: reading, writes: writes}
	w.procs = append(w.procs, p)
	w.restart(p)
}

func (w *world) restart(p *proc) {
	opts := logfold.Options{Service: service, DataCentre: p.centre, ReadMode: p.reading, Jitter: w.rng.Float64}
	if p.writes {
		opts.CheckpointEvery = retention / 4
	}
	p.follower = logfold.NewFollower(opts)
	if w.anyCheckpoint {
		p.follower.UseAnyCheckpoint()
	}
	p.born, p.life, p.waits, p.top, p.paused, p.stale = w.now, p.life+1, nil, -1, false, nil
}

func (p *proc) local(now time.Duration) time.Duration { return now - p.born }

func (w *world) reads(p *proc) bool { return !w.logDown && !p.logCut }

// store appends a record now.
func (w *world) store(name string, data []byte) backing.Offset {
	s := w.streams[name]
	s.all = append(s.all, stored{w.now, data})
	return backing.Offset(len(s.all) - 1)
}

func (w *world) trim() {
	for _, s := range w.streams {
		for int(s.start) < len(s.all) && s.all[s.start].at+retention < w.now {
			s.start++
		}
	}
}

// Append implements backing.Log; the fate applies once.
func (w *world) Append(_ context.Context, name string, records [][]byte) (backing.Offset, error) {
	if race := w.race; race != nil {
		w.race = nil
		race()
	}
	f := w.fate
	w.fate = stores
	w.counts[fmt.Sprintf("append fate %d", f)]++
	switch f {
	case losesAnswer:
		w.store(name, records[0])
		return backing.None, backing.ErrUnknown
	case landsLate:
		w.late = append(w.late, late{w.now + w.lateBy, name, records[0]})
		return backing.None, backing.ErrUnknown
	case neverLands:
		return backing.None, backing.ErrUnknown
	case refused:
		return backing.None, backing.ErrRefused
	}
	return w.store(name, records[0]), nil
}

// Read implements backing.Log for operators, who never wait.
func (w *world) Read(_ context.Context, name string, from backing.Offset, limit int, _ time.Duration) (backing.Batch, error) {
	if w.logDown {
		return backing.Batch{}, backing.ErrUnavailable
	}
	s := w.streams[name]
	b := backing.Batch{Start: s.start, End: backing.Offset(len(s.all))}
	if from < s.start {
		return b, backing.ErrTrimmed
	}
	for o := from; o < b.End && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, backing.Record{Offset: o, Data: s.all[o].data})
	}
	return b, nil
}

// handle passes an event to a process and does what it wants.
func (w *world) handle(p *proc, e logfold.Event) {
	w.steps++
	for _, a := range p.follower.Handle(p.local(w.now), e) {
		w.perform(p, a)
	}
}

func (w *world) perform(p *proc, a logfold.Action) {
	switch a := a.(type) {
	case logfold.ReadConfig:
		w.counts["read"]++
		p.waits = append(p.waits, wait{w.now, w.now + a.Wait, a})
	case logfold.ReadCheckpoints:
		if !w.reads(p) {
			w.send(p, readFails, logfold.CheckpointsReadFailed{})
			return
		}
		b, err := w.Read(context.Background(), logfold.CheckpointStream(service), a.From, a.Limit, 0)
		w.send(p, w.delay(), logfold.CheckpointsRead{Trimmed: err != nil, Batch: b})
	case logfold.WriteCheckpoint:
		offset, err := w.Append(context.Background(), logfold.CheckpointStream(service), [][]byte{a.Data})
		w.counts["checkpoint"]++
		w.send(p, w.delay(), logfold.CheckpointWritten{OK: err == nil, Offset: offset})
	case logfold.Ask:
		w.ask(p, a)
	}
}

// ask carries a query and its answer, unless the two are cut off.
func (w *world) ask(p *proc, a logfold.Ask) {
	for _, peer := range w.procs {
		if fmt.Sprint(peer.id) != a.Peer || w.apart(p, peer) || peer.paused {
			continue
		}
		if answer := peer.follower.Answer(&a.Query); answer != nil {
			w.counts["handed over"]++
			w.send(p, 2*w.delay(), logfold.PeerOffered{Config: *answer})
		}
	}
}

func (w *world) delay() time.Duration { return time.Duration(w.rng.IntN(3)) * tick }

func (w *world) send(p *proc, delay time.Duration, e logfold.Event) {
	w.events = append(w.events, event{w.now + delay, p, p.life, e})
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (w *world) apart(a, b *proc) bool { return w.cut[pair(a.id, b.id)] }

// step advances virtual time by one tick.
func (w *world) step() {
	w.now += tick
	w.trim()
	w.land()
	for _, p := range w.procs {
		w.answerReads(p)
	}
	w.deliver()
	for _, p := range w.procs {
		if p.paused {
			continue
		}
		for _, e := range p.stale {
			w.handle(p, e.event)
		}
		p.stale = nil
		w.handle(p, logfold.Tick{})
	}
	if w.now%beatEvery == 0 {
		w.beat()
	}
	w.downs = append(w.downs, w.mostCannotRead())
}

func (w *world) land() {
	rest := w.late[:0]
	for _, l := range w.late {
		if l.at <= w.now {
			w.store(l.name, l.data)
			w.counts["landed late"]++
			continue
		}
		rest = append(rest, l)
	}
	w.late = rest
}

// answerReads answers the reads of a process that have a record or have waited.
func (w *world) answerReads(p *proc) {
	var rest []wait
	for _, r := range p.waits {
		if !w.reads(p) {
			w.send(p, readFails, logfold.ConfigReadFailed{})
			continue
		}
		b, err := w.Read(context.Background(), logfold.ConfigStream(service), r.read.From, 3, 0)
		switch {
		case err != nil:
			w.send(p, w.delay(), logfold.ConfigReadFailed{Trimmed: true, Batch: b})
		case len(b.Records) > 0 || w.now >= r.deadline:
			w.send(p, w.delay(), logfold.ConfigRead{Sent: r.sent - p.born, Batch: b})
		default:
			rest = append(rest, r)
		}
	}
	p.waits = rest
}

func (w *world) deliver() {
	due := w.events
	w.events = nil
	for _, e := range due {
		switch {
		case e.life != e.to.life:
		case e.at > w.now:
			w.events = append(w.events, e)
		case e.to.paused:
			e.to.stale = append(e.to.stale, e)
		default:
			w.handle(e.to, e.event)
		}
	}
}

// beat sends a heartbeat between every two processes that are connected.
func (w *world) beat() {
	for _, from := range w.procs {
		if from.paused {
			continue
		}
		var hb wire.Heartbeat
		from.follower.FillHeartbeat(from.local(w.now), &hb)
		for _, to := range w.procs {
			if from == to || w.apart(from, to) {
				continue
			}
			delay := w.delay()
			sent := to.local(w.now) - time.Duration(w.rng.IntN(5))*tick
			heard := logfold.PeerHeard{Peer: fmt.Sprint(from.id), DataCentre: from.centre, Heartbeat: hb, SentAfter: sent, Dated: w.rng.IntN(10) > 0}
			w.send(to, delay, heard)
		}
	}
}

func (w *world) mostCannotRead() bool {
	centres := map[string]bool{}
	for _, p := range w.procs {
		if p.reading != logfold.ReadNever && !w.reads(p) {
			centres[p.centre] = true
		}
	}
	return len(centres) > numCentres/2
}

// heal ends every fault.
func (w *world) heal() {
	w.logDown, w.fate = false, stores
	clear(w.cut)
	for _, p := range w.procs {
		p.logCut, p.paused = false, false
	}
}

func (w *world) publisher(name string) *publish.Publisher {
	p := publish.NewPublisher(w, service, name)
	p.Patience = 2 * time.Second
	p.Sleep = func(_ context.Context, d time.Duration) {
		for range d / tick {
			w.step()
		}
	}
	return p
}

// recoverable reports whether somebody can still know every accepted change:
// the log from its start, a usable checkpoint, or a running process.
func (w *world) recoverable() bool {
	start := w.streams[logfold.ConfigStream(service)].start
	known := start == 0 || slices.ContainsFunc(w.procs, func(p *proc) bool {
		return p.follower.InForce() != nil && p.follower.ReadTo()+1 >= start
	})
	checkpoints := w.streams[logfold.CheckpointStream(service)]
	for _, rec := range checkpoints.all[checkpoints.start:] {
		var cp logfold.Checkpoint
		_, err := cp.UnmarshalMsg(rec.data)
		known = known || err == nil && backing.Offset(cp.ReadTo)+1 >= start
	}
	return known
}

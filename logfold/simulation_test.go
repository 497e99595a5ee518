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
	tick              = 100 * time.Millisecond
	heartbeatInterval = wire.HeartbeatInterval
	freshFor          = 5 * time.Second
	retention         = 60 * time.Second
	service           = "s"
	numCentres        = 3
	readFailDelay     = 800 * time.Millisecond // time until a read of an unreachable log fails
)

// text returns a document that is distinguished by mark. It is invalid unless
// valid is set.
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

// stored is a record with the time at which it was stored.
type stored struct {
	at   time.Duration
	data []byte
}

// stream keeps all records ever stored; those before start are trimmed.
type stream struct {
	all   []stored
	start backing.Offset
}

// appendOutcome is the simulated outcome of an append.
type appendOutcome int

const (
	appendStored  appendOutcome = iota
	answerLost                  // stored, but the answer is lost
	storedLate                  // stored after a delay, and the answer is lost
	neverStored                 // not stored, and the answer is lost
	appendRefused               // not stored, and answered
	numAppendOutcomes
)

// delayedAppend is an append that is stored at a later time.
type delayedAppend struct {
	at   time.Duration
	name string
	data []byte
}

// simulation simulates the log service, the processes and the network in virtual
// time.
type simulation struct {
	now            time.Duration
	rng            *rand.Rand
	streams        map[string]*stream
	delayedAppends []delayedAppend
	logDown        bool // no process can read
	nextAppend     appendOutcome
	appendDelay    time.Duration
	beforeAppend   func() // runs just before the next append
	procs          []*process
	disconnected   map[[2]int]bool // pairs of process IDs without a connection
	events         []event
	logDownTicks   []bool // by tick: whether some process in each of a majority of data centres could not read
	counts         map[string]int
	steps          int

	anyCheckpoint bool // mutation: followers use any checkpoint
}

// event is an event in flight to a process.
type event struct {
	at         time.Duration
	to         *process
	generation int
	event      logfold.Event
}

// pendingRead is a read that waits for a record.
type pendingRead struct {
	sent     time.Duration
	deadline time.Duration
	read     logfold.ReadConfig
}

type process struct {
	id             int
	centre         string
	reading        logfold.ReadMode
	writes         bool
	follower       *logfold.Follower
	startedAt      time.Duration
	generation     int // number of starts
	logUnreachable bool
	paused         bool
	pendingReads   []pendingRead
	highest        int64   // highest offset of an active document since the start
	queued         []event // received while paused
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rng:          rand.New(rand.NewPCG(seed, 1)),
		streams:      map[string]*stream{logfold.ConfigStream(service): {}, logfold.CheckpointStream(service): {}},
		disconnected: map[[2]int]bool{},
		counts:       map[string]int{},
	}
	return sim
}

// addDefault adds a front proxy and a sidecar in every data centre.
func (sim *simulation) addDefault() {
	sides := []logfold.ReadMode{logfold.ReadWhenNeeded, logfold.ReadNever, logfold.ReadWhenNeeded}
	for i := range numCentres {
		sim.add(fmt.Sprintf("d%d", i), logfold.ReadAlways, true)
		sim.add(fmt.Sprintf("d%d", i), sides[i], false)
	}
}

func (sim *simulation) add(centre string, reading logfold.ReadMode, writes bool) {
	p := &process{id: len(sim.procs), centre: centre, reading: reading, writes: writes}
	sim.procs = append(sim.procs, p)
	sim.restart(p)
}

func (sim *simulation) restart(p *process) {
	opts := logfold.Options{Service: service, DataCentre: p.centre, ReadMode: p.reading, Jitter: sim.rng.Float64}
	if p.writes {
		opts.CheckpointEvery = retention / 4
	}
	p.follower = logfold.NewFollower(opts)
	if sim.anyCheckpoint {
		p.follower.UseAnyCheckpoint()
	}
	p.startedAt, p.generation, p.pendingReads, p.highest, p.paused, p.queued = sim.now, p.generation+1, nil, -1, false, nil
}

func (p *process) local(now time.Duration) time.Duration { return now - p.startedAt }

func (sim *simulation) canRead(p *process) bool { return !sim.logDown && !p.logUnreachable }

// store appends a record now.
func (sim *simulation) store(name string, data []byte) backing.Offset {
	s := sim.streams[name]
	s.all = append(s.all, stored{sim.now, data})
	return backing.Offset(len(s.all) - 1)
}

func (sim *simulation) trim() {
	for _, s := range sim.streams {
		for int(s.start) < len(s.all) && s.all[s.start].at+retention < sim.now {
			s.start++
		}
	}
}

// Append implements backing.Log. nextAppend applies to one append.
func (sim *simulation) Append(_ context.Context, name string, records [][]byte) (backing.Offset, error) {
	if hook := sim.beforeAppend; hook != nil {
		sim.beforeAppend = nil
		hook()
	}
	f := sim.nextAppend
	sim.nextAppend = appendStored
	sim.counts[fmt.Sprintf("append outcome %d", f)]++
	switch f {
	case answerLost:
		sim.store(name, records[0])
		return backing.NoOffset, backing.ErrUnknown
	case storedLate:
		sim.delayedAppends = append(sim.delayedAppends, delayedAppend{sim.now + sim.appendDelay, name, records[0]})
		return backing.NoOffset, backing.ErrUnknown
	case neverStored:
		return backing.NoOffset, backing.ErrUnknown
	case appendRefused:
		return backing.NoOffset, backing.ErrRefused
	}
	return sim.store(name, records[0]), nil
}

// Read implements backing.Log. It never waits.
func (sim *simulation) Read(_ context.Context, name string, from backing.Offset, limit int, _ time.Duration) (backing.Batch, error) {
	if sim.logDown {
		return backing.Batch{}, backing.ErrUnavailable
	}
	s := sim.streams[name]
	b := backing.Batch{Start: s.start, End: backing.Offset(len(s.all))}
	if from < s.start {
		return b, backing.ErrTrimmed
	}
	for o := from; o < b.End && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, backing.Record{Offset: o, Data: s.all[o].data})
	}
	return b, nil
}

// handle passes an event to a process and performs the resulting actions.
func (sim *simulation) handle(p *process, e logfold.Event) {
	sim.steps++
	for _, a := range p.follower.Handle(p.local(sim.now), e) {
		sim.perform(p, a)
	}
}

func (sim *simulation) perform(p *process, a logfold.Action) {
	switch a := a.(type) {
	case logfold.ReadConfig:
		sim.counts["read"]++
		p.pendingReads = append(p.pendingReads, pendingRead{sim.now, sim.now + a.Wait, a})
	case logfold.ReadCheckpoints:
		if !sim.canRead(p) {
			sim.send(p, readFailDelay, logfold.CheckpointsReadFailed{})
			return
		}
		b, err := sim.Read(context.Background(), logfold.CheckpointStream(service), a.From, a.Limit, 0)
		sim.send(p, sim.delay(), logfold.CheckpointsRead{Trimmed: err != nil, Batch: b})
	case logfold.WriteCheckpoint:
		offset, err := sim.Append(context.Background(), logfold.CheckpointStream(service), [][]byte{a.Data})
		sim.counts["checkpoint"]++
		sim.send(p, sim.delay(), logfold.CheckpointWritten{OK: err == nil, Offset: offset})
	case logfold.SendQuery:
		sim.ask(p, a)
	}
}

// ask delivers a query and its answer unless the two processes are disconnected.
func (sim *simulation) ask(p *process, a logfold.SendQuery) {
	for _, peer := range sim.procs {
		if fmt.Sprint(peer.id) != a.Peer || sim.isDisconnected(p, peer) || peer.paused {
			continue
		}
		if answer := peer.follower.Answer(&a.Query); answer != nil {
			sim.counts["documents sent by peers"]++
			sim.send(p, 2*sim.delay(), logfold.DocumentReceived{Config: *answer})
		}
	}
}

func (sim *simulation) delay() time.Duration { return time.Duration(sim.rng.IntN(3)) * tick }

func (sim *simulation) send(p *process, delay time.Duration, e logfold.Event) {
	sim.events = append(sim.events, event{sim.now + delay, p, p.generation, e})
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (sim *simulation) isDisconnected(a, b *process) bool { return sim.disconnected[pair(a.id, b.id)] }

// step advances virtual time by one tick.
func (sim *simulation) step() {
	sim.now += tick
	sim.trim()
	sim.storeDelayed()
	for _, p := range sim.procs {
		sim.answerReads(p)
	}
	sim.deliver()
	for _, p := range sim.procs {
		if p.paused {
			continue
		}
		for _, e := range p.queued {
			sim.handle(p, e.event)
		}
		p.queued = nil
		sim.handle(p, logfold.Tick{})
	}
	if sim.now%heartbeatInterval == 0 {
		sim.sendHeartbeats()
	}
	sim.logDownTicks = append(sim.logDownTicks, sim.majorityCannotRead())
}

func (sim *simulation) storeDelayed() {
	rest := sim.delayedAppends[:0]
	for _, l := range sim.delayedAppends {
		if l.at <= sim.now {
			sim.store(l.name, l.data)
			sim.counts["stored late"]++
			continue
		}
		rest = append(rest, l)
	}
	sim.delayedAppends = rest
}

// answerReads answers the reads of a process for which a record is available or
// whose wait is over, and fails them if the process cannot read.
func (sim *simulation) answerReads(p *process) {
	var rest []pendingRead
	for _, r := range p.pendingReads {
		if !sim.canRead(p) {
			sim.send(p, readFailDelay, logfold.ConfigReadFailed{})
			continue
		}
		b, err := sim.Read(context.Background(), logfold.ConfigStream(service), r.read.From, 3, 0)
		switch {
		case err != nil:
			sim.send(p, sim.delay(), logfold.ConfigReadFailed{Trimmed: true, Batch: b})
		case len(b.Records) > 0 || sim.now >= r.deadline:
			sim.send(p, sim.delay(), logfold.ConfigRead{Sent: r.sent - p.startedAt, Batch: b})
		default:
			rest = append(rest, r)
		}
	}
	p.pendingReads = rest
}

func (sim *simulation) deliver() {
	due := sim.events
	sim.events = nil
	for _, e := range due {
		switch {
		case e.generation != e.to.generation:
		case e.at > sim.now:
			sim.events = append(sim.events, e)
		case e.to.paused:
			e.to.queued = append(e.to.queued, e)
		default:
			sim.handle(e.to, e.event)
		}
	}
}

// sendHeartbeats sends heartbeats between all connected processes.
func (sim *simulation) sendHeartbeats() {
	for _, from := range sim.procs {
		if from.paused {
			continue
		}
		var hb wire.Heartbeat
		from.follower.FillHeartbeat(from.local(sim.now), &hb)
		for _, to := range sim.procs {
			if from == to || sim.isDisconnected(from, to) {
				continue
			}
			delay := sim.delay()
			sent := to.local(sim.now) - time.Duration(sim.rng.IntN(5))*tick
			heartbeat := logfold.HeartbeatReceived{Peer: fmt.Sprint(from.id), DataCentre: from.centre, Heartbeat: hb, SentAfter: sent, HasSentAfter: sim.rng.IntN(10) > 0}
			sim.send(to, delay, heartbeat)
		}
	}
}

func (sim *simulation) majorityCannotRead() bool {
	centres := map[string]bool{}
	for _, p := range sim.procs {
		if p.reading != logfold.ReadNever && !sim.canRead(p) {
			centres[p.centre] = true
		}
	}
	return len(centres) > numCentres/2
}

// endFaults ends all faults.
func (sim *simulation) endFaults() {
	sim.logDown, sim.nextAppend = false, appendStored
	clear(sim.disconnected)
	for _, p := range sim.procs {
		p.logUnreachable, p.paused = false, false
	}
}

func (sim *simulation) publisher(name string) *publish.Publisher {
	p := publish.NewPublisher(sim, service, name)
	p.ReadBackTimeout = 2 * time.Second
	p.Sleep = func(_ context.Context, d time.Duration) {
		for range d / tick {
			sim.step()
		}
	}
	return p
}

// recoverable reports whether the state is still available from the log from its
// start, from a usable checkpoint or from a process that has read far enough.
func (sim *simulation) recoverable() bool {
	start := sim.streams[logfold.ConfigStream(service)].start
	known := start == 0 || slices.ContainsFunc(sim.procs, func(p *process) bool {
		return p.follower.ActiveDocument() != nil && p.follower.ReadTo()+1 >= start
	})
	checkpoints := sim.streams[logfold.CheckpointStream(service)]
	for _, rec := range checkpoints.all[checkpoints.start:] {
		var cp logfold.Checkpoint
		_, err := cp.UnmarshalMsg(rec.data)
		known = known || err == nil && backing.Offset(cp.ReadTo)+1 >= start
	}
	return known
}

package admit

import (
	"fmt"
	"time"

	"marjorampitch/backing"
)

const (
	worldCold     = 3
	worldWarm     = 24
	worldFresh    = 2 * time.Second
	worldSettle   = 200 * time.Millisecond
	worldWindow   = worldFresh + worldSettle // from turning cold without a restart to the bound
	worldEntries  = 8
	worldLag      = 1000 // longest age of an engine's report, in milliseconds
	worldLate     = 3000 // longest delay of a report, in milliseconds
	worldInterval = 300 * time.Millisecond
)

// coldEngine is the fake engine with its own count of what runs.
type coldEngine struct {
	incarnation int
	cold        bool
	restarted   bool          // cold because of a restart
	since       time.Duration // when it turned cold
	completed   int           // in this incarnation
	running     map[int]bool
	history     []snapshot
}

type snapshot struct {
	at     time.Duration
	report backing.EngineReport
}

// coldWorld is one engine, its side process, eight entries at full load, and
// an adversary that draws every delay and fault.
type coldWorld struct {
	draw    func(n int) int // 0..n-1
	mutate  func(c *ColdStart, now time.Duration)
	blind   bool // mutant: reports never say cold
	mute    bool // the engine never says that it is cold; it warms up by completing requests
	rarity  int  // one step in this many times 60 has a given fault
	deaf    bool // mutant: a new incarnation goes unnoticed
	now     time.Duration
	events  []event
	engine  coldEngine
	side    *ColdStart
	life    int // incarnation of the side process
	nextID  int
	live    map[int]Ticket // in flight as the side believes
	faults  map[string]int
	calm    bool
	idle    bool            // the entries send nothing for a while
	cfg     ColdStartConfig // in force
	before  ColdStartConfig // in force until changed
	changed time.Duration   // when the document last changed
	asked   time.Duration   // when the engine was last asked for its report
	silent  time.Duration   // until then no report arrives
	failed  error
}

type event struct {
	at time.Duration
	do func()
}

func newColdWorld(draw func(int) int) *coldWorld {
	w := &coldWorld{draw: draw, live: map[int]Ticket{}, faults: map[string]int{}}
	w.mute = draw(4) == 0
	w.rarity = []int{1, 4, 12}[draw(3)]
	w.engine = coldEngine{cold: true, restarted: true, running: map[int]bool{}}
	w.cfg = worldConfig()
	w.side = NewColdStart(w.cfg, 0)
	return w
}

func worldConfig() ColdStartConfig {
	return ColdStartConfig{ColdLimit: worldCold, WarmLimit: worldWarm, ReportsLoad: true, MaxReportAge: worldFresh, SettleTime: worldSettle}
}

func (w *coldWorld) after(maxMillis int, do func()) {
	delay := time.Duration(w.draw(maxMillis+1)) * time.Millisecond
	w.events = append(w.events, event{w.now + delay, do})
}

// toSide delivers a message to the side process that exists now, if it still does.
func (w *coldWorld) toSide(maxMillis int, do func()) {
	life := w.life
	w.after(maxMillis, func() {
		if w.life == life {
			do()
		}
	})
}

// arrive is the oracle: the engine's own count against the bound.
func (w *coldWorld) arrive(id, incarnation int) bool {
	e := &w.engine
	if incarnation != e.incarnation {
		return false
	}
	e.running[id] = true
	n := len(e.running)
	bound := e.cold && (e.restarted || w.now > e.since+worldWindow)
	cold, warm := w.cfg.ColdLimit, w.cfg.WarmLimit
	if w.now <= w.changed+worldSettle {
		cold, warm = max(cold, w.before.ColdLimit), max(warm, w.before.WarmLimit)
	}
	if bound && n > cold || n > warm {
		w.failed = fmt.Errorf("at %v the engine runs %d (cold %v since %v)", w.now, n, e.cold, e.since)
	}
	return true
}

func (w *coldWorld) offer() {
	if w.mutate != nil {
		w.mutate(w.side, w.now)
	}
	t, err := w.side.Admit(w.now, false)
	if err != nil {
		return
	}
	w.nextID++
	id := w.nextID
	w.live[id] = t
	incarnation := 0
	_, _ = fmt.Sscan(w.side.Incarnation(), &incarnation)
	w.after(50, func() { w.runAt(id, incarnation, t) })
}

func (w *coldWorld) runAt(id, incarnation int, t Ticket) {
	if !w.arrive(id, incarnation) {
		w.toSide(100, func() { w.ended(id, false) })
		return
	}
	w.toSide(100, func() { w.side.ResponseStarted(t, w.now) })
	w.after(2000, func() {
		if w.engine.running[id] {
			delete(w.engine.running, id)
			w.completed()
			w.toSide(100, func() { w.ended(id, true) })
		}
	})
}

// completed warms an engine up that does not tell.
func (w *coldWorld) completed() {
	w.engine.completed++
	if w.mute && w.engine.completed >= w.cfg.ColdLimit {
		w.engine.cold = false
	}
}

func (w *coldWorld) ended(id int, whole bool) {
	if t, ok := w.live[id]; ok {
		delete(w.live, id)
		w.side.Finish(t, w.now, whole)
	}
}

// poll asks the engine for its report, which is old, late or lost.
func (w *coldWorld) poll() {
	asked := w.now
	w.asked = w.now
	lag := w.draw(worldLag + 1)
	if w.calm {
		lag /= 10
	}
	i := len(w.engine.history) - 1
	for i > 0 && w.engine.history[i].at > w.now-time.Duration(lag)*time.Millisecond {
		i--
	}
	r := w.engine.history[i].report
	r.AgeMillis = (w.now - w.engine.history[i].at).Milliseconds() + 1
	if !w.calm && (w.now < w.silent || w.draw(5) == 0) {
		w.faults["report lost"]++
		return
	}
	late := worldLate
	if w.calm || w.draw(4) > 0 {
		late = 50
	} else {
		w.faults["report late"]++
	}
	w.toSide(late, func() {
		r.Cold = r.Cold && !w.blind
		if w.deaf {
			w.side.incarnation = r.Incarnation
		}
		w.side.Observe(w.now, asked, &r)
	})
}

func (w *coldWorld) restartEngine() {
	w.faults["engine restarted"]++
	gone := w.engine.running
	w.engine.incarnation++
	w.engine.completed = 0
	w.engine.cold, w.engine.restarted, w.engine.since = true, true, w.now
	w.engine.running = map[int]bool{}
	for id := 1; id <= w.nextID; id++ {
		if gone[id] {
			w.toSide(100, func() { w.side.RecordCrash(w.now); w.ended(id, false) })
		}
	}
}

func (w *coldWorld) turnCold() {
	if !w.engine.cold && !w.mute {
		w.faults["engine turned cold"]++
		w.engine.cold, w.engine.restarted, w.engine.since = true, false, w.now
	}
}

// restartSide loses all that the side knew; the engine notices closed
// connections late.
func (w *coldWorld) restartSide() {
	w.faults["side restarted"]++
	w.life++
	w.live = map[int]Ticket{}
	w.side = NewColdStart(w.cfg, w.now)
}

// abandon gives up one request; the engine goes on with it for a while.
func (w *coldWorld) abandon() {
	for id := range w.nextID {
		if t, ok := w.live[id]; ok {
			w.faults["request abandoned"]++
			delete(w.live, id)
			w.side.Abandon(t, w.now)
			return
		}
	}
}

func (w *coldWorld) fault() {
	if w.calm {
		return
	}
	switch w.draw(60 * w.rarity) {
	case 0:
		w.restartEngine()
	case 1:
		w.turnCold()
	case 2:
		w.restartSide()
	case 3, 4:
		w.abandon()
	case 5:
		w.silent = w.now + time.Duration(w.draw(10000))*time.Millisecond
	case 6, 7:
		w.idle = !w.idle
	case 8:
		w.reconfigure()
	}
	if !w.mute && w.engine.cold && w.draw(15*w.rarity) == 0 {
		w.engine.cold = false
	}
}

// step moves time on, delivers what is due, and lets everybody act.
func (w *coldWorld) step() {
	w.now += time.Duration(1+w.draw(100)) * time.Millisecond
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at > w.now {
			w.events = append(w.events, e)
			continue
		}
		e.do()
	}
	w.fault()
	w.record()
	if w.now-w.asked >= worldInterval {
		w.poll()
	}
	if w.idle && !w.calm {
		return
	}
	for range worldEntries {
		w.offer()
	}
}

// reconfigure publishes other limits. Lower ones let what runs end, and admit
// no more meanwhile.
func (w *coldWorld) reconfigure() {
	if w.now <= w.changed+worldSettle || len(w.live) > 0 {
		return
	}
	w.faults["limits changed"]++
	w.before, w.changed = w.cfg, w.now
	w.cfg.ColdLimit = 1 + w.draw(worldCold)
	w.cfg.WarmLimit = worldCold + w.draw(worldWarm-worldCold+1)
	w.side.Reconfigure(w.cfg.ColdLimit, w.cfg.WarmLimit)
}

func (w *coldWorld) record() {
	e := &w.engine
	w.engine.history = append(e.history, snapshot{w.now, backing.EngineReport{
		Incarnation: fmt.Sprint(e.incarnation), Cold: e.cold && !w.mute, Running: len(e.running), StepMillis: 20,
	}})
}

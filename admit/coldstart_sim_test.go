package admit

import (
	"fmt"
	"time"

	"marjorampitch/backing"
)

const (
	simColdLimit          = 3
	simWarmLimit          = 24
	simMaxReportAge       = 2 * time.Second
	simSettleTime         = 200 * time.Millisecond
	simDetectionWindow    = simMaxReportAge + simSettleTime // time allowed from turning cold without a restart until the cold limit holds
	simEntries            = 8
	simMaxSampleAgeMillis = 1000 // largest age of the data in a report
	simMaxDelayMillis     = 3000 // largest delay of a report in transit
	simPollInterval       = 300 * time.Millisecond
	simMaxSendDelayMillis = 5000 // longest time from an admission until the request is sent, when a dial or the sidecar is slow
)

// coldEngine is a fake engine that tracks the requests it is running.
type coldEngine struct {
	incarnation int
	cold        bool
	restarted   bool          // cold because of a restart
	since       time.Duration // when it turned cold
	completed   int           // requests completed in this incarnation
	running     map[int]bool
	history     []snapshot
}

type snapshot struct {
	at     time.Duration
	report backing.EngineReport
}

// coldSim simulates one engine, its sidecar, front proxies at full load, and a
// fault injector that draws every delay and fault.
type coldSim struct {
	draw              func(n int) int // random number in 0..n-1
	mutate            func(c *ColdStart, now time.Duration)
	ignoreCold        bool // mutation: reports never say cold
	hidesCold         bool // the engine never reports that it is cold; it warms up by completing requests
	faultRarity       int  // each kind of fault occurs in about one of 60*faultRarity steps
	ignoreIncarnation bool // mutation: a new incarnation is not noticed
	ignoreConfirm     bool // mutation: admitted requests are sent whatever Confirm says
	now               time.Duration
	events            []event
	engine            coldEngine
	side              *ColdStart
	sideIncarnation   int
	nextID            int
	inFlight          map[int]Ticket // in flight as seen by the sidecar
	faults            map[string]int
	noFaults          bool
	idle              bool // the front proxies send nothing for a while
	cfg               ColdStartConfig
	previousCfg       ColdStartConfig // in force until changedAt
	changedAt         time.Duration   // when the limits last changed
	polledAt          time.Duration   // when the engine was last asked for its report
	silentUntil       time.Duration   // until then all reports are lost
	violation         error           // first violation found
}

type event struct {
	at time.Duration
	do func()
}

func newColdSim(draw func(int) int) *coldSim {
	sim := &coldSim{draw: draw, inFlight: map[int]Ticket{}, faults: map[string]int{}}
	sim.hidesCold = draw(4) == 0
	sim.faultRarity = []int{1, 4, 12}[draw(3)]
	sim.engine = coldEngine{cold: true, restarted: true, running: map[int]bool{}}
	sim.cfg = simConfig()
	sim.side = NewColdStart(sim.cfg, 0)
	return sim
}

func simConfig() ColdStartConfig {
	return ColdStartConfig{ColdLimit: simColdLimit, WarmLimit: simWarmLimit, ReportsLoad: true, MaxReportAge: simMaxReportAge, SettleTime: simSettleTime}
}

func (sim *coldSim) after(maxMillis int, do func()) {
	delay := time.Duration(sim.draw(maxMillis+1)) * time.Millisecond
	sim.events = append(sim.events, event{sim.now + delay, do})
}

// sendToSide delivers a message to the sidecar unless it is restarted first.
func (sim *coldSim) sendToSide(maxMillis int, do func()) {
	incarnation := sim.sideIncarnation
	sim.after(maxMillis, func() {
		if sim.sideIncarnation == incarnation {
			do()
		}
	})
}

// startOnEngine starts a request on the engine and is the test oracle: it checks
// the number of requests that the engine runs against the limit in force.
func (sim *coldSim) startOnEngine(id, incarnation int) bool {
	e := &sim.engine
	if incarnation != e.incarnation {
		return false
	}
	e.running[id] = true
	n := len(e.running)
	bound := e.cold && (e.restarted || sim.now > e.since+simDetectionWindow)
	cold, warm := sim.cfg.ColdLimit, sim.cfg.WarmLimit
	if sim.now <= sim.changedAt+simSettleTime {
		cold, warm = max(cold, sim.previousCfg.ColdLimit), max(warm, sim.previousCfg.WarmLimit)
	}
	if bound && n > cold || n > warm {
		sim.violation = fmt.Errorf("at %v the engine runs %d requests, more than its limit (cold %v since %v)", sim.now, n, e.cold, e.since)
	}
	return true
}

func (sim *coldSim) sendRequest() {
	if sim.mutate != nil {
		sim.mutate(sim.side, sim.now)
	}
	t, err := sim.side.Admit(sim.now, false)
	if err != nil {
		return
	}
	sim.nextID++
	id := sim.nextID
	sim.inFlight[id] = t
	incarnation := 0
	_, _ = fmt.Sscan(sim.side.Incarnation(), &incarnation)
	late := 0
	if !sim.noFaults && sim.draw(8) == 0 {
		sim.faults["sent late"]++
		late = simMaxSendDelayMillis
	}
	sim.sendToSide(late, func() {
		if sim.side.Confirm(t, sim.now) != nil && !sim.ignoreConfirm {
			sim.faults["not sent"]++
			delete(sim.inFlight, id)
			return
		}
		sim.after(50, func() { sim.deliver(id, incarnation, t) })
	})
}

func (sim *coldSim) deliver(id, incarnation int, t Ticket) {
	if !sim.startOnEngine(id, incarnation) {
		sim.sendToSide(100, func() { sim.finish(id, false) })
		return
	}
	sim.sendToSide(100, func() { sim.side.ResponseStarted(t, sim.now) })
	sim.after(2000, func() {
		if sim.engine.running[id] {
			delete(sim.engine.running, id)
			sim.countCompletion()
			sim.sendToSide(100, func() { sim.finish(id, true) })
		}
	})
}

// countCompletion warms up an engine that hides its cold state.
func (sim *coldSim) countCompletion() {
	sim.engine.completed++
	if sim.hidesCold && sim.engine.completed >= sim.cfg.ColdLimit {
		sim.engine.cold = false
	}
}

func (sim *coldSim) finish(id int, complete bool) {
	if t, ok := sim.inFlight[id]; ok {
		delete(sim.inFlight, id)
		sim.side.Finish(t, sim.now, complete)
	}
}

// poll asks the engine for its report. The report holds old data and may arrive
// late or be lost.
func (sim *coldSim) poll() {
	asked := sim.now
	sim.polledAt = sim.now
	lag := sim.draw(simMaxSampleAgeMillis + 1)
	if sim.noFaults {
		lag /= 10
	}
	i := len(sim.engine.history) - 1
	for i > 0 && sim.engine.history[i].at > sim.now-time.Duration(lag)*time.Millisecond {
		i--
	}
	r := sim.engine.history[i].report
	r.AgeMillis = (sim.now - sim.engine.history[i].at).Milliseconds() + 1
	if !sim.noFaults && (sim.now < sim.silentUntil || sim.draw(5) == 0) {
		sim.faults["report lost"]++
		return
	}
	late := simMaxDelayMillis
	if sim.noFaults || sim.draw(4) > 0 {
		late = 50
	} else {
		sim.faults["report late"]++
	}
	sim.sendToSide(late, func() {
		r.Cold = r.Cold && !sim.ignoreCold
		if sim.ignoreIncarnation {
			sim.side.incarnation = r.Incarnation
		}
		sim.side.Observe(sim.now, asked, &r)
	})
}

func (sim *coldSim) restartEngine() {
	sim.faults["engine restarted"]++
	lost := sim.engine.running
	sim.engine.incarnation++
	sim.engine.completed = 0
	sim.engine.cold, sim.engine.restarted, sim.engine.since = true, true, sim.now
	sim.engine.running = map[int]bool{}
	for id := 1; id <= sim.nextID; id++ {
		if lost[id] {
			sim.sendToSide(100, func() { sim.side.RecordCrash(sim.now); sim.finish(id, false) })
		}
	}
}

func (sim *coldSim) turnCold() {
	if !sim.engine.cold && !sim.hidesCold {
		sim.faults["engine turned cold"]++
		sim.engine.cold, sim.engine.restarted, sim.engine.since = true, false, sim.now
	}
}

// restartSide replaces the sidecar by one without state. The engine goes on
// with the requests of the old one, as if it noticed closed connections late.
func (sim *coldSim) restartSide() {
	sim.faults["side restarted"]++
	sim.sideIncarnation++
	sim.inFlight = map[int]Ticket{}
	sim.side = NewColdStart(sim.cfg, sim.now)
}

// abandon makes the sidecar abandon one request in flight while the engine
// continues to run it.
func (sim *coldSim) abandon() {
	for id := range sim.nextID {
		if t, ok := sim.inFlight[id]; ok {
			sim.faults["request abandoned"]++
			delete(sim.inFlight, id)
			sim.side.Abandon(t, sim.now)
			return
		}
	}
}

func (sim *coldSim) injectFault() {
	if sim.noFaults {
		return
	}
	switch sim.draw(60 * sim.faultRarity) {
	case 0:
		sim.restartEngine()
	case 1:
		sim.turnCold()
	case 2:
		sim.restartSide()
	case 3, 4:
		sim.abandon()
	case 5:
		sim.silentUntil = sim.now + time.Duration(sim.draw(10000))*time.Millisecond
	case 6, 7:
		sim.idle = !sim.idle
	case 8:
		sim.reconfigure()
	}
	if !sim.hidesCold && sim.engine.cold && sim.draw(15*sim.faultRarity) == 0 {
		sim.engine.cold = false
	}
}

// step advances the time, delivers due messages, injects faults and sends requests.
func (sim *coldSim) step() {
	sim.now += time.Duration(1+sim.draw(100)) * time.Millisecond
	due := sim.events
	sim.events = nil
	for _, e := range due {
		if e.at > sim.now {
			sim.events = append(sim.events, e)
			continue
		}
		e.do()
	}
	sim.injectFault()
	sim.sampleReport()
	if sim.now-sim.polledAt >= simPollInterval {
		sim.poll()
	}
	if sim.idle && !sim.noFaults {
		return
	}
	for range simEntries {
		sim.sendRequest()
	}
}

// reconfigure changes the limits, only while nothing is in flight: a lower limit
// does not end requests that are already running.
func (sim *coldSim) reconfigure() {
	if sim.now <= sim.changedAt+simSettleTime || len(sim.inFlight) > 0 {
		return
	}
	sim.faults["limits changed"]++
	sim.previousCfg, sim.changedAt = sim.cfg, sim.now
	sim.cfg.ColdLimit = 1 + sim.draw(simColdLimit)
	sim.cfg.WarmLimit = simColdLimit + sim.draw(simWarmLimit-simColdLimit+1)
	sim.side.Reconfigure(sim.cfg.ColdLimit, sim.cfg.WarmLimit)
}

func (sim *coldSim) sampleReport() {
	e := &sim.engine
	sim.engine.history = append(e.history, snapshot{sim.now, backing.EngineReport{
		Incarnation: fmt.Sprint(e.incarnation), Cold: e.cold && !sim.hidesCold, Running: len(e.running), StepMillis: 20,
	}})
}

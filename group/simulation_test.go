package group

import (
	"fmt"

	"marjorampitch/wire"
)

// engine simulates the engine of one rank. All ranks advance in lock-step.
type engine struct {
	EngineState
	running    bool  // executing step Next-1
	checks     bool  // refuses lower fencing numbers
	switchesAt bool  // supports CmdSwitchAt
	highest    int64 // fencing number
	restarts   int
	current    []byte // encoded active map
	staged     []byte // encoded staged map
}

func (e *engine) state() EngineState {
	s := e.EngineState
	s.Waiting = s.HoldAt != 0 && s.Next == s.HoldAt && !e.running && s.Pending == 0
	return s
}

func (e *engine) restart() {
	e.restarts++
	e.EngineState = EngineState{Incarnation: fmt.Sprint(e.restarts)}
	e.running, e.highest, e.current, e.staged = false, 0, nil, nil
}

// completed returns the last step that the engine has completed.
func (e *engine) completed() int64 {
	if e.running {
		return e.Next - 2
	}
	return e.Next - 1
}

// do executes a command and reports whether it took effect.
func (e *engine) do(c Command) bool {
	if e.checks && c.Fence < e.highest {
		return false
	}
	e.highest = c.Fence
	switch c.Kind {
	case CmdFence:
		return true
	case CmdStage:
		if e.Armed != 0 {
			return false
		}
		e.Staged, e.staged = c.Epoch, c.Map
		return true
	case CmdHold:
		if e.Staged != c.Epoch || e.Next > c.Step || e.HoldAt != 0 {
			return false
		}
		e.Armed, e.HoldAt = c.Epoch, c.Step
		return true
	case CmdSwitchAt:
		if e.Armed != c.Epoch {
			return false
		}
		e.Pending = c.Epoch
		return true
	case CmdSwitchNow:
		if e.Armed != c.Epoch || !e.state().Waiting {
			return false
		}
		e.use(c.Epoch)
		return true
	case CmdRelease:
		if e.Armed != c.Epoch || e.Pending != 0 {
			return false
		}
		e.Armed, e.HoldAt = 0, 0
		return true
	case CmdJoin:
		if e.Staged != c.Epoch && e.Epoch != c.Epoch {
			return false
		}
		e.use(c.Epoch)
		e.Next, e.HoldAt, e.running = c.Step, c.Step, false
		return true
	}
	return false
}

func (e *engine) use(epoch uint64) {
	if e.Staged == epoch {
		e.current = e.staged
	}
	e.Epoch = epoch
	e.Staged, e.Armed, e.HoldAt, e.Pending, e.staged = 0, 0, 0, 0, nil
}

// begin begins the next step if mayBegin allows it, and reports whether it did.
func (e *engine) begin(all []*engine, noHold bool) bool {
	if !e.mayBegin(all, noHold) {
		return false
	}
	if e.Pending != 0 && e.Next >= e.HoldAt {
		e.use(e.Pending)
	}
	e.Next++
	e.running = true
	return true
}

// mayBegin reports whether neither a hold nor another rank prevents the next step.
func (e *engine) mayBegin(all []*engine, noHold bool) bool {
	if e.Epoch == 0 || e.running {
		return false
	}
	for _, o := range all {
		if o.Epoch == 0 || o.completed() < e.Next-1 {
			return false
		}
	}
	held := e.HoldAt != 0 && e.Next >= e.HoldAt && e.Pending == 0
	return !held || noHold
}

// side is the sidecar of one rank.
type side struct {
	rank  *Rank
	ready bool
	cmds  []Command // in progress
}

// coordinator is a process that runs a Coordinator.
type coordinator struct {
	machine  *Coordinator
	claim    int64 // offset of an appended claim that is not answered yet; -1 for none
	claiming bool
	proposed int // number of proposals
}

// message is a message in flight between a coordinator and a sidecar.
type message struct {
	from  int // index of the coordinator, also for acknowledgements
	order *wire.Order
	ack   *wire.OrderAck
}

// simulation is a group with its engines, sidecars and coordinators, the log and
// the network.
type simulation struct {
	engines      []*engine
	sides        []*side
	coords       []*coordinator
	claims       int64         // records on the log
	net          []message     // in flight
	delayed      []message     // held back by the fault injector
	lateCommands []lateCommand // of terminated sidecars
	draws        uint64
	limit        int64             // exhaustive search: first step that no rank may begin
	mapOfStep    map[int64]uint64  // for the check: epoch used by each step
	mapContent   map[uint64]string // for the check: encoded map of each epoch
	violation    string            // empty for none
	mut          mutation
}

// lateCommand is a command of a terminated sidecar that may still reach the engine.
type lateCommand struct {
	rank int
	cmd  Command
}

func newSimulation(ranks int, checks, switchesAt func(rank int) bool, mut mutation) *simulation {
	sim := &simulation{mapOfStep: make(map[int64]uint64), mapContent: make(map[uint64]string), mut: mut}
	for r := range ranks {
		e := &engine{checks: checks(r), switchesAt: switchesAt(r)}
		e.restart()
		sim.engines = append(sim.engines, e)
		sim.sides = append(sim.sides, nil)
		sim.restartSide(r)
	}
	return sim
}

// restartSide starts a new sidecar; commands in progress of the old one become
// late commands.
func (sim *simulation) restartSide(r int) {
	e := sim.engines[r]
	if old := sim.sides[r]; old != nil && e.checks {
		for _, c := range old.cmds {
			sim.lateCommands = append(sim.lateCommands, lateCommand{r, c})
		}
	}
	rank, _ := NewRank(RankOptions{Group: "g", Rank: r, SupportsSwitchAt: e.switchesAt}, e.state(), e.current)
	rank.mut = sim.mut
	sim.sides[r] = &side{rank: rank}
}

func (sim *simulation) restartEngine(r int) {
	sim.engines[r].restart()
	sim.sides[r].cmds = nil
}

// readFence completes the read of the latest claim by a sidecar.
func (sim *simulation) readFence(r int) {
	sim.sides[r].ready = true
	sim.sides[r].rank.SetFence(sim.claims - 1)
}

func (sim *simulation) addCoordinator() int {
	c := NewCoordinator(CoordinatorOptions{Group: "g", Ranks: len(sim.engines), InitialMap: []byte("first")})
	c.mut = sim.mut
	sim.coords = append(sim.coords, &coordinator{machine: c, claim: -1})
	i := len(sim.coords) - 1
	sim.coordActions(i, c.Lead())
	return i
}

func (sim *simulation) coordActions(i int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case AppendClaim:
			sim.coords[i].claiming = true
		case SendOrder:
			o := a.Order
			sim.net = append(sim.net, message{from: i, order: &o})
		}
	}
}

// appendClaim appends the claim of coordinator i to the log. It supersedes
// appended claims that were not answered.
func (sim *simulation) appendClaim(i int) {
	sim.coords[i].claim = sim.claims
	sim.claims++
}

// answerClaim passes the offset of its claim to coordinator i.
func (sim *simulation) answerClaim(i int) {
	c := sim.coords[i]
	at := c.claim
	c.claim, c.claiming = -1, false
	sim.coordActions(i, c.machine.Claimed(at))
}

func (sim *simulation) tick(i int) {
	sim.coordActions(i, sim.coords[i].machine.Tick(0))
}

func (sim *simulation) propose(i int) {
	c := sim.coords[i]
	c.proposed++
	sim.coordActions(i, c.machine.Propose([]byte(fmt.Sprintf("%d/%d", i, c.proposed))))
}

// deliver delivers message n; with keep it stays in flight as a duplicate.
func (sim *simulation) deliver(n int, keep bool) {
	m := sim.net[n]
	if !keep {
		sim.net = append(sim.net[:n:n], sim.net[n+1:]...)
	}
	if m.order != nil {
		o := *m.order
		o.Map = decoded(o.Map)
		sim.rankActions(o.Rank, m.from, sim.sides[o.Rank].rank.HandleOrder(&o))
		return
	}
	if sim.coords[m.from] != nil {
		a := *m.ack
		a.Map = decoded(a.Map)
		sim.coordActions(m.from, sim.coords[m.from].machine.HandleAck(&a, 0))
	}
}

// decoded returns a map as decoded from the wire: an absent one is empty, not nil.
func decoded(data []byte) []byte {
	if data == nil {
		return []byte{}
	}
	return data
}

// rankActions performs the actions of a sidecar. Acknowledgements go to
// coordinator to, or to all if it is negative: each ignores those for other
// fencing numbers.
func (sim *simulation) rankActions(r, to int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendAck:
			sim.answer(to, a.Ack)
		case RunCommand:
			sim.sides[r].cmds = append(sim.sides[r].cmds, a.Command)
		}
	}
}

func (sim *simulation) answer(to int, ack wire.OrderAck) {
	for i, c := range sim.coords {
		if c != nil && (i == to || to < 0) {
			sim.net = append(sim.net, message{from: i, ack: &ack})
		}
	}
}

// execute executes command n of rank r. With lost, the answer is lost.
func (sim *simulation) execute(r, n int, lost bool) {
	s, e := sim.sides[r], sim.engines[r]
	c := s.cmds[n]
	s.cmds = append(s.cmds[:n:n], s.cmds[n+1:]...)
	res := Result{Kind: c.Kind, Outcome: Refused}
	if e.do(c) {
		res.Outcome = Succeeded
	}
	if lost {
		res.Outcome = Unknown
	}
	res.State = e.state()
	sim.rankActions(r, -1, s.rank.HandleResult(res))
}

func (sim *simulation) observe(r int) {
	sim.rankActions(r, -1, sim.sides[r].rank.HandleState(sim.engines[r].state()))
}

// step completes the step of rank r or begins the next one, and reports whether
// it did. It checks that every rank begins a step with the same map.
func (sim *simulation) step(r int) bool {
	e := sim.engines[r]
	if e.running {
		e.running = false
		return true
	}
	if !e.begin(sim.engines, sim.mut.noHold) {
		return false
	}
	step := e.Next - 1
	first, ok := sim.mapOfStep[step]
	if ok && first != e.Epoch {
		sim.violation = fmt.Sprintf("step %d: rank %d uses map %d, another used %d", step, r, e.Epoch, first)
	}
	sim.mapOfStep[step] = e.Epoch
	sim.checkMapContent(r)
	return true
}

// checkMapContent checks that an epoch has the same map at every rank.
func (sim *simulation) checkMapContent(r int) {
	e := sim.engines[r]
	first, ok := sim.mapContent[e.Epoch]
	if ok && first != string(e.current) {
		sim.violation = fmt.Sprintf("rank %d: map %d is %q, elsewhere %q", r, e.Epoch, e.current, first)
	}
	sim.mapContent[e.Epoch] = string(e.current)
}

// runUntilIdle runs rounds without faults until coordinator i is idle. It
// returns false if it is not idle after 400 rounds.
func (sim *simulation) runUntilIdle(i int) bool {
	for range 400 {
		sim.fairRound(i)
		if sim.coords[i].machine.Idle() {
			return true
		}
	}
	return false
}

// fairRound runs one round without faults in which every possible event happens
// once.
func (sim *simulation) fairRound(i int) {
	c := sim.coords[i]
	if c.claiming {
		sim.appendClaim(i)
		sim.answerClaim(i)
	}
	sim.tick(i)
	for r := range sim.sides {
		sim.readFence(r)
		sim.observe(r)
	}
	for range len(sim.net) {
		sim.deliver(0, false)
	}
	for r, s := range sim.sides {
		for len(s.cmds) > 0 {
			sim.execute(r, 0, false)
		}
		sim.step(r)
	}
	for range len(sim.net) {
		sim.deliver(0, false)
	}
}

// maxInFlight is the capacity of the network in messages; the oldest are lost.
const maxInFlight = 80

func (sim *simulation) dropOldest() {
	if over := len(sim.net) - maxInFlight; over > 0 {
		sim.net = sim.net[over:]
	}
}

package group

import (
	"fmt"

	"marjorampitch/wire"
)

// engine stands in for the engine of one rank. All ranks advance in lock-step.
type engine struct {
	EngineState
	running    bool // in step Next-1
	checks     bool // refuses old fencing numbers
	switchesAt bool
	highest    int64
	restarts   int
	current    []byte
	staged     []byte
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

// completed is the last step that the engine has completed.
func (e *engine) completed() int64 {
	if e.running {
		return e.Next - 2
	}
	return e.Next - 1
}

// do performs a command and says whether it took effect.
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

// begin begins the next step if the hold and the other ranks allow it.
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

// side is the side process of one rank.
type side struct {
	rank  *Rank
	ready bool
	cmds  []Command
}

// coordinator is one process that runs a Coordinator.
type coordinator struct {
	machine  *Coordinator
	claim    int64 // offset of an append whose answer is on its way; -1 for none
	claiming bool
	proposed int
}

// message is in flight between a coordinator and a side.
type message struct {
	from  int // coordinator
	order *wire.Order
	ack   *wire.OrderAck
}

// world is a group with its coordinators, the log and the network.
type world struct {
	engines []*engine
	sides   []*side
	coords  []*coordinator
	claims  int64 // records on the log
	net     []message
	slow    []message // delayed for long
	late    []lateCommand
	draws   uint64
	limit   int64             // first step that no rank begins, in the exhaustive search
	used    map[int64]uint64  // the oracle's: map of each step
	content map[uint64]string // the oracle's: what each map is
	fault   string
	broken  mechanisms
}

// lateCommand is a command of a side process that is gone.
type lateCommand struct {
	rank int
	cmd  Command
}

func newWorld(ranks int, checks, switchesAt func(rank int) bool, broken mechanisms) *world {
	w := &world{used: make(map[int64]uint64), content: make(map[uint64]string), broken: broken}
	for r := range ranks {
		e := &engine{checks: checks(r), switchesAt: switchesAt(r)}
		e.restart()
		w.engines = append(w.engines, e)
		w.sides = append(w.sides, nil)
		w.restartSide(r)
	}
	return w
}

// restartSide starts a new side process; commands underway of the old one
// become late ones.
func (w *world) restartSide(r int) {
	e := w.engines[r]
	if old := w.sides[r]; old != nil && e.checks {
		for _, c := range old.cmds {
			w.late = append(w.late, lateCommand{r, c})
		}
	}
	rank, _ := NewRank(RankOptions{Group: "g", Rank: r, SupportsSwitchAt: e.switchesAt}, e.state(), e.current)
	rank.broken = w.broken
	w.sides[r] = &side{rank: rank}
}

func (w *world) restartEngine(r int) {
	w.engines[r].restart()
	w.sides[r].cmds = nil
}

// readFence is the side's reading of the log, any time after its start.
func (w *world) readFence(r int) {
	w.sides[r].ready = true
	w.sides[r].rank.SetFence(w.claims - 1)
}

func (w *world) addCoordinator() int {
	c := NewCoordinator(CoordinatorOptions{Group: "g", Ranks: len(w.engines), InitialMap: []byte("first")})
	c.broken = w.broken
	w.coords = append(w.coords, &coordinator{machine: c, claim: -1})
	i := len(w.coords) - 1
	w.coordActions(i, c.Lead())
	return i
}

func (w *world) coordActions(i int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case AppendClaim:
			w.coords[i].claiming = true
		case SendOrder:
			o := a.Order
			w.net = append(w.net, message{from: i, order: &o})
		}
	}
}

// appendClaim lets the claim of coordinator i land on the log. Claims that
// landed before and were not answered are superseded by it.
func (w *world) appendClaim(i int) {
	w.coords[i].claim = w.claims
	w.claims++
}

// answerClaim tells coordinator i where its claim landed.
func (w *world) answerClaim(i int) {
	c := w.coords[i]
	at := c.claim
	c.claim, c.claiming = -1, false
	w.coordActions(i, c.machine.Claimed(at))
}

func (w *world) tick(i int) {
	w.coordActions(i, w.coords[i].machine.Tick(0))
}

func (w *world) propose(i int) {
	c := w.coords[i]
	c.proposed++
	w.coordActions(i, c.machine.Propose([]byte(fmt.Sprintf("%d/%d", i, c.proposed))))
}

// deliver hands message n to its receiver.
func (w *world) deliver(n int, keep bool) {
	m := w.net[n]
	if !keep {
		w.net = append(w.net[:n:n], w.net[n+1:]...)
	}
	if m.order != nil {
		o := *m.order
		o.Map = decoded(o.Map)
		w.rankActions(o.Rank, m.from, w.sides[o.Rank].rank.HandleOrder(&o))
		return
	}
	if w.coords[m.from] != nil {
		a := *m.ack
		a.Map = decoded(a.Map)
		w.coordActions(m.from, w.coords[m.from].machine.HandleAck(&a, 0))
	}
}

// decoded is a map as the codec delivers it: an absent one is empty, not nil.
func decoded(data []byte) []byte {
	if data == nil {
		return []byte{}
	}
	return data
}

// rankActions performs the actions of a side; answers go to every
// coordinator, since each ignores what is not for its fencing number.
func (w *world) rankActions(r, to int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendAck:
			w.answer(to, a.Ack)
		case RunCommand:
			w.sides[r].cmds = append(w.sides[r].cmds, a.Command)
		}
	}
}

func (w *world) answer(to int, ack wire.OrderAck) {
	for i, c := range w.coords {
		if c != nil && (i == to || to < 0) {
			w.net = append(w.net, message{from: i, ack: &ack})
		}
	}
}

// execute performs command n of rank r; with lost its answer does not arrive.
func (w *world) execute(r, n int, lost bool) {
	s, e := w.sides[r], w.engines[r]
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
	w.rankActions(r, -1, s.rank.HandleResult(res))
}

func (w *world) observe(r int) {
	w.rankActions(r, -1, w.sides[r].rank.HandleState(w.engines[r].state()))
}

// step lets rank r complete its step or begin the next one. The oracle is
// here: every rank that begins a step uses the map that the first one used.
func (w *world) step(r int) bool {
	e := w.engines[r]
	if e.running {
		e.running = false
		return true
	}
	if !e.begin(w.engines, w.broken.noHold) {
		return false
	}
	step := e.Next - 1
	first, ok := w.used[step]
	if ok && first != e.Epoch {
		w.fault = fmt.Sprintf("step %d: rank %d uses map %d, another used %d", step, r, e.Epoch, first)
	}
	w.used[step] = e.Epoch
	w.checkContent(r)
	return true
}

// checkContent sees to it that an epoch names one map only.
func (w *world) checkContent(r int) {
	e := w.engines[r]
	first, ok := w.content[e.Epoch]
	if ok && first != string(e.current) {
		w.fault = fmt.Sprintf("rank %d: map %d is %q, elsewhere %q", r, e.Epoch, e.current, first)
	}
	w.content[e.Epoch] = string(e.current)
}

// settle runs without faults until a coordinator is idle, or gives up.
func (w *world) settle(i int) bool {
	for range 400 {
		w.calm(i)
		if w.coords[i].machine.Idle() {
			return true
		}
	}
	return false
}

// calm is one fair round: everything that can happen happens once.
func (w *world) calm(i int) {
	c := w.coords[i]
	if c.claiming {
		w.appendClaim(i)
		w.answerClaim(i)
	}
	w.tick(i)
	for r := range w.sides {
		w.readFence(r)
		w.observe(r)
	}
	for range len(w.net) {
		w.deliver(0, false)
	}
	for r, s := range w.sides {
		for len(s.cmds) > 0 {
			w.execute(r, 0, false)
		}
		w.step(r)
	}
	for range len(w.net) {
		w.deliver(0, false)
	}
}

// inFlight is the number of messages that the network holds; older ones are lost.
const inFlight = 80

func (w *world) trim() {
	if over := len(w.net) - inFlight; over > 0 {
		w.net = w.net[over:]
	}
}

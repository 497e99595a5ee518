package backingtest

import "marjorampitch/backing"

// rankState is the part of an engine that obeys orders on expert maps.
type rankState struct {
	state     backing.EngineState // Next, Waiting and Incarnation are filled in by report
	stagedMap string              // hash of the staged map
	begun     bool                // step Step+1 is being made
	spans     []RankSpan
}

// RankSpan is the record of consecutive steps begun with one map.
type RankSpan struct {
	First   int64  `json:"first"`
	Last    int64  `json:"last"`
	Epoch   uint64 `json:"epoch"`
	MapHash string `json:"map_hash"`
}

// restart forgets everything but the records, as the engine's process does.
func (r *rankState) restart() {
	*r = rankState{spans: r.spans}
}

// next is the first step not begun.
func (r *rankState) next() int64 {
	if r.begun {
		return r.state.Step + 2
	}
	return r.state.Step + 1
}

// held says whether the next step waits for a commit or a drop.
func (r *rankState) held() bool {
	return r.state.ArmedStep != 0 && !r.state.Committed && r.next() >= r.state.ArmedStep
}

// waiting says whether the rank stands at its hold.
func (r *rankState) waiting() bool { return r.held() && !r.begun }

// begin begins a step; a committed map comes into use at its step.
func (r *rankState) begin() {
	if r.state.Committed && r.next() >= r.state.ArmedStep {
		r.use(r.state.Armed)
	}
	r.record(r.next())
	r.begun = true
}

func (r *rankState) record(step int64) {
	if r.state.Epoch == 0 {
		return
	}
	if n := len(r.spans); n > 0 {
		s := &r.spans[n-1]
		if s.Last+1 == step && s.Epoch == r.state.Epoch && s.MapHash == r.state.MapHash {
			s.Last = step
			return
		}
	}
	r.spans = append(r.spans, RankSpan{First: step, Last: step, Epoch: r.state.Epoch, MapHash: r.state.MapHash})
}

// end completes the step begun, unless a join or a restart has dropped it.
func (r *rankState) end() {
	if r.begun {
		r.begun = false
		r.state.Step++
	}
}

// use puts a map in force: the staged one, or again the one in use.
func (r *rankState) use(epoch uint64) {
	if r.state.Staged == epoch {
		r.state.MapHash = r.stagedMap
	}
	r.state.Epoch = epoch
	r.forget()
}

func (r *rankState) forget() {
	r.state.Staged = 0
	r.stagedMap = ""
	r.unhold()
}

func (r *rankState) unhold() {
	r.state.Armed, r.state.ArmedStep = 0, 0
	r.state.Committed = false
}

// obey applies an order and says whether the state allowed it.
func (r *rankState) obey(o backing.EngineOrder) bool {
	switch o.Kind {
	case backing.OrderStage:
		return r.stage(o)
	case backing.OrderArm:
		return r.arm(o)
	case backing.OrderCommit:
		return r.commit(o)
	case backing.OrderSwitch:
		return r.switchNow(o)
	case backing.OrderDrop:
		return r.drop(o)
	case backing.OrderJoin:
		return r.join(o)
	case backing.OrderAbort:
		r.forget()
	case backing.OrderSeal, backing.OrderLoad:
	}
	return true
}

func (r *rankState) stage(o backing.EngineOrder) bool {
	if r.state.Armed != 0 {
		return false
	}
	r.state.Staged = o.Epoch
	r.stagedMap = o.MapHash
	return true
}

func (r *rankState) arm(o backing.EngineOrder) bool {
	if r.state.Staged != o.Epoch || r.state.ArmedStep != 0 || r.next() > o.Step {
		return false
	}
	r.state.Armed, r.state.ArmedStep = o.Epoch, o.Step
	return true
}

func (r *rankState) commit(o backing.EngineOrder) bool {
	if o.Epoch == 0 || r.state.Armed != o.Epoch {
		return false
	}
	r.state.Committed = true
	return true
}

func (r *rankState) switchNow(o backing.EngineOrder) bool {
	if o.Epoch == 0 || r.state.Armed != o.Epoch || !r.waiting() {
		return false
	}
	r.use(o.Epoch)
	return true
}

func (r *rankState) drop(o backing.EngineOrder) bool {
	if r.state.Armed != o.Epoch || r.state.Committed {
		return false
	}
	r.unhold()
	return true
}

func (r *rankState) join(o backing.EngineOrder) bool {
	if o.Epoch == 0 || r.state.Staged != o.Epoch && r.state.Epoch != o.Epoch {
		return false
	}
	r.use(o.Epoch)
	r.begun = false
	r.state.Step = o.Step - 1
	r.state.ArmedStep = o.Step
	return true
}

// rankReport is the state that orders are answered with; e.mu is held.
func (e *Engine) rankReport() backing.EngineState {
	s := e.rank.state
	s.Next = e.rank.next()
	s.Waiting = e.rank.waiting()
	s.Incarnation = e.start.incarnation
	return s
}

// RankState returns the state of the engine's rank.
func (e *Engine) RankState() backing.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rankReport()
}

// Order applies an order and returns the state after it. Error:
// backing.ErrStaleFence, when the engine checks fencing numbers.
func (e *Engine) Order(o backing.EngineOrder) (backing.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := e.opts.ChecksFences && o.Fence < e.rank.state.HighestFence
	e.stats.addOrder(EngineOrderRecord{Order: o, Refused: stale})
	if stale {
		return e.rankReport(), backing.ErrStaleFence
	}
	if e.opts.ChecksFences {
		e.rank.state.HighestFence = o.Fence
	}
	done := e.rank.obey(o)
	e.publishRank()
	e.signal()
	e.wakeRank()
	state := e.rankReport()
	state.Refused = !done
	return state, nil
}

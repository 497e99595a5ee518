package backingtest

import "marjorampitch/backing"

// rankState is the part of an engine that applies orders on expert maps.
type rankState struct {
	state     backing.EngineState // Next, Waiting and Incarnation are set by rankReport
	stagedMap string              // hash of the staged map
	begun     bool                // step Step+1 is in progress
	spans     []RankSpan
}

// RankSpan records consecutive steps that began with the same map.
type RankSpan struct {
	First   int64  `json:"first"`
	Last    int64  `json:"last"`
	Epoch   uint64 `json:"epoch"`
	MapHash string `json:"map_hash"`
}

// restart resets the state except for the recorded spans, as a restart of the
// engine process does.
func (r *rankState) restart() {
	*r = rankState{spans: r.spans}
}

// next returns the first step that has not begun.
func (r *rankState) next() int64 {
	if r.begun {
		return r.state.Step + 2
	}
	return r.state.Step + 1
}

// held reports whether the next step is on hold until a commit or a drop.
func (r *rankState) held() bool {
	return r.state.ArmedStep != 0 && !r.state.Committed && r.next() >= r.state.ArmedStep
}

// waiting reports whether the rank is on hold and no step is in progress.
func (r *rankState) waiting() bool { return r.held() && !r.begun }

// begin begins the next step, with the committed map if its armed step is reached.
func (r *rankState) begin() {
	if r.state.Committed && r.next() >= r.state.ArmedStep {
		r.useMap(r.state.Armed)
	}
	r.record(r.next())
	r.begun = true
}

// record adds a step to the spans if the rank has a map.
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

// end completes the step in progress, unless a join or a restart has cancelled it.
func (r *rankState) end() {
	if r.begun {
		r.begun = false
		r.state.Step++
	}
}

// useMap makes the staged map the map in use, or keeps the current one if epoch is its
// epoch, and discards the staged map and the hold.
func (r *rankState) useMap(epoch uint64) {
	if r.state.Staged == epoch {
		r.state.MapHash = r.stagedMap
	}
	r.state.Epoch = epoch
	r.discardMaps()
}

// discardMaps discards the staged and the armed map.
func (r *rankState) discardMaps() {
	r.state.Staged = 0
	r.stagedMap = ""
	r.releaseHold()
}

// releaseHold discards the armed map and its hold.
func (r *rankState) releaseHold() {
	r.state.Armed, r.state.ArmedStep = 0, 0
	r.state.Committed = false
}

// apply applies an order. It returns false if the state does not allow the order.
func (r *rankState) apply(o backing.EngineOrder) bool {
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
		r.discardMaps()
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
	r.useMap(o.Epoch)
	return true
}

func (r *rankState) drop(o backing.EngineOrder) bool {
	if r.state.Armed != o.Epoch || r.state.Committed {
		return false
	}
	r.releaseHold()
	return true
}

func (r *rankState) join(o backing.EngineOrder) bool {
	if o.Epoch == 0 || r.state.Staged != o.Epoch && r.state.Epoch != o.Epoch {
		return false
	}
	r.useMap(o.Epoch)
	r.begun = false
	r.state.Step = o.Step - 1
	r.state.ArmedStep = o.Step
	return true
}

// rankReport returns the state as reported to callers; e.mu is held.
func (e *Engine) rankReport() backing.EngineState {
	s := e.rank.state
	s.Next = e.rank.next()
	s.Waiting = e.rank.waiting()
	s.Incarnation = e.process.incarnation
	return s
}

// RankState returns the state of the engine's rank.
func (e *Engine) RankState() backing.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rankReport()
}

// Order applies an order and returns the state after it. It returns
// backing.ErrStaleFence if the engine checks fencing numbers and has seen a higher
// one.
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
	done := e.rank.apply(o)
	e.publishRank()
	e.signal()
	e.wakeRank()
	state := e.rankReport()
	state.Refused = !done
	return state, nil
}

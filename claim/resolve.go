package claim

import (
	"marjorampitch/api"
	"marjorampitch/wire"
)

// ask begins to learn the fate of a claim from the side that it names.
func (c *Call) ask(s subject) {
	if c.answered && !s.own {
		c.enter(phaseDone, 0)
		return
	}
	c.subject = s
	c.since = c.now
	c.phase = phaseAsking
	c.query()
}

// query asks once more. Another call's claim is sealed only after the grace
// time, in which its own claimant sends it.
func (c *Call) query() {
	c.enter(phaseAsking, c.cfg.Tuning.ReplyWait)
	seal := c.subject.own || c.patienceOver()
	c.emit(Query{Target: c.subject.target, Offset: c.subject.offset, Seal: seal})
}

func (c *Call) patienceOver() bool {
	return c.now.Sub(c.since) >= c.cfg.Tuning.SealDelay
}

// askedFolded goes on from the log when it settles what a side is asked about.
// A key that the fold has forgotten was not released.
func (c *Call) askedFolded() {
	v := c.view
	if c.gapped || !v.Known {
		return
	}
	if v.Phase == KeyHeld && v.Offset == c.subject.offset {
		return
	}
	if v.Phase == KeyCompleted && c.dropped {
		return
	}
	c.decide(nil)
}

func (c *Call) onQueryFailed(ev QueryFailed) {
	if c.phase != phaseAsking || ev.Offset != c.subject.offset {
		return
	}
	c.next = c.now.Add(c.cfg.Tuning.PollInterval)
}

func (c *Call) onKeyAnswered(ev QueryAnswered) {
	if c.phase != phaseAsking || ev.Offset != c.subject.offset {
		return
	}
	switch ev.State {
	case wire.KeySealed:
		c.neverRan(api.NewError(api.Sealed, ""))
	case wire.KeyFinished:
		c.replayed = !c.subject.own
		c.finished(ev.Answer)
	case wire.KeyOtherIncarnation, wire.KeyForgotten:
		c.lost()
	case wire.KeyUnknown, wire.KeyRunning:
		c.next = c.now.Add(c.cfg.Tuning.PollInterval)
	}
}

// lost handles a side that no longer knows. The entry that sent the call may
// still be about to record its outcome, so others wait for the grace time.
func (c *Call) lost() {
	if c.dropped {
		c.fail(answerNotKept())
		return
	}
	if !c.subject.own && !c.patienceOver() {
		c.next = c.now.Add(c.cfg.Tuning.PollInterval)
		return
	}
	c.settle(api.NewError(api.Unresolved, ""))
}

// settle asks the service itself where it can be asked, else fails with err.
func (c *Call) settle(err *api.Error) {
	if !c.cfg.CanLookUp {
		c.fail(err)
		return
	}
	c.failed = err
	c.enter(phaseLookingUp, 0)
	c.emit(LookUp{})
}

// onLookedUp believes only a positive answer: what is not found may still run.
func (c *Call) onLookedUp(ev LookUpResult) {
	if c.phase != phaseLookingUp {
		return
	}
	if !ev.Found {
		c.fail(c.failed)
		return
	}
	c.replayed = true
	c.store(ev.Answer)
}

// answerNotKept is the error for a call that ran and whose answer is gone.
func answerNotKept() *api.Error {
	err := api.NewError(api.StreamBroken, "the call ran; its answer is no longer kept")
	err.Ran = api.DidRun
	err.RetryAfter = 0
	return err
}

// finished takes the answer of a run.
func (c *Call) finished(a wire.Answer) {
	if a.Status == 0 {
		c.fail(answerNotKept())
		return
	}
	if c.dropped {
		c.replyAnswer(a)
		return
	}
	if err := AnswerError(a); err != nil && err.Ran == api.MayHaveRun && c.cfg.CanLookUp {
		c.settle(err)
		return
	}
	c.store(a)
}

// store records the answer before the caller gets it, so that every later call
// with the key gets the same one.
func (c *Call) store(a wire.Answer) {
	c.answer = a
	c.enter(phaseStoring, c.cfg.Tuning.OutcomeWait)
	c.emit(AppendOutcome{Outcome: newOutcome(c.cfg.Key, int64(c.subject.offset), a)})
}

func (c *Call) onOutcomeDone() {
	if c.phase == phaseStoring {
		c.replyAnswer(c.answer)
	}
}

// replyAnswer ends the call with an answer, which may stand for a failed run.
func (c *Call) replyAnswer(a wire.Answer) {
	if err := AnswerError(a); err != nil {
		c.fail(err)
		return
	}
	side := c.subject.target.Side
	if side == "" {
		side = c.view.Side
	}
	c.reply(Reply{Answer: a, Replayed: c.replayed, Side: side})
	c.enter(phaseDone, 0)
}

// fetch reads the recorded answer.
func (c *Call) fetch() {
	if c.answered {
		c.enter(phaseDone, 0)
		return
	}
	c.enter(phaseFetching, c.cfg.Tuning.ReplyWait)
	c.emit(Fetch{Offset: c.view.OutcomeOffset})
}

func (c *Call) onFetched(ev FetchResult) {
	if c.phase != phaseFetching {
		return
	}
	if ev.Outcome == nil {
		c.next = c.now.Add(c.cfg.Tuning.PollInterval)
		return
	}
	c.replayed = true
	if !ev.Outcome.Dropped {
		c.replyAnswer(ev.Outcome.Answer)
		return
	}
	c.dropped = true
	target := Target{c.view.Side, c.view.SideIncarnation}
	c.ask(subject{target: target, offset: c.view.Offset})
}

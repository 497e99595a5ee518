package claim

import (
	"marjorampitch/api"
	"marjorampitch/wire"
)

// startQuerying starts to query the sidecar named by a claim about its state.
func (c *Call) startQuerying(s trackedClaim) {
	if c.callerDone && !s.own {
		c.enter(phaseDone, 0)
		return
	}
	c.tracked = s
	c.queryStart = c.now
	c.phase = phaseQuerying
	c.query()
}

// query sends one query. A claim of another call is sealed only after SealDelay,
// which gives its claimant time to send the request.
func (c *Call) query() {
	c.enter(phaseQuerying, c.cfg.Tuning.ReplyWait)
	seal := c.tracked.own || c.sealDelayOver()
	c.emit(Query{Target: c.tracked.target, Offset: c.tracked.offset, Seal: seal})
}

func (c *Call) sealDelayOver() bool {
	return c.now.Sub(c.queryStart) >= c.cfg.Tuning.SealDelay
}

// recheckLog stops querying when the log shows that the tracked claim has ended.
// A key that is missing from the Table was evicted, not released.
func (c *Call) recheckLog() {
	v := c.view
	if c.trimmed || !v.Known {
		return
	}
	if v.Phase == KeyHeld && v.Offset == c.tracked.offset {
		return
	}
	if v.Phase == KeyCompleted && c.answerDropped {
		return
	}
	c.decide(nil)
}

func (c *Call) onQueryFailed(ev QueryFailed) {
	if c.phase != phaseQuerying || ev.Offset != c.tracked.offset {
		return
	}
	c.timer = c.now.Add(c.cfg.Tuning.PollInterval)
}

func (c *Call) onQueryAnswered(ev QueryAnswered) {
	if c.phase != phaseQuerying || ev.Offset != c.tracked.offset {
		return
	}
	switch ev.State {
	case wire.KeySealed:
		c.releaseAndRetry(api.NewError(api.Sealed, ""))
	case wire.KeyFinished:
		c.replayed = !c.tracked.own
		c.onFinished(ev.Answer)
	case wire.KeyOtherIncarnation, wire.KeyExpired:
		c.onStateLost()
	case wire.KeyUnknown, wire.KeyRunning:
		c.timer = c.now.Add(c.cfg.Tuning.PollInterval)
	}
}

// onStateLost handles a sidecar that no longer has the state of the claim. The front
// proxy that sent the call may still append its outcome, so other front proxies wait
// for SealDelay.
func (c *Call) onStateLost() {
	if c.answerDropped {
		c.fail(answerNotKept())
		return
	}
	if !c.tracked.own && !c.sealDelayOver() {
		c.timer = c.now.Add(c.cfg.Tuning.PollInterval)
		return
	}
	c.lookUpOrFail(api.NewError(api.Unresolved, ""))
}

// lookUpOrFail looks the key up at the service, or fails with err if the service
// does not support that.
func (c *Call) lookUpOrFail(err *api.Error) {
	if !c.cfg.CanLookUp {
		c.fail(err)
		return
	}
	c.lookUpErr = err
	c.enter(phaseLookingUp, 0)
	c.emit(LookUp{})
}

// onLookUpResult accepts only a positive result: a call that is not found may still
// run.
func (c *Call) onLookUpResult(ev LookUpResult) {
	if c.phase != phaseLookingUp {
		return
	}
	if !ev.Found {
		c.fail(c.lookUpErr)
		return
	}
	c.replayed = true
	c.storeOutcome(ev.Answer)
}

// answerNotKept returns the error for a call that ran and whose answer was dropped.
func answerNotKept() *api.Error {
	err := api.NewError(api.StreamBroken, "the call ran; its answer is no longer kept")
	err.Ran = api.DidRun
	err.RetryAfter = 0
	return err
}

// onFinished handles the answer of a finished run. Status 0 means that the answer
// was dropped.
func (c *Call) onFinished(a wire.Answer) {
	if a.Status == 0 {
		c.fail(answerNotKept())
		return
	}
	if c.answerDropped {
		c.replyAnswer(a)
		return
	}
	if err := AnswerError(a); err != nil && err.Ran == api.MayHaveRun && c.cfg.CanLookUp {
		c.lookUpOrFail(err)
		return
	}
	c.storeOutcome(a)
}

// storeOutcome appends the answer to the log before the caller gets it, so that
// later calls with the key get the same answer.
func (c *Call) storeOutcome(a wire.Answer) {
	c.answer = a
	c.enter(phaseStoring, c.cfg.Tuning.OutcomeWait)
	c.emit(AppendOutcome{Outcome: newOutcome(c.cfg.Key, int64(c.tracked.offset), a)})
}

func (c *Call) onOutcomeAppendEnded() {
	if c.phase == phaseStoring {
		c.replyAnswer(c.answer)
	}
}

// replyAnswer ends the call with an answer, which may encode the error of a failed
// run.
func (c *Call) replyAnswer(a wire.Answer) {
	if err := AnswerError(a); err != nil {
		c.fail(err)
		return
	}
	side := c.tracked.target.Side
	if side == "" {
		side = c.view.Side
	}
	c.reply(Reply{Answer: a, Replayed: c.replayed, Side: side})
	c.enter(phaseDone, 0)
}

// fetchOutcome reads the answer from the Outcome record.
func (c *Call) fetchOutcome() {
	if c.callerDone {
		c.enter(phaseDone, 0)
		return
	}
	c.enter(phaseFetching, c.cfg.Tuning.ReplyWait)
	c.emit(Fetch{Offset: c.view.OutcomeOffset})
}

func (c *Call) onFetchResult(ev FetchResult) {
	if c.phase != phaseFetching {
		return
	}
	if ev.Outcome == nil {
		c.timer = c.now.Add(c.cfg.Tuning.PollInterval)
		return
	}
	c.replayed = true
	if !ev.Outcome.Dropped {
		c.replyAnswer(ev.Outcome.Answer)
		return
	}
	c.answerDropped = true
	target := Target{c.view.Side, c.view.SideIncarnation}
	c.startQuerying(trackedClaim{target: target, offset: c.view.Offset})
}

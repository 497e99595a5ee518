package claim

import (
	"marjorampitch/api"
	"marjorampitch/backing"
)

// logUnavailable returns the error for an attempt that was not claimed because the
// log service is unavailable. Its "not run" covers this attempt only: an earlier
// attempt with the same key may have run.
func logUnavailable() *api.Error {
	return api.NewError(api.LogUnavailable, "this attempt was not claimed")
}

// decide selects the next step from the key's state in the log. The caller ensures
// that no claim of this call can still become valid. last is the error that refused
// its latest claim, or nil.
func (c *Call) decide(last *api.Error) {
	v := c.view
	switch {
	case v.Known && v.Fingerprint != c.cfg.Fingerprint:
		c.fail(api.NewError(api.KeyConflict, ""))
	case v.Phase == KeyCompleted:
		c.fetchOutcome()
	case v.Phase == KeyHeld && v.Offset == c.closedOffset:
		c.release(v.Offset)
		c.claimAgain(last)
	case v.Phase == KeyHeld:
		c.startQuerying(trackedClaim{target: Target{v.Side, v.SideIncarnation}, offset: v.Offset})
	case v.TooOld:
		c.fail(api.NewError(api.KeyTooOld, ""))
	default:
		c.claimAgain(last)
	}
}

// claimAgain claims the key for the first time or after a claim that did not run.
// It fails the call if its claims are used up, if the log was trimmed or if the
// last error does not allow a retry.
func (c *Call) claimAgain(last *api.Error) {
	if c.callerDone {
		c.enter(phaseDone, 0)
		return
	}
	exhausted := c.claimCount >= c.cfg.Tuning.MaxClaims || c.trimmed
	final := last != nil && last.RetryAfter == 0
	if last != nil && (exhausted || final) {
		c.fail(last)
		return
	}
	if exhausted {
		c.fail(logUnavailable())
		return
	}
	target, err := c.cfg.Pick(last)
	if err != nil {
		c.fail(err)
		return
	}
	c.appendClaimFor(target)
}

// appendClaimFor appends the next claim, which names target.
func (c *Call) appendClaimFor(target Target) {
	c.claimCount++
	c.appendUnknown = false
	c.claim = &Claim{
		Key:             c.cfg.Key,
		Fingerprint:     c.cfg.Fingerprint,
		Claimant:        c.cfg.Claimant,
		Nonce:           c.cfg.Nonce(),
		Side:            target.Side,
		SideIncarnation: target.Incarnation,
		ValidUntil:      int64(c.end) + c.cfg.Tuning.Window,
	}
	c.enter(phaseClaiming, 0)
	c.emit(AppendClaim{Claim: c.claim})
}

// release frees the key held by a claim that can no longer run.
func (c *Call) release(offset backing.Offset) {
	c.emit(AppendRelease{Release: &Release{Key: c.cfg.Key, Offset: int64(offset)}})
}

func (c *Call) onAppendRefused(ev AppendRefused) {
	if c.phase == phaseClaiming && ev.Nonce == c.claim.Nonce {
		c.fail(logUnavailable())
	}
}

func (c *Call) onAppendUnknown(ev AppendUnknown) {
	if c.phase != phaseClaiming || ev.Nonce != c.claim.Nonce {
		return
	}
	c.appendUnknown = true
	c.timer = c.now.Add(c.cfg.Tuning.PadAfter)
}

func (c *Call) onRecordsApplied(ev RecordsApplied) {
	c.view, c.end = ev.View, ev.End
	switch c.phase {
	case phaseClaiming:
		c.readBack(ev)
	case phaseQuerying:
		c.recheckLog()
	}
}

// onRecordsTrimmed fails a call whose claim can no longer be read back; its request
// was never sent. From now on a missing key in the log does not mean that an
// earlier claim did not run.
func (c *Call) onRecordsTrimmed() {
	c.trimmed = true
	if c.phase == phaseClaiming {
		c.fail(api.NewError(api.Unresolved, "records trimmed before they were read"))
	}
}

// readBack checks whether the records read contain the call's claim.
func (c *Call) readBack(ev RecordsApplied) {
	if ev.Verdict != VerdictNone && ev.Nonce == c.claim.Nonce {
		c.onVerdict(ev.Verdict, ev.Offset)
		return
	}
	if int64(ev.End) > c.claim.ValidUntil {
		// The claim was not stored. If it is stored later, its offset exceeds
		// ValidUntil and every reader rejects it.
		c.decide(nil)
	}
}

// onVerdict handles the verdict on the call's claim.
func (c *Call) onVerdict(v Verdict, offset backing.Offset) {
	switch v {
	case VerdictWon:
		c.onWon(offset)
	case VerdictConflict:
		c.fail(api.NewError(api.KeyConflict, ""))
	case VerdictTooOld:
		c.fail(api.NewError(api.KeyTooOld, ""))
	default:
		c.decide(nil)
	}
}

// onWon sends the request, unless the claim was closed by another front proxy, the
// caller has disconnected or the key became too old while this process was paused.
func (c *Call) onWon(offset backing.Offset) {
	if c.view.Phase != KeyHeld || c.view.Offset != offset {
		c.decide(nil)
		return
	}
	if c.callerDone {
		c.release(offset)
		c.enter(phaseDone, 0)
		return
	}
	if err := c.cfg.Limits.Check(c.cfg.Key, c.now); err != nil {
		c.release(offset)
		c.fail(err)
		return
	}
	target := Target{Side: c.claim.Side, Incarnation: c.claim.SideIncarnation}
	c.tracked = trackedClaim{target: target, offset: offset, own: true}
	c.enter(phaseSent, 0)
	c.emit(Send{Target: target, Offset: offset})
}

// onSendResult handles the first result for the tracked claim and ignores all others.
func (c *Call) onSendResult(ev SendResult) {
	if c.phase != phaseSent || ev.Offset != c.tracked.offset {
		return
	}
	refused := ev.Status == SendRefused && ev.Err.Ran == api.NotRun
	switch {
	case ev.Status == SendReplied:
		c.onFinished(ev.Answer)
	case ev.Status == SendNotStarted, refused:
		c.releaseAndRetry(ev.Err)
	default:
		c.startQuerying(c.tracked)
	}
}

// releaseAndRetry releases the tracked claim, which did not run and can no longer
// run, and claims the key again. err is the reason that it did not run.
func (c *Call) releaseAndRetry(err *api.Error) {
	offset := c.tracked.offset
	c.closedOffset = offset
	c.release(offset)
	c.claimAgain(err)
}

package claim

import (
	"marjorampitch/api"
	"marjorampitch/backing"
)

// logUnavailable speaks for this attempt only: an earlier one with the same
// key may have run.
func logUnavailable() *api.Error {
	return api.NewError(api.LogUnavailable, "this attempt was not claimed")
}

// decide goes on from what the log says of the key, when the call has no claim
// that may still count. last is the refusal of its latest claim.
func (c *Call) decide(last *api.Error) {
	v := c.view
	switch {
	case v.Known && v.Fingerprint != c.cfg.Fingerprint:
		c.fail(api.NewError(api.KeyConflict, ""))
	case v.Phase == KeyCompleted:
		c.fetch()
	case v.Phase == KeyHeld && v.Offset == c.closed:
		c.release(v.Offset)
		c.again(last)
	case v.Phase == KeyHeld:
		c.ask(subject{target: Target{v.Side, v.SideIncarnation}, offset: v.Offset})
	case v.TooOld:
		c.fail(api.NewError(api.KeyTooOld, ""))
	default:
		c.again(last)
	}
}

// again claims the key, for the first time or after a claim that did not run.
func (c *Call) again(last *api.Error) {
	if c.answered {
		c.enter(phaseDone, 0)
		return
	}
	spent := c.rounds >= c.cfg.Tuning.MaxClaims || c.gapped
	hopeless := last != nil && last.RetryAfter == 0
	if last != nil && (spent || hopeless) {
		c.fail(last)
		return
	}
	if spent {
		c.fail(logUnavailable())
		return
	}
	target, err := c.cfg.Pick(last)
	if err != nil {
		c.fail(err)
		return
	}
	c.claimFor(target)
}

// claimFor makes the next claim, for a target.
func (c *Call) claimFor(target Target) {
	c.rounds++
	c.unknown = false
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

// release opens the key again after a claim that will never run.
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
	c.unknown = true
	c.next = c.now.Add(c.cfg.Tuning.PadAfter)
}

func (c *Call) onFolded(ev RecordsApplied) {
	c.view, c.end = ev.View, ev.End
	switch c.phase {
	case phaseClaiming:
		c.readBack(ev)
	case phaseAsking:
		c.askedFolded()
	}
}

// onGap gives up a claim whose fate can no longer be read; it was never sent.
// From here on the log says nothing about the claims made before.
func (c *Call) onGap() {
	c.gapped = true
	if c.phase == phaseClaiming {
		c.fail(api.NewError(api.Unresolved, "records trimmed before they were read"))
	}
}

// readBack looks for the call's claim among the records read.
func (c *Call) readBack(ev RecordsApplied) {
	if ev.Verdict != VerdictNone && ev.Nonce == c.claim.Nonce {
		c.judged(ev.Verdict, ev.Offset)
		return
	}
	if int64(ev.End) > c.claim.ValidUntil {
		// Not stored so far; if it is stored later, it is void for every reader.
		c.decide(nil)
	}
}

// judged goes on from the log's verdict on the call's claim.
func (c *Call) judged(v Verdict, offset backing.Offset) {
	switch v {
	case VerdictWon:
		c.won(offset)
	case VerdictConflict:
		c.fail(api.NewError(api.KeyConflict, ""))
	case VerdictTooOld:
		c.fail(api.NewError(api.KeyTooOld, ""))
	default:
		c.decide(nil)
	}
}

// won sends the request, unless the claim was closed meanwhile, nobody waits
// any more, or the key grew too old during a pause.
func (c *Call) won(offset backing.Offset) {
	if c.view.Phase != KeyHeld || c.view.Offset != offset {
		c.decide(nil)
		return
	}
	if c.answered {
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
	c.subject = subject{target: target, offset: offset, own: true}
	c.enter(phaseSent, 0)
	c.emit(Send{Target: target, Offset: offset})
}

// onSent takes what became of the request. It counts only once.
func (c *Call) onSent(ev SendResult) {
	if c.phase != phaseSent || ev.Offset != c.subject.offset {
		return
	}
	refused := ev.Status == SendRefused && ev.Err.Ran == api.NotRun
	switch {
	case ev.Status == SendReplied:
		c.finished(ev.Answer)
	case ev.Status == SendNotStarted, refused:
		c.neverRan(ev.Err)
	default:
		c.ask(c.subject)
	}
}

// neverRan releases the subject, which did not run and never will.
func (c *Call) neverRan(err *api.Error) {
	offset := c.subject.offset
	c.closed = offset
	c.release(offset)
	c.again(err)
}

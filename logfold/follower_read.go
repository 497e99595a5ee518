package logfold

import "time"

// tick starts the operation that is due.
func (f *Follower) tick(now time.Duration) []Action {
	if f.opts.ReadMode == ReadNever || now < f.retryAt {
		return nil
	}
	if f.stalled {
		return f.findCheckpoint()
	}
	if !f.readInProgress && f.readNeeded(now) {
		return f.readConfig()
	}
	return f.checkpointIfDue(now)
}

// readNeeded reports whether the process should read the log now.
func (f *Follower) readNeeded(now time.Duration) bool {
	age, ok := f.fresh.LogProofAge(now)
	if f.opts.ReadMode == ReadAlways || !ok {
		return true
	}
	share := f.readShare
	if f.fresh.PeerReportedLogDown(now) {
		share = readAgeShareLogDown
	}
	return age > time.Duration(share*float64(f.fresh.freshFor))
}

func (f *Follower) readConfig() []Action {
	f.readInProgress = true
	wait := time.Duration(0)
	if f.opts.ReadMode == ReadAlways {
		wait = min(pollWait, f.fresh.freshFor/5)
	}
	return []Action{ReadConfig{From: f.state.ReadTo + 1, Wait: wait}}
}

// configRead applies the records of a batch. A document of a peer may have been
// adopted since the read was sent; records already applied are skipped.
func (f *Follower) configRead(now time.Duration, e ConfigRead) []Action {
	f.readInProgress = false
	f.lastReadOK = true
	f.fresh.RecordReadResult(now, true)
	f.configStart = max(f.configStart, e.Batch.Start)
	if f.state.ReadTo+1 < e.Batch.Start {
		f.stall(now)
		return nil
	}
	before := f.state.Offset
	for _, rec := range e.Batch.Records {
		if rec.Offset <= f.state.ReadTo {
			continue
		}
		if _, err := f.state.Apply(rec); err != nil {
			f.stall(now)
			break
		}
	}
	if f.state.Offset != before {
		f.fresh.SetDocument(f.state.Doc, f.state.Offset)
	}
	if f.stalled {
		return nil
	}
	if f.state.ReadTo+1 < e.Batch.End {
		return f.readConfig()
	}
	f.fresh.RecordReadToEnd(e.Sent)
	f.checkpoints.endReached = true
	if f.opts.ReadMode == ReadAlways {
		return f.readConfig()
	}
	return nil
}

func (f *Follower) configReadFailed(now time.Duration, e ConfigReadFailed) {
	f.readInProgress = false
	f.fresh.RecordReadResult(now, e.Trimmed)
	if !e.Trimmed {
		f.lastReadOK = false
		f.retryAt = now + f.jittered(readRetryDelay)
		return
	}
	f.configStart = max(f.configStart, e.Batch.Start)
	if f.state.ReadTo+1 < e.Batch.Start {
		f.stall(now)
	}
}

// stall stops reading because the next record cannot be read or applied. A usable
// checkpoint or the document of a peer resumes it.
func (f *Follower) stall(now time.Duration) {
	f.stalled = true
	f.lastReadOK = false
	f.checkpoints.onlyNew = false
	f.retryAt = now
}

// adopt replaces the state with a later one and reports whether it did.
func (f *Follower) adopt(next State) bool {
	if next.ReadTo <= f.state.ReadTo || next.Offset < f.state.Offset {
		return false
	}
	newDocument := next.Offset > f.state.Offset
	f.state = next
	if newDocument {
		f.fresh.SetDocument(next.Doc, next.Offset)
	}
	if f.mut.anyCheckpoint {
		f.state.ReadTo = max(f.state.ReadTo, f.configStart-1)
	}
	if f.stalled && f.state.ReadTo+1 >= f.configStart {
		f.stalled = false
	}
	return true
}

package logfold

import "time"

// tick starts what is due.
func (f *Follower) tick(now time.Duration) []Action {
	if f.opts.ReadMode == ReadNever || now < f.retryAt {
		return nil
	}
	if f.lost {
		return f.findCheckpoint()
	}
	if !f.reading && f.readNeeded(now) {
		return f.readConfig()
	}
	return f.checkpointDue(now)
}

// readNeeded reports whether the process should read the log now.
func (f *Follower) readNeeded(now time.Duration) bool {
	age, ok := f.fresh.LogAge(now)
	if f.opts.ReadMode == ReadAlways || !ok {
		return true
	}
	share := f.needShare
	if f.fresh.ToldDown(now) {
		share = checkShare
	}
	return age > time.Duration(share*float64(f.fresh.freshFor))
}

func (f *Follower) readConfig() []Action {
	f.reading = true
	wait := time.Duration(0)
	if f.opts.ReadMode == ReadAlways {
		wait = min(pollWait, f.fresh.freshFor/5)
	}
	return []Action{ReadConfig{From: f.fold.ReadTo + 1, Wait: wait}}
}

// configRead judges the records of a batch. The batch may be older than what
// a peer has offered meanwhile; records already judged are passed over.
func (f *Follower) configRead(now time.Duration, e ConfigRead) []Action {
	f.reading = false
	f.readFine = true
	f.fresh.ReadAnswered(now, true)
	f.configStart = max(f.configStart, e.Batch.Start)
	if f.fold.ReadTo+1 < e.Batch.Start {
		f.loseWay(now)
		return nil
	}
	before := f.fold.Offset
	for _, rec := range e.Batch.Records {
		if rec.Offset <= f.fold.ReadTo {
			continue
		}
		if _, err := f.fold.Apply(rec); err != nil {
			f.loseWay(now)
			break
		}
	}
	if f.fold.Offset != before {
		f.fresh.Adopt(f.fold.Doc, f.fold.Offset)
	}
	if f.lost {
		return nil
	}
	if f.fold.ReadTo+1 < e.Batch.End {
		return f.readConfig()
	}
	f.fresh.ReadEnd(e.Sent)
	f.checkpoints.endSeen = true
	if f.opts.ReadMode == ReadAlways {
		return f.readConfig()
	}
	return nil
}

func (f *Follower) configReadFailed(now time.Duration, e ConfigReadFailed) {
	f.reading = false
	f.fresh.ReadAnswered(now, e.Trimmed)
	if !e.Trimmed {
		f.readFine = false
		f.retryAt = now + f.jittered(retryAfter)
		return
	}
	f.configStart = max(f.configStart, e.Batch.Start)
	if f.fold.ReadTo+1 < e.Batch.Start {
		f.loseWay(now)
	}
}

// loseWay stops the fold: the next record can't be had or judged. A usable
// checkpoint or a peer's document sets it going again.
func (f *Follower) loseWay(now time.Duration) {
	f.lost = true
	f.readFine = false
	f.checkpoints.seenAll = false
	f.retryAt = now
}

// adopt takes over a later state of the fold.
func (f *Follower) adopt(next State) bool {
	if next.ReadTo <= f.fold.ReadTo || next.Offset < f.fold.Offset {
		return false
	}
	moved := next.Offset > f.fold.Offset
	f.fold = next
	if moved {
		f.fresh.Adopt(next.Doc, next.Offset)
	}
	if f.faults.anyCheckpoint {
		f.fold.ReadTo = max(f.fold.ReadTo, f.configStart-1)
	}
	if f.lost && f.fold.ReadTo+1 >= f.configStart {
		f.lost = false
	}
	return true
}

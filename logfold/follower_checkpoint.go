package logfold

import (
	"time"

	"marjorampitch/backing"
)

// checkpointStep is the purpose of the read of the checkpoint stream in progress.
type checkpointStep uint8

const (
	stepIdle     checkpointStep = iota
	stepProbing                 // finds the end of the stream
	stepLoading                 // reads the last checkpoints to continue from one
	stepChecking                // checks for a checkpoint of another process before writing one
)

// checkpointer is the part of a Follower's state that concerns checkpoints.
type checkpointer struct {
	step       checkpointStep
	tail       backing.Offset // number of checkpoints that the next search reads
	onlyNew    bool           // the checkpoints before next are unusable for the stalled state, so only newer ones are read
	dueAt      time.Duration  // time of the next write
	endReached bool           // the process has read the configuration stream to its end
	next       backing.Offset // first checkpoint not read yet; valid if nextKnown
	nextKnown  bool
}

// findCheckpoint searches for a checkpoint to continue from.
func (f *Follower) findCheckpoint() []Action {
	c := &f.checkpoints
	if c.step != stepIdle {
		return nil
	}
	if c.onlyNew {
		c.step = stepLoading
		return []Action{ReadCheckpoints{From: c.next, Limit: minCheckpointTail}}
	}
	c.step = stepProbing
	return []Action{ReadCheckpoints{From: 0, Limit: 1}}
}

func (f *Follower) checkpointsRead(now time.Duration, e CheckpointsRead) []Action {
	c := &f.checkpoints
	step := c.step
	c.step = stepIdle
	f.fresh.RecordReadResult(now, true)
	c.next, c.nextKnown = e.Batch.End, true
	if n := len(e.Batch.Records); n > 0 && step != stepProbing {
		c.next = e.Batch.Records[n-1].Offset + 1
	}
	switch step {
	case stepProbing:
		if e.Batch.Start >= e.Batch.End {
			f.searchFurther(now)
			return nil
		}
		c.step = stepLoading
		tail := max(c.tail, minCheckpointTail)
		from := max(e.Batch.Start, e.Batch.End-tail)
		return []Action{ReadCheckpoints{From: from, Limit: int(tail)}}
	case stepLoading:
		c.onlyNew = c.onlyNew && !e.Trimmed
		f.startFromCheckpoint(now, e.Batch)
	case stepChecking:
		return f.writeIfMissing(now, e.Batch)
	}
	return nil
}

func (f *Follower) checkpointsReadFailed(now time.Duration) {
	f.checkpoints.step = stepIdle
	f.fresh.RecordReadResult(now, false)
	f.retryAt = now + f.jittered(readRetryDelay)
}

// startFromCheckpoint adopts the newest usable checkpoint of a batch, or
// schedules another search.
func (f *Follower) startFromCheckpoint(now time.Duration, batch backing.Batch) {
	best := pickCheckpoint(batch, f.opts.Service, f.firstUsable(), false)
	if best != nil {
		if next, ok := stateOf(best); ok && f.adopt(next) {
			f.checkpoints.tail = minCheckpointTail
			return
		}
	}
	f.searchFurther(now)
}

// searchFurther schedules a search of more checkpoints, and after the widest
// search one of new checkpoints only.
func (f *Follower) searchFurther(now time.Duration) {
	c := &f.checkpoints
	c.tail = max(c.tail, minCheckpointTail) * 4
	if c.tail > maxCheckpointTail {
		c.tail, c.onlyNew = minCheckpointTail, true
	}
	f.retryAt = now + f.jittered(stalledRetryDelay)
}

// firstUsable returns the first retained offset of the configuration stream. A
// checkpoint is usable if every record after it is retained.
func (f *Follower) firstUsable() backing.Offset {
	if f.mut.anyCheckpoint {
		return 0
	}
	return f.configStart
}

// checkpointIfDue starts to write a checkpoint if one is due. It first checks
// whether another process has written one.
func (f *Follower) checkpointIfDue(now time.Duration) []Action {
	c := &f.checkpoints
	due := f.opts.CheckpointEvery > 0 && now >= c.dueAt
	if !due || c.step != stepIdle || !f.mayWriteCheckpoint() {
		return nil
	}
	if !c.nextKnown {
		return f.writeCheckpoint(now)
	}
	c.step = stepChecking
	return []Action{ReadCheckpoints{From: c.next, Limit: minCheckpointTail}}
}

// mayWriteCheckpoint reports whether this process has itself read the stream to
// its end and can still follow it.
func (f *Follower) mayWriteCheckpoint() bool {
	return f.checkpoints.endReached && f.lastReadOK && !f.stalled && f.state.Doc != nil
}

// writeIfMissing writes a checkpoint unless the batch contains a usable one of
// the same or a later document.
func (f *Follower) writeIfMissing(now time.Duration, batch backing.Batch) []Action {
	cp := pickCheckpoint(batch, f.opts.Service, f.configStart, false)
	if cp != nil && backing.Offset(cp.Offset) >= f.state.Offset {
		f.checkpoints.dueAt = now + f.jittered(f.opts.CheckpointEvery)
		return nil
	}
	return f.writeCheckpoint(now)
}

func (f *Follower) writeCheckpoint(now time.Duration) []Action {
	if !f.mayWriteCheckpoint() {
		return nil
	}
	data, err := f.state.Checkpoint().MarshalMsg(nil)
	if err != nil {
		return nil
	}
	f.checkpoints.dueAt = now + f.jittered(f.opts.CheckpointEvery)
	return []Action{WriteCheckpoint{Data: data}}
}

// checkpointWritten schedules an early retry if the write failed. A duplicate
// checkpoint is harmless.
func (f *Follower) checkpointWritten(now time.Duration, e CheckpointWritten) {
	if !e.OK {
		f.checkpoints.dueAt = now + f.jittered(f.opts.CheckpointEvery)/8
		return
	}
	f.checkpoints.next, f.checkpoints.nextKnown = max(f.checkpoints.next, e.Offset+1), true
}

package logfold

import (
	"time"

	"marjorampitch/backing"
)

// checkpointStep is what the read of the checkpoint stream under way is for.
type checkpointStep uint8

const (
	stepIdle    checkpointStep = iota
	stepProbing                // learns where the stream ends
	stepLoading                // reads its last records
	stepLooking                // precedes a write
)

// checkpointer is the part of a Follower's state that concerns checkpoints.
type checkpointer struct {
	step    checkpointStep
	tail    backing.Offset // checkpoints to look at when the fold is lost
	seenAll bool           // all before next are of no use to the lost fold; later ones may be
	dueAt   time.Duration  // time of the next write
	endSeen bool           // the end of the configuration stream was read in this run
	next    backing.Offset // first checkpoint not yet seen; valid when known
	known   bool
}

// findCheckpoint looks for a start.
func (f *Follower) findCheckpoint() []Action {
	c := &f.checkpoints
	if c.step != stepIdle {
		return nil
	}
	if c.seenAll {
		c.step = stepLoading
		return []Action{ReadCheckpoints{From: c.next, Limit: checkpointTail}}
	}
	c.step = stepProbing
	return []Action{ReadCheckpoints{From: 0, Limit: 1}}
}

func (f *Follower) checkpointsRead(now time.Duration, e CheckpointsRead) []Action {
	c := &f.checkpoints
	step := c.step
	c.step = stepIdle
	f.fresh.ReadAnswered(now, true)
	c.next, c.known = e.Batch.End, true
	if n := len(e.Batch.Records); n > 0 && step != stepProbing {
		c.next = e.Batch.Records[n-1].Offset + 1
	}
	switch step {
	case stepProbing:
		if e.Batch.Start >= e.Batch.End {
			f.lookAgain(now)
			return nil
		}
		c.step = stepLoading
		tail := max(c.tail, checkpointTail)
		from := max(e.Batch.Start, e.Batch.End-tail)
		return []Action{ReadCheckpoints{From: from, Limit: int(tail)}}
	case stepLoading:
		c.seenAll = c.seenAll && !e.Trimmed
		f.startFrom(now, e.Batch)
	case stepLooking:
		return f.writeUnlessWritten(now, e.Batch)
	}
	return nil
}

func (f *Follower) checkpointsReadFailed(now time.Duration) {
	f.checkpoints.step = stepIdle
	f.fresh.ReadAnswered(now, false)
	f.retryAt = now + f.jittered(retryAfter)
}

// startFrom adopts the newest usable checkpoint of a batch.
func (f *Follower) startFrom(now time.Duration, batch backing.Batch) {
	best := pickCheckpoint(batch, f.opts.Service, f.usableFrom(), false)
	if best != nil {
		if next, ok := foldOf(best); ok && f.adopt(next) {
			f.checkpoints.tail = checkpointTail
			return
		}
	}
	f.lookAgain(now)
}

// lookAgain looks further back next time, and after the furthest look only at
// what is new.
func (f *Follower) lookAgain(now time.Duration) {
	c := &f.checkpoints
	c.tail = max(c.tail, checkpointTail) * 4
	if c.tail > checkpointsMost {
		c.tail, c.seenAll = checkpointTail, true
	}
	f.retryAt = now + f.jittered(lostRetryAfter)
}

// usableFrom returns the first retained offset of the configuration stream: a
// checkpoint is usable if every record after it can still be read.
func (f *Follower) usableFrom() backing.Offset {
	if f.faults.anyCheckpoint {
		return 0
	}
	return f.configStart
}

// checkpointDue begins to write a checkpoint when it is time: first it looks
// whether another process has written one.
func (f *Follower) checkpointDue(now time.Duration) []Action {
	c := &f.checkpoints
	due := f.opts.CheckpointEvery > 0 && now >= c.dueAt
	if !due || c.step != stepIdle || !f.mayWrite() {
		return nil
	}
	if !c.known {
		return f.writeCheckpoint(now)
	}
	c.step = stepLooking
	return []Action{ReadCheckpoints{From: c.next, Limit: checkpointTail}}
}

// mayWrite reports whether the fold stands at an end of the stream that this
// process has read itself.
func (f *Follower) mayWrite() bool {
	return f.checkpoints.endSeen && f.readFine && !f.lost && f.fold.Doc != nil
}

// writeUnlessWritten writes a checkpoint unless the batch holds one that will do.
func (f *Follower) writeUnlessWritten(now time.Duration, batch backing.Batch) []Action {
	cp := pickCheckpoint(batch, f.opts.Service, f.configStart, false)
	if cp != nil && backing.Offset(cp.Offset) >= f.fold.Offset {
		f.checkpoints.dueAt = now + f.jittered(f.opts.CheckpointEvery)
		return nil
	}
	return f.writeCheckpoint(now)
}

func (f *Follower) writeCheckpoint(now time.Duration) []Action {
	if !f.mayWrite() {
		return nil
	}
	data, err := f.fold.Checkpoint().MarshalMsg(nil)
	if err != nil {
		return nil
	}
	f.checkpoints.dueAt = now + f.jittered(f.opts.CheckpointEvery)
	return []Action{WriteCheckpoint{Data: data}}
}

// checkpointWritten tries again soon when the write failed; a second copy is harmless.
func (f *Follower) checkpointWritten(now time.Duration, e CheckpointWritten) {
	if !e.OK {
		f.checkpoints.dueAt = now + f.jittered(f.opts.CheckpointEvery)/8
		return
	}
	f.checkpoints.next, f.checkpoints.known = max(f.checkpoints.next, e.Offset+1), true
}

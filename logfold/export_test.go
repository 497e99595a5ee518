package logfold

import "marjorampitch/backing"

// UseAnyCheckpoint takes the check of checkpoints against retention out.
func (f *Follower) UseAnyCheckpoint() { f.faults.anyCheckpoint = true }

// ReadTo returns the last record that the Follower has judged.
func (f *Follower) ReadTo() backing.Offset { return f.fold.ReadTo }

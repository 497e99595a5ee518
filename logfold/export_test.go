package logfold

import "marjorampitch/backing"

// UseAnyCheckpoint disables the check that every record after a checkpoint is
// retained.
func (f *Follower) UseAnyCheckpoint() { f.mut.anyCheckpoint = true }

// ReadTo returns the offset of the last record that the Follower has applied.
func (f *Follower) ReadTo() backing.Offset { return f.state.ReadTo }

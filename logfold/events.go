package logfold

import (
	"time"

	"marjorampitch/backing"
	"marjorampitch/wire"
)

// Event is something that a Follower is told.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// ConfigRead is the answer to a ReadConfig that was sent at Sent.
type ConfigRead struct {
	Sent  time.Duration
	Batch backing.Batch
}

// ConfigReadFailed says that a ReadConfig failed. Trimmed: the wanted records
// are no longer retained, and the Batch carries Start and End.
type ConfigReadFailed struct {
	Trimmed bool
	Batch   backing.Batch
}

// CheckpointsRead is the answer to a ReadCheckpoints. Trimmed: as for ConfigReadFailed.
type CheckpointsRead struct {
	Trimmed bool
	Batch   backing.Batch
}

// CheckpointsReadFailed says that a ReadCheckpoints failed.
type CheckpointsReadFailed struct{}

// CheckpointWritten is the answer to a WriteCheckpoint; not OK: refused or unknown.
type CheckpointWritten struct {
	OK     bool
	Offset backing.Offset // of the record, when OK
}

// PeerHeard is a heartbeat of a peer. Unless it is Dated it proves nothing.
type PeerHeard struct {
	Peer       string // names the connection it came by
	DataCentre string
	Heartbeat  wire.Heartbeat
	Dated      bool
	SentAfter  time.Duration // the peer sent it later than this
}

// PeerOffered is a peer's document.
type PeerOffered struct{ Config wire.Config }

func (Tick) event()                  {}
func (ConfigRead) event()            {}
func (ConfigReadFailed) event()      {}
func (CheckpointsRead) event()       {}
func (CheckpointsReadFailed) event() {}
func (CheckpointWritten) event()     {}
func (PeerHeard) event()             {}
func (PeerOffered) event()           {}

// Action is something that a Follower wants done.
type Action interface{ action() }

// ReadConfig reads the configuration stream. At most one is under way.
type ReadConfig struct {
	From backing.Offset
	Wait time.Duration // for a record, when there is none
}

// ReadCheckpoints reads the checkpoint stream. At most one is under way.
type ReadCheckpoints struct {
	From  backing.Offset
	Limit int
}

// WriteCheckpoint appends a record to the checkpoint stream.
type WriteCheckpoint struct{ Data []byte }

// Ask sends a query to a peer.
type Ask struct {
	Peer  string
	Query wire.ConfigQuery
}

// Enforce puts a document in force.
type Enforce struct{ InForce ActiveDocument }

func (ReadConfig) action()      {}
func (ReadCheckpoints) action() {}
func (WriteCheckpoint) action() {}
func (Ask) action()             {}
func (Enforce) action()         {}

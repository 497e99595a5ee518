package logfold

import (
	"time"

	"marjorampitch/backing"
	"marjorampitch/wire"
)

// Event is an input to a Follower.
type Event interface{ event() }

// Tick is the periodic event that starts operations that are due.
type Tick struct{}

// ConfigRead is the result of a ReadConfig that was sent at time Sent.
type ConfigRead struct {
	Sent  time.Duration
	Batch backing.Batch
}

// ConfigReadFailed reports a failed ReadConfig. If Trimmed is set, the requested
// records are no longer retained, and Batch contains only Start and End.
type ConfigReadFailed struct {
	Trimmed bool
	Batch   backing.Batch
}

// CheckpointsRead is the result of a ReadCheckpoints. Trimmed is as in ConfigReadFailed.
type CheckpointsRead struct {
	Trimmed bool
	Batch   backing.Batch
}

// CheckpointsReadFailed reports a failed ReadCheckpoints.
type CheckpointsReadFailed struct{}

// CheckpointWritten is the result of a WriteCheckpoint. If OK is false, the
// append was refused or its outcome is unknown.
type CheckpointWritten struct {
	OK     bool
	Offset backing.Offset // of the record if OK
}

// HeartbeatReceived is a heartbeat of a peer. Without HasSentAfter its freshness
// information is ignored.
type HeartbeatReceived struct {
	Peer         string // identifies the connection
	DataCentre   string
	Heartbeat    wire.Heartbeat
	HasSentAfter bool
	SentAfter    time.Duration // lower bound of the time at which the peer sent it
}

// DocumentReceived is a document sent by a peer.
type DocumentReceived struct{ Config wire.Config }

func (Tick) event()                  {}
func (ConfigRead) event()            {}
func (ConfigReadFailed) event()      {}
func (CheckpointsRead) event()       {}
func (CheckpointsReadFailed) event() {}
func (CheckpointWritten) event()     {}
func (HeartbeatReceived) event()     {}
func (DocumentReceived) event()      {}

// Action is an operation that the caller of a Follower performs for it.
type Action interface{ action() }

// ReadConfig reads the configuration stream. At most one is in progress.
type ReadConfig struct {
	From backing.Offset
	Wait time.Duration // maximum time to wait for a record at the end of the stream
}

// ReadCheckpoints reads the checkpoint stream. At most one is in progress.
type ReadCheckpoints struct {
	From  backing.Offset
	Limit int
}

// WriteCheckpoint appends a record to the checkpoint stream.
type WriteCheckpoint struct{ Data []byte }

// SendQuery sends a query for a document to a peer.
type SendQuery struct {
	Peer  string
	Query wire.ConfigQuery
}

// Activate makes a document the active one.
type Activate struct{ Document ActiveDocument }

func (ReadConfig) action()      {}
func (ReadCheckpoints) action() {}
func (WriteCheckpoint) action() {}
func (SendQuery) action()       {}
func (Activate) action()        {}

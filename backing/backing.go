// Package backing holds the interfaces of the outside systems that the
// platform provides: the log service, the instance list, the weight store and
// the backend servers' load reports. HTTP clients for them live in this
// package too; stand-ins with faults are in backingtest.
package backing

import (
	"context"
	"errors"
	"time"
)

// Offset is a position in one stream of the log service. The first record of
// a stream has offset 0; offsets rise by one.
type Offset int64

// NoOffset is an offset before every record.
const NoOffset Offset = -1

// Record is one record as read from a stream.
type Record struct {
	Offset Offset
	Data   []byte
}

// Batch is the result of one read: records in ascending order of offset.
type Batch struct {
	Records []Record
	Start   Offset // first offset still retained
	End     Offset // offset that the next appended record gets
}

// Errors of the log service.
var (
	// ErrRefused says that the log service refused the append: no record of it was or will be stored.
	ErrRefused = errors.New("backing: append refused")
	// ErrUnknown says that the fate of the append is unknown: it may be stored, now or later.
	ErrUnknown = errors.New("backing: fate of append unknown")
	// ErrUnavailable says that a read failed; retry later.
	ErrUnavailable = errors.New("backing: unavailable")
	// ErrTrimmed says that the wanted offset is before the first retained record.
	ErrTrimmed = errors.New("backing: offset no longer retained")
)

// Log is the platform's append-only log service.
type Log interface {
	// Append stores records consecutively, all or none, and returns the offset of the first.
	// Errors: ErrRefused, ErrUnknown.
	Append(ctx context.Context, stream string, records [][]byte) (Offset, error)
	// Read returns up to limit records from the offset on; with none there it waits up to wait for one.
	// Errors: ErrUnavailable, ErrTrimmed (the Batch then still carries Start and End).
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error)
}

// InstanceState is what the instance list says of an instance.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the instance list.
type Instance struct {
	Name       string        `json:"name"`
	Address    string        `json:"address"` // IP:port of the process of the system
	DataCentre string        `json:"data_centre"`
	Role       string        `json:"role"` // "entry" or "side"
	State      InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances. It lags behind reality.
type InstanceList interface {
	// Instances returns the list as the platform knows it now. Error: ErrUnavailable.
	Instances(ctx context.Context) ([]Instance, error)
}

// WeightStore delivers weights at a limited rate.
type WeightStore interface {
	// Fetch copies the weights with this name and returns their size in bytes. Error: ErrUnavailable.
	Fetch(ctx context.Context, name string) (bytes int64, err error)
}

// EngineReport is a model engine's own report of its load.
type EngineReport struct {
	Incarnation   string  `json:"incarnation"`     // changes whenever the engine process restarts
	Cold          bool    `json:"cold"`            // caches empty, kernels not compiled
	Running       int     `json:"running"`         // sequences in the batch
	Waiting       int     `json:"waiting"`         // sequences queued
	MaxRunning    int     `json:"max_running"`     // batch slots when warm
	StepMillis    float64 `json:"step_millis"`     // time of the last step
	CacheUsed     float64 `json:"cache_used"`      // share of KV cache memory in use, 0 to 1
	AgeMillis     int64   `json:"age_millis"`      // age of this report at the engine
	HighestFence  int64   `json:"highest_fence"`   // highest fencing number obeyed; 0 when the engine ignores them
	Step          int64   `json:"step"`            // last completed step of the rank, for ranks of a group
	ExpertMapHash string  `json:"expert_map_hash"` // hash of the map in use, for ranks of a group
}

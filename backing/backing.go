// Package backing defines the interfaces of the external systems that the roles
// entry and side use (the log service, the instance list, the weight store and the
// model engines), and their HTTP clients. In this package "the platform" means
// these systems, not that of package platform (see package daemon). Package
// backingtest simulates them with faults.
package backing

import (
	"context"
	"errors"
	"time"
)

// Offset is the position of a record in a stream of the log service. The first
// record of a stream has offset 0, and each further record the next one.
type Offset int64

// NoOffset is the offset before the first record of a stream.
const NoOffset Offset = -1

// Record is a record read from a stream.
type Record struct {
	Offset Offset
	Data   []byte
}

// Batch is the result of a read.
type Batch struct {
	Records []Record // in ascending order of offset
	Start   Offset   // first retained offset
	End     Offset   // offset of the next record to be appended
}

// Errors of the log service.
var (
	// ErrRefused means that the append was refused and none of its records was or will be stored.
	ErrRefused = errors.New("backing: append refused")
	// ErrUnknown means that the outcome of the append is unknown: its records may be stored, now or later.
	ErrUnknown = errors.New("backing: outcome of append unknown")
	// ErrUnavailable means that the external system failed or did not answer; the call may be retried later.
	ErrUnavailable = errors.New("backing: unavailable")
	// ErrTrimmed means that the requested offset is before the first retained record.
	ErrTrimmed = errors.New("backing: offset no longer retained")
)

// Log is the platform's append-only log service.
type Log interface {
	// Append stores the records at consecutive offsets, all or none, and returns the offset of the first.
	// Errors: ErrRefused, ErrUnknown.
	Append(ctx context.Context, stream string, records [][]byte) (Offset, error)
	// Read returns up to limit records starting at offset from. If there are none, it waits up to wait for one.
	// Errors: ErrUnavailable, ErrTrimmed (Start and End of the Batch are then still set).
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error)
}

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the instance list.
type Instance struct {
	Name       string        `json:"name"`
	Address    string        `json:"address"` // IP:port of this system's process on the instance
	DataCentre string        `json:"data_centre"`
	Role       string        `json:"role"` // "entry" or "side"
	State      InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances. Changes appear in it with a
// delay.
type InstanceList interface {
	// Instances returns the platform's current list. Error: ErrUnavailable.
	Instances(ctx context.Context) ([]Instance, error)
}

// WeightStore delivers model weights at a limited rate.
type WeightStore interface {
	// Fetch reads the weights with this name and returns their size in bytes. Error: ErrUnavailable.
	Fetch(ctx context.Context, name string) (bytes int64, err error)
}

// EngineReport is a model engine's report of its load.
type EngineReport struct {
	Incarnation   string  `json:"incarnation"`     // changes whenever the engine process restarts
	Cold          bool    `json:"cold"`            // caches empty, kernels not compiled
	Running       int     `json:"running"`         // sequences in the batch
	Waiting       int     `json:"waiting"`         // sequences queued
	MaxRunning    int     `json:"max_running"`     // batch slots when warm
	StepMillis    float64 `json:"step_millis"`     // time of the last step
	CacheUsed     float64 `json:"cache_used"`      // fraction of the KV cache in use, 0 to 1
	AgeMillis     int64   `json:"age_millis"`      // age of this report when the engine sent it
	HighestFence  int64   `json:"highest_fence"`   // highest fencing number accepted; 0 if the engine ignores them
	Step          int64   `json:"step"`            // last completed step of a rank; ranks of a group only
	ExpertMapHash string  `json:"expert_map_hash"` // hash of the expert map in use; ranks of a group only
}

package logfold

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"marjorampitch/backing"
)

// ErrNoUsableCheckpoint reports that the first records of the configuration
// stream are no longer retained and no checkpoint replaces them.
var ErrNoUsableCheckpoint = eris.New("logfold: no usable checkpoint and the first records are no longer retained")

// Reader reads the configuration stream for an operator's command. It reads only
// on request and keeps the outcome of every record.
type Reader struct {
	Log        backing.Log
	Service    string
	FromOldest bool // start at the oldest usable checkpoint, which yields more Outcomes

	State        State
	StartVersion uint64    // version before the first of Outcomes
	Outcomes     []Outcome // of the applied records, in order
}

// NewReader returns a Reader that has read nothing.
func NewReader(log backing.Log, service string) *Reader {
	return &Reader{Log: log, Service: service, State: NewState(service)}
}

// ReadToEnd applies every record up to the end of the stream at some time after
// the call. It returns the errors of the log service, ErrNoUsableCheckpoint and
// ErrUnknownFormat.
func (r *Reader) ReadToEnd(ctx context.Context) error {
	for {
		batch, err := r.Log.Read(ctx, ConfigStream(r.Service), r.State.ReadTo+1, readLimit, 0)
		if errors.Is(err, backing.ErrTrimmed) {
			if err := r.resumeFromCheckpoint(ctx, batch.Start); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		if err := r.apply(batch.Records); err != nil {
			return err
		}
		if r.State.ReadTo+1 >= batch.End {
			return nil
		}
	}
}

func (r *Reader) apply(records []backing.Record) error {
	for _, rec := range records {
		out, err := r.State.Apply(rec)
		if err != nil {
			return err
		}
		r.Outcomes = append(r.Outcomes, out)
	}
	return nil
}

// resumeFromCheckpoint continues from a checkpoint after which every record is retained.
func (r *Reader) resumeFromCheckpoint(ctx context.Context, configStart backing.Offset) error {
	batch, err := r.readCheckpoints(ctx, 0, 1)
	if err != nil {
		return err
	}
	from := max(batch.Start, batch.End-maxCheckpointTail)
	batch, err = r.readCheckpoints(ctx, from, maxCheckpointTail)
	if err != nil {
		return err
	}
	cp := pickCheckpoint(batch, r.Service, configStart, r.FromOldest)
	if cp == nil || backing.Offset(cp.ReadTo) <= r.State.ReadTo {
		return ErrNoUsableCheckpoint
	}
	state, ok := stateOf(cp)
	if !ok {
		return ErrUnknownFormat
	}
	r.State, r.StartVersion, r.Outcomes = state, state.Version, nil
	return nil
}

// readCheckpoints reads the checkpoint stream. If from precedes the first
// retained record, the batch has no records.
func (r *Reader) readCheckpoints(ctx context.Context, from backing.Offset, limit int) (backing.Batch, error) {
	batch, err := r.Log.Read(ctx, CheckpointStream(r.Service), from, limit, 0)
	if errors.Is(err, backing.ErrTrimmed) {
		return batch, nil
	}
	return batch, err
}

// pickCheckpoint returns the newest or the oldest checkpoint of a batch after
// which every record is still retained, or nil.
func pickCheckpoint(batch backing.Batch, service string, configStart backing.Offset, oldest bool) *Checkpoint {
	var best *Checkpoint
	for _, rec := range batch.Records {
		cp := new(Checkpoint)
		if _, err := cp.UnmarshalMsg(rec.Data); err != nil || cp.Service != service {
			continue
		}
		if backing.Offset(cp.ReadTo)+1 < configStart {
			continue
		}
		if best == nil || (cp.ReadTo > best.ReadTo) != oldest {
			best = cp
		}
	}
	return best
}

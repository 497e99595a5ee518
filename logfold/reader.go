package logfold

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"marjorampitch/backing"
)

// ErrNoUsableCheckpoint says that the beginning of the configuration stream is no longer
// retained and no checkpoint can stand for it.
var ErrNoUsableCheckpoint = eris.New("logfold: no usable checkpoint and the first records are no longer retained")

// Reader follows the configuration stream for an operator's command: it reads
// when told to and keeps what it judged.
type Reader struct {
	Log        backing.Log
	Service    string
	FromOldest bool // start as early as can be, to judge more records

	State        State
	StartVersion uint64    // version of the fold before the first of Outcomes
	Outcomes     []Outcome // what was judged, in order
}

// NewReader returns a Reader that has read nothing.
func NewReader(log backing.Log, service string) *Reader {
	return &Reader{Log: log, Service: service, State: NewState(service)}
}

// ReadToEnd judges every record up to the end of the stream as of some moment
// after the call. Errors: those of the log service, ErrNoStart, ErrFormat.
func (r *Reader) ReadToEnd(ctx context.Context) error {
	for {
		batch, err := r.Log.Read(ctx, ConfigStream(r.Service), r.State.ReadTo+1, readLimit, 0)
		if errors.Is(err, backing.ErrTrimmed) {
			if err := r.restart(ctx, batch.Start); err != nil {
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

// restart begins at a checkpoint after which every record is retained.
func (r *Reader) restart(ctx context.Context, configStart backing.Offset) error {
	batch, err := r.readCheckpoints(ctx, 0, 1)
	if err != nil {
		return err
	}
	from := max(batch.Start, batch.End-checkpointsMost)
	batch, err = r.readCheckpoints(ctx, from, checkpointsMost)
	if err != nil {
		return err
	}
	cp := pickCheckpoint(batch, r.Service, configStart, r.FromOldest)
	if cp == nil || backing.Offset(cp.ReadTo) <= r.State.ReadTo {
		return ErrNoUsableCheckpoint
	}
	fold, ok := foldOf(cp)
	if !ok {
		return ErrUnknownFormat
	}
	r.State, r.StartVersion, r.Outcomes = fold, fold.Version, nil
	return nil
}

// readCheckpoints reads the checkpoint stream; a Batch without records
// answers a read from before its start.
func (r *Reader) readCheckpoints(ctx context.Context, from backing.Offset, limit int) (backing.Batch, error) {
	batch, err := r.Log.Read(ctx, CheckpointStream(r.Service), from, limit, 0)
	if errors.Is(err, backing.ErrTrimmed) {
		return batch, nil
	}
	return batch, err
}

// pickCheckpoint returns the newest, or the oldest, checkpoint of a batch
// after which every record can still be read, or nil.
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

package publish

import (
	"context"
	"errors"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/logfold"
)

// Restart starts a new history with text as its first document. It is needed when
// the log service holds neither the first records nor a usable checkpoint, because
// every process was down for longer than it retains records. It is refused if the
// current version can still be read.
//
// If the outcome is Unknown, Restart may be called again: a restart record names
// the offset at which it must be stored, and is refused at any other. The error is
// one of reading the log or of encoding a record.
func (p *Publisher) Restart(ctx context.Context, text []byte) (Result, error) {
	doc, refusal := p.validate(0, text)
	if refusal != nil {
		return *refusal, nil
	}
	err := logfold.NewReader(p.Log, p.Service).ReadToEnd(ctx)
	if err == nil {
		detail := "the current version can be read; publish a change based on it"
		return Result{Status: Refused, Code: api.ConfigConflict, Detail: detail}, nil
	}
	if !errors.Is(err, logfold.ErrNoUsableCheckpoint) {
		return Result{}, err
	}
	batch, err := p.Log.Read(ctx, logfold.ConfigStream(p.Service), 0, 1, 0)
	if err != nil && !errors.Is(err, backing.ErrTrimmed) {
		return Result{}, err
	}
	change, err := p.newChange(nil, 0, doc.Service.Format, text)
	if err != nil {
		return Result{}, err
	}
	change.Restart, change.At = true, int64(batch.End)
	return p.appendRestart(ctx, change)
}

// appendRestart appends the change, and then the checkpoint from which processes
// without a usable checkpoint start.
func (p *Publisher) appendRestart(ctx context.Context, change *logfold.ConfigChange) (Result, error) {
	unknown := Result{Status: Unknown, Code: api.ConfigUnknown, Nonce: change.Nonce, Detail: "the outcome of the restart is not known; run it again"}
	data, err := change.MarshalMsg(nil)
	if err != nil {
		return Result{}, err
	}
	offset, err := p.Log.Append(ctx, logfold.ConfigStream(p.Service), [][]byte{data})
	if err != nil || int64(offset) != change.At {
		return unknown, nil
	}
	version := uint64(offset) + 1
	checkpoint := logfold.Checkpoint{
		Service:  p.Service,
		ReadTo:   int64(offset),
		Offset:   int64(offset),
		Version:  version,
		Document: change.Document,
	}
	data, err = checkpoint.MarshalMsg(nil)
	if err != nil {
		return Result{}, err
	}
	if _, err := p.Log.Append(ctx, logfold.CheckpointStream(p.Service), [][]byte{data}); err != nil {
		return unknown, nil
	}
	return Result{Status: Accepted, Version: version, Offset: offset, Nonce: change.Nonce}, nil
}

package publish

import (
	"context"
	"errors"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/logfold"
)

// Restart begins the history anew with text, when the log service no longer
// holds a start: every process was down for longer than it keeps records. It
// is refused as long as the current version can be known. An unknown result
// is answered by calling Restart again: a restart that lands later than it was
// meant to is void. The error is one of the log service's.
func (p *Publisher) Restart(ctx context.Context, text []byte) (Result, error) {
	doc, refusal := p.check(0, text)
	if refusal != nil {
		return *refusal, nil
	}
	err := logfold.NewReader(p.Log, p.Service).ReadToEnd(ctx)
	if err == nil {
		detail := "the current version is known; publish a change of it"
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

// appendRestart appends the change, and then the checkpoint that processes
// without a start begin at.
func (p *Publisher) appendRestart(ctx context.Context, change *logfold.ConfigChange) (Result, error) {
	unknown := Result{Status: Unknown, Code: api.ConfigUnknown, Nonce: change.Nonce, Detail: "restart again to find out"}
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

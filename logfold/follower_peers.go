package logfold

import (
	"time"

	"marjorampitch/backing"
	"marjorampitch/wire"
)

// peerHeard takes a heartbeat, and asks the peer for its document when that
// is newer, or when the fold is lost and the peer may know where to go on.
func (f *Follower) peerHeard(now time.Duration, e PeerHeard) []Action {
	if e.Dated {
		f.hear(e)
	}
	theirs := backing.Offset(e.Heartbeat.ConfigOffset)
	newer := theirs > f.fold.Offset
	f.noteBehind(now, newer)
	useful := newer || (f.lost && theirs == f.fold.Offset && theirs != backing.None)
	if !useful || !f.mayAsk(now) {
		return nil
	}
	f.asked, f.askedAt = true, now
	return []Action{Ask{Peer: e.Peer, Query: wire.ConfigQuery{ReadTo: int64(f.fold.ReadTo)}}}
}

func (f *Follower) hear(e PeerHeard) {
	h := Heard{
		DataCentre: e.DataCentre,
		Offset:     backing.Offset(e.Heartbeat.ConfigOffset),
		Proof:      time.Duration(e.Heartbeat.ProofAgeMillis) * time.Millisecond,
		SentAfter:  e.SentAfter,
		LogDown:    e.Heartbeat.LogDown,
		LogUp:      e.Heartbeat.LogUp,
	}
	f.fresh.Hear(h)
}

// noteBehind keeps the time since which peers are known to be ahead.
func (f *Follower) noteBehind(now time.Duration, newer bool) {
	if newer && !f.behind {
		f.behind, f.behindSince = true, now
	}
	if !f.fresh.Behind() && !newer {
		f.behind = false
	}
}

// mayAsk bounds the queries: one at a time, and none while a read of the
// process's own is likely to bring the document.
func (f *Follower) mayAsk(now time.Duration) bool {
	if f.asked && now < f.askedAt+askTimeout {
		return false
	}
	ownRead := f.opts.ReadMode == ReadAlways && f.readFine
	return !ownRead || now >= f.behindSince+askDelay
}

func (f *Follower) peerOffered(m wire.Config) {
	f.asked = false
	cp := &Checkpoint{
		Service:  f.opts.Service,
		ReadTo:   m.ReadTo,
		Offset:   m.Offset,
		Version:  m.Version,
		Document: m.Document,
	}
	if backing.Offset(m.ReadTo) <= f.fold.ReadTo {
		return
	}
	if next, ok := foldOf(cp); ok {
		f.adopt(next)
	}
}

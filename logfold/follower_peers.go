package logfold

import (
	"time"

	"marjorampitch/backing"
	"marjorampitch/wire"
)

// heartbeatReceived records a heartbeat and queries the peer for its document if
// that is newer, or if this process is stalled and the peer may have read
// further.
func (f *Follower) heartbeatReceived(now time.Duration, e HeartbeatReceived) []Action {
	if e.HasSentAfter {
		f.recordReport(e)
	}
	peerOffset := backing.Offset(e.Heartbeat.ConfigOffset)
	newer := peerOffset > f.state.Offset
	f.updateBehind(now, newer)
	useful := newer || (f.stalled && peerOffset == f.state.Offset && peerOffset != backing.NoOffset)
	if !useful || !f.mayQuery(now) {
		return nil
	}
	f.queryPending, f.queriedAt = true, now
	return []Action{SendQuery{Peer: e.Peer, Query: wire.ConfigQuery{ReadTo: int64(f.state.ReadTo)}}}
}

func (f *Follower) recordReport(e HeartbeatReceived) {
	report := PeerReport{
		DataCentre: e.DataCentre,
		Offset:     backing.Offset(e.Heartbeat.ConfigOffset),
		ProofAge:   time.Duration(e.Heartbeat.ProofAgeMillis) * time.Millisecond,
		SentAfter:  e.SentAfter,
		LogDown:    e.Heartbeat.LogDown,
		LogUp:      e.Heartbeat.LogUp,
	}
	f.fresh.RecordReport(report)
}

// updateBehind maintains the time since which peers have a newer document.
func (f *Follower) updateBehind(now time.Duration, newer bool) {
	if newer && !f.behind {
		f.behind, f.behindSince = true, now
	}
	if !f.fresh.Behind() && !newer {
		f.behind = false
	}
}

// mayQuery limits queries to one at a time, and to none while the process's own
// read is likely to return the document.
func (f *Follower) mayQuery(now time.Duration) bool {
	if f.queryPending && now < f.queriedAt+queryTimeout {
		return false
	}
	ownRead := f.opts.ReadMode == ReadAlways && f.lastReadOK
	return !ownRead || now >= f.behindSince+queryDelay
}

func (f *Follower) documentReceived(m wire.Config) {
	f.queryPending = false
	cp := &Checkpoint{
		Service:  f.opts.Service,
		ReadTo:   m.ReadTo,
		Offset:   m.Offset,
		Version:  m.Version,
		Document: m.Document,
	}
	if backing.Offset(m.ReadTo) <= f.state.ReadTo {
		return
	}
	if next, ok := stateOf(cp); ok {
		f.adopt(next)
	}
}

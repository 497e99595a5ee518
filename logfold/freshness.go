package logfold

import (
	"slices"
	"time"

	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/wire"
)

// DefaultFreshFor is the lifetime of a proof until a process has its first document.
const DefaultFreshFor = 5 * time.Second

// Freshness determines whether the document of a process is proved to be
// current. Times are monotonic, relative to the start of the process. It is not
// safe for concurrent use.
//
// There are two kinds of freshness proof. A log proof is a time at which the
// whole stream had been read and yielded this document. It comes from a read of
// this process or from a peer with the same or an older document. A quorum proof
// replaces it while the log service cannot be read: more than half of the data
// centres of the document have a process, possibly this one, that has the same
// document and failed to read the log service.
type Freshness struct {
	ownCentre     string
	centres       []string
	freshFor      time.Duration
	offset        backing.Offset // of the document of this process
	peerOffset    backing.Offset // highest offset of the document of a peer
	logAt         time.Duration  // time of the newest log proof
	hasLog        bool
	canRead       bool                     // the process reads the log service itself
	readFailed    bool                     // the last read failed
	answeredAt    time.Duration            // time of the last answer to a read
	answered      bool                     // answeredAt is set
	logUpAt       time.Duration            // time of the latest report of a peer that the log service answers
	logUpReported bool                     // logUpAt is set
	votes         map[string]time.Duration // by data centre: time of the latest report of a peer with this document that the log service is down
}

// NewFreshness returns the Freshness of a process in dataCentre that has no
// document yet. canRead reports whether the process reads the log service itself.
func NewFreshness(dataCentre string, canRead bool) *Freshness {
	return &Freshness{
		ownCentre:  dataCentre,
		freshFor:   DefaultFreshFor,
		offset:     backing.NoOffset,
		peerOffset: backing.NoOffset,
		canRead:    canRead,
		votes:      map[string]time.Duration{},
	}
}

// SetDocument sets the document of the process, accepted at offset.
func (f *Freshness) SetDocument(doc *config.Document, offset backing.Offset) {
	f.offset = offset
	f.freshFor = doc.Limits.FreshFor
	f.centres = f.centres[:0]
	for _, dc := range doc.DataCentres {
		f.centres = append(f.centres, dc.Name)
	}
	clear(f.votes)
}

// RecordReadToEnd records that a read sent at the given time reached the end of
// the stream and yielded the document of the process.
func (f *Freshness) RecordReadToEnd(sent time.Duration) {
	f.recordProof(sent)
}

// RecordReadResult records whether the log service answered a read, with any
// answer. While it does, there is no quorum proof.
func (f *Freshness) RecordReadResult(now time.Duration, ok bool) {
	f.readFailed = !ok
	if ok {
		f.answered, f.answeredAt = true, now
	}
}

// PeerReport is the freshness information in a heartbeat of a peer.
type PeerReport struct {
	DataCentre string
	Offset     backing.Offset // of the document of the peer
	ProofAge   time.Duration  // age of the log proof of the peer when it sent the heartbeat; negative for none
	SentAfter  time.Duration  // lower bound of the time at which the peer sent the heartbeat
	LogDown    bool           // the peer cannot read the log service
	LogUp      bool           // the log service answered the last read of the peer
}

// RecordReport applies the report of a peer. It raises the newest document offset
// known of any peer, takes over the peer's log proof unless the peer has a newer
// document, and records the time of a report that the log service is up. A report
// that the log service is down counts as a vote of the peer's data centre for the
// quorum proof if the peer has the same document.
func (f *Freshness) RecordReport(r PeerReport) {
	f.peerOffset = max(f.peerOffset, r.Offset)
	if r.ProofAge >= 0 && r.Offset <= f.offset {
		f.recordProof(r.SentAfter - r.ProofAge)
	}
	if r.LogUp && (!f.logUpReported || r.SentAfter > f.logUpAt) {
		f.logUpReported, f.logUpAt = true, r.SentAfter
	}
	if r.LogDown && r.Offset == f.offset {
		f.votes[r.DataCentre] = max(f.votes[r.DataCentre], r.SentAfter)
	}
}

func (f *Freshness) recordProof(at time.Duration) {
	if !f.hasLog || at > f.logAt {
		f.hasLog, f.logAt = true, at
	}
}

// Behind reports whether a peer has a newer document.
func (f *Freshness) Behind() bool { return f.peerOffset > f.offset }

// LogProofAge returns the age of the newest log proof; ok is false without one.
func (f *Freshness) LogProofAge(now time.Duration) (age time.Duration, ok bool) {
	return now - f.logAt, f.hasLog
}

// LogDown reports whether the log service is unavailable to the process: its last
// read failed and there is no recent log proof. It is false for a process that
// never reads, since such a process cannot know.
func (f *Freshness) LogDown(now time.Duration) bool {
	return f.canRead && f.readFailed && !f.logProofRecent(now)
}

// LogUp reports whether the log service answered the last read of the process
// recently.
func (f *Freshness) LogUp(now time.Duration) bool {
	recent := f.answered && now-f.answeredAt <= f.freshFor*3/10
	return f.canRead && !f.readFailed && recent
}

// PeerReportedLogDown reports whether a peer has recently reported that it cannot
// read the log service.
func (f *Freshness) PeerReportedLogDown(now time.Duration) bool {
	for _, at := range f.votes {
		if now-at <= f.freshFor/2 {
			return true
		}
	}
	return false
}

// logProofRecent reports whether the newest log proof has at least half of its
// lifetime left.
func (f *Freshness) logProofRecent(now time.Duration) bool {
	age, ok := f.LogProofAge(now)
	return ok && age <= f.freshFor/2
}

// Proof returns the time of the newest proof of either kind; ok is false without one.
func (f *Freshness) Proof(now time.Duration) (at time.Duration, ok bool) {
	quorum, has := f.quorumProof(now)
	if has && (!f.hasLog || quorum > f.logAt) {
		return quorum, true
	}
	return f.logAt, f.hasLog
}

// quorumProof returns the time of the newest quorum proof; ok is false without one.
func (f *Freshness) quorumProof(now time.Duration) (at time.Duration, ok bool) {
	down := f.LogDown(now)
	// A process that reads the log service needs its own reads to fail as well; one
	// that never reads relies on the votes alone.
	if f.offset == backing.NoOffset || f.Behind() || f.logProofRecent(now) || f.canRead != down {
		return 0, false
	}
	var times []time.Duration
	for _, dc := range f.centres {
		at, voted := f.votes[dc]
		if dc == f.ownCentre && down {
			at, voted = now, true
		}
		if voted && (!f.logUpReported || at > f.logUpAt+f.voteHoldOff()) {
			times = append(times, at)
		}
	}
	needed := len(f.centres)/2 + 1
	if len(times) < needed {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-needed], true
}

// voteHoldOff returns how long votes are ignored after a peer has reported that
// the log service answers. It exceeds the interval at which such a peer repeats
// its report.
func (f *Freshness) voteHoldOff() time.Duration {
	return max(f.freshFor/4, wire.HeartbeatInterval*5/4)
}

// Current reports whether the newest proof is recent enough to accept new work.
func (f *Freshness) Current(now time.Duration) bool {
	at, ok := f.Proof(now)
	return ok && now-at <= f.freshFor
}

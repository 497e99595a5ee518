package logfold

import (
	"slices"
	"time"

	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/wire"
)

// DefaultFreshFor applies until a process has its first document.
const DefaultFreshFor = 5 * time.Second

// Freshness decides whether the document of a process is proved to be
// current. Times are monotonic, counted from the start of the process.
//
// There are two proofs. A log proof says that at some time the whole stream
// had been read and led to this document; it is the process's own, or a
// peer's that has the same document or an older one. A quorum proof takes its
// place while the log service can't be read: in more than half of the data
// centres of the document there is a process, this one counted in, that has
// tried and can't read it, and that has the same document.
type Freshness struct {
	ownCentre  string
	centres    []string
	freshFor   time.Duration
	offset     backing.Offset // of the own document
	known      backing.Offset // highest of a peer's document
	logAt      time.Duration  // time of the newest log proof
	hasLog     bool
	canRead    bool                     // the process reads the log itself
	readFailed bool                     // the last own read failed
	answeredAt time.Duration            // time of the last answer to an own read
	answered   bool                     // there was one
	upAt       time.Duration            // when a peer last said that the log answers
	up         bool                     // one has said so
	votes      map[string]time.Duration // per data centre: when a peer said that the log can't be read
}

// NewFreshness returns the state of a process in the data centre without a
// document. With canRead false, the process never reads the log itself.
func NewFreshness(dataCentre string, canRead bool) *Freshness {
	return &Freshness{
		ownCentre: dataCentre,
		freshFor:  DefaultFreshFor,
		offset:    backing.None,
		known:     backing.None,
		canRead:   canRead,
		votes:     map[string]time.Duration{},
	}
}

// Adopt makes doc, accepted at offset, the own document.
func (f *Freshness) Adopt(doc *config.Document, offset backing.Offset) {
	f.offset = offset
	f.freshFor = doc.Limits.FreshFor
	f.centres = f.centres[:0]
	for _, dc := range doc.DataCentres {
		f.centres = append(f.centres, dc.Name)
	}
	clear(f.votes)
}

// ReadEnd records that a read of the log, sent at the time given, showed that
// the own document is that of the whole stream.
func (f *Freshness) ReadEnd(sent time.Duration) {
	f.proved(sent)
}

// ReadAnswered records whether the log service answered a read now, with
// whatever answer. As long as it does, there is no quorum proof.
func (f *Freshness) ReadAnswered(now time.Duration, ok bool) {
	f.readFailed = !ok
	if ok {
		f.answered, f.answeredAt = true, now
	}
}

// Heard is what one heartbeat of a peer says.
type Heard struct {
	DataCentre string
	Offset     backing.Offset // of the peer's document
	Proof      time.Duration  // age of the peer's log proof when it sent the heartbeat; negative for none
	SentAfter  time.Duration  // the peer sent the heartbeat later than this
	LogDown    bool
	LogUp      bool
}

// Hear records a heartbeat of a peer.
func (f *Freshness) Hear(h Heard) {
	f.known = max(f.known, h.Offset)
	if h.Proof >= 0 && h.Offset <= f.offset {
		f.proved(h.SentAfter - h.Proof)
	}
	if h.LogUp && (!f.up || h.SentAfter > f.upAt) {
		f.up, f.upAt = true, h.SentAfter
	}
	if h.LogDown && h.Offset == f.offset {
		f.votes[h.DataCentre] = max(f.votes[h.DataCentre], h.SentAfter)
	}
}

func (f *Freshness) proved(at time.Duration) {
	if !f.hasLog || at > f.logAt {
		f.hasLog, f.logAt = true, at
	}
}

// Behind reports whether a peer has a newer document.
func (f *Freshness) Behind() bool { return f.known > f.offset }

// LogAge returns the age of the newest log proof.
func (f *Freshness) LogAge(now time.Duration) (age time.Duration, ok bool) {
	return now - f.logAt, f.hasLog
}

// LogDown reports whether the process tried and has no way to the log
// service: its own read failed, and no log proof is young. A process that
// never reads can't know, and doesn't say so.
func (f *Freshness) LogDown(now time.Duration) bool {
	return f.canRead && f.readFailed && !f.young(now)
}

// LogUp reports whether the log service answered the last own read, just now.
func (f *Freshness) LogUp(now time.Duration) bool {
	recent := f.answered && now-f.answeredAt <= f.freshFor*3/10
	return f.canRead && !f.readFailed && recent
}

// ToldDown reports whether a peer said lately that it can't read the log.
func (f *Freshness) ToldDown(now time.Duration) bool {
	for _, at := range f.votes {
		if now-at <= f.freshFor/2 {
			return true
		}
	}
	return false
}

// young reports whether the newest log proof has more than half of its time left.
func (f *Freshness) young(now time.Duration) bool {
	age, ok := f.LogAge(now)
	return ok && age <= f.freshFor/2
}

// Proof returns the time of the newest proof of either kind.
func (f *Freshness) Proof(now time.Duration) (at time.Duration, ok bool) {
	quorum, has := f.quorum(now)
	if has && (!f.hasLog || quorum > f.logAt) {
		return quorum, true
	}
	return f.logAt, f.hasLog
}

// quorum returns the time of the newest quorum proof.
func (f *Freshness) quorum(now time.Duration) (at time.Duration, ok bool) {
	down := f.LogDown(now)
	if f.offset == backing.None || f.Behind() || f.young(now) || f.canRead != down {
		return 0, false
	}
	var times []time.Duration
	for _, dc := range f.centres {
		at, voted := f.votes[dc]
		if dc == f.ownCentre && down {
			at, voted = now, true
		}
		if voted && (!f.up || at > f.upAt+f.quiet()) {
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

// quiet is how long after a peer's word that the log answers no vote counts:
// longer than such a peer takes to say so again.
func (f *Freshness) quiet() time.Duration {
	return max(f.freshFor/4, wire.HeartbeatInterval*5/4)
}

// Current reports whether the proof is young enough for new work.
func (f *Freshness) Current(now time.Duration) bool {
	at, ok := f.Proof(now)
	return ok && now-at <= f.freshFor
}

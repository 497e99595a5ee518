package peerread

import (
	"slices"
	"time"
)

// Timing of requests to a reader that has failed.
const (
	// lostRetryMin is the pause after the second lost request in a row, doubled after
	// each further one up to lostRetryMax. After the first one the reader is asked again
	// at once, since a single datagram may be lost.
	lostRetryMin = time.Second
	lostRetryMax = 16 * time.Second
	// refusedRetry is the pause after a refusal, which costs no time.
	refusedRetry = time.Second
)

// Outcome is the result of one request to a reader.
type Outcome uint8

// Outcomes of a request.
const (
	Answered Outcome = iota
	Gap              // the reader does not hold the records from the offset on, or they are too large
	Refused          // the reader does not follow the topic, is not current, or is stopping
	Stale            // the reader's proof is too old
	Lost             // no answer in time
)

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "gap", "refused", "stale", "lost"}[o]
}

// Asker decides whom a gateway asks for the records of one topic. It is a pure state
// machine and not safe for concurrent use.
type Asker struct {
	self    string
	readers []string
	state   map[string]*readerState
}

// readerState is what an Asker knows of one reader.
type readerState struct {
	failed bool          // its last request failed
	lost   int           // requests lost in a row
	retry  time.Duration // time from which it may be asked again
}

// NewAsker returns an Asker of the gateway self.
func NewAsker(self string) *Asker {
	return &Asker{self: self, state: make(map[string]*readerState)}
}

// SetReaders sets the readers in the order in which they are asked.
func (a *Asker) SetReaders(readers []string) {
	if slices.Equal(a.readers, readers) {
		return
	}
	a.readers = slices.Clone(readers)
	clear(a.state)
}

// IsReader reports whether this gateway is one of the readers.
func (a *Asker) IsReader() bool { return slices.Contains(a.readers, a.self) }

// Target returns the reader to ask; none if the gateway is to read the store itself.
// Trial is set if the reader's last request was lost: it is then to be asked for an
// answer at once.
func (a *Asker) Target(now time.Duration) (reader string, trial bool) {
	for _, name := range a.readers {
		if name == a.self {
			return "", false
		}
		if s := a.state[name]; s == nil || now >= s.retry {
			return name, s != nil && s.lost > 0
		}
	}
	return "", false
}

// Record records the outcome of a request to a reader. It reports whether this is the
// reader's first failure since its last answer.
func (a *Asker) Record(now time.Duration, reader string, o Outcome) (firstFailure bool) {
	s := a.state[reader]
	if s == nil {
		s = &readerState{}
		a.state[reader] = s
	}
	before := s.failed
	switch o {
	case Answered, Gap:
		*s = readerState{}
	case Refused, Stale:
		*s = readerState{failed: true, retry: now + refusedRetry}
	case Lost:
		s.failed = true
		s.lost++
		if s.lost > 1 {
			s.retry = now + min(lostRetryMin<<min(s.lost-2, 8), lostRetryMax)
		}
	}
	return s.failed && !before
}

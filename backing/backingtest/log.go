package backingtest

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"marjorampitch/backing"
)

const (
	defaultAppendRate = 400 // appends per second
	appendBurst       = 50  // appends
	maxAppendWait     = time.Second
)

// LogFaults are the faults of a Log. The zero value has none.
type LogFaults struct {
	Outage      Outage   `json:"outage"`       // outage of appends and reads
	Delay       Duration `json:"delay"`        // delay before an append or read takes effect
	AnswerDelay Duration `json:"answer_delay"` // delay after an append has taken effect
	LoseAnswers int      `json:"lose_answers"` // number of next appends that take effect but whose answer is lost
	LateAppends int      `json:"late_appends"` // number of next appends that fail at once but take effect after LateBy
	LateBy      Duration `json:"late_by"`
}

// Log is an in-memory append-only log service. It is safe for concurrent use.
type Log struct {
	limit *rate.Limiter

	mu            sync.Mutex // guards the fields below
	streams       map[string]*stream
	faults        LogFaults
	faultsChanged chan struct{} // closed when the faults change
	retain        int           // records kept for each stream; 0 for all
	appends       int64
}

// stream is a stream of the log.
type stream struct {
	start    backing.Offset // offset of the first record
	records  [][]byte
	appended chan struct{} // closed at the next append
}

func (s *stream) end() backing.Offset {
	return s.start + backing.Offset(len(s.records))
}

var _ backing.Log = (*Log)(nil)

// LogOption sets an option of a Log.
type LogOption func(*Log)

// WithAppendRate limits the number of appends per second; 0 means no limit.
func WithAppendRate(perSecond float64) LogOption {
	return func(l *Log) {
		l.limit = rate.NewLimiter(rate.Limit(perSecond), appendBurst)
		if perSecond == 0 {
			l.limit = rate.NewLimiter(rate.Inf, 0)
		}
	}
}

// WithRetention makes every stream retain only its last n records; 0 retains all.
func WithRetention(n int) LogOption {
	return func(l *Log) { l.retain = n }
}

// NewLog returns an empty log with the default append rate, 400 per second.
func NewLog(options ...LogOption) *Log {
	l := &Log{streams: make(map[string]*stream), faultsChanged: make(chan struct{})}
	WithAppendRate(defaultAppendRate)(l)
	for _, o := range options {
		o(l)
	}
	return l
}

// SetFaults replaces the faults. It ends calls that hang; they have no effect.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.faultsChanged)
	l.faultsChanged = make(chan struct{})
}

// Faults returns the current faults.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim drops the records of a stream before an offset.
func (l *Log) Trim(name string, before backing.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).trim(before)
}

func (s *stream) trim(before backing.Offset) {
	before = min(before, s.end())
	if before <= s.start {
		return
	}
	s.records = slices.Clone(s.records[before-s.start:])
	s.start = before
}

// stream returns the stream with this name; l.mu is held.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Append implements backing.Log.
func (l *Log) Append(ctx context.Context, name string, records [][]byte) (backing.Offset, error) {
	if len(records) == 0 || !l.awaitRate() {
		return backing.NoOffset, backing.ErrRefused
	}
	if err := l.applyFaults(ctx); err != nil {
		if errors.Is(err, errRefused) {
			return backing.NoOffset, backing.ErrRefused
		}
		return backing.NoOffset, backing.ErrUnknown
	}
	faults := l.takeFaults()
	if faults.late {
		time.AfterFunc(faults.lateBy, func() { l.store(name, records) })
		return backing.NoOffset, backing.ErrUnknown
	}
	first := l.store(name, records)
	if !sleep(ctx, faults.answerDelay) || faults.lost {
		return backing.NoOffset, backing.ErrUnknown
	}
	return first, nil
}

// awaitRate waits until the append rate allows an append. It returns false if the wait
// would exceed maxAppendWait.
func (l *Log) awaitRate() bool {
	r := l.limit.Reserve()
	delay := r.Delay()
	if delay > maxAppendWait {
		r.Cancel()
		return false
	}
	time.Sleep(delay)
	return true
}

// appendFaults is the set of faults of one append.
type appendFaults struct {
	lost        bool
	late        bool
	lateBy      time.Duration
	answerDelay time.Duration
}

// takeFaults returns the faults of an append and decrements the counter of one; a late
// append takes precedence.
func (l *Log) takeFaults() appendFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	faults := appendFaults{
		lateBy:      time.Duration(l.faults.LateBy),
		answerDelay: time.Duration(l.faults.AnswerDelay),
	}
	switch {
	case l.faults.LateAppends > 0:
		l.faults.LateAppends--
		faults.late = true
	case l.faults.LoseAnswers > 0:
		l.faults.LoseAnswers--
		faults.lost = true
	}
	return faults
}

// store appends records, wakes waiting readers and returns the first offset.
func (l *Log) store(name string, records [][]byte) backing.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.end()
	for _, r := range records {
		s.records = append(s.records, slices.Clone(r))
	}
	if l.retain > 0 {
		s.trim(s.end() - backing.Offset(l.retain))
	}
	l.appends++
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// Read implements backing.Log.
func (l *Log) Read(ctx context.Context, name string, from backing.Offset, limit int, wait time.Duration) (backing.Batch, error) {
	if err := l.applyFaults(ctx); err != nil {
		return backing.Batch{}, backing.ErrUnavailable
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		batch, appended, err := l.read(name, from, limit)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-appended:
		case <-timeout.C:
			return batch, nil
		case <-ctx.Done():
			return backing.Batch{}, backing.ErrUnavailable
		}
	}
}

// read returns the records available now, and a channel that is closed at the next
// append.
func (l *Log) read(name string, from backing.Offset, limit int) (backing.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage != OutageNone {
		return backing.Batch{}, nil, backing.ErrUnavailable
	}
	s := l.stream(name)
	batch := backing.Batch{Start: s.start, End: s.end()}
	if from < s.start {
		return batch, nil, backing.ErrTrimmed
	}
	for at := from; at < s.end() && len(batch.Records) < limit; at++ {
		batch.Records = append(batch.Records, backing.Record{Offset: at, Data: slices.Clone(s.records[at-s.start])})
	}
	return batch, s.appended, nil
}

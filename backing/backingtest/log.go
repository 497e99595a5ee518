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
	defaultAppendRate = 400 // appends a second
	appendBurst       = 50  // appends
	maxAppendWait     = time.Second
)

// LogFaults are the faults of a Log. The zero value has none.
type LogFaults struct {
	Outage      Outage   `json:"outage"`       // of appends and reads
	Delay       Duration `json:"delay"`        // before every append and read takes effect
	AnswerDelay Duration `json:"answer_delay"` // after an append has taken effect
	LoseAnswers int      `json:"lose_answers"` // next appends that take effect and whose answer is lost
	LateAppends int      `json:"late_appends"` // next appends that land LateBy after they were given up
	LateBy      Duration `json:"late_by"`
}

// Log is an append-only log service in memory. It is safe for use by several
// goroutines.
type Log struct {
	limit *rate.Limiter

	mu      sync.Mutex // guards what follows
	streams map[string]*stream
	faults  LogFaults
	cleared chan struct{} // closed when the faults change
	retain  int
	appends int64
}

// stream is one stream: records from offset start on.
type stream struct {
	start    backing.Offset
	records  [][]byte
	appended chan struct{} // closed at the next append
}

func (s *stream) end() backing.Offset {
	return s.start + backing.Offset(len(s.records))
}

var _ backing.Log = (*Log)(nil)

// LogOption sets an option of a Log.
type LogOption func(*Log)

// WithAppendRate limits the log to a number of appends a second; 0 means no limit.
func WithAppendRate(perSecond float64) LogOption {
	return func(l *Log) {
		l.limit = rate.NewLimiter(rate.Limit(perSecond), appendBurst)
		if perSecond == 0 {
			l.limit = rate.NewLimiter(rate.Inf, 0)
		}
	}
}

// WithRetention makes every stream keep only its last n records; 0 keeps all.
func WithRetention(n int) LogOption {
	return func(l *Log) { l.retain = n }
}

// NewLog returns an empty log with several hundred appends a second.
func NewLog(options ...LogOption) *Log {
	l := &Log{streams: make(map[string]*stream), cleared: make(chan struct{})}
	WithAppendRate(defaultAppendRate)(l)
	for _, o := range options {
		o(l)
	}
	return l
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.cleared)
	l.cleared = make(chan struct{})
}

// Faults returns the faults that are set.
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
	if len(records) == 0 || !l.admit() {
		return backing.NoOffset, backing.ErrRefused
	}
	if err := l.pass(ctx); err != nil {
		if errors.Is(err, errRefuse) {
			return backing.NoOffset, backing.ErrRefused
		}
		return backing.NoOffset, backing.ErrUnknown
	}
	fate := l.takeFate()
	if fate.late {
		time.AfterFunc(fate.lateBy, func() { l.store(name, records) })
		return backing.NoOffset, backing.ErrUnknown
	}
	first := l.store(name, records)
	if !sleep(ctx, fate.answerDelay) || fate.lost {
		return backing.NoOffset, backing.ErrUnknown
	}
	return first, nil
}

// admit waits for the append rate; it returns false when the wait is too long.
func (l *Log) admit() bool {
	r := l.limit.Reserve()
	delay := r.Delay()
	if delay > maxAppendWait {
		r.Cancel()
		return false
	}
	time.Sleep(delay)
	return true
}

// appendFate is what becomes of one append.
type appendFate struct {
	lost        bool
	late        bool
	lateBy      time.Duration
	answerDelay time.Duration
}

// takeFate uses up one fault of the next append.
func (l *Log) takeFate() appendFate {
	l.mu.Lock()
	defer l.mu.Unlock()
	fate := appendFate{
		lateBy:      time.Duration(l.faults.LateBy),
		answerDelay: time.Duration(l.faults.AnswerDelay),
	}
	switch {
	case l.faults.LateAppends > 0:
		l.faults.LateAppends--
		fate.late = true
	case l.faults.LoseAnswers > 0:
		l.faults.LoseAnswers--
		fate.lost = true
	}
	return fate
}

// store appends records and wakes the readers that wait for them.
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
	if err := l.pass(ctx); err != nil {
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

// read returns what is there now, and a channel closed at the next append.
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

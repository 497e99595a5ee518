package measure

import (
	"math/rand/v2"
	"time"

	"marjorampitch/api"
)

// Shape of the sessions.
const (
	meanTurns    = 5
	meanThink    = 2 * time.Second
	sharedPrompt = 600 // tokens of an organisation's leading prompt
	turnPrompt   = 120 // tokens that a caller adds in the mean
	meanOutput   = 90  // tokens of an answer in the mean
	maxOutput    = 300 // tokens of an answer at most
	hotPrefix    = 3   // id of the prefix that many sessions share
	callTimeout  = 15 * time.Second
)

// load makes sessions of callers and sends their turns.
type load struct {
	fleet   *fleet
	source  *rand.Rand
	rate    func(now time.Duration) float64 // new sessions a second
	until   time.Duration
	turns   int // in the mean
	org     func(source *rand.Rand) (name string, index int)
	next    uint64
	outcome func(c *call, err *api.Error)
	gaps    func(time.Duration)
	tweak   func(c *call)
	again   func(c *call, err *api.Error) (time.Duration, bool) // whether a caller tries again; nil for never
	timeout time.Duration                                       // callers wait this long
	hot     float64                                             // share of the sessions that have one prefix
}

// session is one caller's conversation.
type session struct {
	id      uint64
	org     string
	index   int
	history int // tokens so far
	left    int // turns
	source  *rand.Rand
}

// start draws the arrival of sessions as a Poisson process.
func (l *load) start() {
	rate := l.rate(l.fleet.clock.now)
	wait := time.Duration(l.source.ExpFloat64() / rate * float64(time.Second))
	l.fleet.clock.after(wait, func() {
		if l.fleet.clock.now > l.until {
			return
		}
		l.next++
		name, index := l.org(l.source)
		s := &session{id: l.next<<8 | 1, org: name, index: index}
		s.source = rand.New(rand.NewPCG(l.fleet.cfg.seed, s.id))
		if s.source.Float64() < l.hot {
			s.id = hotPrefix
		}
		s.left = 1 + geometric(s.source, l.turns)
		l.turn(s)
		l.start()
	})
}

func geometric(source *rand.Rand, mean int) int {
	return int(source.ExpFloat64() * float64(mean-1))
}

// turn sends one request of a session; the next follows its answer.
func (l *load) turn(s *session) {
	added := 20 + int(s.source.ExpFloat64()*turnPrompt)
	output := min(maxOutput, 10+int(s.source.ExpFloat64()*meanOutput))
	c := &call{
		org:      s.org,
		weight:   1,
		priority: api.PriorityNormal,
		job: job{
			session:   s.id,
			shared:    uint64(s.index)<<8 | 2,
			sharedLen: sharedPrompt,
			prompt:    sharedPrompt + s.history + added,
			output:    output,
		},
		deadline: l.fleet.clock.now + l.timeout,
		gaps:     l.gaps,
	}
	if l.tweak != nil {
		l.tweak(c)
	}
	s.history += added + output
	c.origin = l.fleet.clock.now
	c.done = func(c *call, err *api.Error) {
		if err != nil && l.again != nil {
			if wait, ok := l.again(c, err); ok {
				l.resend(c, wait)
				return
			}
		}
		l.outcome(c, err)
		s.left--
		if s.left <= 0 || err != nil {
			return
		}
		think := time.Duration(s.source.ExpFloat64() * float64(meanThink))
		l.fleet.clock.after(think, func() { l.turn(s) })
	}
	l.fleet.send(c)
}

// resend sends a call that failed once more, as a new request.
func (l *load) resend(c *call, wait time.Duration) {
	l.fleet.clock.after(wait, func() {
		c.tries++
		c.attempts = 0
		c.deadline = l.fleet.clock.now + l.timeout
		l.fleet.send(c)
	})
}

// obedient callers come back after the time they were told, a few times.
func obedient(tries int) func(*call, *api.Error) (time.Duration, bool) {
	return func(c *call, err *api.Error) (time.Duration, bool) {
		return max(err.RetryAfter, time.Second), c.tries < tries && err.RetryAfter > 0
	}
}

// storm callers come back at once, many times.
func storm(tries int) func(*call, *api.Error) (time.Duration, bool) {
	return func(c *call, _ *api.Error) (time.Duration, bool) {
		return 100 * time.Millisecond, c.tries < tries
	}
}

// organisations draws among ten, of which the first two are large.
func organisations(source *rand.Rand) (string, int) {
	names := [...]string{"org-0", "org-1", "org-2", "org-3", "org-4", "org-5", "org-6", "org-7", "org-8", "org-9"}
	x := source.Float64()
	switch {
	case x < 0.4:
		return names[0], 0
	case x < 0.7:
		return names[1], 1
	}
	i := 2 + source.IntN(8)
	return names[i], i
}

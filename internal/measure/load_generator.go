package measure

import (
	"math/rand/v2"
	"time"

	"marjorampitch/api"
)

// Shape of the client sessions.
const (
	meanTurns          = 5
	meanThinkTime      = 2 * time.Second
	sharedPromptTokens = 600 // prompt prefix common to an organisation's sessions
	meanTurnTokens     = 120 // mean number of tokens that a client adds per turn, beyond 20
	meanOutputTokens   = 90  // mean number of tokens of an answer, beyond 10
	maxOutputTokens    = 300 // most tokens of an answer
	hotPrefixID        = 3   // session id of the sessions that share one prefix
	callTimeout        = 15 * time.Second
)

// loadGenerator starts client sessions and sends their requests.
type loadGenerator struct {
	fleet          *fleet
	rng            *rand.Rand
	rate           func(now time.Duration) float64 // new sessions per second
	until          time.Duration
	meanTurns      int // mean number of requests per session
	pickOrg        func(rng *rand.Rand) (name string, index int)
	lastID         uint64
	onOutcome      func(c *call, err *api.Error)
	onNextToken    func(time.Duration)
	beforeSend     func(c *call)
	retry          func(c *call, err *api.Error) (time.Duration, bool) // delay before the client sends a failed call again, and whether it does; nil for never
	timeout        time.Duration                                       // deadline of a request, from its send
	hotPrefixShare float64                                             // share of sessions with id hotPrefixID
}

// session is the conversation of one client.
type session struct {
	id        uint64
	org       string
	orgIndex  int
	history   int // tokens of earlier turns
	turnsLeft int
	rng       *rand.Rand
}

// scheduleSession schedules the next session of a Poisson arrival process,
// which ends at until.
func (l *loadGenerator) scheduleSession() {
	rate := l.rate(l.fleet.clock.now)
	wait := time.Duration(l.rng.ExpFloat64() / rate * float64(time.Second))
	l.fleet.clock.after(wait, func() {
		if l.fleet.clock.now > l.until {
			return
		}
		l.lastID++
		name, index := l.pickOrg(l.rng)
		s := &session{id: l.lastID<<8 | 1, org: name, orgIndex: index}
		s.rng = rand.New(rand.NewPCG(l.fleet.cfg.seed, s.id))
		if s.rng.Float64() < l.hotPrefixShare {
			s.id = hotPrefixID
		}
		s.turnsLeft = 1 + geometric(s.rng, l.meanTurns)
		l.sendTurn(s)
		l.scheduleSession()
	})
}

func geometric(rng *rand.Rand, mean int) int {
	return int(rng.ExpFloat64() * float64(mean-1))
}

// sendTurn sends one request of a session. The next one follows a think time
// after the answer; a failed request ends the session.
func (l *loadGenerator) sendTurn(s *session) {
	added := 20 + int(s.rng.ExpFloat64()*meanTurnTokens)
	output := min(maxOutputTokens, 10+int(s.rng.ExpFloat64()*meanOutputTokens))
	c := &call{
		org:      s.org,
		weight:   1,
		priority: api.PriorityNormal,
		job: job{
			session:         s.id,
			sharedPrefix:    uint64(s.orgIndex)<<8 | 2,
			sharedPrefixLen: sharedPromptTokens,
			prompt:          sharedPromptTokens + s.history + added,
			output:          output,
		},
		deadline:    l.fleet.clock.now + l.timeout,
		onNextToken: l.onNextToken,
	}
	if l.beforeSend != nil {
		l.beforeSend(c)
	}
	s.history += added + output
	c.firstSentAt = l.fleet.clock.now
	c.onDone = func(c *call, err *api.Error) {
		if err != nil && l.retry != nil {
			if wait, ok := l.retry(c, err); ok {
				l.resend(c, wait)
				return
			}
		}
		l.onOutcome(c, err)
		s.turnsLeft--
		if s.turnsLeft <= 0 || err != nil {
			return
		}
		think := time.Duration(s.rng.ExpFloat64() * float64(meanThinkTime))
		l.fleet.clock.after(think, func() { l.sendTurn(s) })
	}
	l.fleet.send(c)
}

// resend sends a failed call again as a new request with a new deadline.
func (l *loadGenerator) resend(c *call, wait time.Duration) {
	l.fleet.clock.after(wait, func() {
		c.resends++
		c.attempts = 0
		c.deadline = l.fleet.clock.now + l.timeout
		l.fleet.send(c)
	})
}

// honourRetryAfter returns a retry rule of clients that wait for Retry-After (at
// least a second) and resend a call at most limit times. Without Retry-After
// they do not resend.
func honourRetryAfter(limit int) func(*call, *api.Error) (time.Duration, bool) {
	return func(c *call, err *api.Error) (time.Duration, bool) {
		return max(err.RetryAfter, time.Second), c.resends < limit && err.RetryAfter > 0
	}
}

// retryImmediately returns a retry rule of clients that ignore Retry-After,
// resending after 100 ms and at most limit times.
func retryImmediately(limit int) func(*call, *api.Error) (time.Duration, bool) {
	return func(c *call, _ *api.Error) (time.Duration, bool) {
		return 100 * time.Millisecond, c.resends < limit
	}
}

// randomOrganisation draws one of ten organisations: the first two send 40% and
// 30% of the load, the other eight share the rest equally.
func randomOrganisation(rng *rand.Rand) (string, int) {
	names := [...]string{"org-0", "org-1", "org-2", "org-3", "org-4", "org-5", "org-6", "org-7", "org-8", "org-9"}
	x := rng.Float64()
	switch {
	case x < 0.4:
		return names[0], 0
	case x < 0.7:
		return names[1], 1
	}
	i := 2 + rng.IntN(8)
	return names[i], i
}

package admit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marjorampitch/route"
	"marjorampitch/wire"
)

// Settings of ServerLimits.
const (
	// limitWindow is the span over which the platform counts a server's requests. It
	// tolerates limitTolerance times the stated rate and limitSlack requests in it.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// limitExchangeDelay is the longest time until the peers know of a request that was
	// sent, with one lost datagram.
	limitExchangeDelay = 300 * time.Millisecond
	// minLimitRate is the rate, in requests per second, at which a server is used that
	// takes fewer, so that an answer can tell when its limit ends.
	minLimitRate = 0.2

	limitResend    = 500 * time.Millisecond // between two reports of an unchanged limit
	limitEndedTTL  = 5 * time.Second        // for which the end of a limit is reported
	limitAbsentTTL = time.Minute            // after which the limit of a server that is gone is dropped

	maxLimitedServers = 4096
	maxLimitSenders   = 1024
	maxLimitReports   = 128 // limits returned by one call of Report
)

// ServerLimits keeps to the rates of requests that backend servers state in their
// answers: the requests per second that one server takes from all gateways together.
// Every gateway has one, and they exchange what Report returns. A ServerLimits is not
// safe for concurrent use.
//
// A limit holds until an answer of the same incarnation comes without one. Until then
// the lowest rate stated counts: the platform's tolerance is judged from the first
// statement on, and a higher one does not take that back.
//
// Each gateway counts its own requests and those that its peers report in one leaky
// bucket per server, which leaks at that rate. Its capacity allows for requests that
// are not reported yet. Where all gateways together could exceed the tolerance, only
// some use the server, chosen by a hash of the server and the gateway.
type ServerLimits struct {
	instance  string
	gateways  []uint64 // hashes of the names of all gateways
	changedAt int      // increases whenever gateways changes
	servers   map[uint64]*serverLimit
	senders   map[string]limitSender // by name of the peer
	retries   retrySchedule
}

// limitSender is what is known of the reports of a peer.
type limitSender struct {
	incarnation int64
	sentAt      int64 // of its newest report
}

// serverLimit is the state of one incarnation of a server.
type serverLimit struct {
	rate     float64 // lowest stated, in requests per second; meaningless unless limited
	limited  bool
	statedAt time.Duration // when the newest answer that says so arrived
	seenAt   time.Duration // when the server was last known to be in the directory

	bucket leakyBucket          // requests of all gateways
	sent   uint64               // own requests since the limit is known
	peers  map[string]peerCount // by name

	plan       limitPlan
	reported   bool // nothing has changed since the last report
	reportedAt time.Duration
}

// peerCount is the number of requests that one incarnation of a peer has reported.
type peerCount struct {
	incarnation int64
	sent        uint64
}

// leakyBucket counts requests that leak at a constant rate.
type leakyBucket struct {
	level float64
	at    time.Duration
}

func (b *leakyBucket) leak(rate float64, now time.Duration) {
	if now > b.at {
		b.level = max(0, b.level-rate*(now-b.at).Seconds())
		b.at = now
	}
}

// limitPlan is how a rate is shared by the gateways.
type limitPlan struct {
	rate   float64
	change int     // ServerLimits.changedAt for which it was made
	burst  float64 // capacity of the bucket; 0 before the plan is made
	use    bool    // this gateway may use the server
}

// NewServerLimits returns a ServerLimits without limits for the gateway with this
// name. source draws the jitter of RetryAfter.
func NewServerLimits(instance string, source *rand.Rand) *ServerLimits {
	return &ServerLimits{
		instance: instance,
		servers:  make(map[uint64]*serverLimit),
		senders:  make(map[string]limitSender),
		retries:  newRetrySchedule(source),
	}
}

// SetGateways sets the names of all gateways. Without any, this one counts as the only
// one.
func (l *ServerLimits) SetGateways(names []string) {
	hashes := make([]uint64, len(names))
	for i, name := range names {
		hashes[i] = route.HashName(name)
	}
	slices.Sort(hashes)
	if !slices.Equal(hashes, l.gateways) {
		l.gateways = hashes
		l.changedAt++
	}
}

// Empty reports whether no limit is known.
func (l *ServerLimits) Empty() bool { return len(l.servers) == 0 }

// Stated records what an answer of a server says: a limit in requests per second, or
// that there is none. It reports whether that is a change. The limit is not negative.
func (l *ServerLimits) Stated(server ServerIncarnation, rate float64, limited bool, now time.Duration) (changed bool) {
	key := server.hash()
	s := l.servers[key]
	if s == nil {
		if !limited {
			return false
		}
		s = l.add(key, now)
	}
	return s.state(rate, limited, now)
}

func (l *ServerLimits) add(key uint64, now time.Duration) *serverLimit {
	if len(l.servers) >= maxLimitedServers {
		l.dropOldest()
	}
	s := &serverLimit{statedAt: math.MinInt64, seenAt: now, peers: make(map[string]peerCount)}
	l.servers[key] = s
	return s
}

// dropOldest drops the limit that was stated longest ago.
func (l *ServerLimits) dropOldest() {
	oldest := uint64(0)
	for key, s := range l.servers {
		if o := l.servers[oldest]; o == nil || cmp.Or(cmp.Compare(s.statedAt, o.statedAt), cmp.Compare(key, oldest)) < 0 {
			oldest = key
		}
	}
	delete(l.servers, oldest)
}

// state applies a statement and reports whether it changes anything.
func (s *serverLimit) state(rate float64, limited bool, at time.Duration) (changed bool) {
	if s.limited && limited { // also if it is older than the newest
		changed = rate < s.rate
		rate = min(rate, s.rate)
	} else {
		changed = s.limited != limited && at >= s.statedAt
	}
	s.statedAt = max(s.statedAt, at)
	if changed {
		s.rate, s.limited, s.reported = rate, limited, false
	}
	return changed
}

// effectiveRate returns the rate that the gateways keep to.
func (s *serverLimit) effectiveRate() float64 { return max(s.rate, minLimitRate) }

// Allows reports whether the server may get a request now. It is called before Sent.
func (l *ServerLimits) Allows(server ServerIncarnation, now time.Duration) bool {
	key := server.hash()
	s := l.servers[key]
	if s == nil || !s.limited {
		return true
	}
	s.bucket.leak(s.effectiveRate(), now)
	p := l.planFor(key, s)
	return p.use && s.bucket.level+1 <= p.burst
}

// planFor returns the plan of a server, which depends on its rate and the gateways.
func (l *ServerLimits) planFor(key uint64, s *serverLimit) *limitPlan {
	if s.plan.burst == 0 || s.plan.rate != s.rate || s.plan.change != l.changedAt {
		users, burst := shareRate(s.effectiveRate(), len(l.gateways))
		s.plan = limitPlan{rate: s.rate, change: l.changedAt, burst: burst, use: l.uses(key, users)}
	}
	return &s.plan
}

// shareRate returns how many of the gateways use a server with this rate, and how many
// requests they may send at once. Before they know of each other, each may send that
// many, and all but one go on at the rate for limitExchangeDelay; what the server gets
// in limitWindow stays within the tolerance.
func shareRate(rate float64, gateways int) (users int, burst float64) {
	tolerated := limitSlack + (limitTolerance-1)*limitWindow.Seconds()*rate
	for users = max(1, gateways); ; users-- {
		unreported := float64(users-1) * rate * limitExchangeDelay.Seconds()
		if burst = (tolerated - unreported) / float64(users); burst >= 1 || users == 1 {
			return users, min(burst, max(rate, 1))
		}
	}
}

// uses reports whether this gateway is one of the users of a server.
func (l *ServerLimits) uses(key uint64, users int) bool {
	own, better := route.Mix(key, route.HashName(l.instance)), 0
	for _, g := range l.gateways {
		if route.Mix(key, g) > own {
			better++
		}
	}
	return better < users
}

// Sent records that a request is being sent to the server.
func (l *ServerLimits) Sent(server ServerIncarnation, now time.Duration) {
	s := l.servers[server.hash()]
	if s == nil || !s.limited {
		return
	}
	s.bucket.leak(s.effectiveRate(), now)
	s.bucket.level++
	s.sent++
	s.reported = false
}

// RetryAfter returns when the caller of a request should return that was refused
// because all the servers of a service have reached their limits. Callers return one
// after the other, at a part of the rate that the servers take.
func (l *ServerLimits) RetryAfter(service string, servers []ServerIncarnation, now time.Duration) time.Duration {
	rate := 0.0
	for _, server := range servers {
		if s := l.servers[server.hash()]; s != nil && s.limited {
			rate += s.effectiveRate()
		}
	}
	return l.retries.reserve(now, service, max(rate, minLimitRate)/float64(max(1, len(l.gateways))))
}

// Report returns the limits that are due to be sent to all peers. It is called
// periodically. What has changed is due at once, the rest from time to time.
func (l *ServerLimits) Report(now time.Duration) []wire.ServerLimit {
	if len(l.servers) == 0 {
		return nil
	}
	type dueLimit struct {
		key uint64
		*serverLimit
	}
	var due []dueLimit
	for key, s := range l.servers {
		if !s.limited && now-s.statedAt > limitEndedTTL {
			delete(l.servers, key)
			continue
		}
		if !s.reported || now-s.reportedAt >= limitResend {
			due = append(due, dueLimit{key, s})
		}
	}
	slices.SortFunc(due, func(a, b dueLimit) int {
		return cmp.Or(cmp.Compare(a.reportedAt, b.reportedAt), cmp.Compare(a.key, b.key))
	})
	due = due[:min(len(due), maxLimitReports)]
	limits := make([]wire.ServerLimit, 0, len(due))
	for _, s := range due {
		s.reported, s.reportedAt = true, now
		limits = append(limits, wire.ServerLimit{
			Server: s.key, Rate: s.rate, Limited: s.limited, Age: (now - s.statedAt).Milliseconds(), Sent: s.sent,
		})
	}
	return limits
}

// Merge adds the report of a peer. It returns the number of servers whose limit was not
// known before.
func (l *ServerLimits) Merge(r *wire.LimitReport, now time.Duration) (learned int) {
	last, known := l.senders[r.Instance]
	if known && last.incarnation == r.Incarnation && r.SentAt < last.sentAt {
		return 0 // overtaken by a later one, whose counts include its own
	}
	if !known && len(l.senders) >= maxLimitSenders {
		clear(l.senders)
	}
	l.senders[r.Instance] = limitSender{r.Incarnation, r.SentAt}
	for i := range r.Limits {
		x := &r.Limits[i]
		if x.Age < 0 || math.IsNaN(x.Rate) || math.IsInf(x.Rate, 0) || x.Rate < 0 {
			continue
		}
		s := l.servers[x.Server]
		if s == nil {
			if !x.Limited {
				continue
			}
			s = l.add(x.Server, now)
			learned++
		}
		s.state(x.Rate, x.Limited, now-time.Duration(x.Age)*time.Millisecond)
		s.count(r.Instance, r.Incarnation, x.Sent, now)
	}
	return learned
}

// count adds the requests that a peer has sent since its last report.
func (s *serverLimit) count(instance string, incarnation int64, sent uint64, now time.Duration) {
	last := s.peers[instance]
	s.peers[instance] = peerCount{incarnation, sent}
	if last.incarnation != incarnation || sent < last.sent {
		last.sent = 0 // the peer has begun to count anew
	}
	s.bucket.leak(s.effectiveRate(), now)
	s.bucket.level += float64(sent - last.sent)
}

// Prune drops the limits of servers that have been gone for a while. current are the
// servers in the directory.
func (l *ServerLimits) Prune(current []ServerIncarnation, now time.Duration) {
	if len(l.servers) == 0 {
		return
	}
	for _, server := range current {
		if s := l.servers[server.hash()]; s != nil {
			s.seenAt = now
		}
	}
	for key, s := range l.servers {
		if now-s.seenAt > limitAbsentTTL {
			delete(l.servers, key)
		}
	}
}

// AtLimit returns the number of the servers that may get no request now.
func (l *ServerLimits) AtLimit(servers []ServerIncarnation, now time.Duration) int {
	n := 0
	for _, server := range servers {
		if !l.Allows(server, now) {
			n++
		}
	}
	return n
}

// Limited returns the number of the servers that have a limit.
func (l *ServerLimits) Limited(servers []ServerIncarnation) int {
	n := 0
	for _, server := range servers {
		if s := l.servers[server.hash()]; s != nil && s.limited {
			n++
		}
	}
	return n
}

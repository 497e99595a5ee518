package admit

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings of ServerSpeeds.
const (
	// A server counts as slow from slowRatio times the time of the others on, beyond the
	// error of the estimate, and until it needs less than usualRatio times their time.
	slowRatio  = 2.5
	usualRatio = 1.7
	// speedErrors is the number of standard errors by which an estimate may be wrong.
	speedErrors = 2.0
	// minSpeedAnswers and maxSpeedAnswers are the least and the most answers that an
	// estimate of a server's speed rests on; later ones replace earlier ones.
	minSpeedAnswers = 3
	maxSpeedAnswers = 8
	maxRouteAnswers = 64 // the same for the usual time of a route
	// speedJump is the number of standard deviations from which an answer does not count
	// for the estimate of its server. Two in succession, to the same side, begin it anew.
	speedJump = 3.0
	// usualSpread is the standard deviation of the logarithms of times that is assumed
	// before answers show it; minSpread is the least that is believed.
	usualSpread = 0.6
	minSpread   = 0.2
	spreadShare = 0.03 // weight of the newest answer in the spread
	// speedTTL is the age of a server's last answer from which its speed is unknown.
	speedTTL = 10 * time.Second
	// A slow server of which nothing has been seen for a while gets a request to show
	// whether it still is. That time doubles from minSpeedTrial to maxSpeedTrial while it
	// is. The jitter keeps gateways apart.
	minSpeedTrial    = 500 * time.Millisecond
	maxSpeedTrial    = 4 * time.Second
	speedTrialJitter = 0.5
	maxSpeedServers  = 1024
	maxSpeedRoutes   = 256
	maxServerFactor  = 100.0
)

// ServerSpeeds finds out which servers of a service answer more slowly than the others,
// by the times of their answers to this gateway. Times are compared with those usual for
// their route, as a server's requests may be of another kind than those of the others. If
// all servers are slow alike, none is. A ServerSpeeds is not safe for concurrent use.
type ServerSpeeds struct {
	source  *rand.Rand
	servers map[ServerIncarnation]*serverSpeed
	routes  map[string]*speedMean
	spread  float64   // variance of the logarithms of a server's times
	means   []float64 // buffer of usualOfOthers
}

// speedMean is a moving average of logarithms.
type speedMean struct {
	mean    float64
	answers int
}

func (m *speedMean) add(x float64, most int) {
	m.answers = min(m.answers+1, most)
	m.mean += (x - m.mean) / float64(m.answers)
}

// serverSpeed is the speed of one incarnation of a server.
type serverSpeed struct {
	speedMean // of the times relative to those usual for the routes
	at        time.Duration
	jump      float64 // the last time if it did not count, or else 0
	slow      bool
	trial     time.Duration // when a slow server may get the next request as if it was not
	interval  time.Duration // to the trial after that
}

// NewServerSpeeds returns a ServerSpeeds that knows of no server. source draws the times
// at which slow servers are tried.
func NewServerSpeeds(source *rand.Rand) *ServerSpeeds {
	return &ServerSpeeds{
		source: source, servers: make(map[ServerIncarnation]*serverSpeed), routes: make(map[string]*speedMean),
		spread: usualSpread * usualSpread,
	}
}

// Answered records the time that a server has needed for a request of a route, or for
// another kind of work that all servers do alike. It reports whether the server has begun
// or ceased to count as slow.
func (x *ServerSpeeds) Answered(server ServerIncarnation, route string, d, now time.Duration) (changed bool) {
	usual := x.routes[route]
	if usual == nil {
		if len(x.routes) >= maxSpeedRoutes {
			return false
		}
		usual = &speedMean{}
		x.routes[route] = usual
	}
	s := x.servers[server]
	if s == nil {
		if len(x.servers) >= maxSpeedServers {
			return false
		}
		s = &serverSpeed{}
		x.servers[server] = s
	}
	logTime := math.Log(max(d, 100*time.Microsecond).Seconds())
	if usual.answers == 0 {
		usual.mean = logTime
	}
	x.observe(s, logTime-usual.mean, now)
	usual.add(logTime, maxRouteAnswers)
	was := s.slow
	s.slow = x.isSlow(server, s, now)
	switch {
	case s.slow && (!was || s.jump != 0): // it may be slow no longer
		s.interval = minSpeedTrial
		x.delayTrial(s, now)
	case s.slow:
		x.delayTrial(s, now)
	}
	return s.slow != was
}

// observe adds a time, relative to the usual one, to a server's.
func (x *ServerSpeeds) observe(s *serverSpeed, r float64, now time.Duration) {
	deviation, last := r-s.mean, s.jump
	s.jump = 0
	jumps := s.answers > 0 && math.Abs(deviation) > speedJump*math.Sqrt(x.spread)
	switch again := jumps && last != 0 && (last > s.mean) == (r > s.mean); {
	case now-s.at > speedTTL:
		s.speedMean = speedMean{}
	case again:
		s.speedMean = speedMean{mean: last, answers: 1}
	case jumps:
		s.jump, s.at = r, now
		return
	case s.answers > 0:
		x.spread = max(x.spread+spreadShare*(deviation*deviation-x.spread), minSpread*minSpread)
	}
	s.add(r, maxSpeedAnswers)
	s.at = now
}

// isSlow reports whether a server counts as slow now.
func (x *ServerSpeeds) isSlow(server ServerIncarnation, s *serverSpeed, now time.Duration) bool {
	if !s.slow && s.answers < minSpeedAnswers {
		return false
	}
	others, ok := x.usualOfOthers(server, now)
	if !ok || now-s.at > speedTTL {
		return false
	}
	if s.slow {
		return s.mean-others >= math.Log(usualRatio)
	}
	margin := speedErrors * math.Sqrt(x.spread/float64(max(s.answers, 1)))
	return s.mean-others-margin >= math.Log(slowRatio)
}

// usualOfOthers returns the median of the other servers' times relative to the usual ones;
// ok is false if none is known.
func (x *ServerSpeeds) usualOfOthers(server ServerIncarnation, now time.Duration) (median float64, ok bool) {
	means := x.means[:0]
	for key, o := range x.servers {
		if key != server && o.answers >= minSpeedAnswers && now-o.at <= speedTTL {
			means = append(means, o.mean)
		}
	}
	x.means = means
	if len(means) == 0 {
		return 0, false
	}
	slices.Sort(means)
	return (means[len(means)/2] + means[(len(means)-1)/2]) / 2, true
}

// Factor returns by which factor a server is slower than the others, for the choice of the
// server of a request; 1 if it is not, if that is not known, or if it is to be tried.
func (x *ServerSpeeds) Factor(server ServerIncarnation, now time.Duration) float64 {
	s := x.servers[server]
	if s == nil || !s.slow || now >= s.trial || now-s.at > speedTTL {
		return 1
	}
	return x.Estimate(server, now)
}

// Estimate returns how many times the time of the others a server needs; 1 if that is not
// known.
func (x *ServerSpeeds) Estimate(server ServerIncarnation, now time.Duration) float64 {
	s := x.servers[server]
	others, ok := x.usualOfOthers(server, now)
	if s == nil || !ok {
		return 1
	}
	return min(max(math.Exp(s.mean-others), 1), maxServerFactor)
}

// Sent records that a request is being sent to a server.
func (x *ServerSpeeds) Sent(server ServerIncarnation, now time.Duration) {
	if s := x.servers[server]; s != nil && s.slow && now >= s.trial {
		s.interval = min(2*s.interval, maxSpeedTrial)
		x.delayTrial(s, now)
	}
}

func (x *ServerSpeeds) delayTrial(s *serverSpeed, now time.Duration) {
	s.trial = now + time.Duration(float64(s.interval)*(1+speedTrialJitter*x.source.Float64()))
}

// IsSlow reports whether a server counts as slow.
func (x *ServerSpeeds) IsSlow(server ServerIncarnation) bool {
	s := x.servers[server]
	return s != nil && s.slow
}

// Slow returns the number of servers that count as slow.
func (x *ServerSpeeds) Slow() int {
	n := 0
	for _, s := range x.servers {
		if s.slow {
			n++
		}
	}
	return n
}

// Prune forgets servers that are gone or have not answered for a while. It returns those
// of them that counted as slow.
func (x *ServerSpeeds) Prune(now time.Duration, gone func(ServerIncarnation) bool) (ended []ServerIncarnation) {
	for key, s := range x.servers {
		if now-s.at <= speedTTL && !gone(key) {
			continue
		}
		delete(x.servers, key)
		if s.slow {
			ended = append(ended, key)
		}
	}
	return ended
}

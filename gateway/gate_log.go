package gateway

import "time"

// gateInterval counts what has happened to the streams of a service since the last line
// on its gate.
type gateInterval struct {
	admitted, refused int
	late              int           // streams that had their first late event
	longestPause      time.Duration // between two events of a stream
}

// pause records the pause between two events of a stream.
func (x *gateInterval) pause(d time.Duration) { x.longestPause = max(x.longestPause, d) }

// idle reports whether nothing was recorded.
func (x *gateInterval) idle() bool { return *x == gateInterval{} }

// noteAdmission counts a request that the gate has admitted or refused.
func (s *service) noteAdmission(admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if admitted {
		s.interval.admitted++
	} else {
		s.interval.refused++
	}
}

// notePace counts the stream of the call as late at the first event that took longer than
// its objective; 0 for none.
func (c *call) notePace(took, objective time.Duration) {
	if objective <= 0 || took <= objective || c.late {
		return
	}
	c.late = true
	c.service.mu.Lock()
	c.service.interval.late++
	c.service.mu.Unlock()
}

// takeInterval returns the counts since the last call.
func (s *service) takeInterval() gateInterval {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.interval
	s.interval = gateInterval{}
	return x
}

// silence returns the time since the last event of a stream of a group; 0 before the first.
func (s *service) silence(group string, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.activity[groupActivityKey(group)]; ok {
		return now - p.last
	}
	return 0
}

// logGate logs the state of a service's gate for each group in use, and what has happened
// to the service's streams since the last line.
func (g *Gateway) logGate(s *service) {
	now := g.now()
	interval := s.takeInterval()
	for _, x := range s.status(now) {
		if x.RunningTotal == 0 && x.Waiting == 0 && interval.idle() {
			continue
		}
		g.opts.Log.Info("gate", "service", s.name, "group", x.Group, "open", x.Open, "running", x.Running, "running_all", x.RunningTotal,
			"limit", int(x.Limit), "share", int(x.Share), "waiting", x.Waiting, "gap_ms", x.Gap.Milliseconds(),
			"first_ms", x.FirstEvent.Milliseconds(), "peers", x.Peers, "rate", int(x.Rate),
			"admitted", interval.admitted, "refused", interval.refused, "late", interval.late,
			"longest_pause_ms", interval.longestPause.Milliseconds(), "silent_ms", s.silence(x.Group, now).Milliseconds())
	}
}

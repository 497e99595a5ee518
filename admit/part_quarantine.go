package admit

import (
	"cmp"
	"slices"
	"time"

	"marjorampitch/route"
	"marjorampitch/wire"
)

// Limits of a PartQuarantine.
const (
	// partStrikeLimit is the number of strikes at which a part is quarantined, and
	// partInUseLimit the number for a part that was in use shortly before.
	partStrikeLimit = 2
	partInUseLimit  = 4
	// partInUseWindow is how long a part counts as in use after a server has begun
	// an answer on it.
	partInUseWindow = time.Minute
	// PartTTL is how long the evidence against a part counts after its newest strike.
	PartTTL = 10 * time.Minute
	// partResendMargin is the time before the end of PartTTL from which evidence is no longer
	// sent, so that peers with a slightly later estimate of its age do not prolong it.
	partResendMargin = 10 * time.Second
	// partConfirmWindow is the longest time between a broken request and the
	// confirmation that its server crashed.
	partConfirmWindow = 10 * time.Second
	// partAnswerDelay is the longest time between the arrival of an answer and the
	// call of Started; an answer that is observed later after a crash refutes it.
	partAnswerDelay = 500 * time.Millisecond
	// partAgeError is the largest error of a time that was received as an age.
	partAgeError = 25 * time.Millisecond
	// partGuardArrivals is the number of recent arrivals from which a part that more
	// than half of them carry is exempt.
	partGuardArrivals = 16
	// partCommonShare is the number such that a part of more than one in so many recent
	// arrivals is common: most crashes hit some request with it.
	partCommonShare = 4

	// PartRepeatDelay is the least time between a broken attempt and its repeat.
	PartRepeatDelay = 2 * partAgeError

	// requestTurn is how long one gateway has the turn to run copies of a suspected
	// request. In the pause at its start copies of the turn before come to their end, and
	// all gateways learn of it.
	requestTurn      = 2 * time.Second
	requestTurnPause = 500 * time.Millisecond

	maxPartStrikes  = 8    // strikes kept for one part
	maxPartSuspects = 1024 // parts with strikes
	maxServerEvents = 256  // unconfirmed crashes, and servers seen down
	maxPartEvidence = 128  // pieces of evidence returned by one call of Evidence

	// Evidence is sent again at intervals that double from the first to the second.
	partFirstResend = 50 * time.Millisecond
	partMaxResend   = 5 * time.Second
	// partQuarantinedResend is the longest interval for a quarantined part.
	partQuarantinedResend = 500 * time.Millisecond
)

// ServerIncarnation identifies one incarnation of a backend server.
type ServerIncarnation struct {
	ID        string
	StartedAt int64 // in ms of Unix time, as the server reports it
}

// hash returns a hash of the incarnation, which also identifies the crash that ends
// it. It is the same on all gateways.
func (s ServerIncarnation) hash() uint64 {
	return route.Mix(route.HashName(s.ID), uint64(s.StartedAt))
}

// PartQuarantine finds the parts of prompts that crash the backend servers that
// begin an answer on them, and refuses requests that carry one. Every gateway keeps
// one, and they exchange what Evidence returns. Merging evidence is commutative and
// idempotent. A PartQuarantine is not safe for concurrent use.
//
// The parts of a request are those of its prompt that it may share with other
// requests, without the last one, which is its own or its session's.
//
// A strike against a part is a crash of a server under a request that carries the
// part and had no answer yet. A broken connection alone is no crash: it has to be
// confirmed by ServerDown. Strikes are cleared when a server begins an answer on the
// part. A part is quarantined by a number of strikes, each of a request that was
// sent after the one before was broken off, so that servers that crash together
// are one strike. Two rules protect parts that share requests with the one at fault:
//
//   - Crashes do not count against a part if a quarantined part explains them: one
//     that has more strikes or is rarer among the recent arrivals.
//   - A part that most of the recent arrivals carry is exempt.
//
// One that NewRequestQuarantine returns holds whole requests instead: its only part
// is the fingerprint of the request. Copies of one request then run alone once it is
// suspected of more than one crash, because copies that overlap are one strike. The
// gateways take turns with them.
type PartQuarantine struct {
	whole    bool           // features are whole requests
	running  map[uint64]int // requests in flight, by feature; only if whole
	gateways []uint64       // hashes of the names of all gateways
	self     uint64         // of this one
	suspects map[uint64]*partSuspect
	changed  bool            // strikes have changed since the next two were computed
	accused  []*partSuspect  // with enough strikes to be quarantined unless a rule protects them
	crashes  map[uint64]bool // crashes of strikes that are not cleared, and whether they are confirmed
	starts   recentStarts
	arrivals recentArrivals
	pending  []serverEvent // unconfirmed crashes
	down     []serverEvent // servers seen down
}

// serverEvent is an event of a server.
type serverEvent struct {
	id    string
	crash uint64 // unless the incarnation is not known
	at    time.Duration
}

// partSuspect is the evidence against one part.
type partSuspect struct {
	part     uint64
	strikes  []partStrike  // in ascending order of brokeAt
	arrivals int           // among the recent arrivals
	counting int           // number of strikes that count
	firm     int           // those of them while the part was not in use
	common   bool          // carried by many of the recent arrivals, of an accused part
	until    time.Duration // end of the quarantine; 0 for none
}

// partStrike is one crash under a request with the part. Merging takes the minimum
// of each time and the disjunction of the flags of wire.PartEvidence.
type partStrike struct {
	crash     uint64
	sentAt    time.Duration
	brokeAt   time.Duration
	confirmed bool
	inUse     bool
	cleared   bool
	lastSent  time.Duration
	resend    time.Duration // longest interval until it is sent again
	asked     bool          // a peer has sent less than is known
}

// lastUpdate returns the time of the newest strike.
func (s *partSuspect) lastUpdate() time.Duration {
	if len(s.strikes) == 0 {
		return 0
	}
	return s.strikes[len(s.strikes)-1].brokeAt
}

// NewPartQuarantine returns an empty PartQuarantine.
func NewPartQuarantine() *PartQuarantine {
	return &PartQuarantine{
		suspects: map[uint64]*partSuspect{},
		crashes:  map[uint64]bool{},
		starts:   newRecentStarts(),
	}
}

// NewRequestQuarantine returns an empty PartQuarantine of whole requests.
func NewRequestQuarantine() *PartQuarantine {
	q := NewPartQuarantine()
	q.whole, q.running = true, map[uint64]int{}
	return q
}

// SetGateways sets the names of this gateway and of all gateways.
func (q *PartQuarantine) SetGateways(self string, all []string) {
	q.self = route.HashName(self)
	q.gateways = q.gateways[:0]
	for _, name := range all {
		q.gateways = append(q.gateways, route.HashName(name))
	}
}

// hasTurn reports whether it is the turn of this gateway to run copies of a suspected
// request. Turns are counted from the newest crash, which all gateways know, and begin
// with a pause.
func (q *PartQuarantine) hasTurn(s *partSuspect, now time.Duration) bool {
	age := now - s.lastUpdate()
	if age%requestTurn < requestTurnPause {
		return false
	}
	turn := route.Mix(s.part, uint64(age/requestTurn))
	own := route.Mix(turn, q.self)
	return !slices.ContainsFunc(q.gateways, func(g uint64) bool { return route.Mix(turn, g) > own })
}

// Begin reports whether a request may be sent to a server now, and records that it is
// in flight if so; End has to be called then. It returns false for a whole request
// that is suspected of more than one crash while a copy of it is in flight, and while
// it is not the turn of this gateway. It is called after Check.
func (q *PartQuarantine) Begin(parts []uint64, now time.Duration) bool {
	if !q.whole {
		return true
	}
	for _, p := range parts {
		if q.suspected(p, now) && (q.running[p] > 0 || !q.hasTurn(q.suspects[p], now)) {
			return false
		}
	}
	for _, p := range parts {
		q.running[p]++
	}
	return true
}

// End records that a request for which Begin returned true is no longer in flight.
func (q *PartQuarantine) End(parts []uint64) {
	if !q.whole {
		return
	}
	for _, p := range parts {
		if q.running[p]--; q.running[p] <= 0 {
			delete(q.running, p)
		}
	}
}

// suspected reports whether a part may be the cause of more than one crash.
func (q *PartQuarantine) suspected(part uint64, now time.Duration) bool {
	s := q.suspects[part]
	return s != nil && s.suspicions(now) > 1
}

// Arrived records the arrival of a request, before Check.
func (q *PartQuarantine) Arrived(parts []uint64, _ time.Duration) {
	if len(parts) == 0 {
		return
	}
	replaced := q.arrivals.add(parts)
	if len(q.suspects) == 0 {
		return
	}
	q.countArrivals(replaced.list(), -1)
	q.countArrivals(parts[:min(len(parts), maxArrivalParts)], 1)
	q.judge()
}

func (q *PartQuarantine) countArrivals(parts []uint64, n int) {
	for _, p := range parts {
		if s := q.suspects[p]; s != nil {
			s.arrivals += n
		}
	}
}

// Check reports whether a request must be refused because one of its parts is
// quarantined, and for how long.
func (q *PartQuarantine) Check(parts []uint64, now time.Duration) (retryAfter time.Duration, refuse bool) {
	if len(q.suspects) == 0 {
		return 0, false
	}
	q.update()
	for _, p := range parts {
		if s := q.suspects[p]; s != nil {
			retryAfter = max(retryAfter, s.until-now)
		}
	}
	return retryAfter, retryAfter > 0
}

// MayRepeat reports whether a request whose attempt broke off may be sent to another
// server. It is called after Broke. The repeat has to be sent at least PartRepeatDelay
// later, so that what becomes of it counts. The first strike against a part does not
// prevent the repeat: most requests that a crash breaks off are not its cause.
func (q *PartQuarantine) MayRepeat(parts []uint64, now time.Duration) bool {
	if _, refuse := q.Check(parts, now); refuse {
		return false
	}
	return !slices.ContainsFunc(parts, func(p uint64) bool {
		return q.suspected(p, now) && (q.whole || !q.inUse(p, now) && !q.exempt(q.suspects[p]))
	})
}

// suspicions returns the number of crashes that may be due to the part, including
// those that may still be confirmed.
func (s *partSuspect) suspicions(now time.Duration) int {
	n := 0
	for i := range s.strikes {
		k := &s.strikes[i]
		if !k.cleared && (k.confirmed || now-k.brokeAt <= partConfirmWindow) {
			n++
		}
	}
	return n
}

// Started records that a server has begun an answer: its first event has arrived.
// It clears the strikes against the parts, and those by an earlier crash of the same
// incarnation, which cannot have crashed.
func (q *PartQuarantine) Started(parts []uint64, server ServerIncarnation, now time.Duration) {
	for _, p := range parts {
		q.starts.record(p, now)
		if s := q.suspects[p]; s != nil {
			q.clear(s, now, func(k *partStrike) bool { return k.brokeAt <= now })
		}
	}
	if len(q.suspects) == 0 {
		return
	}
	q.update()
	if len(q.crashes) == 0 {
		return
	}
	crash := server.hash()
	if _, known := q.crashes[crash]; !known {
		return
	}
	for _, s := range q.suspects {
		q.clear(s, now, func(k *partStrike) bool { return k.crash == crash && k.brokeAt+partAnswerDelay < now })
	}
}

// clear clears the strikes that match.
func (q *PartQuarantine) clear(s *partSuspect, now time.Duration, match func(*partStrike) bool) {
	for i := range s.strikes {
		if k := &s.strikes[i]; !k.cleared && match(k) {
			k.cleared = true
			k.resend = 0
			q.changed = true
		}
	}
}

// Broke records that a request that was sent to a server at sentAt was broken off
// before its answer had begun.
func (q *PartQuarantine) Broke(parts []uint64, server ServerIncarnation, sentAt, now time.Duration) {
	crash := server.hash()
	q.update()
	confirmed := q.crashes[crash] || slices.ContainsFunc(q.down, func(e serverEvent) bool { return e.id == server.ID && e.at >= sentAt })
	if !confirmed {
		q.pending = appendEvent(q.pending, serverEvent{id: server.ID, crash: crash, at: now})
	}
	for _, p := range parts {
		q.add(p, partStrike{crash: crash, sentAt: sentAt, brokeAt: now, confirmed: confirmed}, now)
	}
}

// appendEvent adds an event, in place of an earlier one of the same server and
// incarnation or, if there are too many, of the oldest.
func appendEvent(list []serverEvent, e serverEvent) []serverEvent {
	i := slices.IndexFunc(list, func(o serverEvent) bool { return o.id == e.id && o.crash == e.crash })
	if i < 0 && len(list) >= maxServerEvents {
		i = 0
	}
	if i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	return append(list, e)
}

// ServerDown records that a server has crashed, as is evident from refused
// connections, from the answers of other servers or from a new incarnation. It
// confirms the crash for the requests that broke off shortly before.
func (q *PartQuarantine) ServerDown(id string, now time.Duration) {
	q.down = appendEvent(q.down, serverEvent{id: id, at: now})
	q.confirmPending(now, func(e serverEvent) bool { return e.id == id })
}

// confirmPending confirms the crashes that match, unless it is too late.
func (q *PartQuarantine) confirmPending(now time.Duration, match func(serverEvent) bool) {
	q.pending = slices.DeleteFunc(q.pending, func(e serverEvent) bool {
		if !match(e) {
			return false
		}
		if now-e.at <= partConfirmWindow {
			q.confirm(e.crash)
		}
		return true
	})
}

func (q *PartQuarantine) confirm(crash uint64) {
	for _, s := range q.suspects {
		for i := range s.strikes {
			if k := &s.strikes[i]; k.crash == crash && !k.confirmed {
				k.confirmed = true
				k.resend = 0
				q.changed = true
			}
		}
	}
}

// Merge adds evidence received from a peer. It confirms the crashes that the evidence
// names for the requests that broke off at this gateway.
func (q *PartQuarantine) Merge(evidence []wire.PartEvidence, now time.Duration) {
	for i := range evidence {
		e := &evidence[i]
		sent, broke := time.Duration(e.SentAge)*time.Millisecond, time.Duration(e.BrokeAge)*time.Millisecond
		if broke < 0 || sent < broke || broke > PartTTL || sent > 2*PartTTL {
			continue
		}
		q.add(e.Part, partStrike{
			crash: e.Crash, sentAt: now - sent, brokeAt: now - broke,
			confirmed: true, inUse: e.InUse, cleared: e.Cleared,
			lastSent: now, resend: partMaxResend,
		}, now)
		if !e.Cleared && len(q.pending) > 0 {
			q.confirmPending(now, func(p serverEvent) bool { return p.crash == e.Crash })
		}
	}
}

// add adds a strike against a part, or merges it with what is known of it.
func (q *PartQuarantine) add(part uint64, k partStrike, now time.Duration) {
	s := q.suspect(part, now)
	received := k
	if last, ok := q.starts.last(part); ok {
		k.cleared = k.cleared || last > k.brokeAt
		k.inUse = k.inUse || last <= k.brokeAt && k.brokeAt-last <= partInUseWindow
	}
	i := slices.IndexFunc(s.strikes, func(o partStrike) bool { return o.crash == k.crash })
	if i < 0 {
		i = s.insert(k)
		q.changed = true
	} else if s.strikes[i].merge(&k) {
		q.changed = true
	}
	if known := &s.strikes[i]; known.cleared && !received.cleared || known.inUse && !received.inUse {
		known.asked = true
	}
	s.sort()
}

// suspect returns the evidence against a part, which may be empty.
func (q *PartQuarantine) suspect(part uint64, now time.Duration) *partSuspect {
	s := q.suspects[part]
	if s != nil && now-s.lastUpdate() <= PartTTL {
		return s
	}
	makeRoom(q.suspects, maxPartSuspects, PartTTL, now)
	s = &partSuspect{part: part, arrivals: q.arrivals.count(part)}
	q.suspects[part] = s
	q.changed = true
	return s
}

// insert adds a strike and returns its index. If there are too many, it replaces the
// oldest, preferably of those that do not count.
func (s *partSuspect) insert(k partStrike) int {
	if len(s.strikes) < maxPartStrikes {
		s.strikes = append(s.strikes, k)
		return len(s.strikes) - 1
	}
	i := max(0, slices.IndexFunc(s.strikes, func(o partStrike) bool { return !o.counts() }))
	s.strikes[i] = k
	return i
}

func (s *partSuspect) sort() {
	slices.SortFunc(s.strikes, func(a, b partStrike) int {
		return cmp.Or(cmp.Compare(a.brokeAt, b.brokeAt), cmp.Compare(a.crash, b.crash))
	})
}

// merge adds what another observer knows of the same crash and reports whether it
// changes anything.
func (k *partStrike) merge(o *partStrike) bool {
	before := *k
	k.sentAt, k.brokeAt = min(k.sentAt, o.sentAt), min(k.brokeAt, o.brokeAt)
	k.inUse, k.cleared = k.inUse || o.inUse, k.cleared || o.cleared
	if o.confirmed && !k.confirmed {
		k.confirmed, k.lastSent, k.resend = true, o.lastSent, o.resend
	}
	return *k != before
}

// counts reports whether the strike counts against its part.
func (k *partStrike) counts() bool { return k.confirmed && !k.cleared }

// update computes what follows from the strikes if they have changed.
func (q *PartQuarantine) update() {
	if !q.changed {
		return
	}
	q.changed = false
	q.accused = q.accused[:0]
	clear(q.crashes)
	for _, s := range q.suspects {
		s.until = 0
		for i := range s.strikes {
			if k := &s.strikes[i]; !k.cleared {
				q.crashes[k.crash] = q.crashes[k.crash] || k.confirmed
			}
		}
		if s.counting, s.firm = s.count(); s.counting >= partStrikeLimit {
			q.accused = append(q.accused, s)
		}
	}
	q.judge()
}

// judge decides which of the accused parts are quarantined.
func (q *PartQuarantine) judge() {
	if len(q.accused) == 0 {
		return
	}
	for _, s := range q.accused {
		s.until = 0
		s.common = s.arrivals*partCommonShare > q.arrivals.len

	}
	slices.SortFunc(q.accused, compareAccused)
	for i, s := range q.accused {
		if q.exempt(s) || !s.suffices(func(k *partStrike) bool { return !s.explained(k, q.accused[:i]) }) {
			continue
		}
		for i := range s.strikes {
			if k := &s.strikes[i]; k.counts() {
				s.until = max(s.until, k.brokeAt+PartTTL)
			}
		}
	}
}

// compareAccused orders parts such that each can only be explained by earlier ones.
func compareAccused(a, b *partSuspect) int {
	switch {
	case a.common != b.common && b.common:
		return -1
	case a.common != b.common:
		return 1
	case !a.common && a.counting != b.counting:
		return b.counting - a.counting
	}
	return cmp.Or(cmp.Compare(a.arrivals, b.arrivals), cmp.Compare(a.part, b.part))
}

// explained reports whether a crash does not count against the part because one of
// the earlier parts explains it. A common part is innocent of each crash of a rarer
// quarantined one, since most crashes hit some request that carries it. Any part is
// innocent if another one has all its strikes and is rarer, or is quarantined and has
// more.
func (s *partSuspect) explained(k *partStrike, earlier []*partSuspect) bool {
	return slices.ContainsFunc(earlier, func(o *partSuspect) bool {
		rarer, quarantined := o.arrivals < s.arrivals, o.until > 0
		if s.common && rarer && quarantined && o.has(k) {
			return true
		}
		return (rarer && o.firm >= s.firm || quarantined && o.counting > s.counting) && o.hasAll(s)
	})
}

// count returns the number of strikes that count, and of those while the part was not
// in use.
func (s *partSuspect) count() (counting, firm int) {
	for i := range s.strikes {
		if k := &s.strikes[i]; k.counts() {
			counting++
			if !k.inUse {
				firm++
			}
		}
	}
	return counting, firm
}

// has reports whether the crash of k counts against the part.
func (s *partSuspect) has(k *partStrike) bool {
	return slices.ContainsFunc(s.strikes, func(o partStrike) bool { return o.crash == k.crash && o.counts() })
}

// hasAll reports whether all crashes that count against o count against the part.
func (s *partSuspect) hasAll(o *partSuspect) bool {
	for i := range o.strikes {
		if k := &o.strikes[i]; k.counts() && !s.has(k) {
			return false
		}
	}
	return true
}

// suffices reports whether the strikes that count and match are enough to
// quarantine the part.
func (s *partSuspect) suffices(match func(*partStrike) bool) bool {
	return s.successive(func(k *partStrike) bool { return !k.inUse && match(k) }) >= partStrikeLimit ||
		s.successive(match) >= partInUseLimit
}

// successive returns the largest number of matching strikes of which each request
// was sent after the one before was broken off.
func (s *partSuspect) successive(match func(*partStrike) bool) int {
	n, last := 0, time.Duration(0)
	for i := range s.strikes {
		k := &s.strikes[i]
		if k.counts() && match(k) && (n == 0 || k.sentAt >= last+partAgeError) {
			n, last = n+1, k.brokeAt
		}
	}
	return n
}

// exempt reports whether most of the recent arrivals carry the part, so that
// refusing it would be an outage.
func (q *PartQuarantine) exempt(s *partSuspect) bool {
	return q.arrivals.len >= partGuardArrivals && 2*s.arrivals > q.arrivals.len
}

// inUse reports whether a server has recently begun an answer on the part.
func (q *PartQuarantine) inUse(part uint64, now time.Duration) bool {
	last, ok := q.starts.last(part)
	return ok && now-last <= partInUseWindow
}

// Evidence returns the evidence that is due to be sent to all peers. It is called
// periodically. New evidence is due at once, and all evidence that counts is due
// again and again, so that lost datagrams and restarted peers make no difference.
func (q *PartQuarantine) Evidence(now time.Duration) []wire.PartEvidence {
	if len(q.suspects) == 0 {
		return nil
	}
	q.expire(now)
	q.update()
	type dueStrike struct {
		part uint64
		*partStrike
	}
	var due []dueStrike
	for part, s := range q.suspects {
		for i := range s.strikes {
			if k := &s.strikes[i]; k.due(s.until > now, now) {
				due = append(due, dueStrike{part, k})
			}
		}
	}
	slices.SortFunc(due, func(a, b dueStrike) int {
		return cmp.Or(cmp.Compare(a.resend, b.resend), cmp.Compare(a.lastSent, b.lastSent), cmp.Compare(a.part, b.part), cmp.Compare(a.crash, b.crash))
	})
	due = due[:min(len(due), maxPartEvidence)]
	evidence := make([]wire.PartEvidence, 0, len(due))
	for _, d := range due {
		evidence = append(evidence, d.evidence(d.part, now))
		d.lastSent, d.asked = now, false
		d.resend = min(max(2*d.resend, partFirstResend), partMaxResend)
	}
	return evidence
}

// expire removes strikes that were not confirmed, and parts without new strikes.
func (q *PartQuarantine) expire(now time.Duration) {
	for part, s := range q.suspects {
		n := len(s.strikes)
		s.strikes = slices.DeleteFunc(s.strikes, func(k partStrike) bool {
			return !k.confirmed && now-k.brokeAt > partConfirmWindow
		})
		q.changed = q.changed || len(s.strikes) < n
		if len(s.strikes) == 0 || now-s.lastUpdate() > PartTTL {
			delete(q.suspects, part)
			q.changed = true
		}
	}
}

// due reports whether the strike is to be sent. Once the peers are likely to know
// that it is cleared, it is sent only in answer to one that does not.
func (k *partStrike) due(quarantined bool, now time.Duration) bool {
	if !k.confirmed || now-k.brokeAt > PartTTL-partResendMargin {
		return false
	}
	interval := k.resend
	if quarantined {
		interval = min(interval, partQuarantinedResend)
	}
	return k.asked || now >= k.lastSent+interval && (!k.cleared || k.resend < partMaxResend)
}

func (k *partStrike) evidence(part uint64, now time.Duration) wire.PartEvidence {
	return wire.PartEvidence{
		Part: part, Crash: k.crash,
		SentAge: (now - k.sentAt).Milliseconds(), BrokeAge: (now - k.brokeAt).Milliseconds(),
		InUse: k.inUse, Cleared: k.cleared,
	}
}

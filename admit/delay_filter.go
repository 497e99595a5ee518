package admit

import "time"

// Limits of a DelayFilter.
const (
	// maxExtraDelay is the longest delay of an accepted message, beyond the shortest
	// of its sender.
	maxExtraDelay = partAgeError
	// delayWindow is the time after which the shortest delay is measured anew, since
	// clocks drift.
	delayWindow = time.Minute
	// maxDelaySenders is the number of senders kept.
	maxDelaySenders = 1024
)

// DelayFilter detects datagrams that were delayed on their way, so that the ages in
// them are too low. It compares the time between sending and arrival with the
// shortest one of the same sender; their clocks need not agree. The zero value is
// ready to use. The first datagram of a sender is accepted, so senders that have
// little to say send empty ones, too. A DelayFilter is not safe for concurrent use.
type DelayFilter struct {
	senders map[string]delaySender
}

// delaySender is the shortest difference between arrival and sending of one
// incarnation, in the current window and the one before.
type delaySender struct {
	incarnation       int64
	windowStart       time.Duration
	shortest, earlier time.Duration
}

// Accept reports whether a datagram that arrives now was delayed little. sentAt is
// on the clock of the sender's incarnation.
func (f *DelayFilter) Accept(sender string, incarnation int64, sentAt, now time.Duration) bool {
	if f.senders == nil {
		f.senders = make(map[string]delaySender)
	}
	delay := now - sentAt
	s, known := f.senders[sender]
	switch {
	case !known || s.incarnation != incarnation || now-s.windowStart > 2*delayWindow:
		if !known && len(f.senders) >= maxDelaySenders {
			clear(f.senders)
		}
		s = delaySender{incarnation: incarnation, windowStart: now, shortest: delay, earlier: delay}
	case now-s.windowStart > delayWindow:
		s.windowStart, s.earlier, s.shortest = now, s.shortest, delay
	default:
		s.shortest = min(s.shortest, delay)
	}
	f.senders[sender] = s
	return delay <= min(s.shortest, s.earlier)+maxExtraDelay
}

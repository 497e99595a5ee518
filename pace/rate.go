package pace

import (
	"math"
	"time"
)

// arrivalRate is a moving average of arrivals over rateWindow. The zero value has
// none.
type arrivalRate struct {
	rate float64       // arrivals per second at last
	last time.Duration // time of the last arrival
}

// record counts one arrival.
func (r *arrivalRate) record(now time.Duration) {
	since := (now - r.last).Seconds()
	r.last = now
	weight := min(since/rateWindow.Seconds(), 1)
	r.rate = r.rate*(1-weight) + 1/rateWindow.Seconds()
}

// at returns the rate in arrivals per second, which decays while there are none.
func (r *arrivalRate) at(now time.Duration) float64 {
	idle := (now - r.last).Seconds() / rateWindow.Seconds()
	return r.rate / (1 + max(idle-1, 0))
}

// decayingCount counts events and forgets them within about priorityWindow. The zero
// value is empty.
type decayingCount struct {
	count float64       // at last
	last  time.Duration // time of the last event
}

// add counts one event.
func (c *decayingCount) add(now time.Duration) {
	c.count, c.last = c.at(now)+1, now
}

// at returns the events counted and not forgotten.
func (c *decayingCount) at(now time.Duration) float64 {
	return c.count * math.Exp(-(now-c.last).Seconds()/priorityWindow.Seconds())
}

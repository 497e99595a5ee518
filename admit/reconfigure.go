package admit

import "time"

// Reconfigure changes the two bounds of a ColdStart in operation. A lower
// bound holds at once for new requests; a higher one is grown into.
func (c *ColdStart) Reconfigure(cold, warm int) {
	c.cfg.Cold = cold
	c.cfg.Warm = warm
	if c.cold {
		c.limit = min(cold, warm)
		return
	}
	c.limit = min(c.limit, warm)
}

// Settled reports whether it is known what earlier runs of the side left in
// flight; before that nothing is admitted.
func (c *ColdStart) Settled(now time.Duration) bool { return c.settled(now) }

package admit

import "time"

// Reconfigure changes the two bounds of a ColdStart in operation. A lower
// bound holds at once for new requests; a higher one is grown into.
func (c *ColdStart) Reconfigure(cold, warm int) {
	if cold == c.cfg.Cold && warm == c.cfg.Warm {
		return
	}
	grown := c.limit > c.cfg.Cold
	c.cfg.Cold = cold
	c.cfg.Warm = warm
	if grown && (!c.cold || !c.cfg.Reports) {
		c.limit = min(c.limit, warm)
		return
	}
	c.limit = min(cold, warm)
}

// Settled reports whether it is known what earlier runs of the side left in
// flight; before that nothing is admitted.
func (c *ColdStart) Settled(now time.Duration) bool { return c.settled(now) }

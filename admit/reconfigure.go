package admit

import "time"

// Reconfigure changes the two bounds of a ColdStart in operation. A lower
// bound holds at once for new requests; a higher one is grown into.
func (c *ColdStart) Reconfigure(cold, warm int) {
	if cold == c.cfg.ColdLimit && warm == c.cfg.WarmLimit {
		return
	}
	grown := c.limit > c.cfg.ColdLimit
	c.cfg.ColdLimit = cold
	c.cfg.WarmLimit = warm
	if grown && (!c.cold || !c.cfg.ReportsLoad) {
		c.limit = min(c.limit, warm)
		return
	}
	c.limit = min(cold, warm)
}

// Ready reports whether it is known what earlier runs of the side left in
// flight; before that nothing is admitted.
func (c *ColdStart) Ready(now time.Duration) bool { return c.settled(now) }

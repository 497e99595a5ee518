package admit

import "time"

// Reconfigure changes ColdLimit and WarmLimit while requests are running. A
// lower limit applies to new requests at once; towards a higher one the limit
// grows as usual.
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

// Ready reports whether the number of requests that earlier runs of the sidecar
// left in flight is known. Until then Admit refuses every request.
func (c *ColdStart) Ready(now time.Duration) bool { return c.ready(now) }

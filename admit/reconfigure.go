package admit

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

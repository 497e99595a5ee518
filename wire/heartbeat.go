package wire

import "time"

// heartbeatLoop sends a heartbeat every HeartbeatInterval, and closes the
// connection when nothing was received for HeartbeatTimeout.
func (c *Conn) heartbeatLoop(b HeartbeatSource) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		hb := c.newHeartbeat(b)
		if err := c.Send(&hb); err != nil {
			return
		}
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		idle := time.Since(c.opened) - time.Duration(c.lastReceived.Load())
		if idle > HeartbeatTimeout {
			c.Close(ErrHeartbeatTimeout)
			return
		}
	}
}

// SendHeartbeat sends a heartbeat immediately instead of at the next interval, so
// that its content arrives before messages sent later.
func (c *Conn) SendHeartbeat(b HeartbeatSource) {
	hb := c.newHeartbeat(b)
	c.Send(&hb)
}

// newHeartbeat returns the next heartbeat. It reads Echo before it calls b,
// because the receiver assumes that the content of the heartbeat was valid after
// the echoed heartbeat was sent, even if this process was paused in between.
func (c *Conn) newHeartbeat(b HeartbeatSource) Heartbeat {
	echo := c.peerSeq.Load()
	hb := b.NextHeartbeat(c)
	hb.Echo = echo
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heartbeatSeq++
	hb.Seq = c.heartbeatSeq
	c.sentAt[hb.Seq] = time.Now()
	if hb.Seq > maxSentTimes {
		delete(c.sentAt, hb.Seq-maxSentTimes)
	}
	return hb
}

// EchoSent returns the time at which this end sent the heartbeat that hb echoes;
// hb itself was sent later. It returns the zero time if hb echoes none, or one
// older than the last maxSentTimes. Unlike an age, the time stays valid if the
// process is paused before using it.
func (c *Conn) EchoSent(hb *Heartbeat) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentAt[hb.Echo]
}

// EchoAge returns the time elapsed since EchoSent, an upper bound on the age of
// hb. ok is false if EchoSent returns the zero time.
func (c *Conn) EchoAge(hb *Heartbeat) (age time.Duration, ok bool) {
	at := c.EchoSent(hb)
	return time.Since(at), !at.IsZero()
}

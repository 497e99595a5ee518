package wire

import "time"

// beat sends heartbeats and closes the connection when the peer is silent.
func (c *Conn) beat(b HeartbeatSource) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		hb := c.nextBeat(b)
		if err := c.Send(&hb); err != nil {
			return
		}
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		silent := time.Since(c.opened) - time.Duration(c.lastIn.Load())
		if silent > HeartbeatTimeout {
			c.Close(ErrHeartbeatTimeout)
			return
		}
	}
}

// SendHeartbeat sends a heartbeat out of turn, so that what it carries arrives
// before the messages that are sent after it.
func (c *Conn) SendHeartbeat(b HeartbeatSource) {
	hb := c.nextBeat(b)
	c.Send(&hb)
}

// nextBeat makes a heartbeat. Echo is read before b is asked: the receiver
// takes it that what the heartbeat says was true after Echo was sent, also
// when this process is paused in between.
func (c *Conn) nextBeat(b HeartbeatSource) Heartbeat {
	echo := c.lastSeq.Load()
	hb := b.NextHeartbeat(c)
	hb.Echo = echo
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	hb.Seq = c.seq
	c.sent[hb.Seq] = time.Now()
	if hb.Seq > keptEchoes {
		delete(c.sent, hb.Seq-keptEchoes)
	}
	return hb
}

// EchoSent returns when the heartbeat that hb answers was sent: hb itself was
// sent later. It is zero when hb answers none. Being a time and no age, it
// stays true when the process is paused before it is used.
func (c *Conn) EchoSent(hb *Heartbeat) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[hb.Echo]
}

// EchoAge returns how long ago EchoSent was: an upper bound on the age of hb.
// ok is false when hb answers none.
func (c *Conn) EchoAge(hb *Heartbeat) (age time.Duration, ok bool) {
	at := c.EchoSent(hb)
	return time.Since(at), !at.IsZero()
}

package entry

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"marjorampitch/wire"
)

// A sidecar that dies together with its backend server cannot report the requests
// that were in flight; only the front proxies observe them. A lost connection that
// is not re-established within reconnectTimeout therefore counts as a crash of the
// backend server, attributed to the requests on the connection. The cause may be a
// network partition instead, so a crash during a trial, which leads to refusal of
// the request, is recorded as such only after the sidecar has returned as another
// incarnation.

// crashID returns the id of the crash that ended an incarnation of a sidecar. It
// is the same on all front proxies.
func crashID(side, incarnation string) uint64 {
	return xxhash.Sum64String(side + "/" + incarnation + "/gone")
}

// recordLoss records a crash after awaitReconnect has failed. If that was because ctx
// is done, reconnectTimeout may not be over, and recordLoss waits in the background.
func (l *link) recordLoss(ctx context.Context, old *wire.Conn, c *call) {
	if ctx.Err() == nil {
		l.recordCrash(old, c)
		return
	}
	go func() {
		if !l.awaitReconnect(context.WithoutCancel(ctx), old) {
			l.recordCrash(old, c)
		}
	}()
}

// recordCrash records that the sidecar at the other end of old was lost with the
// request c in flight. If c ran alone, the link also keeps it as a trial.
func (l *link) recordCrash(old *wire.Conn, c *call) {
	incarnation := old.Peer().Incarnation
	l.node.Quarantine().RecordCrash(crashID(l.name, incarnation), []uint64{c.fingerprint}, false)
	if !c.alone {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trial = trial{incarnation: incarnation, fingerprint: c.fingerprint}
}

// trial is a request that ran alone when its sidecar was lost.
type trial struct {
	incarnation string // of the sidecar that was lost; empty for no trial
	fingerprint uint64
}

// resolveTrial records the crash of a trial if the sidecar has returned, on c, as
// an incarnation other than the one that was lost. It clears the trial.
func (l *link) resolveTrial(c *wire.Conn) {
	l.mu.Lock()
	t := l.trial
	l.trial = trial{}
	l.mu.Unlock()
	if t.incarnation == "" || t.incarnation == c.Peer().Incarnation {
		return
	}
	l.node.Quarantine().RecordCrash(crashID(l.name, t.incarnation), []uint64{t.fingerprint}, true)
}

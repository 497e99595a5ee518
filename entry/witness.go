package entry

import (
	"github.com/cespare/xxhash/v2"

	"marjorampitch/wire"
)

// A side process that dies together with its backend server cannot say what
// was in flight: the entries are the only witnesses. A lost connection that
// does not come back soon counts as a crash of the requests on it. That may be
// a cut network, so a request that ran alone is not condemned by it until the
// side process is back as another incarnation.

// crashID identifies the end of one incarnation of a side process; all
// entries give it the same.
func crashID(side, incarnation string) uint64 {
	return xxhash.Sum64String(side + "/" + incarnation + "/gone")
}

// witness records that the side process behind old is gone with a request in flight.
func (l *link) witness(old *wire.Conn, c *call) {
	incarnation := old.Peer().Incarnation
	l.node.Suspicion().Crash(crashID(l.name, incarnation), []uint64{c.fingerprint}, false)
	if !c.alone {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trial = trial{incarnation: incarnation, fingerprint: c.fingerprint}
}

// trial is a request that ran alone when its side process was lost.
type trial struct {
	incarnation string // of the side process; empty for none
	fingerprint uint64
}

// judgeTrial condemns the request of a trial when the side process has
// returned as another incarnation than the one that was lost.
func (l *link) judgeTrial(c *wire.Conn) {
	l.mu.Lock()
	t := l.trial
	l.trial = trial{}
	l.mu.Unlock()
	if t.incarnation == "" || t.incarnation == c.Peer().Incarnation {
		return
	}
	l.node.Suspicion().Crash(crashID(l.name, t.incarnation), []uint64{t.fingerprint}, true)
}

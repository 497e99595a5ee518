package rebalance

import (
	"time"

	"marjorampitch/remap"
	"marjorampitch/wire"
)

// Settings of the announcements of slow engines.
const (
	// announcedSlowness is the factor from which an engine counts as slow.
	announcedSlowness = 1.05
	// announcedRatio is the ratio of an engine's slowness to the one last announced, or
	// its inverse, from which gateways are told.
	announcedRatio = 1.15
	// slowStateInterval is the time between notifications of gateways while the engine is
	// slow. They are sent as datagrams, which may be lost.
	slowStateInterval = 400 * time.Millisecond
)

// stateAnnouncer decides when gateways are told of the state of a group and of how slow
// the rank's engine is. Its zero value has announced nothing.
type stateAnnouncer struct {
	sent   wire.GroupState
	sentAt time.Duration
}

// due reports whether to announce a state, and records that it is announced.
func (a *stateAnnouncer) due(s wire.GroupState, now time.Duration) bool {
	since := now - a.sentAt
	switch {
	case a.changed(s), s.Slowness > 0 && slownessDiffers(a.sent.Slowness, s.Slowness):
	case !s.Open && since >= closedStateInterval:
	case s.Slowness >= announcedSlowness && since >= slowStateInterval:
	default:
		return false
	}
	a.sent, a.sentAt = s, now
	return true
}

// changed reports whether a state differs from the one announced last in more than the
// engine's slowness.
func (a *stateAnnouncer) changed(s wire.GroupState) bool {
	return s.Group != a.sent.Group || s.Epoch != a.sent.Epoch || s.Open != a.sent.Open || s.Engine != a.sent.Engine
}

// next returns the message that announces a state, if it is due. That only the slowness
// of an engine is announced says nothing of its group, and must not open it to requests
// after another rank has announced that it is closed: the message names no group.
func (a *stateAnnouncer) next(s wire.GroupState, now time.Duration) (message wire.GroupState, ok bool) {
	changed := a.changed(s)
	if !a.due(s, now) {
		return message, false
	}
	if s.Open && !changed {
		s.Group, s.Epoch = "", 0
	}
	return s, true
}

// slownessDiffers reports whether gateways that know one factor are to be told of the
// other. The end of slowness is always a difference.
func slownessDiffers(known, present float32) bool {
	if (known >= announcedSlowness) != (present >= announcedSlowness) {
		return true
	}
	return present > known*announcedRatio || known > present*announcedRatio
}

// announceState tells all gateways of the state of the group when it changes, and at
// intervals while the group is closed, or the engine slow. Gateways admit no requests to
// a closed group, and send fewer to a slow engine. reached means that the engine has just
// stated e.
func (p *Process) announceState(e *remap.EngineState, reached bool) {
	state := wire.GroupState{Group: e.Group, Epoch: e.Epoch, Open: e.Open, Engine: p.opts.EngineAddress}
	if reached {
		state.Slowness = float32(max(e.Slowness, 1))
	}
	state, due := p.announcer.next(state, p.now())
	if !due {
		return
	}
	data, err := state.MarshalMsg([]byte{wire.KindGroupState})
	if err != nil {
		p.opts.Log.Error("state-not-encoded", "err", err)
		return
	}
	for _, entry := range p.opts.Directory.Entries() {
		if entry.Role == wire.RoleGateway {
			p.sendTo(data, &entry)
		}
	}
}

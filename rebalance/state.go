package rebalance

import (
	"marjorampitch/remap"
	"marjorampitch/wire"
)

// announceState sends the state of the group to all gateways when it changes, and
// every closedStateInterval while the group is closed. Gateways admit no requests
// to a closed group.
func (p *Process) announceState(e *remap.EngineState) {
	now := p.now()
	state := wire.GroupState{Group: e.Group, Epoch: e.Epoch, Open: e.Open}
	changed := state != p.sentState
	if !changed && (e.Open || now-p.sentStateAt < closedStateInterval) {
		return
	}
	p.sentState, p.sentStateAt = state, now
	data, err := state.MarshalMsg([]byte{wire.KindGroupState})
	if err != nil {
		p.opts.Log.Error("state-not-encoded", "err", err)
		return
	}
	for _, entry := range p.opts.Directory.Entries() {
		if entry.Role == wire.RoleGateway {
			p.sendTo(data, entry.Address)
		}
	}
}

package rebalance

import (
	"marjorampitch/remap"
	"marjorampitch/wire"
)

// announceState tells the gateways when the group opens, and again and again
// while it is not open: they hold back requests that could not run.
func (p *Process) announceState(e *remap.EngineState) {
	now := p.now()
	state := wire.GroupState{Group: e.Group, Epoch: e.Epoch, Open: e.Open}
	changed := state != p.state
	if !changed && (e.Open || now-p.stateAt < closedEvery) {
		return
	}
	p.state, p.stateAt = state, now
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

package rebalance

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"marjorampitch/placement/spread"
	"marjorampitch/remap"
	"marjorampitch/store"
	"marjorampitch/wire"
)

// claimTopic begins the name of the log of a group's coordinators. The offset
// of a claim is its term.
const claimTopic = "coordinators."

// handle takes a datagram: a goal of a coordinator, or a report of a rank.
func (p *Process) handle(ctx context.Context, d datagram) {
	if len(d.data) == 0 {
		return
	}
	body := d.data[1:]
	switch d.data[0] {
	case wire.KindMapGoal:
		var g wire.MapGoal
		if _, err := g.UnmarshalMsg(body); err != nil {
			p.opts.Log.Warn("datagram-refused", "from", d.from, "err", err)
			return
		}
		p.goal(ctx, g, d.from)
	case wire.KindRankReport:
		var r wire.RankReport
		if _, err := r.UnmarshalMsg(body); err != nil {
			p.opts.Log.Warn("datagram-refused", "from", d.from, "err", err)
			return
		}
		if s := p.standins[r.Rank]; s != nil {
			s.cancel()
			delete(p.standins, r.Rank)
		}
		p.reportOf(ctx, r)
	}
}

// goal obeys a coordinator in office.
func (p *Process) goal(ctx context.Context, g wire.MapGoal, from *net.UDPAddr) {
	e, ok := p.rank.EngineState()
	if !ok || g.Group != e.Group {
		return
	}
	before := p.rank.Term()
	fresh := g.Term > before || g.Seq > p.rank.Seq() || g.Final
	if !p.rank.SetGoal(g) {
		return
	}
	p.heard, p.leader = p.now(), from
	if p.coord != nil && g.Term > p.coord.Term() {
		p.opts.Log.Info("coordinator-superseded", "term", p.coord.Term(), "by", g.Term)
		p.coord = nil
		p.seen.coordinator(false, 0, 0)
	}
	switch {
	case fresh:
		if p.observe(ctx) {
			p.drive(ctx)
		}
	case p.rank.Active(): // asked once more: an answer may have been lost
		r := p.rank.Report()
		p.send(&r)
	}
}

// reportOf takes a rank's word as the coordinator.
func (p *Process) reportOf(ctx context.Context, r wire.RankReport) {
	if p.coord == nil {
		return
	}
	p.coord.HandleReport(r, p.now())
	if p.final && r.Rank == r.Deputy && r.Gave == p.coord.Goal().Version && !p.observe(ctx) { // the own rank was armed
		return
	}
	if shape, ok := p.mapShape(); ok && len(r.Demand) == shape.Sets {
		p.learn(shape.Shape, r.Demand)
	}
	if p.coord.Phase() != remap.Idle && p.coord.Phase() != remap.Preparing || len(r.Demand) == 0 {
		p.drive(ctx)
	}
}

// lead folds the estimate of demand and proposes a better map.
func (p *Process) lead(shape MapConfig) {
	now := p.now()
	if p.demand == nil || now-p.folded < foldEvery {
		return
	}
	p.folded = now
	p.demand.EndRound()
	current, known := p.coord.Current()
	if !known || !p.coord.Ready(now) {
		return
	}
	loads, shifted, ok := p.demand.Loads(current)
	if !ok {
		return
	}
	before := spread.Cost(shape.Shape, loads, current)
	p.seen.skew.Set(before / float64(shape.Sets))
	if !shifted && p.futile.at > 0 && before < planRise*p.futile.cost && now-p.futile.at < planAgain {
		return
	}
	plan, after, ok := spread.Improve(shape.Shape, loads, current, limits(shape))
	if !ok {
		p.futile.cost, p.futile.at = before, now
		return
	}
	p.futile.at = 0
	p.opts.Log.Info("map-proposed", "cost_now", before, "cost_planned", after, "replicas", len(plan), "shifted", shifted)
	p.coord.Propose(plan, now)
}

// limits are what a plan may copy, and must gain.
func limits(s MapConfig) spread.Limits {
	copies := 1
	if s.CopyTime > 0 {
		copies = max(1, int(copyTime/s.CopyTime))
	}
	each := s.CopyTime.Seconds()
	return spread.Limits{CopiesPerRank: copies, SpareSlots: s.Spare, MinGainPerCopy: minCopyGain * each, SwitchCost: switchGain, CopyCost: copyGain * each}
}

// spreadGoal tells all ranks what the coordinator wants.
func (p *Process) spreadGoal() {
	if p.coord == nil {
		return
	}
	g := p.coord.Goal()
	now := p.now()
	if phase := p.coord.Phase(); phase != p.phase {
		p.phase = phase
		p.seen.coordinator(true, p.coord.Switched-p.counted.switched, p.coord.Abandoned-p.counted.abandoned)
		p.counted.switched, p.counted.abandoned = p.coord.Switched, p.coord.Abandoned
		p.opts.Log.Info("coordinator", "phase", phase, "term", g.Term, "seq", g.Seq, "version", g.Version, "step", g.Step,
			"switched", p.coord.Switched, "abandoned", p.coord.Abandoned)
	}
	every := goalAgain
	switch p.coord.Phase() {
	case remap.Idle:
		every = goalEvery
	case remap.Preparing:
		every = prepareAsk
	}
	if g.Seq == p.goalSeq && g.Final == p.final && now-p.goalAt < every {
		return
	}
	p.goalSeq, p.final, p.goalAt, p.heard = g.Seq, g.Final, now, now
	word := p.coord.Heartbeat()
	full, err := g.MarshalMsg([]byte{wire.KindMapGoal})
	if err == nil && len(g.Replicas) == 0 {
		word = g
	}
	short, err2 := word.MarshalMsg([]byte{wire.KindMapGoal})
	if err := errors.Join(err, err2); err != nil {
		p.opts.Log.Error("goal-not-encoded", "err", err)
		return
	}
	e, _ := p.rank.EngineState()
	for name, entry := range p.opts.Directory.Entries() {
		if entry.Group != e.Group || name == p.opts.Instance {
			continue
		}
		if p.coord.HasAnswered(entry.Rank) {
			p.sendTo(short, entry.Address)
		} else {
			p.sendTo(full, entry.Address)
		}
	}
	if p.rank.SetGoal(g) {
		p.coord.HandleReport(p.rank.Report(), now)
	}
}

// tell reports the own rank to the coordinator when something changed.
func (p *Process) tell() {
	r := p.rank.Report()
	if p.coord != nil {
		p.coord.HandleReport(r, p.now())
		return
	}
	quiet := r
	quiet.Step, quiet.Running = p.told.Step, p.told.Running
	quiet.Demand, p.told.Demand = nil, nil
	if same(quiet, p.told) && p.now()-p.toldAt < reportAt {
		return
	}
	p.send(&r)
}

// same compares two reports without demand.
func same(a, b wire.RankReport) bool {
	a.Demand, b.Demand = nil, nil
	return a.Group == b.Group && a.Rank == b.Rank && a.Term == b.Term && a.Seq == b.Seq && a.Epoch == b.Epoch &&
		a.Open == b.Open && a.Step == b.Step && a.Map == b.Map && a.Prepared == b.Prepared && a.Armed == b.Armed &&
		a.ArmedAt == b.ArmedAt && a.Held == b.Held && a.Refused == b.Refused && a.Running == b.Running && a.Gave == b.Gave
}

// send sends a report to the coordinator.
func (p *Process) send(r *wire.RankReport) {
	if p.leader == nil {
		return
	}
	data, err := r.MarshalMsg([]byte{wire.KindRankReport})
	if err != nil {
		p.opts.Log.Error("report-not-encoded", "err", err)
		return
	}
	p.told, p.toldAt = *r, p.now()
	p.told.Demand = nil
	p.conn.WriteToUDP(data, p.leader) //nolint:errcheck // sent again at the next change or after reportAt
}

func (p *Process) sendTo(data []byte, address string) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return // an entry that cannot be read was logged by the directory
	}
	p.conn.WriteToUDP(data, addr) //nolint:errcheck // goals are sent again
}

// seekOffice claims the group when no coordinator has been heard of.
func (p *Process) seekOffice(ctx context.Context) {
	e, ok := p.rank.EngineState()
	if !ok || !e.Open || e.Size < 2 || p.coord != nil || p.claiming {
		return
	}
	wait := patience
	if p.rank.Active() {
		wait = activePatience
	}
	if p.now()-p.heard < wait+rankPatience*time.Duration(e.Rank) {
		return
	}
	p.claiming = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		term, err := claimOffice(ctx, p.opts.Store, claimTopic+e.Group, []byte(p.opts.Instance))
		p.claimed <- claim{term, err}
	}()
}

// claimOffice appends a claim at the end of the group's log; its offset is the
// term. When another claim comes first, that one is given its chance.
func claimOffice(ctx context.Context, s store.Log, topic string, name []byte) (int64, error) {
	end, err := s.AppendAt(ctx, topic, 0, name)
	if errors.Is(err, store.ErrMoved) {
		_, err = s.AppendAt(ctx, topic, end, name)
	} else {
		end = 0
	}
	if err != nil {
		return 0, eris.Wrap(err, "claim")
	}
	return end, nil
}

// elected takes the outcome of a claim.
func (p *Process) elected(c claim) {
	p.claiming = false
	p.heard = p.now()
	if c.err != nil {
		p.opts.Log.Warn("claim-failed", "err", c.err)
		return
	}
	e, ok := p.rank.EngineState()
	if !ok || c.term <= p.rank.Term() {
		return
	}
	p.opts.Log.Info("coordinator-elected", "group", e.Group, "term", c.term)
	p.coord = remap.NewCoordinator(c.term, e, p.now())
	p.phase = remap.Sealing
	p.seen.coordinator(true, 0, 0)
	p.counted.switched, p.counted.abandoned = 0, 0
	p.goalSeq = 0
	p.demand = nil
}

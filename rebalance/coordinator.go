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

// handleDatagram decodes and handles a datagram: a coordinator's goal or a rank's
// report. A report stops the substitute of its rank's process.
func (p *Process) handleDatagram(ctx context.Context, d datagram) {
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
		p.handleGoal(ctx, g, d.from)
	case wire.KindRankReport:
		var r wire.RankReport
		if _, err := r.UnmarshalMsg(body); err != nil {
			p.opts.Log.Warn("datagram-refused", "from", d.from, "err", err)
			return
		}
		if substitute := p.substitutes[r.Rank]; substitute != nil {
			substitute.cancel()
			delete(p.substitutes, r.Rank)
		}
		p.handleReport(ctx, r)
	}
}

// handleGoal handles a goal, unless its term is outdated.
func (p *Process) handleGoal(ctx context.Context, g wire.MapGoal, from *net.UDPAddr) {
	e, ok := p.driver.EngineState()
	if !ok || g.Group != e.Group {
		return
	}
	term := p.driver.Term()
	isNew := g.Term > term || g.Seq > p.driver.Seq() || g.Final
	if !p.driver.SetGoal(g) {
		return
	}
	p.coordSeenAt, p.coordAddr = p.now(), from
	if g.Shape.Sets > 0 {
		p.goalShape = g.Shape
	}
	if p.coord != nil && g.Term > p.coord.Term() {
		p.opts.Log.Info("coordinator-superseded", "term", p.coord.Term(), "by", g.Term)
		p.coord = nil
		p.metrics.setCoordinator(false, 0, 0)
	}
	switch {
	case isNew:
		if p.observeEngine(ctx) {
			p.sendDue(ctx)
		}
	case p.driver.Active(): // a repeated goal: the report may have been lost
		r := p.driver.Report()
		p.sendReport(&r)
	}
}

// handleReport passes a rank's report to the coordinator, if it runs here.
func (p *Process) handleReport(ctx context.Context, r wire.RankReport) {
	if p.coord == nil {
		return
	}
	p.coord.HandleReport(r, p.now())
	if p.sentFinal && r.Rank == r.Delegate && r.DelegateVersion == p.coord.Goal().Version && !p.observeEngine(ctx) {
		// The delegate may have armed the engine of this process. Only that engine
		// shows whether it is armed, so the next step waits until it can be read.
		return
	}
	if config, ok := p.mapConfig(); ok && len(r.Demand) == config.Sets {
		p.addDemand(config.Shape, r.Demand)
	}
	// While Idle or Preparing, reports with expert counts arrive at every pass; poll
	// does the work that is due after them.
	if p.coord.Phase() != remap.Idle && p.coord.Phase() != remap.Preparing || len(r.Demand) == 0 {
		p.sendDue(ctx)
	}
}

// proposeMap updates the demand estimate and proposes a better map, if the
// coordinator is ready and a plan with sufficient gain exists.
func (p *Process) proposeMap(config MapConfig) {
	now := p.now()
	if p.stopping || p.demand == nil || now-p.demandUpdatedAt < demandInterval {
		return
	}
	p.demandUpdatedAt = now
	p.demand.EndRound()
	p.observeSlowness(config.Ranks, now)
	current, known := p.coord.Current()
	if !known || !p.coord.Ready(now) {
		return
	}
	loads, shifted, ok := p.demand.Loads(current)
	if !ok {
		return
	}
	limits := planLimits(config)
	limits.Slowness = p.slowRanks.Factors()
	currentCost := spread.WeightedCost(config.Shape, loads, current, limits.Slowness)
	p.metrics.skew.Set(currentCost / float64(config.Sets))
	if !shifted && p.noPlan.at > 0 && currentCost < replanCostRatio*p.noPlan.cost && now-p.noPlan.at < replanInterval {
		return
	}
	plan, plannedCost, ok := spread.Improve(config.Shape, loads, current, limits)
	if !ok {
		p.noPlan.cost, p.noPlan.at = currentCost, now
		return
	}
	p.noPlan.at = 0
	p.opts.Log.Info("map-proposed", "cost_now", currentCost, "cost_planned", plannedCost, "replicas", len(plan), "shifted", shifted, "slowness", limits.Slowness)
	p.coord.Propose(plan, now)
}

// observeSlowness records what the ranks state about their slowness.
func (p *Process) observeSlowness(ranks int, now time.Duration) {
	if p.slowRanks == nil || p.slowRanks.Ranks() != ranks {
		p.slowRanks = spread.NewSlowRanks(ranks)
	}
	for rank := range ranks {
		p.slowRanks.Observe(rank, p.coord.Slowness(rank, now), now)
	}
}

// planLimits returns the limits on the copies of a plan and the gain it must
// have.
func planLimits(config MapConfig) spread.Limits {
	copies := 1
	if config.CopyTime > 0 {
		copies = max(1, int(maxCopyTime/config.CopyTime))
	}
	copySeconds := config.CopyTime.Seconds()
	return spread.Limits{CopiesPerRank: copies, SpareSlots: config.Spare, MinGainPerCopy: minCopyGainPerSecond * copySeconds, SwitchCost: switchGain, CopyCost: copyGainPerSecond * copySeconds}
}

// sendGoal sends the goal to all ranks if it is new or due again. Processes that
// have it get a heartbeat, which is shorter.
func (p *Process) sendGoal() {
	if p.coord == nil {
		return
	}
	g := p.coord.Goal()
	if stagePrepares(&g) {
		shape := p.mapShape()
		g.Shape = wire.MapShape{Sets: shape.Sets, Experts: shape.Experts, Slots: shape.Slots}
	}
	now := p.now()
	if phase := p.coord.Phase(); phase != p.loggedPhase {
		p.loggedPhase = phase
		p.metrics.setCoordinator(true, p.coord.Switched-p.recorded.switched, p.coord.Abandoned-p.recorded.abandoned)
		p.recorded.switched, p.recorded.abandoned = p.coord.Switched, p.coord.Abandoned
		p.opts.Log.Info("coordinator", "phase", phase, "term", g.Term, "seq", g.Seq, "version", g.Version, "step", g.Step,
			"switched", p.coord.Switched, "abandoned", p.coord.Abandoned)
	}
	interval := activeGoalInterval
	switch p.coord.Phase() {
	case remap.Idle:
		interval = idleGoalInterval
	case remap.Preparing:
		interval = prepareGoalInterval
	case remap.Confirming:
		interval = confirmGoalInterval
	}
	if g.Seq == p.sentGoalSeq && g.Final == p.sentFinal && now-p.sentGoalAt < interval {
		p.sendMaps(&g, interval, now)
		return
	}
	p.sentGoalSeq, p.sentFinal, p.sentGoalAt, p.coordSeenAt = g.Seq, g.Final, now, now
	p.sendToRanks(&g)
	p.sendMaps(&g, interval, now)
	if p.driver.SetGoal(g) {
		p.coord.HandleReport(p.driver.Report(), now)
	}
}

// stagePrepares reports whether ranks prepare a map for a goal.
func stagePrepares(g *wire.MapGoal) bool {
	s := remap.Stage(g.Stage)
	return s == remap.Prepare || s == remap.Cancel
}

// sendToRanks sends a goal without a map to all ranks, or a heartbeat to those that have
// one with a map: sendMaps sends it to the others.
func (p *Process) sendToRanks(g *wire.MapGoal) {
	heartbeat := p.coord.Heartbeat()
	short := len(g.Replicas) == 0
	if short {
		heartbeat = *g
	}
	heartbeatData, err := heartbeat.MarshalMsg([]byte{wire.KindMapGoal})
	if err != nil {
		p.opts.Log.Error("goal-not-encoded", "err", err)
		return
	}
	for _, entry := range p.otherRanks() {
		if short || p.coord.KnowsGoal(entry.Rank) {
			p.sendTo(heartbeatData, &entry)
		}
	}
}

// sendMaps sends a goal with its map to those ranks that do not have it, as far as the
// link has room. A rank that does not answer gets it again after interval, and the
// time that all maps need on the link.
func (p *Process) sendMaps(g *wire.MapGoal, interval, now time.Duration) {
	if len(g.Replicas) == 0 {
		return
	}
	var data []byte
	ranks := p.otherRanks()
	for _, entry := range ranks {
		if p.coord.KnowsGoal(entry.Rank) {
			continue
		}
		if data == nil {
			var err error
			if data, err = g.MarshalMsg([]byte{wire.KindMapGoal}); err != nil {
				p.opts.Log.Error("goal-not-encoded", "err", err)
				return
			}
		}
		if p.maps.take(g.Seq, entry.Rank, len(data), interval+p.maps.time(len(ranks)*len(data)), now) {
			p.sendTo(data, &entry)
		}
	}
}

// otherRanks returns the directory entries of the group's other ranks.
func (p *Process) otherRanks() []wire.Instance {
	e, _ := p.driver.EngineState()
	var list []wire.Instance
	for name, entry := range p.opts.Directory.Entries() {
		if entry.Group == e.Group && name != p.opts.Instance {
			list = append(list, entry)
		}
	}
	return list
}

// reportRank reports this process's rank to the coordinator if rankReportInterval
// has passed, or if a field other than Step, Running and Demand has changed.
func (p *Process) reportRank() {
	r := p.driver.Report()
	if p.coord != nil {
		p.coord.HandleReport(r, p.now())
		return
	}
	compared := r
	compared.Step, compared.Running = p.sentReport.Step, p.sentReport.Running
	if sameReport(compared, p.sentReport) && p.now()-p.sentReportAt < rankReportInterval {
		return
	}
	p.sendReport(&r)
}

// sameReport reports whether two reports agree in all fields except Demand.
func sameReport(a, b wire.RankReport) bool {
	return a.Group == b.Group && a.Rank == b.Rank && a.Term == b.Term && a.Seq == b.Seq && a.Epoch == b.Epoch &&
		a.Open == b.Open && a.Step == b.Step && a.Map == b.Map && a.Prepared == b.Prepared && a.Armed == b.Armed &&
		a.ArmedAt == b.ArmedAt && a.Held == b.Held && a.Refused == b.Refused && a.Running == b.Running && a.Slowness == b.Slowness &&
		a.Accepted == b.Accepted && a.Last == b.Last && a.Delegate == b.Delegate && a.DelegateVersion == b.DelegateVersion
}

// sendReport sends a report to the coordinator.
func (p *Process) sendReport(r *wire.RankReport) {
	if p.coordAddr == nil || p.stopping && p.driver.Confirms() {
		return // it may not be there any more when the rank is to be armed
	}
	data, err := r.MarshalMsg([]byte{wire.KindRankReport})
	if err != nil {
		p.opts.Log.Error("report-not-encoded", "err", err)
		return
	}
	p.sentReport, p.sentReportAt = *r, p.now()
	p.sentReport.Demand = nil
	p.conn.WriteToUDP(data, p.coordAddr) //nolint:errcheck // sent again at the next change or after rankReportInterval
}

// sendTo sends a datagram to another process.
func (p *Process) sendTo(data []byte, entry *wire.Instance) {
	addr, err := entry.UDPAddr()
	if err != nil {
		return // entry without a valid address
	}
	p.conn.WriteToUDP(data, addr) //nolint:errcheck // goals are sent again
}

// claimIfNoCoordinator starts a claim if no goal was received for longer than the
// coordinator timeout.
func (p *Process) claimIfNoCoordinator(ctx context.Context) {
	e, ok := p.driver.EngineState()
	if !ok || !e.Open || e.Size < 2 || p.coord != nil || p.claiming || p.stopping {
		return
	}
	if _, configured := p.mapConfig(); !configured {
		return // it could neither plan a map nor cancel a switch
	}
	if p.now()-p.coordSeenAt < p.silenceTimeout()+claimStagger*time.Duration(e.Rank) {
		return
	}
	p.claiming = true
	expected := p.expectedClaimEnd()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		p.claimResults <- appendClaim(ctx, p.opts.Store, claimTopicPrefix+e.Group, []byte(p.opts.Instance), expected)
	}()
}

// silenceTimeout returns the time without a goal after which the coordinator counts as lost.
func (p *Process) silenceTimeout() time.Duration {
	switch {
	case p.driver.Prepares():
		return preparingCoordinatorTimeout
	case p.driver.Active():
		return activeCoordinatorTimeout
	}
	return coordinatorTimeout
}

// expectedClaimEnd returns the position at which the group's topic ends if this process
// knows of every claim; store.NoPosition if it cannot tell: it knows of none, or does not
// know whether its own last one took effect.
func (p *Process) expectedClaimEnd() store.Position {
	term := p.driver.Term()
	switch {
	case p.claimUnanswered:
		return store.NoPosition
	case term == remap.None:
		return p.claimEnd
	}
	after := claimPosition(term)
	after.Offset++
	if p.claimEnd.Before(after) {
		return after
	}
	return p.claimEnd
}

// appendClaim appends a claim to a group's topic at the offset of expected. It fails with
// store.ErrOffsetMismatch if another claim is there, whose coordinator has not been
// heard yet. If expected is store.NoPosition, it appends the claim at the end of the topic,
// and fails only if another one is appended meanwhile. The term is that of the era in which
// the claim was appended: where expected is of an earlier one, its offset is one of many.
func appendClaim(ctx context.Context, s store.Log, topic string, name []byte, expected store.Position) claimResult {
	at := max(expected.Offset, 0) // offset 0 fails on a topic that is not empty
	end, err := s.AppendAt(ctx, topic, at, name)
	if expected == store.NoPosition && errors.Is(err, store.ErrOffsetMismatch) {
		at = end.Offset
		end, err = s.AppendAt(ctx, topic, at, name)
	}
	if err != nil {
		return claimResult{end: end, err: eris.Wrapf(err, "append claim to %s", topic)}
	}
	term, err := claimTerm(store.Position{Era: end.Era, Offset: at})
	return claimResult{term: term, err: err}
}

// handleClaimResult makes this process the coordinator if its claim succeeded and
// no higher term was received.
func (p *Process) handleClaimResult(c claimResult) {
	p.claiming = false
	p.coordSeenAt = p.now()
	p.claimUnanswered = false
	if errors.Is(c.err, store.ErrOffsetMismatch) {
		p.claimEnd = c.end
		p.opts.Log.Info("claim-late", "end", c.end.Offset, "era", c.end.Era, "err", c.err)
		return
	}
	if c.err != nil {
		p.claimUnanswered = true
		p.opts.Log.Warn("claim-failed", "err", c.err)
		return
	}
	e, ok := p.driver.EngineState()
	if !ok || c.term <= p.driver.Term() {
		return
	}
	claim := claimPosition(c.term)
	p.opts.Log.Info("coordinator-elected", "group", e.Group, "term", c.term, "era", claim.Era, "offset", claim.Offset)
	p.coord = remap.NewCoordinator(c.term, e, p.now())
	p.loggedPhase = remap.Sealing
	p.metrics.setCoordinator(true, 0, 0)
	p.recorded.switched, p.recorded.abandoned = 0, 0
	p.unreadyLoggedAt = p.now()
	p.sentGoalSeq = 0
	p.demand, p.slowRanks = nil, nil
}

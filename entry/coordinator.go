package entry

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/group"
	"marjorampitch/logfold"
	"marjorampitch/placement"
	"marjorampitch/placement/pack"
	"marjorampitch/wire"
)

// Intervals and limits of a coordinator.
const (
	coordinatorTick     = 100 * time.Millisecond // interval at which unanswered orders are resent and idle ranks are polled
	claimInterval       = 500 * time.Millisecond // minimum time between two claims of one group
	reclaimDelay        = 2 * time.Second        // a superseded coordinator claims the group again after this time
	assumedStepDuration = 5 * time.Millisecond   // duration of an engine step, used to choose the step of a map switch
	mapResendInterval   = 2 * time.Second        // minimum time between two copies of the same map order
	ackBacklogPerRank   = 4                      // buffered acks; an ack that does not fit is dropped, and its order is resent
)

// groupSpec is the desired state of a group according to the service configuration.
type groupSpec struct {
	sides   []string // name of the backend server of each rank
	mapData []byte   // encoded initial map
	mapHash string
}

// sentMap identifies the last order with a map that was sent to a rank.
type sentMap struct {
	fence int64
	seq   uint64
	at    time.Time
}

// coordinator runs the state machine that switches the expert maps of one group.
// All fields except acks and spec are used only by the goroutine in run, once it
// has started.
type coordinator struct {
	name     string
	ranks    int
	hello    wire.Hello
	links    *linkTable
	log      *log.Logger
	claimLog backing.Log
	stop     context.CancelFunc
	acks     chan *wire.OrderAck

	machine      *group.Coordinator
	startedAt    time.Time
	claimOffsets chan backing.Offset
	supersededAt time.Time // zero unless superseded
	nextClaimAt  time.Time
	mapHashSeq   uint64    // Seq of the ack that mapHash is from
	mapHash      string    // hash of the active map, from the latest ack
	sentMaps     []sentMap // by rank

	mu   sync.Mutex // guards spec
	spec groupSpec
}

func newCoordinator(g *groupManager, section *config.Group) *coordinator {
	return &coordinator{
		name:         section.Name,
		ranks:        section.Ranks,
		hello:        g.hello,
		links:        g.links,
		log:          g.log,
		claimLog:     g.claimLog,
		acks:         make(chan *wire.OrderAck, ackBacklogPerRank*section.Ranks),
		claimOffsets: make(chan backing.Offset),
		sentMaps:     make([]sentMap, section.Ranks),
	}
}

// setDocument updates the spec from a service configuration.
func (c *coordinator) setDocument(doc *config.Document, section *config.Group) {
	sides := make([]string, section.Ranks)
	for i := range doc.Backends {
		if be := &doc.Backends[i]; be.Group == section.Name {
			sides[be.Rank] = be.Name
		}
	}
	data, err := initialMap(section)
	if err != nil {
		c.log.Error("group-map-failed", "group", c.name, "err", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spec = groupSpec{sides: sides, mapData: data, mapHash: strconv.FormatUint(xxhash.Sum64(data), 16)}
}

// initialMap returns the encoded map for a group without load measurements.
func initialMap(section *config.Group) ([]byte, error) {
	m, err := pack.InitialMap(placement.Shape{
		Layers:  section.Layers,
		Ranks:   section.Ranks,
		Experts: section.Experts,
		Slots:   section.Slots,
	})
	if err != nil {
		return nil, err
	}
	return m.MarshalMsg(nil)
}

func (c *coordinator) currentSpec() groupSpec {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spec
}

// enqueueAck passes the ack of a rank to run. If the queue is full, it drops the ack.
func (c *coordinator) enqueueAck(m *wire.OrderAck) {
	select {
	case c.acks <- m:
	default:
	}
}

// run coordinates the group until ctx is done.
func (c *coordinator) run(ctx context.Context) {
	c.machine = group.NewCoordinator(group.CoordinatorOptions{
		Group:        c.name,
		Ranks:        c.ranks,
		InitialMap:   c.currentSpec().mapData,
		StepDuration: assumedStepDuration,
	})
	c.startedAt = time.Now()
	c.perform(ctx, c.machine.Lead())
	ticker := time.NewTicker(coordinatorTick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case offset := <-c.claimOffsets:
			c.log.Info("group-claimed", "group", c.name, "fence", int64(offset))
			c.mapHashSeq = 0
			c.perform(ctx, c.machine.Claimed(int64(offset)))
		case a := <-c.acks:
			c.recordMapHash(a)
			c.perform(ctx, c.machine.HandleAck(a, time.Since(c.startedAt)))
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

// recordMapHash records the hash of the active map from an ack of the current
// fencing number, unless a later round of orders has been acknowledged.
func (c *coordinator) recordMapHash(a *wire.OrderAck) {
	if a.Fence == c.machine.Fence() && a.Seq >= c.mapHashSeq {
		c.mapHashSeq, c.mapHash = a.Seq, a.MapHash
	}
}

// tick resends unanswered orders and proposes the desired map if it is not
// active. If superseded, it does neither, and claims the group again after
// reclaimDelay.
func (c *coordinator) tick(ctx context.Context) {
	if !c.supersededAt.IsZero() {
		if time.Since(c.supersededAt) >= reclaimDelay {
			c.supersededAt = time.Time{}
			c.perform(ctx, c.machine.Lead())
		}
		return
	}
	if spec := c.currentSpec(); c.machine.Idle() && c.mapHash != spec.mapHash {
		c.log.Info("group-switch", "group", c.name, "from", c.mapHash, "to", spec.mapHash)
		c.perform(ctx, c.machine.Propose(bytes.Clone(spec.mapData)))
	}
	c.perform(ctx, c.machine.Tick(time.Since(c.startedAt)))
}

// perform executes the actions of the state machine.
func (c *coordinator) perform(ctx context.Context, actions []group.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case group.AppendClaim:
			wait := time.Until(c.nextClaimAt)
			c.nextClaimAt = time.Now().Add(max(wait, 0) + claimInterval)
			go c.appendClaim(ctx, wait)
		case group.SendOrder:
			c.sendOrder(a.Order)
		case group.Settled:
			c.log.Info("group-settled", "group", c.name, "epoch", a.Epoch)
		case group.Superseded:
			c.supersededAt = time.Now()
			c.log.Info("group-lost", "group", c.name, "fence", a.Fence)
		}
	}
}

// sendOrder sends an order to the sidecar of its rank, if that is connected and the
// order's map was not sent to it recently.
func (c *coordinator) sendOrder(o wire.Order) {
	sides := c.currentSpec().sides
	if o.Rank >= len(sides) || c.suppressResend(&o) {
		return
	}
	c.links.sendOrder(sides[o.Rank], &o)
}

// suppressResend reports whether o carries a map and was sent to its rank less
// than mapResendInterval ago. If it carries a map and was not, it is recorded as
// sent now. Resends are limited because maps are large and a connection whose send
// queue overflows is closed.
func (c *coordinator) suppressResend(o *wire.Order) bool {
	if o.Map == nil {
		return false
	}
	last := &c.sentMaps[o.Rank]
	if last.fence == o.Fence && last.seq == o.Seq && time.Since(last.at) < mapResendInterval {
		return true
	}
	*last = sentMap{fence: o.Fence, seq: o.Seq, at: time.Now()}
	return false
}

// appendClaim sleeps for wait, then appends a claim to the log, retrying until one append
// is acknowledged, and passes its offset to run. An unacknowledged append may
// have succeeded as well; its fencing number is never used, and the next claim
// supersedes it.
func (c *coordinator) appendClaim(ctx context.Context, wait time.Duration) {
	if !sleep(ctx, wait) {
		return
	}
	record := logfold.GroupClaim{Service: c.hello.Service, Group: c.name, Claimant: c.hello.Incarnation}
	data, err := record.MarshalMsg(nil)
	if err != nil {
		c.log.Error("group-claim-failed", "group", c.name, "err", err)
		return
	}
	for {
		offset, err := c.claimLog.Append(ctx, logfold.GroupStream(c.hello.Service), [][]byte{data})
		if err == nil {
			select {
			case c.claimOffsets <- offset:
			case <-ctx.Done():
			}
			return
		}
		c.log.Warn("group-claim-failed", "group", c.name, "err", err)
		if !sleep(ctx, claimInterval) {
			return
		}
	}
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

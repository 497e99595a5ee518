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

// Timing and sizes of a coordinator.
const (
	groupTick   = 100 * time.Millisecond // unanswered orders are sent again, idle ranks asked
	claimPause  = 500 * time.Millisecond // between two claims
	lostPause   = 2 * time.Second        // before a superseded coordinator claims again
	assumedStep = 5 * time.Millisecond   // of a group, for the choice of a switch's step
	mapResend   = 2 * time.Second        // between two copies of one order that carries a map
	acksPerRank = 4                      // answers waiting; orders are sent again for those that find no room
)

// wish is what the document wants of a group.
type wish struct {
	sides []string // backend server of each rank
	data  []byte   // encoded map
	hash  string
}

// mapSent is the last order with a map that a rank was sent.
type mapSent struct {
	fence int64
	seq   uint64
	at    time.Time
}

// coordinator runs the machine that puts maps in force in one group. All of it
// but acks and the wish belongs to the goroutine in run.
type coordinator struct {
	name  string
	ranks int
	hello wire.Hello
	table *table
	log   *log.Logger
	store backing.Log
	stop  context.CancelFunc
	acks  chan *wire.OrderAck

	machine *group.Coordinator
	began   time.Time
	claimed chan backing.Offset
	lostAt  time.Time // zero while not superseded
	claimAt time.Time // earliest time of the next claim
	seq     uint64    // of the latest answer
	hash    string    // of the map in force, as a rank last told it
	maps    []mapSent // by rank

	mu   sync.Mutex // guards wish
	wish wish
}

func newCoordinator(g *groups, section *config.Group) *coordinator {
	return &coordinator{
		name:    section.Name,
		ranks:   section.Ranks,
		hello:   g.hello,
		table:   g.table,
		log:     g.log,
		store:   g.claims,
		acks:    make(chan *wire.OrderAck, acksPerRank*section.Ranks),
		claimed: make(chan backing.Offset),
		maps:    make([]mapSent, section.Ranks),
	}
}

// follow takes over what a document wants of the group.
func (c *coordinator) follow(doc *config.Document, section *config.Group) {
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
	c.wish = wish{sides: sides, data: data, hash: strconv.FormatUint(xxhash.Sum64(data), 16)}
}

// initialMap is the encoded map for a group of which no loads are known.
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

func (c *coordinator) wanted() wish {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wish
}

// ack hands over the answer of a rank; one that finds no room is dropped.
func (c *coordinator) ack(m *wire.OrderAck) {
	select {
	case c.acks <- m:
	default:
	}
}

// run coordinates the group until ctx ends.
func (c *coordinator) run(ctx context.Context) {
	c.machine = group.NewCoordinator(group.CoordinatorOptions{
		Group:        c.name,
		Ranks:        c.ranks,
		InitialMap:   c.wanted().data,
		StepDuration: assumedStep,
	})
	c.began = time.Now()
	c.perform(ctx, c.machine.Lead())
	ticker := time.NewTicker(groupTick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case offset := <-c.claimed:
			c.log.Info("group-claimed", "group", c.name, "fence", int64(offset))
			c.seq = 0
			c.perform(ctx, c.machine.Claimed(int64(offset)))
		case a := <-c.acks:
			c.note(a)
			c.perform(ctx, c.machine.HandleAck(a, time.Since(c.began)))
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

// note keeps the hash of the map in force, from answers of the latest round.
func (c *coordinator) note(a *wire.OrderAck) {
	if a.Fence == c.machine.Fence() && a.Seq >= c.seq {
		c.seq, c.hash = a.Seq, a.MapHash
	}
}

// tick sends again what is unanswered and proposes the map wanted, unless it
// is in force.
func (c *coordinator) tick(ctx context.Context) {
	if !c.lostAt.IsZero() {
		if time.Since(c.lostAt) >= lostPause {
			c.lostAt = time.Time{}
			c.perform(ctx, c.machine.Lead())
		}
		return
	}
	if w := c.wanted(); c.machine.Idle() && c.hash != w.hash {
		c.log.Info("group-switch", "group", c.name, "from", c.hash, "to", w.hash)
		c.perform(ctx, c.machine.Propose(bytes.Clone(w.data)))
	}
	c.perform(ctx, c.machine.Tick(time.Since(c.began)))
}

// perform carries out the machine's actions.
func (c *coordinator) perform(ctx context.Context, actions []group.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case group.AppendClaim:
			wait := time.Until(c.claimAt)
			c.claimAt = time.Now().Add(max(wait, 0) + claimPause)
			go c.claim(ctx, wait)
		case group.SendOrder:
			c.send(a.Order)
		case group.Settled:
			c.log.Info("group-settled", "group", c.name, "epoch", a.Epoch)
		case group.Superseded:
			c.lostAt = time.Now()
			c.log.Info("group-lost", "group", c.name, "fence", a.Fence)
		}
	}
}

// send sends an order to the side process of its rank, if that is connected.
func (c *coordinator) send(o wire.Order) {
	sides := c.wanted().sides
	if o.Rank >= len(sides) || c.sentLately(&o) {
		return
	}
	c.table.order(sides[o.Rank], &o)
}

// sentLately says whether o is a map that its rank was sent a moment ago.
// Maps are large, and a queue that overflows costs the connection.
func (c *coordinator) sentLately(o *wire.Order) bool {
	if o.Map == nil {
		return false
	}
	last := &c.maps[o.Rank]
	if last.fence == o.Fence && last.seq == o.Seq && time.Since(last.at) < mapResend {
		return true
	}
	*last = mapSent{fence: o.Fence, seq: o.Seq, at: time.Now()}
	return false
}

// claim appends a claim, not before wait is over, until one is known to be on
// the log. One whose answer was lost may be there too: nobody uses its number,
// and the next one supersedes it.
func (c *coordinator) claim(ctx context.Context, wait time.Duration) {
	if !pause(ctx, wait) {
		return
	}
	record := logfold.GroupClaim{Service: c.hello.Service, Group: c.name, Claimant: c.hello.Incarnation}
	data, err := record.MarshalMsg(nil)
	if err != nil {
		c.log.Error("group-claim-failed", "group", c.name, "err", err)
		return
	}
	for {
		offset, err := c.store.Append(ctx, logfold.GroupStream(c.hello.Service), [][]byte{data})
		if err == nil {
			select {
			case c.claimed <- offset:
			case <-ctx.Done():
			}
			return
		}
		c.log.Warn("group-claim-failed", "group", c.name, "err", err)
		if !pause(ctx, claimPause) {
			return
		}
	}
}

// pause waits for d; false when ctx ended before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

package peerread

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
	"marjorampitch/store"
	"marjorampitch/wire"
)

// serverSource decodes the records of a simTopic as those of servers: the first is the
// entry of a server, and the one at offset gone removes it.
type serverSource struct {
	reader store.Reader
	gone   *atomic.Int64
}

func (c serverSource) Read(ctx context.Context, from store.Position, wait time.Duration) (fleet.Batch, error) {
	b, err := c.reader.Read(ctx, "t", from, wait)
	return c.batch(b), err
}

func (c serverSource) Snapshot(ctx context.Context) (fleet.Batch, error) {
	b, err := c.reader.Newest(ctx, "t")
	return c.batch(b), err
}

func (c serverSource) batch(b store.Batch) fleet.Batch {
	out := fleet.Batch{Next: b.Next, Complete: b.Next.Offset >= b.End, CurrentAt: b.CurrentAt, Relayed: b.Relayed}
	for _, r := range b.Records {
		switch r.Key {
		case "0.0":
			out.Changes = append(out.Changes, &fleet.Server{ID: "x", Service: "s", Address: "x"})
		case fmt.Sprintf("0.%d", c.gone.Load()):
			out.Changes = append(out.Changes, &fleet.ServerGone{ID: "x"})
		}
	}
	return out
}

// followServers starts the node as a follower of servers' records, with the timing of a
// gateway whose drain bound is given.
func (n *simNode) followServers(drain time.Duration, gone *atomic.Int64) {
	logger := log.New(io.Discard)
	pause := time.Duration(0.3 * float64(drain))
	n.link = NewLink(Options{Instance: n.name, DataCentre: "a", Clock: n.clock, Log: logger, Entries: func() map[string]wire.Instance { return n.sim.entries }})
	n.link.Connect(n.send)
	n.cache = fleet.NewCache(drain / 2)
	topic := n.link.Topic(n, TopicOptions{
		Name: "t", Wait: pause + 200*time.Millisecond, MaxAge: pause + 500*time.Millisecond, Timeout: 1200 * time.Millisecond,
	})
	n.follower = fleet.NewFollower(serverSource{topic, gone}, n.cache, fleet.FollowOptions{
		Name: "t", Pause: pause, Timeout: 2400 * time.Millisecond, Clock: n.clock,
	}, logger)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go n.follower.Run(ctx)
}

// A server whose entry is removed without notice is used no longer than the drain bound,
// whenever the reader is killed meanwhile.
func TestRemovedServerIsNotUsedAfterTheDrainBound(t *testing.T) {
	const step = 50 * time.Millisecond
	for _, drain := range []time.Duration{2 * time.Second, 3 * time.Second} {
		for killed := time.Duration(0); killed < drain; killed += 300 * time.Millisecond {
			t.Run(fmt.Sprintf("%v, killed after %v", drain, killed), func(t *testing.T) {
				for phase := time.Duration(0); phase < time.Second; phase += step {
					synctest.Test(t, func(t *testing.T) { playRemoval(t, drain, killed, phase) })
				}
			})
		}
	}
}

func playRemoval(t *testing.T, drain, killed, phase time.Duration) {
	s := newIdleSim(7, 6)
	defer s.end()
	var gone atomic.Int64
	gone.Store(-1)
	s.topic.append()
	for _, n := range s.nodes {
		n.followServers(drain, &gone)
	}
	for range 120 {
		time.Sleep(50 * time.Millisecond)
		s.topic.append()
	}
	time.Sleep(phase)
	acked, _ := s.topic.counts()
	gone.Store(int64(acked))
	s.topic.append()
	time.Sleep(killed)
	reader := Readers(s.entries, "a")[0]
	for _, n := range s.nodes {
		if n.name == reader {
			s.mu.Lock()
			n.cut = true
			s.mu.Unlock()
			n.stop()
		}
	}
	time.Sleep(drain - killed - 50*time.Millisecond)
	for _, n := range s.nodes {
		if n.name != reader {
			require.NotContains(t, n.cache.View().Members, "x", "%s, phase %v", n.name, phase)
		}
	}
}

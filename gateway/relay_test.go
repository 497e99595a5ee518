package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/directory"
	"marjorampitch/internal/clock"
	"marjorampitch/peerread"
	"marjorampitch/store"
	"marjorampitch/wire"
)

// endlessTopic is a topic to which each read of the store adds a record.
type endlessTopic struct {
	mu    sync.Mutex // guards all below
	next  int64
	calls int
}

func (s *endlessTopic) Read(_ context.Context, _ string, from store.Position, _ time.Duration) (store.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.next = max(s.next, from.Offset) + 1
	b := store.Batch{Next: store.Position{Offset: s.next}, End: s.next}
	for i := from.Offset; i < s.next; i++ {
		b.Records = append(b.Records, store.Record{Key: fmt.Sprint(i)})
	}
	return b, nil
}

func (s *endlessTopic) Newest(context.Context, string) (store.Batch, error) {
	return store.Batch{}, errors.New("not used")
}

// Gateways read a topic through the peer port of the reader of their data centre, in
// order and without gaps, until it stops.
func TestGatewaysReadThroughReader(t *testing.T) {
	const gateways, wait = 3, 50 * time.Millisecond
	list := &listedGateways{}
	entries := make(map[string]wire.Instance)
	all := make(map[string]*testGateway)
	for i := range gateways {
		tg := newTestGateway(t)
		st := &tg.g.opts.Settings
		st.Instance, st.DataCentre, st.Address, st.Listen, st.PeerPort = fmt.Sprint("gateway-", i), "a", "127.0.0.1", "127.0.0.1:0", freeUDPPort(t)
		st.Bounds.GracePeriod = time.Second
		entry := wire.Instance{Role: wire.RoleGateway, Address: net.JoinHostPort(st.Address, strconv.Itoa(st.PeerPort)), DataCentre: "a"}
		value, err := entry.MarshalMsg(nil)
		require.NoError(t, err)
		list.records = append(list.records, store.Record{Key: st.Instance, Value: value})
		entries[st.Instance], all[st.Instance] = entry, tg
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { stop(); running.Wait() })
	s := &endlessTopic{}
	topics := make(map[string]*peerread.Topic)
	ends := make(map[string]context.CancelFunc)
	for name, tg := range all {
		o := &tg.g.opts
		o.Directory = directory.New(list, time.Millisecond, o.Log)
		go o.Directory.Run(ctx)
		require.Eventually(t, func() bool { return len(o.Directory.Entries()) == gateways }, 20*time.Second, time.Millisecond)
		o.Relay = peerread.NewLink(peerread.Options{
			Instance: name, DataCentre: "a", Entries: o.Directory.Entries, Clock: clock.SinceBoot, Log: o.Log,
		})
		topics[name] = o.Relay.Topic(s, peerread.TopicOptions{Name: "t", Wait: wait, MaxAge: time.Hour, Timeout: time.Second})
		own, end := context.WithCancel(ctx)
		ends[name] = end
		running.Go(func() { _ = tg.g.Run(own) })
	}
	readers := peerread.Readers(entries, "a")
	var other string
	for name := range all {
		if name != readers[0] && name != readers[1] {
			other = name
		}
	}
	next := store.Position{}
	read := func(name string) store.Batch {
		b, err := topics[name].Read(ctx, "t", next, 0)
		require.NoError(t, err)
		return b
	}
	read(readers[0])
	next = read(other).Next // reads the store at first
	require.Eventually(t, func() bool {
		b := read(other)
		for i, r := range b.Records {
			require.Equal(t, fmt.Sprint(next.Offset+int64(i)), r.Key)
		}
		next = b.Next
		read(readers[0])
		return b.Relayed
	}, 20*time.Second, time.Millisecond)
	ends[readers[0]]()
	require.Eventually(t, func() bool {
		b := read(other)
		next = b.Next
		return !b.Relayed
	}, 20*time.Second, time.Millisecond)
}

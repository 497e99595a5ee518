package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marjorampitch/directory"
	"marjorampitch/fleet"
	"marjorampitch/store"
	"marjorampitch/wire"
)

// listedGateways is a store that lists the gateways of a test.
type listedGateways struct {
	store.Log
	records []store.Record
}

func (l *listedGateways) Newest(context.Context, string) (store.Batch, error) {
	return store.Batch{Records: l.records, Next: store.Position{Offset: 1}, End: 1}, nil
}

func (l *listedGateways) Read(ctx context.Context, _ string, _ store.Position, _ time.Duration) (store.Batch, error) {
	<-ctx.Done()
	return store.Batch{}, ctx.Err()
}

func (l *listedGateways) Append(context.Context, string, store.Record) error { return nil }

// crashingFleet is several gateways, which exchange datagrams, and backend servers
// that crash when they begin an answer to a request with the part poison.
type crashingFleet struct {
	t        *testing.T
	gateways []*testGateway
	servers  []*crashingServer
	headSent bool // servers send a response head before they crash

	mu       sync.Mutex     // guards all below
	arrived  map[string]int // requests by id
	poisoned int            // arrivals of requests with the part poison
	crashes  int
	held     int           // requests that wait for hold
	hold     chan struct{} // closed when sound requests with the header X-Hold may go on
}

const (
	poison      = "bad"
	maxAttempts = 2 // of the routes
	sharedParts = 3 // parts that poisoned and sound requests share, besides the first
)

// promptParts returns the parts of the header X-Parts but the last.
func promptParts(h http.Header) []uint64 {
	list := strings.Split(h.Get("X-Parts"), ",")
	var parts []uint64
	for _, p := range list[:len(list)-1] {
		id, _ := strconv.ParseUint(p, 16, 64)
		parts = append(parts, id)
	}
	return parts
}

// crashingFleets counts the fleets so far.
var crashingFleets atomic.Int64

// newCrashingFleet starts the gateways and servers.
func newCrashingFleet(t *testing.T, gateways, servers int) *crashingFleet {
	f := &crashingFleet{t: t, arrived: make(map[string]int), hold: make(chan struct{})}
	list := &listedGateways{}
	for i := range gateways {
		tg := newTestGateway(t)
		tg.g.opts.PromptParts = promptParts
		st := &tg.g.opts.Settings
		st.Instance, st.Address, st.Listen, st.PeerPort = fmt.Sprint("gateway-", i), "127.0.0.1", "127.0.0.1:0", freeUDPPort(t)
		entry := wire.Instance{Role: wire.RoleGateway, Address: net.JoinHostPort(st.Address, strconv.Itoa(st.PeerPort))}
		value, err := entry.MarshalMsg(nil)
		require.NoError(t, err)
		list.records = append(list.records, store.Record{Key: st.Instance, Value: value})
		f.gateways = append(f.gateways, tg)
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { stop(); running.Wait() })
	for _, tg := range f.gateways {
		tg.g.opts.Directory = directory.New(list, time.Millisecond, tg.g.opts.Log)
		go tg.g.opts.Directory.Run(ctx)
		require.Eventually(t, func() bool { return len(tg.g.opts.Directory.Entries()) == gateways }, 20*time.Second, time.Millisecond)
		running.Go(func() { _ = tg.g.Run(ctx) })
	}
	// Of its own: while a server is down, its port may be given to a server of another test.
	address := fmt.Sprintf("127.0.1.%d:0", crashingFleets.Add(1))
	for i := range servers {
		s := &crashingServer{fleet: f, number: i, address: address}
		s.start()
		f.servers = append(f.servers, s)
	}
	return f
}

func freeUDPPort(t *testing.T) int {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).Port
}

// crashingServer is a backend server of a crashingFleet.
type crashingServer struct {
	fleet   *crashingFleet
	number  int
	address string
	started int64 // number of starts

	mu    sync.Mutex // guards all below
	ln    net.Listener
	conns []*conn
	down  bool
}

// start starts the server, as a new incarnation at the same address. Servers with
// an even number keep their id.
func (s *crashingServer) start() {
	t := s.fleet.t
	var ln net.Listener
	require.Eventually(t, func() bool {
		var err error
		ln, err = net.Listen("tcp", s.address)
		return err == nil
	}, 20*time.Second, time.Millisecond)
	t.Cleanup(func() { ln.Close() })
	s.address = ln.Addr().String()
	s.started++
	s.mu.Lock()
	s.ln, s.down, s.conns = ln, false, nil
	s.mu.Unlock()
	go s.accept(ln)
	e := &fleet.Server{ID: fmt.Sprint("i-", s.number), Service: "s", Address: s.address, Slots: 4, Seq: 1, StartedAt: s.started}
	if s.number%2 == 1 {
		e.ID += fmt.Sprint("-", s.started)
	}
	for _, tg := range s.fleet.gateways {
		tg.cache.Apply([]fleet.Change{e}, 1)
	}
}

func (s *crashingServer) accept(ln net.Listener) {
	for {
		accepted, err := ln.Accept()
		if err != nil {
			return
		}
		c := &conn{Conn: accepted, br: bufio.NewReader(accepted)}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		go func() {
			defer c.Close()
			for r := c.request(); r != nil && s.answer(c, r); r = c.request() {
			}
		}()
	}
}

// answer answers a request, or crashes and returns false.
func (s *crashingServer) answer(c *conn, r *http.Request) bool {
	f := s.fleet
	bad := slices.Contains(strings.Split(r.Header.Get("X-Parts"), ","), poison)
	hold := f.recordArrival(r, bad)
	if bad {
		s.crash(c, r)
		return false
	}
	if hold != nil {
		<-hold
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		stream(c, r, "seal", 1, 3, true)
	} else {
		c.write(answer(r, http.StatusOK, "ok"))
	}
	return true
}

// recordArrival returns the channel for which the request waits; nil for none.
func (f *crashingFleet) recordArrival(r *http.Request, bad bool) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrived[r.Header.Get("X-Id")]++
	if bad {
		f.poisoned++
	}
	if r.Header.Get("X-Hold") == "" {
		return nil
	}
	f.held++
	return f.hold
}

// crash resets all connections of the server, that of r last, and refuses new ones.
func (s *crashingServer) crash(c *conn, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fleet.headSent {
		c.write("HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") +
			"\r\nX-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	}
	s.ln.Close()
	s.down = true
	s.fleet.mu.Lock()
	s.fleet.crashes++
	s.fleet.mu.Unlock()
	for _, other := range s.conns {
		if other != c {
			other.reset()
		}
	}
	c.reset()
}

// count returns the numbers of crashes and of arrivals with the part poison.
func (f *crashingFleet) count() (crashes, poisoned int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes, f.poisoned
}

// restartCrashed starts the servers that have crashed.
func (f *crashingFleet) restartCrashed() {
	for _, s := range f.servers {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			s.start()
		}
	}
}

// sharedPart returns one of the parts that requests share.
func sharedPart(n int64) string { return fmt.Sprintf("a%d", n%sharedParts) }

// sound sends a request that shares all parts but poison and the last with those
// that crash servers.
func (f *crashingFleet) sound(tg *testGateway, path string, n int64, header ...string) (status int, arrivals int) {
	id := fmt.Sprintf("sound-%d", n)
	parts := fmt.Sprintf("1,%s,%x", sharedPart(n), 1<<20+n)
	status, _, _ = tg.call(path+id, append(header, "X-Id", id, "X-Parts", parts)...)
	f.mu.Lock()
	defer f.mu.Unlock()
	return status, f.arrived[id]
}

// holdOnAllServers sends a sound request to each server, which answers it only
// after release. It may have no attempt left only if two servers crash meanwhile.
func (f *crashingFleet) holdOnAllServers(tg *testGateway, path string) (release func()) {
	f.mu.Lock()
	f.held, f.hold = 0, make(chan struct{})
	hold := f.hold
	f.mu.Unlock()
	before, _ := f.count()
	statuses := make([]int, len(f.servers))
	var calls sync.WaitGroup
	for i := range f.servers {
		calls.Go(func() { statuses[i], _ = f.sound(tg, path, nextID.Add(1), "X-Hold", "1") })
	}
	require.Eventually(f.t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.held >= len(f.servers)
	}, 20*time.Second, time.Millisecond)
	return func() {
		close(hold)
		calls.Wait()
		if after, _ := f.count(); after-before < maxAttempts && path != "/once/" {
			for _, status := range statuses {
				assert.Equal(f.t, http.StatusOK, status, "sound request in flight at one crash")
			}
		}
	}
}

// soundAtAll sends sound requests with each shared part to each gateway and checks that each of them is
// served at the first attempt.
func (f *crashingFleet) soundAtAll(path string) {
	for _, tg := range f.gateways {
		for range sharedParts {
			status, arrivals := f.sound(tg, path, nextID.Add(1))
			assert.Equal(f.t, http.StatusOK, status, "sound request")
			assert.Equal(f.t, 1, arrivals, "sound request")
		}
	}
}

// callPoisoned sends a request that crashes servers and checks that a refusal says
// when to return, and that the request has reached no server then.
func (f *crashingFleet) callPoisoned(tg *testGateway, path, parts string) {
	id := fmt.Sprintf("poisoned-%d", nextID.Add(1))
	status, body, h := tg.call(path, "X-Id", id, "X-Parts", parts)
	f.mu.Lock()
	defer f.mu.Unlock()
	if status != http.StatusServiceUnavailable {
		assert.NotZero(f.t, f.arrived[id], "%d %s", status, body)
		return
	}
	assert.Zero(f.t, f.arrived[id], "the answer says that the request was not executed: %s", body)
	after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	assert.NoError(f.t, err)
	assert.Positive(f.t, after)
}

// checkContained plays rounds with one request of callPoisoned each, given by its
// path and parts, among sound requests to the path.
func (f *crashingFleet) checkContained(path string, poisoned func(round int) (path, parts string)) {
	f.soundAtAll(path)
	known := -1 // arrivals of such requests by the time at which the fifth crash is known
	for round := range 24 {
		release := f.holdOnAllServers(f.gateways[(round+1)%3], path)
		target, parts := poisoned(round)
		f.callPoisoned(f.gateways[round%3], target, parts)
		release()
		f.soundAtAll(path)
		f.restartCrashed()
		f.soundAtAll(path)
		if crashes, arrivals := f.count(); known < 0 && crashes >= 5 {
			time.Sleep(time.Second)
			known = arrivals
		}
	}
	crashes, arrivals := f.count()
	assert.Positive(f.t, crashes)
	if known >= 0 {
		assert.LessOrEqual(f.t, arrivals-known, 3, "requests that reached servers after five crashes were known")
	}
}

// A part of a prompt that crashes servers must not take down one after the other.
func TestPromptPartThatCrashesServersIsContained(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		headSent bool
	}{
		"stream":            {"/stream/", false},
		"stream after head": {"/stream/", true},
		"plain":             {"/again/", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashingFleet(t, 3, 5)
			f.headSent = c.headSent
			f.checkContained(c.path, func(round int) (path, parts string) {
				n := int64(round)
				return fmt.Sprint(c.path, "poisoned-", n), fmt.Sprintf("1,%s,%s,%x", sharedPart(n), poison, 1<<20+n)
			})
		})
	}
}

// A request that crashes servers must not do so again each time it is sent.
func TestRequestThatCrashesServersIsContained(t *testing.T) {
	for _, path := range []string{"/stream/", "/again/", "/once/"} {
		t.Run(path, func(t *testing.T) {
			newCrashingFleet(t, 3, 5).checkContained(path, func(int) (string, string) { return path + "same", poison })
		})
	}
}

// A server that names itself when its group has stalled has not crashed.
func TestServerThatNamesItselfIsNotTakenForCrashed(t *testing.T) {
	tg := newTestGateway(t)
	broken, other := tg.server(serve("ok")), tg.server(serve("ok"))
	members := tg.cache.View().Members
	c := &call{features: crashFeatures{{1}, {2}}}
	tg.g.crashes.broke(c, members[broken], 0, 0)
	tg.g.serverAtFault(members[broken], members[broken].Address)
	require.Contains(t, tg.g.crashes.suspected, broken)
	tg.g.serverAtFault(members[other], members[broken].Address)
	require.NotContains(t, tg.g.crashes.suspected, broken)
}

// An answer of a server that has crashed and runs again under its id, which its entry
// does not show yet, must not refute the crash.
func TestAnswerAfterRestartDoesNotRefuteCrash(t *testing.T) {
	tg := newTestGateway(t)
	first, second := tg.server(serve("ok")), tg.server(serve("ok"))
	members := tg.cache.View().Members
	bad, sound := &call{features: crashFeatures{{1}, {2}}}, &call{features: crashFeatures{{3}, {4}}}
	tg.entries.Store(1)
	tg.g.crashes.broke(bad, members[first], 0, time.Second)
	tg.g.started(sound, members[first], 2*time.Second)
	tg.g.crashes.serverDown(first, "entry", 3*time.Second)
	tg.g.crashes.broke(bad, members[second], 4*time.Second, 5*time.Second)
	tg.g.crashes.serverDown(second, "entry", 6*time.Second)
	require.NotNil(t, tg.g.crashes.check(bad, tg.cache.View(), 7*time.Second))
}

// A server that answers although its entry is newer than the request that it broke off
// has not crashed.
func TestAnswerRefutesCrash(t *testing.T) {
	tg := newTestGateway(t)
	tg.g.start = tg.g.start.Add(-time.Minute)
	id := tg.server(serve("ok"))
	m := tg.cache.View().Members[id]
	tg.g.crashes.broke(&call{features: crashFeatures{{1}, {2}}}, m, time.Second, 2*time.Second)
	require.Contains(t, tg.g.crashes.suspected, id)
	tg.g.started(&call{features: crashFeatures{{3}, {4}}}, m, tg.g.now())
	require.NotContains(t, tg.g.crashes.suspected, id)
}

// The monotonic clocks of two instances drift apart while one of them is suspended.
func TestEvidenceIsAcceptedAfterSuspension(t *testing.T) {
	sender, receiver := newTestGateway(t), newTestGateway(t)
	receive := func(evidence ...wire.PartEvidence) {
		data, err := sender.g.peers.report(evidence).MarshalMsg([]byte{wire.KindPartEvidence})
		require.NoError(t, err)
		require.NoError(t, receiver.g.peers.handleDatagram(data))
	}
	receive()
	receiver.g.start = receiver.g.start.Add(-4 * time.Second)
	receive(wire.PartEvidence{Part: 1, Crash: 1, SentAge: 3000, BrokeAge: 2900}, wire.PartEvidence{Part: 1, Crash: 2, SentAge: 200, BrokeAge: 100})
	require.NotNil(t, receiver.g.crashes.check(&call{features: crashFeatures{{1}, {2}}}, receiver.cache.View(), receiver.g.now()))
}

// A crash that the servers' entries show must count for the next request, not only from the next tick on.
func TestCrashShownByEntriesCountsAtOnce(t *testing.T) {
	tg := newTestGateway(t)
	bad := &call{features: crashFeatures{{1}, {2}}}
	for i := range time.Duration(2) {
		id := tg.server(serve("ok"))
		m := tg.cache.View().Members[id]
		tg.g.crashes.broke(bad, m, 2*i*time.Second, (2*i+1)*time.Second)
		restarted := &fleet.Server{ID: id, Service: m.Service, Address: m.Address, Slots: 4, Seq: 1, StartedAt: m.StartedAt + 1}
		tg.cache.Apply([]fleet.Change{restarted}, 1)
	}
	require.NotNil(t, tg.g.crashes.check(bad, tg.cache.View(), 4*time.Second))
}

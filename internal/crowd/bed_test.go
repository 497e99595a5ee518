package crowd

import (
	"bufio"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/backing/backingtest"
	"marjorampitch/internal/child"
	"marjorampitch/internal/scenario"
	"marjorampitch/platform/platformtest"
)

// Limits of the processes under test, as their settings state them, and the size of a crowd.
const (
	memoryMB   = 96
	maxFDs     = 500
	fileFDs    = 200 // of maxFDs; sockets and pipes share the rest
	crowdSize  = 400 // clients, more than the sockets of a process
	headLimit  = 16384
	bodyLimit  = 1 << 20
	patience   = 30 * time.Second // for what must happen in the end
	sampleTime = 10 * time.Millisecond
)

// program is the path of the built program. It has no race detector, which would multiply
// its memory.
var program string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "marjorampitch")
	if out, err := exec.Command("go", "build", "-o", program, "marjorampitch/cmd/marjorampitch").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// observer ignores what backend servers report.
type observer struct{}

func (observer) RequestArrived(*platformtest.Backend, string, *http.Request, []byte) {}
func (observer) TurnedAway(*platformtest.Backend, string, time.Duration)             {}
func (observer) RequestStarted(string)                                               {}
func (observer) Violation(string, string)                                            {}

// daemon is a process under test.
type daemon struct {
	t      *testing.T
	now    func() (pid int)                // of the running process; 0 if it has ended
	output string                          // path of its log
	faults func(platformtest.Faults)       // sets those of its store; nil where it has another one
	probe  func(ctx context.Context) error // one ordinary request
	pid    int
	idle   usage // once it serves and before any crowd
	peak   usage // the largest values of any sample
	stop   chan struct{}
	sample sync.WaitGroup
}

// startGateway starts the stand-ins of the store and of backend servers, and a gateway. It
// returns the gateway and its host.
func startGateway(t *testing.T) (*daemon, string) {
	d, host, _ := startGatewayBeside(t)
	return d, host
}

// startGatewayBeside is startGateway with two plain servers. It returns the servers as well,
// the plain ones first.
func startGatewayBeside(t *testing.T) (d *daemon, host string, servers []*platformtest.Backend) {
	store, group, subnet := startDeployment(t)
	st := platformtest.Settings{Name: "gateway-0", Centre: "a", IP: fmt.Sprintf("127.%d.1.1", subnet)}
	store.PutDocument(1, nil, 0)
	for range 2 {
		servers = append(servers, startServer(t, store, group, platformtest.PlainService, -1-len(servers)))
	}
	for rank := range platformtest.Ranks {
		servers = append(servers, startServer(t, store, group, platformtest.ModelService, rank))
	}
	d = &daemon{t: t, probe: func(ctx context.Context) error {
		return errors.Join(ordinaryRequest(ctx, st.FrontAddress()), get(ctx, st.IP+readyPort, readyPath), get(ctx, st.IP+metricsPort, "/metrics"))
	}}
	d.run(store, st, "gateway")
	return d, st.IP, servers
}

// startRebalancer does the same for a rebalancer.
func startRebalancer(t *testing.T) (*daemon, string) {
	d, host, _ := startRebalancerBeside(t)
	return d, host
}

// startRebalancerBeside is startRebalancer. It returns the engines as well, that of the
// rebalancer first.
func startRebalancerBeside(t *testing.T) (d *daemon, host string, engines []*platformtest.Backend) {
	store, group, subnet := startDeployment(t)
	for rank := range platformtest.Ranks {
		engines = append(engines, startServer(t, store, group, platformtest.ModelService, rank))
	}
	store.PutDocument(1, nil, 0)
	st := platformtest.Settings{
		Name: "side-0", Centre: "a", IP: fmt.Sprintf("127.%d.2.1", subnet), App: engines[0].Address(), Service: platformtest.ModelService,
	}
	d = &daemon{t: t, probe: func(ctx context.Context) error { return get(ctx, st.IP+metricsPort, "/metrics") }}
	d.run(store, st, "rebalancer")
	return d, st.IP, engines
}

// startDeployment starts a store and a rank group without servers.
func startDeployment(t *testing.T) (*platformtest.Store, *platformtest.Group, uint64) {
	subnet, reservation, err := platformtest.ReserveSubnet(uint64(os.Getpid()))
	require.NoError(t, err)
	t.Cleanup(func() { reservation.Close() })
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	group := platformtest.NewGroup(observer{}, func() float64 { return 1 })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go group.Run(ctx)
	return store, group, subnet
}

// startServer starts a backend server and announces it until the test ends.
func startServer(t *testing.T, store *platformtest.Store, group *platformtest.Group, service string, rank int) *platformtest.Backend {
	b, err := platformtest.NewBackend(fmt.Sprint("i-", service, rank), service, "a", rank, group, observer{}, func() float64 { return 1 })
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); b.Close() })
	go func() {
		for ctx.Err() == nil {
			store.PutServer(b, false)
			time.Sleep(platformtest.EntryInterval)
		}
	}()
	return b
}

// run starts a process on the platform and waits until it serves.
func (d *daemon) run(store *platformtest.Store, st platformtest.Settings, role string) {
	st.Store, d.faults = store.AddListener()
	st.MemoryMB, st.MaxFDs = memoryMB, maxFDs
	path := filepath.Join(d.t.TempDir(), "settings.conf")
	f, err := os.Create(path)
	require.NoError(d.t, err)
	defer f.Close()
	require.NoError(d.t, st.WriteSettings(f))
	p := &child.Process{Binary: program, Args: []string{role, "--settings", path}, Output: filepath.Join(d.t.TempDir(), "log")}
	require.NoError(d.t, p.Start())
	d.t.Cleanup(func() {
		p.Signal(syscall.SIGKILL)
		p.WaitOrKill(patience)
	})
	d.now, d.output = p.PID, p.Output
	d.watch()
}

// startEntry starts the stand-ins of a service, its sidecars and an entry. It returns the
// entry and the address for its callers.
func startEntry(t *testing.T) (*daemon, string) {
	tb := startService(t, "p1")
	return watchDaemon(t, tb, "n1"), tb.Process("n1").HTTP
}

// startEntryStatus does the same, and returns the address of the entry's status page.
func startEntryStatus(t *testing.T) (*daemon, string) {
	tb := startService(t, "p1")
	return watchDaemon(t, tb, "n1"), tb.Process("n1").Status
}

// startSide does the same for a sidecar.
func startSide(t *testing.T) (*daemon, string) {
	tb := startService(t, "p1")
	return watchDaemon(t, tb, "p1"), tb.Process("p1").Status
}

// startService starts a service with an engine and these plain servers.
func startService(t *testing.T, plain ...string) *scenario.Testbed {
	tb, err := scenario.NewTestbed(t.TempDir(), program)
	require.NoError(t, err)
	t.Cleanup(tb.Close)
	tb.MemoryMB, tb.Sockets = memoryMB, maxFDs-fileFDs
	require.NoError(t, tb.AddEngine("e1", "north", backingtest.DefaultEngineOptions()))
	for _, name := range plain {
		require.NoError(t, tb.AddPlain(name, "north"))
	}
	require.NoError(t, tb.StartDaemon("entry", "n1", "north"))
	require.NoError(t, tb.StartDaemon("side", "e1", ""))
	for _, name := range plain {
		require.NoError(t, tb.StartDaemon("side", name, ""))
	}
	require.NoError(t, tb.Publish())
	return tb
}

// watchDaemon returns a process of a service. Its ordinary requests go to a plain server.
func watchDaemon(t *testing.T, tb *scenario.Testbed, name string) *daemon {
	p := tb.Process(name)
	d := &daemon{t: t, now: func() int { return tb.Process(name).PID }, output: p.Output, probe: func(ctx context.Context) error {
		if err := errors.Join(get(ctx, p.Status, "/readyz"), get(ctx, p.Status, "/metrics")); err != nil {
			return err
		}
		if r := tb.Do(ctx, scenario.Call{Kind: "availability"}); r.Outcome != scenario.Whole {
			return fmt.Errorf("%s: code %d, %s", r.Outcome, r.Code, r.Detail)
		}
		return nil
	}}
	d.watch()
	return d
}

// watch waits until the process serves. Its memory and descriptors are sampled until the
// test ends.
func (d *daemon) watch() {
	d.pid = d.now()
	d.mustServe("at the start")
	d.idle = readUsage(d.t, d.pid)
	d.stop = make(chan struct{})
	d.sample.Go(func() {
		for {
			d.peak = d.peak.max(readUsage(d.t, d.pid))
			select {
			case <-d.stop:
				return
			case <-time.After(sampleTime):
			}
		}
	})
	d.t.Cleanup(func() {
		close(d.stop)
		d.sample.Wait()
	})
}

// mustServe requires that an ordinary request is answered. Its client returns after
// refusals, as ordinary clients do.
func (d *daemon) mustServe(when string) {
	ctx, cancel := context.WithTimeout(d.t.Context(), patience)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		require.NotZero(d.t, d.now(), "the process has ended %s: %s", when, d.lastLines())
		if err = d.probe(ctx); err == nil {
			return
		}
		time.Sleep(sampleTime)
	}
	require.NoError(d.t, err, "no ordinary request was answered %s", when)
}

// checkLimits requires that the process lives and has stayed within its limits.
func (d *daemon) checkLimits() {
	require.Equal(d.t, d.pid, d.now(), "the process has ended: %s", d.lastLines())
	close(d.stop)
	d.sample.Wait()
	d.stop = make(chan struct{}) // for the cleanup
	d.t.Logf("idle %v, peak %v", d.idle, d.peak)
	require.LessOrEqual(d.t, d.peak.memory, int64(memoryMB<<20), "memory")
	require.LessOrEqual(d.t, d.peak.sockets, maxFDs-fileFDs, "sockets and pipes")
	require.LessOrEqual(d.t, d.peak.fds, maxFDs, "descriptors")
}

// mustRecover requires that the connections of the crowd are gone once it has left.
func (d *daemon) mustRecover() {
	const slack = 20 // connections that ordinary clients and the process itself may have opened since
	require.Eventually(d.t, func() bool {
		return readUsage(d.t, d.pid).sockets <= d.idle.sockets+slack
	}, patience, sampleTime, "descriptors are not given back")
}

// lastLines returns the end of the log.
func (d *daemon) lastLines() string {
	data, err := os.ReadFile(d.output)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-2000):])
}

// usage is what a process takes of its machine.
type usage struct {
	memory  int64 // bytes: resident, and received and not read
	unread  int64 // bytes of memory that were received and not read
	fds     int
	sockets int // and pipes
}

func (u usage) max(v usage) usage {
	return usage{max(u.memory, v.memory), max(u.unread, v.unread), max(u.fds, v.fds), max(u.sockets, v.sockets)}
}

func (u usage) String() string {
	return fmt.Sprintf("%d MB (%d MB unread), %d descriptors (%d sockets and pipes)", u.memory>>20, u.unread>>20, u.fds, u.sockets)
}

// readUsage reads what a process takes; zero if it has ended.
func readUsage(t *testing.T, pid int) (u usage) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return usage{}
	}
	inodes := make(map[string]bool)
	for _, e := range entries {
		target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, e.Name()))
		if err != nil {
			continue // closed meanwhile
		}
		u.fds++
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
			u.sockets++
		} else if strings.HasPrefix(target, "pipe:") {
			u.sockets++
		}
	}
	u.unread = unreadBytes(t, inodes)
	u.memory = u.unread + residentBytes(t, pid)
	return u
}

// residentBytes returns the resident memory of a process.
func residentBytes(t *testing.T, pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	require.NoError(t, err)
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns the bytes that wait in the receive queues of TCP sockets.
func unreadBytes(t *testing.T, inodes map[string]bool) (sum int64) {
	f, err := os.Open("/proc/net/tcp")
	require.NoError(t, err)
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 || !inodes[fields[9]] || fields[3] == "0A" { // a listener counts connections there
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		require.NoError(t, err)
		sum += n
	}
	return sum
}

// get sends one GET request and requires status 200.
func get(ctx context.Context, address, path string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	return send(r)
}

// ordinaryRequest sends one request of a few kB to a plain server.
func ordinaryRequest(ctx context.Context, address string) error {
	return request(ctx, address, "/again/x", 3000)
}

// request sends a request with a body of n bytes, and requires status 200.
func request(ctx context.Context, address, path string, n int) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(strings.Repeat("x", n)))
	if err != nil {
		return err
	}
	r.Host = platformtest.RouteHost
	r.Header.Set("Marjorampitch-Request-Id", newID())
	r.Header.Set("Marjorampitch-Deadline-Ms", "5000")
	return send(r)
}

// send sends a request on a connection of its own and requires status 200.
func send(r *http.Request) error {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	resp, err := (&http.Client{Transport: transport, Timeout: 5 * time.Second}).Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, retry after %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

var (
	idMu   sync.Mutex
	lastID uint64
)

// newID returns a request id that was not used before.
func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID++
	return hex.EncodeToString(fmt.Appendf(nil, "%08d", lastID))
}

// Ports of a process on the platform, and the path of its readiness.
const (
	frontPort   = ":8200"
	readyPort   = ":8201"
	metricsPort = ":9464"
	readyPath   = "/marjorampitch/ready"
)

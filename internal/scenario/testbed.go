// Package scenario runs scripted failure scenarios against real processes of the
// system. External systems are test doubles inside the test process; entries and
// sidecars are separate processes, which the scripts start, stop, kill, pause and
// disconnect. docs/proofs/scenarios.md lists the commands of the scripts.
package scenario

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"marjorampitch/backing"
	"marjorampitch/backing/backingtest"
	"marjorampitch/internal/relay"
	"marjorampitch/logfold"
)

// Names and rates in a testbed.
const (
	service      = "test"
	organisation = "org"
	model        = "m"
	weightRate   = 64 << 20 // bytes a second
	weightSize   = 1 << 20  // bytes
)

// Testbed is the deployment that one scenario acts on, with its test doubles and
// callers. Its methods must be called from the script's goroutine, except Do, which
// callers use concurrently.
type Testbed struct {
	// MemoryMB and Sockets are the limits in the settings of processes that are started
	// from now on; 0 for the defaults.
	MemoryMB, Sockets int

	dir    string
	binary string

	log       *backingtest.Log
	logServer *server
	weights   *server
	centres   map[string]*centre
	backends  map[string]*backend
	groups    map[string]*rankGroup
	daemons   map[string]*daemon
	relays    map[string]*relay.Relay
	loads     map[string]*Load
	document  document
	published uint64 // last published version

	mu      sync.Mutex // guards entries
	entries []*daemon  // in start order
}

// NewTestbed returns a testbed in which only the platform's services run. dir is
// the directory for settings and logs, binary the path of the program under test.
func NewTestbed(dir, binary string) (*Testbed, error) {
	tb := &Testbed{
		dir:      dir,
		binary:   binary,
		log:      backingtest.NewLog(),
		centres:  make(map[string]*centre),
		backends: make(map[string]*backend),
		groups:   make(map[string]*rankGroup),
		daemons:  make(map[string]*daemon),
		relays:   make(map[string]*relay.Relay),
		loads:    make(map[string]*Load),
	}
	tb.logServer = newServer(tb.log.Handler())
	tb.weights = newServer(backingtest.NewWeightStore(weightRate, weightSize).Handler())
	for _, s := range []*server{tb.logServer, tb.weights} {
		if err := s.start(); err != nil {
			tb.Close()
			return nil, err
		}
	}
	return tb, nil
}

// Close ends all loads, processes and servers.
func (tb *Testbed) Close() {
	for _, l := range tb.loads {
		l.abort()
	}
	for _, d := range tb.daemons {
		d.kill()
	}
	for _, r := range tb.relays {
		r.Close()
	}
	for _, b := range tb.backends {
		if b.group != nil {
			b.engine.Crash() // stops its steps
		}
		b.server.kill()
	}
	for _, c := range tb.centres {
		c.server.kill()
	}
	tb.logServer.kill()
	tb.weights.kill()
}

// Publish appends the service configuration to the log as the next version.
func (tb *Testbed) Publish() error {
	packed, err := logfold.Pack([]byte(tb.document.render(tb.backends, tb.groups)))
	if err != nil {
		return err
	}
	change := logfold.ConfigChange{
		Service:  service,
		Base:     tb.published,
		Format:   1,
		Document: packed,
		Author:   "scenario",
		Nonce:    uuid.NewString(),
	}
	record, err := change.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if _, err := tb.log.Append(context.Background(), logfold.ConfigStream(service), [][]byte{record}); err != nil {
		return eris.Wrapf(err, "publish version %d of the service configuration", tb.published+1)
	}
	tb.published++
	return nil
}

// StartDaemon starts an entry in a data centre, or the sidecar of the backend server
// with the same name, in whose data centre it runs.
func (tb *Testbed) StartDaemon(role, name, dataCentre string) error {
	d := &daemon{
		name:         name,
		role:         role,
		dataCentre:   dataCentre,
		binary:       tb.binary,
		settingsPath: filepath.Join(tb.dir, name+".ini"),
		outputPath:   filepath.Join(tb.dir, name+".log"),
		listen:       newAddress(),
		status:       newAddress(),
		memoryMB:     tb.MemoryMB,
		sockets:      tb.Sockets,
	}
	backendURL := ""
	if role == roleSide {
		b, ok := tb.backends[name]
		if !ok {
			return eris.Errorf("start sidecar: no backend server %q", name)
		}
		backendURL = b.server.url()
		d.dataCentre = b.dataCentre
	} else {
		d.http = newAddress()
	}
	logRelay, err := tb.addRelay(name+".log", tb.logServer.address)
	if err != nil {
		return err
	}
	c, err := tb.centre(d.dataCentre)
	if err != nil {
		return err
	}
	if err := d.writeSettings("http://"+logRelay.Address(), c.server.url(), tb.weights.url(), backendURL); err != nil {
		return err
	}
	tb.daemons[name] = d
	if err := tb.register(d, backing.InstanceLive); err != nil {
		return err
	}
	if role == roleEntry {
		tb.addEntry(d)
	}
	return d.start()
}

// addRelay starts a relay to target under a name.
func (tb *Testbed) addRelay(name, target string) (*relay.Relay, error) {
	r, err := relay.New(target)
	if err != nil {
		return nil, err
	}
	tb.relays[name] = r
	return r, nil
}

// addEntry adds an entry to the rotation.
func (tb *Testbed) addEntry(d *daemon) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.entries = append(tb.entries, d)
}

// rotation returns all entries, starting at number n, in the order in which a
// round-robin load balancer tries them.
func (tb *Testbed) rotation(n int) []*daemon {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var out []*daemon
	for i := range tb.entries {
		out = append(out, tb.entries[(n+i)%len(tb.entries)])
	}
	return out
}

// poll waits until ok returns true. It returns an error after limit.
func poll(limit time.Duration, ok func() bool) error {
	deadline := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not met after %v", limit)
		}
		time.Sleep(pollEvery)
	}
	return nil
}

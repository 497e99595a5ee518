// Package scenario runs scripted scenarios of failures against real processes
// of the system. The outside systems are stand-ins inside the test's process;
// entries and side processes are processes of their own, which the scripts
// start, stop, kill, freeze and cut off. docs/proofs/scenarios.md lists the
// verbs of the scripts.
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

// Names and rates of a world.
const (
	service      = "test"
	organisation = "org"
	model        = "m"
	weightRate   = 64 << 20 // bytes a second
	weightSize   = 1 << 20  // bytes
)

// World is everything one scenario acts on. Its methods are called by the
// script's goroutine, except for entries, which calls use too.
type World struct {
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
	published uint64 // versions

	mu      sync.Mutex // guards what follows
	entries []*daemon  // in order of their start
}

// NewWorld returns a world with the platform's services up and nothing else.
// Files go to dir; binary is the system's program.
func NewWorld(dir, binary string) (*World, error) {
	w := &World{
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
	w.logServer = newServer(w.log.Handler())
	w.weights = newServer(backingtest.NewWeightStore(weightRate, weightSize).Handler())
	for _, s := range []*server{w.logServer, w.weights} {
		if err := s.start(); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, nil
}

// Close ends every process and server of the world.
func (w *World) Close() {
	for _, l := range w.loads {
		l.halt()
	}
	for _, d := range w.daemons {
		d.kill()
	}
	for _, r := range w.relays {
		r.Close()
	}
	for _, b := range w.backends {
		if b.group != nil {
			b.engine.Crash() // ends its steps
		}
		b.server.kill()
	}
	for _, c := range w.centres {
		c.server.kill()
	}
	w.logServer.kill()
	w.weights.kill()
}

// Publish appends the document as the next version.
func (w *World) Publish() error {
	packed, err := logfold.Pack([]byte(w.document.text(w.backends, w.groups)))
	if err != nil {
		return err
	}
	change := logfold.ConfigChange{
		Service:  service,
		Base:     w.published,
		Format:   1,
		Document: packed,
		Author:   "scenario",
		Nonce:    uuid.NewString(),
	}
	record, err := change.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if _, err := w.log.Append(context.Background(), logfold.ConfigStream(service), [][]byte{record}); err != nil {
		return eris.Wrap(err, "publish")
	}
	w.published++
	return nil
}

// StartDaemon starts the process with this name: an entry, or the side
// process of the backend server with its name.
func (w *World) StartDaemon(role, name, dataCentre string) error {
	d := &daemon{
		name:       name,
		role:       role,
		dataCentre: dataCentre,
		binary:     w.binary,
		settings:   filepath.Join(w.dir, name+".ini"),
		output:     filepath.Join(w.dir, name+".log"),
		listen:     newAddress(),
		status:     newAddress(),
	}
	backendURL := ""
	if role == roleSide {
		b, ok := w.backends[name]
		if !ok {
			return eris.Errorf("no backend server %s", name)
		}
		backendURL = b.server.url()
		d.dataCentre = b.dataCentre
	} else {
		d.http = newAddress()
	}
	logRelay, err := w.addRelay(name+".log", w.logServer.address)
	if err != nil {
		return err
	}
	c, err := w.centre(d.dataCentre)
	if err != nil {
		return err
	}
	if err := d.writeSettings("http://"+logRelay.Address(), c.server.url(), w.weights.url(), backendURL); err != nil {
		return err
	}
	w.daemons[name] = d
	if err := w.show(d, backing.InstanceLive); err != nil {
		return err
	}
	if role == roleEntry {
		w.addEntry(d)
	}
	return d.start()
}

func (w *World) addRelay(name, target string) (*relay.Relay, error) {
	r, err := relay.New(target)
	if err != nil {
		return nil, err
	}
	w.relays[name] = r
	return r, nil
}

func (w *World) addEntry(d *daemon) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = append(w.entries, d)
}

// rotation returns the entries from number n on, as a balancer takes them in turn.
func (w *World) rotation(n int) []*daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*daemon
	for i := range w.entries {
		out = append(out, w.entries[(n+i)%len(w.entries)])
	}
	return out
}

// poll waits until ok returns true, at most limit.
func poll(limit time.Duration, ok func() bool) error {
	deadline := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not so after %v", limit)
		}
		time.Sleep(pollEvery)
	}
	return nil
}

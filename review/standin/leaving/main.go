// Command leaving runs three gateways, one of which the store turns away for some seconds while
// a worker leaves. The worker says so in its entry and in all its answers.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/standin/platform"
)

const (
	key      = "n2ctnfzs989anu6wsjnb"
	fronts   = 3
	slots    = 6                       // requests that a worker processes at once; others wait
	callers  = 8                       // at each front machine
	drainMS  = 2000 * time.Millisecond // bounds.drain_ms
	linger   = 1500 * time.Millisecond // what the worker serves longer than that
	workTime = 200 * time.Millisecond
	turned   = 9 * time.Second // platform_down, how nodes
)

// worker runs requests of a plain service.
type worker struct {
	platform.Entry
	t       *platform.Test
	server  *http.Server
	leaving atomic.Bool
	slots   chan struct{}

	mu      sync.Mutex
	arrived map[string]time.Duration // when a request reached the worker
	state   string
	gone    bool
	running map[string]bool
	cut     []string // requests that ran as the worker exited
}

func newWorker(t *platform.Test, s *platform.Store, id string) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		t: t, arrived: map[string]time.Duration{}, running: map[string]bool{}, state: "ready", slots: make(chan struct{}, slots),
		Entry: platform.Entry{ID: id, Service: "desk", Address: ln.Addr().String(), Zone: "za", Slots: slots, Born: time.Now().UnixMilli()},
	}
	w.server = &http.Server{Handler: w}
	go w.server.Serve(ln) //nolint:errcheck // ends with the worker
	go func() {
		for w.beat(s) {
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return w, nil
}

// beat writes the worker's entry. It returns false once the worker is gone.
func (w *worker) beat(s *platform.Store) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return false
	}
	w.Seq++
	data, err := json.Marshal(map[string]any{
		"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": w.state,
		"cold_remaining_ms": 0, "seq": w.Seq, "born": w.Born,
	})
	if err != nil {
		panic(err) // the types are fixed
	}
	s.Put("keyed.servers", w.ID, data)
	return true
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Marjorampitch-Request-Id")
	if want := r.Header.Get("Marjorampitch-Expect-Instance"); want != "" && want != w.ID {
		rw.Header().Set("Marjorampitch-Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	io.Copy(io.Discard, r.Body) //nolint:errcheck // the body is short
	w.mu.Lock()
	w.arrived[id] = w.t.Now()
	w.mu.Unlock()
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	w.mu.Lock()
	w.running[id] = true
	w.mu.Unlock()
	time.Sleep(workTime)
	w.mu.Lock()
	delete(w.running, id)
	w.mu.Unlock()
	if w.leaving.Load() {
		rw.Header().Set("Server-Leaving", "1")
	}
	body := "done " + id
	rw.Header().Set("Marjorampitch-Request-Id", id)
	rw.Header().Set("Marjorampitch-Response-Seal", platform.Seal(w.ID, id))
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(rw, body) //nolint:errcheck // the caller notices
}

// leave reports draining, serves for drain_ms after the store has accepted that and a
// little longer, and exits.
func (w *worker) leave(s *platform.Store) {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.leaving.Store(true)
	w.beat(s)
	w.t.Log("worker %s: reports draining, which the store accepts, and says Server-Leaving in all its answers", w.ID)
	time.Sleep(drainMS + linger)
	w.mu.Lock()
	w.gone = true
	for id := range w.running {
		w.cut = append(w.cut, id)
	}
	cut := w.cut
	w.mu.Unlock()
	s.Put("keyed.servers", w.ID, nil)
	w.server.Close()
	w.t.Log("worker %s: exits, with %d requests underway: %v", w.ID, len(cut), cut)
}

// answer is what a client has got for a request.
type answer struct {
	front   string
	sent    time.Duration
	at      time.Duration
	status  int // 0 for none
	leaving bool
}

type client struct {
	t  *platform.Test
	mu sync.Mutex
	by map[string]answer
}

func (c *client) run(n int, ip string, stop <-chan struct{}) {
	h := &http.Client{Timeout: 2 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		id := fmt.Sprintf("%s-c%d-%d", ip[strings.LastIndexByte(ip, '.')+1:], n, i)
		req, err := http.NewRequest(http.MethodPost, "http://"+ip+":8227/once/"+id, strings.NewReader("body of "+id))
		if err != nil {
			return
		}
		req.Host = "svc.example"
		req.Header.Set("Marjorampitch-Request-Id", id)
		req.Header.Set("Marjorampitch-Deadline-Ms", "1500")
		req.Header.Set("Marjorampitch-Credential", key)
		a := answer{front: ip, sent: c.t.Now()}
		resp, err := h.Do(req)
		if err == nil {
			io.Copy(io.Discard, resp.Body) //nolint:errcheck // the status counts
			resp.Body.Close()
			a.status, a.leaving = resp.StatusCode, resp.Header.Get("Server-Leaving") != ""
		}
		a.at = c.t.Now()
		c.mu.Lock()
		c.by[id] = a
		c.mu.Unlock()
		c.t.Log("client: %s sent at %.3f s: %d, Server-Leaving %v, %v", id, a.sent.Seconds(), a.status, a.leaving, err)
	}
}

// gate is the way of one machine to the store, which may turn it away with 503.
type gate struct {
	proxy *httputil.ReverseProxy
	away  atomic.Bool
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.away.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.proxy.ServeHTTP(w, r)
}

func run(t *platform.Test, trouble bool) error {
	store, err := platform.NewStore()
	if err != nil {
		return err
	}
	store.Put("keyed.op", "config", platform.Config(1, map[string][]string{"hule930": {key}}))
	var workers []*worker
	for i := range 3 {
		w, err := newWorker(t, store, fmt.Sprintf("i-%d", i))
		if err != nil {
			return err
		}
		workers = append(workers, w)
	}
	target, err := url.Parse("http://" + store.Address)
	if err != nil {
		return err
	}
	way := &gate{proxy: httputil.NewSingleHostReverseProxy(target)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go http.Serve(ln, way) //nolint:errcheck // ends with the program
	stop := make(chan struct{})
	c := &client{t: t, by: map[string]answer{}}
	var wait sync.WaitGroup
	for i := range fronts {
		ip, address := fmt.Sprintf("127.%d.1.%d", t.Subnet, i+1), store.Address
		if i == 0 {
			address = ln.Addr().String()
		}
		if _, err := t.Start(platform.Settings{Name: fmt.Sprintf("front-za-%d", i+1), Role: "gateway", Class: "front", IP: ip, Zone: "za", Store: address}); err != nil {
			return err
		}
		if !t.AwaitReady(ip, 15*time.Second) {
			return errors.New("a front machine does not become ready")
		}
	}
	for i := range fronts {
		for n := range callers {
			wait.Add(1)
			go func() {
				defer wait.Done()
				c.run(n, fmt.Sprintf("127.%d.1.%d", t.Subnet, i+1), stop)
			}()
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		way.away.Store(true)
		t.Log("store: turns 127.%d.1.1 away with 503, and serves all others", t.Subnet)
	}
	began := t.Now()
	time.Sleep(500 * time.Millisecond)
	workers[0].leave(store)
	time.Sleep(turned - (t.Now() - began))
	way.away.Store(false)
	t.Log("store: serves all machines")
	time.Sleep(3 * time.Second)
	close(stop)
	wait.Wait()
	return judge(t, c, workers[0])
}

// judge looks for requests that reached the worker from a machine although they were sent
// later than drain_ms after that machine had passed on an answer with Server-Leaving.
func judge(t *platform.Test, c *client, w *worker) error {
	first := map[string]time.Duration{} // by front machine
	served := 0
	for _, a := range c.by {
		if a.status == http.StatusOK {
			served++
		}
		if at, ok := first[a.front]; a.leaving && (!ok || a.at < at) {
			first[a.front] = a.at
		}
	}
	if served == 0 || len(first) == 0 {
		return errors.New("no answer with Server-Leaving was passed on")
	}
	late, lost := 0, 0
	for id, at := range w.arrived {
		a, ok := c.by[id]
		said, known := first[a.front]
		if !ok || !known || a.sent <= said+drainMS {
			continue
		}
		late++
		if slices.Contains(w.cut, id) && a.status/100 != 2 {
			lost++
		}
		t.Log("late: %s sent at %.3f s, %.3f s after %s had passed on an answer with Server-Leaving, reached %s at %.3f s; the client got %d",
			id, a.sent.Seconds(), (a.sent - said).Seconds(), a.front, w.ID, at.Seconds(), a.status)
	}
	t.Log("%d requests reached %s later than drain_ms after its leaving was passed on; %d of these had begun there and were lost", late, w.ID, lost)
	if late > 0 {
		t.Break("%d requests reached a worker later than drain_ms after the machine had passed on its Server-Leaving; the answers to %d were lost", late, lost)
	}
	return nil
}

func main() {
	record := flag.String("record", "record.txt", "file that the run is written to")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	t, err := platform.NewTest(*record)
	if err != nil {
		fmt.Println(err)
		return
	}
	t.End(run(t, *trouble))
}

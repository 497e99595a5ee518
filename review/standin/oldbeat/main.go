// Command oldbeat runs two gateways before three workers of a plain service. One worker leaves as
// planned. The store carries out the last write of before, which it has not answered, some seconds
// later.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"review/standin/platform"
)

const (
	key       = "n2ctnfzs989anu6wsjnb"
	fronts    = 2
	callers   = 12 // at each front machine
	heartbeat = 1200 * time.Millisecond
	drain     = 2 * time.Second // drain_ms
	serves    = 8 * time.Second // after it has reported that it leaves: drain_ms and many seconds
	// A write that the store does not answer is done 1 to 6 s later.
	lateBy = 4100 * time.Millisecond
	// leavesAfter is the time from the worker's last write as ready to its report that it leaves.
	leavesAfter = 400 * time.Millisecond
	rounds      = 1
)

// arrival is a request that has reached a worker.
type arrival struct {
	id string
	at time.Duration
}

// worker runs requests of a plain service.
type worker struct {
	t     *platform.Test
	store *platform.Store
	id    string
	born  time.Time
	ln    net.Listener

	mu       sync.Mutex
	seq      int
	state    string
	ended    bool
	leftAt   time.Duration // when the store had taken the report that it leaves; 0 while it stays
	arrivals []arrival
}

func newWorker(t *platform.Test, s *platform.Store, id string) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{t: t, store: s, id: id, born: time.Now(), ln: ln, state: "ready"}
	go http.Serve(ln, w) //nolint:errcheck // ends with the worker
	w.write()
	return w, nil
}

// record returns the next entry.
func (w *worker) record() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	data, err := json.Marshal(map[string]any{
		"service": "desk", "address": w.ln.Addr().String(), "zone": "za", "version": "v1", "slots": 6, "state": w.state,
		"cold_remaining_ms": 0, "seq": w.seq, "born": w.born.UnixMilli(),
	})
	if err != nil {
		panic(err) // the types are fixed
	}
	return data
}

// write writes the entry.
func (w *worker) write() { w.store.Put("keyed.servers", w.id, w.record()) }

// beat writes the entry about every heartbeat_ms until the worker has left.
func (w *worker) beat(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
		w.write()
	}
}

// leave lets the worker leave: a last entry as ready, which with trouble the store carries out
// late and does not answer, then entries that say draining, then the end.
func (w *worker) leave(trouble bool) {
	last := w.record()
	if trouble {
		w.t.Log("worker %s: writes its entry (ready, seq %d); the store does not answer", w.id, w.seq)
		time.AfterFunc(lateBy, func() {
			w.store.Put("keyed.servers", w.id, last)
			w.t.Log("store: carries that write out now, %v later", lateBy)
		})
	} else {
		w.store.Put("keyed.servers", w.id, last)
	}
	time.Sleep(leavesAfter)
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.write()
	w.mu.Lock()
	w.leftAt = w.t.Now()
	w.t.Log("worker %s: the store has taken its report that it is draining (seq %d)", w.id, w.seq)
	w.mu.Unlock()
	stop := make(chan struct{})
	go w.beat(stop)
	time.Sleep(serves)
	close(stop)
	w.ln.Close()
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	w.store.Put("keyed.servers", w.id, nil)
	w.t.Log("worker %s: has left; its entry is removed", w.id)
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Marjorampitch-Request-Id")
	w.mu.Lock()
	state, ended := w.state, w.ended
	w.mu.Unlock()
	if ended {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Marjorampitch-Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("Marjorampitch-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{id, w.t.Now()})
	w.mu.Unlock()
	io.Copy(io.Discard, r.Body) //nolint:errcheck // the body is short
	time.Sleep(20 * time.Millisecond)
	body := "done " + id
	rw.Header().Set("Marjorampitch-Request-Id", id)
	rw.Header().Set("Marjorampitch-Response-Seal", platform.Seal(w.id, id))
	if state == "draining" {
		rw.Header().Set("Connection", "close") // as a worker that leaves answers
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(rw, body) //nolint:errcheck // the caller notices
}

// client sends requests one after the other and keeps when it sent them.
type client struct {
	t    *platform.Test
	mu   sync.Mutex
	sent map[string]time.Duration
	ends map[string]int
}

func (c *client) run(n int, ip string, stop <-chan struct{}) {
	h := &http.Client{Timeout: 2 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		path := "/once/"
		if n%3 == 0 {
			path = "/again/"
		}
		id := fmt.Sprintf("%s-c%d-%d", ip[strings.LastIndexByte(ip, '.')+1:], n, i)
		req, err := http.NewRequest(http.MethodPost, "http://"+ip+":8227"+path+id, strings.NewReader("body of "+id))
		if err != nil {
			return
		}
		req.Host = "svc.example"
		req.Header.Set("Marjorampitch-Request-Id", id)
		req.Header.Set("Marjorampitch-Deadline-Ms", "1500")
		req.Header.Set("Marjorampitch-Credential", key)
		c.mu.Lock()
		c.sent[id] = c.t.Now()
		c.mu.Unlock()
		end := "no answer"
		if resp, err := h.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body) //nolint:errcheck // the status is enough
			resp.Body.Close()
			end = strconv.Itoa(resp.StatusCode)
		}
		c.mu.Lock()
		c.ends[end]++
		c.mu.Unlock()
	}
}

// judge looks for requests that reached a worker later than drain_ms after the store had taken its
// report that it leaves, and were sent by their clients later than that.
func judge(t *platform.Test, w *worker, c *client) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	for _, a := range w.arrivals {
		if a.at <= w.leftAt+drain || c.sent[a.id] <= w.leftAt+drain {
			continue
		}
		late++
		if late <= 5 {
			t.Break("request %s, sent at %.3f s, reaches worker %s at %.3f s, %v after its report that it is draining",
				a.id, c.sent[a.id].Seconds(), w.id, a.at.Seconds(), (a.at - w.leftAt).Round(time.Millisecond))
		}
	}
	t.Log("worker %s: %d requests reached it later than %v after its report", w.id, late, drain)
}

func play(t *platform.Test, trouble bool) error {
	store, err := platform.NewStore()
	if err != nil {
		return err
	}
	store.Put("keyed.op", "config", platform.Config(1, map[string][]string{"hule930": {key}}))
	for i := range 2 {
		w, err := newWorker(t, store, fmt.Sprintf("i-%d", i))
		if err != nil {
			return err
		}
		go w.beat(nil)
	}
	for i := range fronts {
		ip := fmt.Sprintf("127.%d.1.%d", t.Subnet, i+1)
		if _, err := t.Start(platform.Settings{Name: fmt.Sprintf("front-za-%d", i+1), Role: "gateway", Class: "front", IP: ip, Zone: "za", Store: store.Address}); err != nil {
			return err
		}
		if !t.AwaitReady(ip, 15*time.Second) {
			return errors.New("a front machine does not become ready")
		}
	}
	c := &client{t: t, sent: map[string]time.Duration{}, ends: map[string]int{}}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range fronts {
		for n := range callers {
			wait.Add(1)
			go func() {
				defer wait.Done()
				c.run(n, fmt.Sprintf("127.%d.1.%d", t.Subnet, i+1), stop)
			}()
		}
	}
	for round := range rounds {
		w, err := newWorker(t, store, fmt.Sprintf("j-%d", round))
		if err != nil {
			return err
		}
		staying := make(chan struct{})
		go w.beat(staying)
		time.Sleep(6 * time.Second)
		close(staying)
		w.leave(trouble)
		time.Sleep(time.Second)
		if len(w.arrivals) == 0 {
			return errors.New("a worker got no requests")
		}
		judge(t, w, c)
	}
	close(stop)
	wait.Wait()
	t.Log("clients: %d requests, how they ended: %v", len(c.sent), c.ends)
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
	t.End(play(t, *trouble))
}

// Command crashpart runs two gateways before a group of model workers. One part of a prompt
// crashes each worker that has begun to write an answer on it: the worker writes the first event
// and crashes.
package main

import (
	"bufio"
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
	fronts   = 2
	callers  = 12 // at each front machine
	ranks    = 12
	slots    = 12
	whole    = 12 // events of a stream
	prefill  = 2  // passes until the first event
	passTime = 60 * time.Millisecond
	stall    = 1500 * time.Millisecond // stall_ms
	back     = 2 * time.Second         // a crashed worker is back after so long
	form     = 600 * time.Millisecond  // form_ms
	cold     = 3 * time.Second         // cold_start_s
	window   = 3 * time.Second         // stability_window_ms
	beat     = 1200 * time.Millisecond // heartbeat_ms

	badPart   = "dead0bad"
	badEvery  = 1400 * time.Millisecond // between two requests with that part, at alternate machines
	badFrom   = 6 * time.Second
	length    = 52 * time.Second
	maxToPart = 3 // requests with the part that may reach workers after the bound
)

// group is a group of model workers that execute all passes together.
type group struct {
	t       *platform.Test
	store   *platform.Store
	workers []*worker

	mu      sync.Mutex
	streams map[*stream]bool
	down    string        // id of the worker that has crashed; empty while the group is open
	cutAt   time.Duration // when the streams that stall are cut off
	crashes []time.Duration
	late    []string // requests with the part that reached workers later than window after the fifth crash
	reached int      // requests with the part that reached workers
}

// worker is one address; each start is a new lifetime.
type worker struct {
	g       *group
	address string
	rank    int

	mu    sync.Mutex
	id    string
	born  time.Time
	seq   int
	up    bool
	conns map[net.Conn]bool
}

type stream struct {
	w    *worker
	id   string
	bad  bool
	conn net.Conn
	wait int
	sent int // id of the last event
	done chan struct{}
}

func newGroup(t *platform.Test, s *platform.Store) (*group, error) {
	g := &group{t: t, store: s, streams: map[*stream]bool{}}
	for i := range ranks {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w := &worker{g: g, address: ln.Addr().String(), rank: i, conns: map[net.Conn]bool{}}
		listeners.Store(w.address, ln)
		g.workers = append(g.workers, w)
		w.start(ln, 0)
	}
	go g.run()
	return g, nil
}

// start begins a lifetime of the worker.
func (w *worker) start(ln net.Listener, coldFor time.Duration) {
	w.mu.Lock()
	w.born, w.seq, w.up = time.Now(), 0, true
	w.id = fmt.Sprintf("m-%d-%x", w.rank, w.born.UnixMilli()&0xffffff)
	id := w.id
	w.mu.Unlock()
	srv := &http.Server{Handler: w, ConnState: w.connState}
	go srv.Serve(ln) //nolint:errcheck // ends with the lifetime
	go w.beat(id, coldFor)
}

func (w *worker) connState(c net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch s {
	case http.StateNew:
		w.conns[c] = true
	case http.StateClosed:
		delete(w.conns, c)
	}
}

// beat writes the entry of a lifetime until it ends. The entry is removed after three intervals
// of silence.
func (w *worker) beat(id string, coldFor time.Duration) {
	for {
		w.mu.Lock()
		if !w.up || w.id != id {
			w.mu.Unlock()
			break
		}
		w.seq++
		data, err := json.Marshal(map[string]any{
			"service": "models", "address": w.address, "zone": "za", "version": "v1", "slots": slots, "state": "ready",
			"cold_remaining_ms": max(0, (coldFor - time.Since(w.born)).Milliseconds()), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		if err != nil {
			panic(err) // the types are fixed
		}
		w.g.store.Put("keyed.servers", id, data)
		time.Sleep(beat)
	}
	time.Sleep(3 * beat)
	w.g.store.Put("keyed.servers", id, nil)
}

// crash ends the lifetime: all channels are reset and nothing listens until the worker is back.
// The caller holds the group's mu.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0) //nolint:errcheck // the channel is closed next
		}
		c.Close()
	}
	clear(w.conns)
	w.mu.Unlock()
}

// writesFirst says whether a worker writes an event of its answer before it crashes.
var writesFirst bool

// listeners are those of the workers that are up, by address.
var listeners sync.Map

// run executes the passes of the group.
func (g *group) run() {
	for {
		time.Sleep(passTime)
		g.mu.Lock()
		switch {
		case g.down == "":
			g.pass()
		case g.t.Now() >= g.cutAt:
			for x := range g.streams {
				g.reset(x)
			}
		}
		g.mu.Unlock()
	}
}

// pass writes one event of each stream. A worker that has begun to write an answer on the bad
// part crashes. The caller holds mu.
func (g *group) pass() {
	for x := range g.streams {
		if x.wait > 0 {
			x.wait--
			continue
		}
		if x.bad && !writesFirst {
			g.crash(x.w, x)
			return
		}
		x.sent++
		event := fmt.Sprintf("id: %d\ndata: %d of %s\n\n", x.sent, x.sent, x.id)
		fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(event), event) //nolint:errcheck // noticed by its reader
		if x.bad {
			g.crash(x.w, x)
			return
		}
		if x.sent >= whole {
			io.WriteString(x.conn, "0\r\n\r\n") //nolint:errcheck // as above
			x.conn.Close()
			g.end(x)
		}
	}
}

func (g *group) end(x *stream) {
	if g.streams[x] {
		delete(g.streams, x)
		close(x.done)
	}
}

func (g *group) reset(x *stream) {
	if tcp, ok := x.conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // the channel is closed next
	}
	x.conn.Close()
	g.end(x)
}

// crash lets a worker crash because of a stream. The caller holds mu.
func (g *group) crash(w *worker, x *stream) {
	now := g.t.Now()
	g.crashes = append(g.crashes, now)
	w.mu.Lock()
	id := w.id
	w.mu.Unlock()
	g.t.Log("worker %s: has written event %d of %s, which holds the part %s, and crashes (crash %d)", id, x.sent, x.id, badPart, len(g.crashes))
	g.down, g.cutAt = id, now+stall
	for y := range g.streams {
		if y.w == w {
			g.reset(y)
		}
	}
	if ln, ok := listeners.LoadAndDelete(w.address); ok {
		ln.(net.Listener).Close()
	}
	w.crash()
	go g.restart(w)
}

// restart brings a crashed worker back, cold, and the group forms anew.
func (g *group) restart(w *worker) {
	time.Sleep(back)
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		g.t.Log("worker at %s: %v", w.address, err)
		return
	}
	listeners.Store(w.address, ln)
	w.start(ln, cold)
	time.Sleep(form)
	g.mu.Lock()
	g.down = ""
	g.mu.Unlock()
}

// reach records that a request with the part reaches a worker. The caller holds mu.
func (g *group) reach(id string) {
	g.reached++
	if len(g.crashes) >= 5 && g.t.Now() > g.crashes[4]+window {
		g.late = append(g.late, id)
	}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Marjorampitch-Request-Id")
	w.mu.Lock()
	own, up := w.id, w.up
	w.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Marjorampitch-Expect-Instance"); want != "" && want != own {
		rw.Header().Set("Marjorampitch-Instance-Id", own)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	io.Copy(io.Discard, r.Body) //nolint:errcheck // the body is short
	x := &stream{w: w, id: id, wait: prefill, done: make(chan struct{})}
	x.sent, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	x.bad = strings.Contains(r.Header.Get("Marjorampitch-Prompt-Prefix"), badPart+":")
	g := w.g
	g.mu.Lock()
	down := g.down
	if x.bad && down == "" {
		g.reach(id)
	}
	g.mu.Unlock()
	if down != "" {
		rw.Header().Set("Marjorampitch-Request-Id", id)
		rw.Header().Set("Marjorampitch-Not-Executed", "1")
		rw.Header().Set("At-Server", down)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	x.conn = conn
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMarjorampitch-Request-Id: %s\r\nMarjorampitch-Response-Seal: %s\r\n"+
		"Marjorampitch-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n", id, platform.Seal(own, id))
	if x.bad {
		g.t.Log("worker %s: runs %s after event %d", own, id, x.sent)
	}
	g.mu.Lock()
	g.streams[x] = true
	g.mu.Unlock()
	go func() { // drops the request when its channel closes
		io.Copy(io.Discard, conn) //nolint:errcheck // see above
		g.mu.Lock()
		g.end(x)
		g.mu.Unlock()
		conn.Close()
	}()
	<-x.done
}

// count is what clients of sound requests have got.
type count struct {
	mu                     sync.Mutex
	sent, whole, other     int
	badSent, bad503, badIn int
}

func (c *count) add(f func()) {
	c.mu.Lock()
	f()
	c.mu.Unlock()
}

// call sends one stream and returns its status and the number of events that arrived.
func call(ip, id, parts string) (status, n int) {
	conn, err := net.Dial("tcp", ip+":8227")
	if err != nil {
		return 0, 0
	}
	defer conn.Close()
	body := "prompt of " + id
	fmt.Fprintf(conn, "POST /draft/%s HTTP/1.1\r\nHost: svc.example\r\nMarjorampitch-Request-Id: %s\r\nMarjorampitch-Deadline-Ms: 8000\r\n"+
		"Marjorampitch-Credential: %s\r\nMarjorampitch-Model: m\r\nMarjorampitch-Token-Counts: 600,96\r\n"+
		"Marjorampitch-Prompt-Prefix: %s,%x:560\r\nContent-Length: %d\r\n\r\n%s", id, id, platform.ModelKey, parts, time.Now().UnixNano(), len(body), body)
	const patience = 2 * time.Second               // for an event
	conn.SetReadDeadline(time.Now().Add(patience)) //nolint:errcheck // the channel is open
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	for {
		conn.SetReadDeadline(time.Now().Add(patience)) //nolint:errcheck // as above
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			n++
		}
		if err != nil {
			return resp.StatusCode, n
		}
	}
}

func play(t *platform.Test, trouble bool) error {
	store, err := platform.NewStore()
	if err != nil {
		return err
	}
	store.Put("keyed.op", "config", platform.ModelConfig(1))
	g, err := newGroup(t, store)
	if err != nil {
		return err
	}
	var ips []string
	for i := range fronts {
		ip := fmt.Sprintf("127.%d.1.%d", t.Subnet, i+1)
		ips = append(ips, ip)
		if _, err := t.Start(platform.Settings{Name: fmt.Sprintf("front-za-%d", i+1), Role: "gateway", Class: "front", IP: ip, Zone: "za", Store: store.Address}); err != nil {
			return err
		}
		if !t.AwaitReady(ip, 15*time.Second) {
			return errors.New("a front machine does not become ready")
		}
	}
	c := &count{}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range fronts * callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				sent := t.Now()
				status, events := call(ips[i%fronts], id, "5c1e07a2:40")
				t.Log("client: %s sent at %.3f s to %s: %d, %d events", id, sent.Seconds(), ips[i%fronts], status, events)
				c.add(func() {
					c.sent++
					if events == whole {
						c.whole++
					} else {
						c.other++
					}
				})
			}
		}()
	}
	time.Sleep(badFrom)
	c.mu.Lock()
	t.Log("clients: %d sound streams sent, %d whole until now", c.sent, c.whole)
	c.sent, c.whole, c.other = 0, 0, 0
	c.mu.Unlock()
	if trouble {
		t.Log("clients: requests with the part %s, no two alike, come from now on, one each %v", badPart, badEvery)
		tick := time.NewTicker(badEvery)
		defer tick.Stop()
		for n := 0; t.Now() < length; n++ {
			<-tick.C
			wait.Add(1)
			go func() {
				defer wait.Done()
				id := fmt.Sprintf("bad-%d", n)
				sent := t.Now()
				status, events := call(ips[n%fronts], id, "5c1e07a2:40,"+badPart+":30")
				t.Log("client: %s sent at %.3f s to %s: %d, %d events", id, sent.Seconds(), ips[n%fronts], status, events)
				c.add(func() {
					c.badSent++
					switch status {
					case http.StatusServiceUnavailable:
						c.bad503++
					case http.StatusOK:
						c.badIn++
					}
				})
			}()
		}
	} else {
		time.Sleep(15 * time.Second)
	}
	close(stop)
	wait.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	t.Log("clients: since then %d sound streams sent, %d whole, %d not; %d streams with the part sent, %d refused with 503, %d begun",
		c.sent, c.whole, c.other, c.badSent, c.bad503, c.badIn)
	t.Log("workers: %d crashes; %d requests with the part reached a worker of an open group, %d of them later than %v after the fifth crash",
		len(g.crashes), g.reached, len(g.late), window)
	if len(g.late) > maxToPart {
		t.Break("%d requests with a part that crashes workers reach workers later than stability_window_ms after the fifth crash; %d are allowed: %v",
			len(g.late), maxToPart, g.late)
	}
	if c.whole == 0 && !trouble || trouble && g.reached == 0 {
		return errors.New("nothing was served")
	}
	return nil
}

func main() {
	record := flag.String("record", "record.txt", "file that the run is written to")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.BoolVar(&writesFirst, "writes", true, "a worker that crashes has written an event; for comparison")
	logs := flag.String("logs", "", "process whose log is printed at the end, for analysis")
	flag.Parse()
	t, err := platform.NewTest(*record)
	if err != nil {
		fmt.Println(err)
		return
	}
	err = play(t, *trouble)
	if *logs != "" {
		fmt.Println(t.LogOf(*logs))
	}
	t.End(err)
}

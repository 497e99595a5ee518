// Command cutstream runs two gateways before a group of twelve model workers, which write their
// streams without a length and without chunks: such a stream ends with its channel. A worker
// crashes, so that its group stalls and then cuts its streams off, and a gateway stands still
// meanwhile for less than a second.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/standin/platform"
)

const (
	fronts   = 2
	callers  = 16 // at each front machine
	ranks    = 12
	slots    = 12
	events   = 24
	prefill  = 2 // passes until the first event
	passTime = 90 * time.Millisecond
	stall    = 1500 * time.Millisecond // stall_ms
	dark     = 4500 * time.Millisecond // for_s of srv_crash
	form     = 600 * time.Millisecond  // form_ms
	// The gateway stands still from freezeAfter after the crash for freeze.
	freezeAfter = 900 * time.Millisecond
	freeze      = 800 * time.Millisecond
)

// group is a group of model workers that execute all passes together.
type group struct {
	t       *platform.Test
	workers []*worker

	mu      sync.Mutex
	streams map[*stream]bool
	crashed *worker       // nil while the group is open
	cutAt   time.Duration // when the streams that stall are cut off
	cut     map[string]int
}

type worker struct {
	platform.Entry
	g *group
}

// stream is a request that runs.
type stream struct {
	w    *worker
	id   string
	conn *net.TCPConn
	wait int
	sent int // id of the last event
	done chan struct{}
}

func newGroup(t *platform.Test, s *platform.Store) (*group, error) {
	g := &group{t: t, streams: map[*stream]bool{}, cut: map[string]int{}}
	for i := range ranks {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w := &worker{g: g, Entry: platform.Entry{
			ID: fmt.Sprintf("m-%d", i), Service: "models", Address: ln.Addr().String(), Zone: "za", Slots: slots, Born: time.Now().UnixMilli(),
		}}
		g.workers = append(g.workers, w)
		go http.Serve(ln, w) //nolint:errcheck // ends with the program
		go w.Beat(s)
	}
	go g.run()
	return g, nil
}

// run executes the passes of the group.
func (g *group) run() {
	for {
		time.Sleep(passTime)
		g.mu.Lock()
		switch {
		case g.crashed == nil:
			g.pass()
		case g.t.Now() >= g.cutAt && len(g.streams) > 0:
			g.t.Log("group: %d streams are cut off after a stall of %v", len(g.streams), stall)
			for x := range g.streams {
				g.reset(x)
			}
		}
		g.mu.Unlock()
	}
}

// pass writes one event of each stream. The caller holds mu.
func (g *group) pass() {
	for x := range g.streams {
		if x.wait > 0 {
			x.wait--
			continue
		}
		x.sent++
		fmt.Fprintf(x.conn, "id: %d\ndata: %d of %s\n\n", x.sent, x.sent, x.id) //nolint:errcheck // noticed by its reader
		if x.sent >= events {
			x.conn.Close()
			g.end(x)
		}
	}
}

// end forgets a stream. The caller holds mu.
func (g *group) end(x *stream) {
	if g.streams[x] {
		delete(g.streams, x)
		close(x.done)
	}
}

// reset breaks a stream off between two events. The caller holds mu.
func (g *group) reset(x *stream) {
	x.conn.SetLinger(0) //nolint:errcheck // the channel is closed next
	x.conn.Close()
	g.cut[x.id] = x.sent
	g.end(x)
}

// crash lets a worker crash: its channels are reset, and the group stalls.
func (g *group) crash(w *worker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashed, g.cutAt = w, g.t.Now()+stall
	g.t.Log("worker %s: crashes; %d streams of its group stall", w.ID, len(g.streams))
	for x := range g.streams {
		if x.w == w {
			g.reset(x)
		}
	}
}

// form lets the group make passes again.
func (g *group) form() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashed = nil
	g.t.Log("group: formed anew")
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Marjorampitch-Request-Id")
	if want := r.Header.Get("Marjorampitch-Expect-Instance"); want != "" && want != w.ID {
		rw.Header().Set("Marjorampitch-Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	io.Copy(io.Discard, r.Body) //nolint:errcheck // the body is short
	x := &stream{w: w, id: id, wait: prefill, done: make(chan struct{})}
	x.sent, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	g := w.g
	g.mu.Lock()
	crashed := g.crashed
	g.mu.Unlock()
	if crashed == w {
		panic(http.ErrAbortHandler) // it answers nothing
	}
	if crashed != nil {
		rw.Header().Set("Marjorampitch-Request-Id", id)
		rw.Header().Set("Marjorampitch-Not-Executed", "1")
		rw.Header().Set("At-Server", crashed.ID)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	x.conn = conn.(*net.TCPConn)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMarjorampitch-Request-Id: %s\r\nMarjorampitch-Response-Seal: %s\r\n"+
		"Marjorampitch-Weight-Versions: 1\r\nConnection: close\r\n\r\n", id, platform.Seal(w.ID, id))
	g.t.Log("worker %s: runs %s after event %d", w.ID, id, x.sent)
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

// count is what clients have got.
type count struct {
	mu                             sync.Mutex
	whole, broken, refused, gaveUp int
	short                          int
}

// patience is the gap after which clients abandon a stream.
const patience = 2 * time.Second

// call sends one stream and checks what arrives.
func call(t *platform.Test, g *group, c *count, ip, id string) {
	conn, err := net.Dial("tcp", ip+":8227")
	if err != nil {
		return
	}
	defer conn.Close()
	sent, how := t.Now(), "no answer"
	defer func() { t.Log("client: %s sent at %.3f s to %s: %s", id, sent.Seconds(), ip, how) }()
	body := strings.Repeat("p", 700)
	fmt.Fprintf(conn, "POST /draft/%s HTTP/1.1\r\nHost: svc.example\r\nMarjorampitch-Request-Id: %s\r\nMarjorampitch-Deadline-Ms: 8000\r\n"+
		"Marjorampitch-Credential: %s\r\nMarjorampitch-Model: m\r\nMarjorampitch-Token-Counts: 600,96\r\n"+
		"Marjorampitch-Prompt-Prefix: 5c1e07a2:40,%x:560\r\nContent-Length: %d\r\n\r\n%s", id, id, platform.ModelKey, time.Now().UnixNano(), len(body), body)
	conn.SetReadDeadline(time.Now().Add(patience)) //nolint:errcheck // the channel is open
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.add(func() { c.gaveUp++ })
		return
	}
	defer resp.Body.Close()
	how = strconv.Itoa(resp.StatusCode)
	if resp.StatusCode != http.StatusOK {
		c.add(func() { c.refused++ })
		return
	}
	lines := bufio.NewReader(resp.Body)
	last := 0
	for {
		conn.SetReadDeadline(time.Now().Add(patience)) //nolint:errcheck // as above
		line, err := lines.ReadString('\n')
		if n, ok := strings.CutPrefix(line, "id: "); ok && err == nil {
			event, _ := strconv.Atoi(strings.TrimSpace(n))
			if event != last+1 {
				t.Break("stream %s: event %d follows event %d", id, event, last)
			}
			last = event
		}
		if err == nil {
			continue
		}
		how += fmt.Sprintf(", events to %d, then %v", last, err)
		end(t, g, c, id, last, err)
		return
	}
}

// end judges how a stream has ended.
func end(t *platform.Test, g *group, c *count, id string, last int, err error) {
	var timeout net.Error
	switch {
	case err == io.EOF && last == events:
		c.add(func() { c.whole++ })
	case err == io.EOF:
		c.add(func() { c.short++ })
		g.mu.Lock()
		sent, cut := g.cut[id]
		g.mu.Unlock()
		t.Break("stream %s ends as complete after event %d of %d; its worker was cut off after event %d: %v", id, last, events, sent, cut)
	case errors.As(err, &timeout) && timeout.Timeout():
		c.add(func() { c.gaveUp++ })
	default:
		c.add(func() { c.broken++ })
	}
}

func (c *count) add(f func()) {
	c.mu.Lock()
	f()
	c.mu.Unlock()
}

func (c *count) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d whole, %d broken off, %d refused, %d given up after %v without an event, %d short and yet complete",
		c.whole, c.broken, c.refused, c.gaveUp, patience, c.short)
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
	var gateways []*platform.Process
	for i := range fronts {
		ip := fmt.Sprintf("127.%d.1.%d", t.Subnet, i+1)
		p, err := t.Start(platform.Settings{Name: fmt.Sprintf("front-za-%d", i+1), Role: "gateway", Class: "front", IP: ip, Zone: "za", Store: store.Address})
		if err != nil {
			return err
		}
		gateways = append(gateways, p)
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
			ip := fmt.Sprintf("127.%d.1.%d", t.Subnet, i%fronts+1)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				call(t, g, c, ip, fmt.Sprintf("c%d-%d", i, n))
			}
		}()
	}
	time.Sleep(8 * time.Second)
	t.Log("clients: %s until now", c)
	if trouble {
		w := g.workers[ranks-1]
		g.crash(w)
		go func() {
			time.Sleep(dark + form)
			g.form()
		}()
		time.Sleep(freezeAfter)
		t.Log("%s: stands still", gateways[0].Name)
		gateways[0].Signal(syscall.SIGSTOP)
		time.Sleep(freeze)
		gateways[0].Signal(syscall.SIGCONT)
		t.Log("%s: goes on after %v", gateways[0].Name, freeze)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	wait.Wait()
	t.Log("clients: %s", c)
	if c.whole == 0 {
		return errors.New("nothing was served")
	}
	return nil
}

func main() {
	record := flag.String("record", "record.txt", "file that the run is written to")
	trouble := flag.Bool("trouble", true, "with the disruption")
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

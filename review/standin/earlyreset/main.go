// Command earlyreset runs two gateways before three workers of a plain service. The workers
// answer long requests before they have read them, without a length: such an answer ends with
// its channel. One of the workers breaks some of these answers off, which resets the channel.
package main

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"review/standin/platform"
)

const (
	key       = "n2ctnfzs989anu6wsjnb"
	fronts    = 2
	callers   = 8 // at each front machine
	longEvery = 8 // one in so many requests of a caller has a long body
	longBody  = 4_000_000
	shortBody = 600
	x         = 0.02                    // of the worker's answers, as garble says
	spell     = 5500 * time.Millisecond // for_s of garble
	longFrom  = 1 << 20                 // bytes from which on a request is long to a worker
	window    = 64 << 10                // of a worker's channels: links have small windows
)

// run is a request that a worker has run.
type run struct {
	at   time.Duration
	body string // the whole body of its answer
	sent int    // bytes of it that were sent
}

// worker runs requests of a plain service.
type worker struct {
	platform.Entry
	t *platform.Test

	mu       sync.Mutex
	garbles  bool
	answered int // since it garbles
	broken   int // of these
	runs     map[string]run
}

// smallWindows is a listener of channels with small windows.
type smallWindows struct{ net.Listener }

func (l smallWindows) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		c.(*net.TCPConn).SetReadBuffer(window) //nolint:errcheck // the run says whether it matters
	}
	return c, err
}

func newWorker(t *platform.Test, s *platform.Store, id string) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		t: t, runs: map[string]run{},
		Entry: platform.Entry{ID: id, Service: "desk", Address: ln.Addr().String(), Zone: "za", Slots: 6, Born: time.Now().UnixMilli()},
	}
	go http.Serve(smallWindows{ln}, w) //nolint:errcheck // ends with the program
	go w.Beat(s)
	return w, nil
}

// breaksOff decides whether an answer is broken off: only those to long requests are, and no
// more than the share x of all answers.
func (w *worker) breaksOff(long bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.garbles {
		return false
	}
	w.answered++
	if !long || float64(w.broken+1) > x*float64(w.answered) {
		return false
	}
	w.broken++
	return true
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Marjorampitch-Request-Id")
	if want := r.Header.Get("Marjorampitch-Expect-Instance"); want != "" && want != w.ID {
		rw.Header().Set("Marjorampitch-Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	long := r.ContentLength >= longFrom
	body := "confirmation of " + id + "\n" + strings.Repeat("0123456789abcdef", 48)
	breaksOff := w.breaksOff(long)
	w.mu.Lock()
	w.runs[id] = run{w.t.Now(), body, len(body)}
	if breaksOff {
		w.runs[id] = run{w.t.Now(), body, len(body) / 2}
	}
	w.mu.Unlock()
	if long {
		w.answerEarly(rw, r, id, body, breaksOff)
		return
	}
	io.Copy(io.Discard, r.Body) //nolint:errcheck // the caller notices
	time.Sleep(5 * time.Millisecond)
	rw.Header().Set("Marjorampitch-Request-Id", id)
	rw.Header().Set("Marjorampitch-Response-Seal", platform.Seal(w.ID, id))
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(rw, body) //nolint:errcheck // as above
}

// answerEarly answers before the request has been read, without a length. A whole answer ends
// when all of the request has been read; one that is broken off ends at once, with bytes of
// the request unread, which resets the channel.
func (w *worker) answerEarly(rw http.ResponseWriter, r *http.Request, id, body string, breaksOff bool) {
	conn, buffered, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if breaksOff {
		body = body[:len(body)/2]
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nMarjorampitch-Request-Id: %s\r\nMarjorampitch-Response-Seal: %s\r\nConnection: close\r\n\r\n%s",
		id, platform.Seal(w.ID, id), body)
	if breaksOff {
		time.Sleep(20 * time.Millisecond)
		w.t.Log("worker %s: runs %s, sends %d bytes of its answer, which has no length, and breaks off: reset", w.ID, id, len(body))
		return
	}
	io.CopyN(io.Discard, buffered, r.ContentLength) //nolint:errcheck // the caller notices
}

// answer is what a client has sent, and got for it.
type answer struct {
	at     time.Duration // when the request was sent
	path   string
	bytes  int // of its body
	status int
	body   string
	length string // as stated
	err    error
}

type client struct {
	t  *platform.Test
	mu sync.Mutex
	by map[string]answer
}

var longText = strings.Repeat("x", longBody)

func (c *client) run(n int, ip string, stop <-chan struct{}) {
	h := &http.Client{Timeout: 2 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		path, body := "/once/", longText[:shortBody]
		if n%2 == 0 {
			path = "/again/"
		}
		if (n+i)%longEvery == 0 {
			body = longText
		}
		id := fmt.Sprintf("%s-c%d-%d", ip[strings.LastIndexByte(ip, '.')+1:], n, i)
		req, err := http.NewRequest(http.MethodPost, "http://"+ip+":8227"+path+id, strings.NewReader(body))
		if err != nil {
			return
		}
		req.Host = "svc.example"
		req.Header.Set("Marjorampitch-Request-Id", id)
		req.Header.Set("Marjorampitch-Deadline-Ms", "1500")
		req.Header.Set("Marjorampitch-Credential", key)
		a := answer{at: c.t.Now(), path: path, bytes: len(body)}
		resp, err := h.Do(req)
		if err == nil {
			var data []byte
			data, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			a.status, a.body, a.length = resp.StatusCode, string(data), resp.Header.Get("Content-Length")
		}
		a.err = err
		c.mu.Lock()
		c.by[id] = a
		c.mu.Unlock()
	}
}

func play(t *platform.Test, trouble bool) error {
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
	for i := range fronts {
		ip := fmt.Sprintf("127.%d.1.%d", t.Subnet, i+1)
		if _, err := t.Start(platform.Settings{Name: fmt.Sprintf("front-za-%d", i+1), Role: "gateway", Class: "front", IP: ip, Zone: "za", Store: store.Address}); err != nil {
			return err
		}
		if !t.AwaitReady(ip, 15*time.Second) {
			return errors.New("a front machine does not become ready")
		}
	}
	stop := make(chan struct{})
	c := &client{t: t, by: map[string]answer{}}
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
	time.Sleep(4 * time.Second)
	set := func(garbles bool) {
		workers[0].mu.Lock()
		workers[0].garbles = garbles
		workers[0].mu.Unlock()
	}
	from := t.Now()
	set(trouble)
	t.Log("workers: %s breaks %v of its answers off from now on: %v", workers[0].ID, x, trouble)
	time.Sleep(spell)
	set(false)
	until := t.Now()
	time.Sleep(3 * time.Second)
	close(stop)
	wait.Wait()
	write(t, workers, c, from, until)
	return judge(t, workers, c, trouble)
}

// write records the requests that were sent within a span, in their order.
func write(t *platform.Test, workers []*worker, c *client, from, until time.Duration) {
	var ids []string
	for id, a := range c.by {
		if a.at >= from && a.at < until {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(c.by[a].at, c.by[b].at) })
	t.Log("the %d requests that were sent from %.3f s to %.3f s, of %d in all:", len(ids), from.Seconds(), until.Seconds(), len(c.by))
	for _, id := range ids {
		a, ran := c.by[id], ""
		for _, w := range workers {
			if r, ok := w.runs[id]; ok {
				ran += fmt.Sprintf("; run by %s at %.3f s, %d of %d B sent", w.ID, r.at.Seconds(), r.sent, len(r.body))
			}
		}
		end := fmt.Sprintf("%d, %d B", a.status, len(a.body))
		if a.err != nil {
			end = a.err.Error()
		}
		t.Log("  %.3f s POST %s%s, %d B: %s%s", a.at.Seconds(), a.path, id, a.bytes, end, ran)
	}
}

// judge compares each success that a client has got with the bodies that workers have made.
func judge(t *platform.Test, workers []*worker, c *client, trouble bool) error {
	statuses := map[string]int{}
	short := 0
	for id, a := range c.by {
		if a.err != nil {
			statuses["no answer"]++
			continue
		}
		statuses[strconv.Itoa(a.status)]++
		if a.status/100 != 2 {
			continue
		}
		whole, ran := false, ""
		for _, w := range workers {
			if r, ok := w.runs[id]; ok {
				whole = whole || r.sent == len(r.body) && r.body == a.body
				ran += fmt.Sprintf(" %s, which sent %d of %d bytes", w.ID, r.sent, len(r.body))
			}
		}
		if !whole {
			short++
			t.Break("the client of %s got %d with Content-Length %s and %d bytes, which look complete; it was run by%s",
				id, a.status, a.length, len(a.body), ran)
		}
	}
	t.Log("clients: %d requests, how they ended: %v; %d successes are not a worker's whole body; %s broke off %d of its %d answers of that time",
		len(c.by), statuses, short, workers[0].ID, workers[0].broken, workers[0].answered)
	if statuses["200"] == 0 || trouble && workers[0].broken == 0 {
		return errors.New("nothing was served, or no answer was broken off")
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
	t.End(play(t, *trouble))
}

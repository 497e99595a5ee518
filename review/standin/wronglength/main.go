// Command wronglength runs two gateways before three workers of a plain service, one of which
// spoils some of its answers: the head states a wrong length, and the body breaks off.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/standin/platform"
)

const (
	key     = "n2ctnfzs989anu6wsjnb"
	fronts  = 2
	callers = 12                      // at each front machine
	x       = 0.02                    // of the worker's answers, as garble says
	spell   = 5500 * time.Millisecond // for_s of garble
	// wrongLength is the largest number that an HTTP implementation with 64-bit signed
	// lengths accepts.
	wrongLength = "9223372036854775807"
)

// worker runs requests of a plain service.
type worker struct {
	platform.Entry
	t       *platform.Test
	garbles atomic.Bool

	mu     sync.Mutex
	whole  map[string]string // body by request
	broken map[string]int    // bytes of the body that were sent, by request whose answer was spoilt
}

func newWorker(t *platform.Test, s *platform.Store, id string) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		t: t, whole: map[string]string{}, broken: map[string]int{},
		Entry: platform.Entry{ID: id, Service: "desk", Address: ln.Addr().String(), Zone: "za", Slots: 6, Born: time.Now().UnixMilli()},
	}
	go http.Serve(ln, w) //nolint:errcheck // ends with the program
	go w.Beat(s)
	return w, nil
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Marjorampitch-Request-Id")
	if want := r.Header.Get("Marjorampitch-Expect-Instance"); want != "" && want != w.ID {
		rw.Header().Set("Marjorampitch-Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	io.Copy(io.Discard, r.Body) //nolint:errcheck // the body is short
	time.Sleep(5 * time.Millisecond)
	body := "confirmation of " + id + "\n" + strings.Repeat("0123456789abcdef", 48)
	spoil := w.garbles.Load() && rand.Float64() < x
	w.mu.Lock()
	w.whole[id] = body
	if spoil {
		w.broken[id] = len(body) / 2
	}
	w.mu.Unlock()
	if spoil {
		w.spoil(rw, id, body)
		return
	}
	rw.Header().Set("Marjorampitch-Request-Id", id)
	rw.Header().Set("Marjorampitch-Response-Seal", platform.Seal(w.ID, id))
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(rw, body) //nolint:errcheck // the caller notices
}

// spoil sends a head with a wrong length and half of the body, and closes.
func (w *worker) spoil(rw http.ResponseWriter, id, body string) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nMarjorampitch-Request-Id: %s\r\nMarjorampitch-Response-Seal: %s\r\nContent-Length: %s\r\n\r\n%s",
		id, platform.Seal(w.ID, id), wrongLength, body[:len(body)/2])
	w.t.Log("worker %s: runs %s, states a length of %s, sends %d of %d bytes and closes", w.ID, id, wrongLength, len(body)/2, len(body))
}

// answer is what a client has got for a request.
type answer struct {
	status int
	body   string
	length string // as stated
	err    error
}

type client struct {
	mu sync.Mutex
	by map[string]answer
}

func (c *client) run(n int, ip string, stop <-chan struct{}) {
	h := &http.Client{Timeout: 2 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		method, path := http.MethodPost, "/once/"
		if n%3 == 0 {
			path = "/again/"
		}
		id := fmt.Sprintf("%s-c%d-%d", ip[strings.LastIndexByte(ip, '.')+1:], n, i)
		req, err := http.NewRequest(method, "http://"+ip+":8227"+path+id, strings.NewReader("body of "+id))
		if err != nil {
			return
		}
		req.Host = "svc.example"
		req.Header.Set("Marjorampitch-Request-Id", id)
		req.Header.Set("Marjorampitch-Deadline-Ms", "1500")
		req.Header.Set("Marjorampitch-Credential", key)
		var a answer
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
	c := &client{by: map[string]answer{}}
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
	workers[0].garbles.Store(trouble)
	t.Log("workers: %s spoils %v of its answers from now on: %v", workers[0].ID, x, trouble)
	time.Sleep(spell)
	workers[0].garbles.Store(false)
	time.Sleep(3 * time.Second)
	close(stop)
	wait.Wait()

	served, spoilt := 0, 0
	for id, a := range c.by {
		if a.err != nil || a.status/100 != 2 {
			continue
		}
		served++
		whole, ran := false, ""
		for _, w := range workers {
			body, ok := w.whole[id]
			if _, cut := w.broken[id]; ok && !cut && body == a.body {
				whole = true
			}
			if ok {
				ran += " " + w.ID
			}
		}
		if whole {
			continue
		}
		spoilt++
		if spoilt <= 10 {
			t.Break("the client of %s got %d with Content-Length %s and %d bytes %.40q, which look complete; no worker's whole body is that (run by%s)", id, a.status, a.length, len(a.body), a.body, ran)
		}
	}
	t.Log("clients: %d requests, %d successes, of these %d with a body that is not the worker's whole body; %s broke off %d answers",
		len(c.by), served, spoilt, workers[0].ID, len(workers[0].broken))
	if served == 0 || trouble && len(workers[0].broken) == 0 {
		return errors.New("nothing was served, or no answer was spoilt")
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

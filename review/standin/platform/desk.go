package platform

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one request that a worker has begun to work on.
type Run struct {
	ID, Tenant, Worker string
	At                 time.Duration // on the clock of the test
}

// Desk is a plain service's worker. It runs every request that is addressed to it.
type Desk struct {
	Entry
	t *Test

	mu   sync.Mutex
	runs []Run
}

// NewDesk starts a worker on a free loopback port and lets it write its entry.
func NewDesk(t *Test, s *Store, id string) (*Desk, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Desk{t: t, Entry: Entry{ID: id, Service: "desk", Address: ln.Addr().String(), Zone: "za", Slots: 6, Born: time.Now().UnixMilli()}}
	go http.Serve(ln, d) //nolint:errcheck // ends with the program
	go d.Beat(s)
	return d, nil
}

// ServeHTTP runs a request.
func (d *Desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Marjorampitch-Request-Id")
	if want := r.Header.Get("Marjorampitch-Expect-Instance"); want != "" && want != d.ID {
		w.Header().Set("Marjorampitch-Instance-Id", d.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	io.Copy(io.Discard, r.Body) //nolint:errcheck // the body is short
	d.mu.Lock()
	d.runs = append(d.runs, Run{id, r.Header.Get("Marjorampitch-Tenant"), d.ID, d.t.Now()})
	d.mu.Unlock()
	d.t.Log("worker %s: runs %s for tenant %s", d.ID, id, r.Header.Get("Marjorampitch-Tenant"))
	time.Sleep(10 * time.Millisecond)
	body := "done " + id
	w.Header().Set("Marjorampitch-Request-Id", id)
	w.Header().Set("Marjorampitch-Response-Seal", Seal(d.ID, id))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(w, body) //nolint:errcheck // the caller notices
}

// Runs returns what the worker has run.
func (d *Desk) Runs() []Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Run(nil), d.runs...)
}

// AwaitReady waits until a front machine says that it is ready.
func (t *Test) AwaitReady(ip string, limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get("http://" + ip + ":8220/marjorampitch/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				t.Log("front %s is ready", ip)
				return true
			}
		}
	}
	return false
}

// Command storedrill runs two gateways through a drill of the store, in which it is away for
// a moment and comes back from a copy some seconds old, while the operator takes a key away.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"review/standin/platform"
)

const (
	kept, lost = "n2ctnfzs989anu6wsjnb", "k7aaqz0m2p4r9c1dvv3x" // keys; the second one is taken away
	fronts     = 2
	revokeMS   = 5000 * time.Millisecond // bounds.revoke_ms
)

// operator writes configurations, again and again until the store takes them.
type operator struct {
	t *platform.Test
	s *platform.Store
}

func (o *operator) put(version int, keys ...string) (confirmed time.Duration) {
	for !o.s.Put("keyed.op", "config", platform.Config(version, map[string][]string{"hule930": {kept}, "vexo118": keys})) {
		time.Sleep(20 * time.Millisecond)
	}
	o.t.Log("operator: the store (era %d) confirms version %d at offset %d; keys of vexo118: %v", o.s.Era(), version, o.s.End("keyed.op")-1, keys)
	return o.t.Now()
}

// caller sends one request a time with a key to a front machine until stop is closed.
type caller struct {
	t    *platform.Test
	ip   string
	name string
	key  string

	mu   sync.Mutex
	sent map[string]time.Duration
}

func (c *caller) run(stop <-chan struct{}) {
	client := &http.Client{Timeout: 2 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(400 * time.Millisecond):
		}
		id := fmt.Sprintf("%s-%d", c.name, i)
		req, err := http.NewRequest(http.MethodPost, "http://"+c.ip+":8227/once/"+id, strings.NewReader("body of "+id))
		if err != nil {
			return
		}
		req.Host = "svc.example"
		req.Header.Set("Marjorampitch-Request-Id", id)
		req.Header.Set("Marjorampitch-Deadline-Ms", "1500")
		req.Header.Set("Marjorampitch-Credential", c.key)
		c.mu.Lock()
		c.sent[id] = c.t.Now()
		c.mu.Unlock()
		c.t.Log("client: sends %s to %s with key %.6s", id, c.ip, c.key)
		resp, err := client.Do(req)
		if err != nil {
			c.t.Log("client: %s: %v", id, err)
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		c.t.Log("client: %s answered %d %q", id, resp.StatusCode, strings.TrimSpace(string(body)))
	}
}

func run(t *platform.Test, trouble bool) error {
	store, err := platform.NewStore()
	if err != nil {
		return err
	}
	o := &operator{t, store}
	o.put(1, lost)
	var desks []*platform.Desk
	for i := range 3 {
		d, err := platform.NewDesk(t, store, fmt.Sprintf("i-%d", i))
		if err != nil {
			return err
		}
		desks = append(desks, d)
	}
	stop := make(chan struct{})
	var callers []*caller
	for i := range fronts {
		ip := fmt.Sprintf("127.%d.1.%d", t.Subnet, i+1)
		if _, err := t.Start(platform.Settings{Name: fmt.Sprintf("front-za-%d", i+1), Role: "gateway", Class: "front", IP: ip, Zone: "za", Store: store.Address}); err != nil {
			return err
		}
		if !t.AwaitReady(ip, 15*time.Second) {
			return errors.New("a front machine does not become ready")
		}
		for _, key := range []string{kept, lost} {
			c := &caller{t: t, ip: ip, key: key, name: fmt.Sprintf("f%d-%.4s", i+1, key), sent: map[string]time.Duration{}}
			callers = append(callers, c)
			go c.run(stop)
		}
	}
	time.Sleep(6 * time.Second)

	// Two ordinary changes, some seconds apart.
	copied := store.Copy()
	t.Log("store: this is the copy")
	o.put(5, lost)
	time.Sleep(1500 * time.Millisecond)
	o.put(6, lost)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		t.Log("store: away")
		store.Leave()
		time.Sleep(time.Second)
		store.Return(copied)
		t.Log("store: back from a copy 3 s old, as era %d; keyed.op ends at offset %d", store.Era(), store.End("keyed.op"))
		o.put(6, lost) // what the operator wrote is written again
	} else {
		time.Sleep(time.Second)
	}
	confirmed := o.put(9) // the change that has waited for the store: the key is taken away
	time.Sleep(25 * time.Second)
	close(stop)
	time.Sleep(2 * time.Second)

	sent := map[string]time.Duration{}
	served := 0
	for _, c := range callers {
		for id, at := range c.sent {
			if c.key == lost {
				sent[id] = at
			}
		}
	}
	for _, d := range desks {
		for _, r := range d.Runs() {
			at, withLost := sent[r.ID]
			if !withLost {
				served++
			} else if at > confirmed+revokeMS {
				t.Break("%s was sent %.3f s after the confirmation of the configuration that took its key away, and worker %s ran it for tenant %s",
					r.ID, (at - confirmed).Seconds(), r.Worker, r.Tenant)
			}
		}
	}
	t.Log("%d requests with the other key ran", served)
	if served == 0 {
		return errors.New("no request was served")
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

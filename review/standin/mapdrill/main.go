// Command mapdrill runs the rebalancers of one group of model workers, and gateways, through
// a drill of the store and a kill of all processes right after a confirmation.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/standin/platform"
)

const (
	ranks   = 12
	fronts  = 2
	callers = 10
	// startsApart is the time between the starts of two side machines after a kill of all.
	startsApart = 20 * time.Millisecond
)

// count holds what callers have seen since it was last taken.
type count struct{ sent, served atomic.Int64 }

func (c *count) take() (sent, served int64) { return c.sent.Swap(0), c.served.Swap(0) }

// call sends one stream a time until stop is closed.
func call(t *platform.Test, n int, ip string, c *count, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		id := fmt.Sprintf("c%d-%d", n, i)
		begun := t.Now()
		c.sent.Add(1)
		got, err := stream(ip, id)
		if err == nil {
			c.served.Add(1)
		}
		t.Log("client: %s sent at %.3f s to %s: %s, %v", id, begun.Seconds(), ip, got, err)
	}
}

// stream sends one request and reads its events. The client leaves after a gap of 2 s.
func stream(ip, id string) (got string, err error) {
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, ResponseHeaderTimeout: 2 * time.Second}}
	req, err := http.NewRequest(http.MethodPost, "http://"+ip+":8227/draft/"+id, strings.NewReader("prompt of "+id))
	if err != nil {
		return "", err
	}
	req.Host = "svc.example"
	req.Header.Set("Marjorampitch-Request-Id", id)
	req.Header.Set("Marjorampitch-Deadline-Ms", "8000")
	req.Header.Set("Marjorampitch-Credential", platform.ModelKey)
	req.Header.Set("Marjorampitch-Model", "m")
	req.Header.Set("Marjorampitch-Token-Counts", "600,96")
	req.Header.Set("Marjorampitch-Prompt-Prefix", "5c1e07a2:40,"+fmt.Sprintf("%x", time.Now().UnixNano())+":560")
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	n := strings.Count(string(body), "\n\n")
	got = fmt.Sprintf("%d, %d events", resp.StatusCode, n)
	if err == nil && (resp.StatusCode != http.StatusOK || n != 24) {
		err = errors.New("not served")
	}
	return got, err
}

type run struct {
	t         *platform.Test
	store     *platform.Store
	group     *platform.Group
	processes []*platform.Process
	stop      chan struct{}
	count     count
}

func (r *run) start() error {
	t := r.t
	r.store.Put("keyed.op", "config", platform.ModelConfig(1))
	var addresses []string
	for i := range ranks {
		addresses = append(addresses, fmt.Sprintf("127.%d.2.%d:8228", t.Subnet, i+1))
	}
	var err error
	if r.group, err = platform.NewGroup(t, r.store, "models", addresses); err != nil {
		return err
	}
	for i := range ranks {
		p, err := t.Start(platform.Settings{
			Name: fmt.Sprintf("side-za-%d", i+1), Role: "rebalancer", Class: "side", IP: fmt.Sprintf("127.%d.2.%d", t.Subnet, i+1), Zone: "za",
			Store: r.store.Address, App: addresses[i], Service: "models", Later: time.Duration(i) * startsApart,
		})
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
	}
	for i := range fronts {
		ip := fmt.Sprintf("127.%d.1.%d", t.Subnet, i+1)
		p, err := t.Start(platform.Settings{Name: fmt.Sprintf("front-za-%d", i+1), Role: "gateway", Class: "front", IP: ip, Zone: "za", Store: r.store.Address, Later: 250 * time.Millisecond})
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
	}
	for i := range fronts {
		if !t.AwaitReady(fmt.Sprintf("127.%d.1.%d", t.Subnet, i+1), 15*time.Second) {
			return errors.New("a front machine does not become ready")
		}
	}
	for i := range callers {
		go call(t, i, fmt.Sprintf("127.%d.1.%d", t.Subnet, i%fronts+1), &r.count, r.stop)
	}
	return nil
}

// killAll kills all processes of the system at the same moment. The platform starts them
// again.
func (r *run) killAll() {
	var wait sync.WaitGroup
	for _, p := range r.processes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.Signal(syscall.SIGKILL)
		}()
	}
	wait.Wait()
}

func (r *run) play(trouble bool, rule string) error {
	t := r.t
	if err := r.start(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	t.Log("claims: the topic coordinators.g ends at %d", r.store.End("coordinators.g"))

	// A planned restart of the machine that coordinates the group; another one takes over.
	copied := r.store.Copy()
	t.Log("store: this is the copy")
	leader := r.store.LastWriter()
	for _, p := range r.processes {
		if p.Name == leader {
			p.Signal(syscall.SIGTERM)
			t.Log("platform: SIGTERM to %s, which last wrote to the store under a condition", leader)
		}
	}
	time.Sleep(3500 * time.Millisecond)
	t.Log("claims: the topic coordinators.g ends at %d", r.store.End("coordinators.g"))
	if trouble {
		t.Log("store: away")
		r.store.Leave()
		time.Sleep(time.Second)
		r.store.Return(copied)
		r.store.Put("keyed.op", "config", platform.ModelConfig(1)) // what the operator wrote is written again; the workers' beats follow
		t.Log("store: back from a copy 3.5 s old, as era %d; coordinators.g ends at %d", r.store.Era(), r.store.End("coordinators.g"))
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(4 * time.Second)

	// Other experts are in demand. All processes are killed right after a confirmation.
	killed := make(chan struct{})
	var once sync.Once
	kill := func(why string, args ...any) {
		once.Do(func() {
			r.killAll()
			t.Log("platform: kills all processes right after the confirmation of "+why, args...)
			t.Log("group: %s", r.group.Describe())
			close(killed)
		})
	}
	r.group.OnOrder = func(op string, rank int, version int64) {
		versions, _ := r.group.State()
		switch {
		case rule == "MAP" && op == "prepare":
			kill("the order to prepare map %d at rank %d", version, rank)
		case rule == "RECOVER" && op == "hold" && versions[0] > 0:
			kill("an order to hold at rank %d, the second one of this coordinator", rank)
		}
	}
	sentBefore, servedBefore := r.count.take()
	t.Log("clients: %d streams sent, %d served until now", sentBefore, servedBefore)
	r.group.Shift()
	shifting := time.NewTicker(6 * time.Second)
	defer shifting.Stop()
	limit := time.After(30 * time.Second)
	for waiting := true; waiting; {
		select {
		case <-killed:
			waiting = false
		case <-shifting.C:
			r.group.Shift()
		case <-limit:
			return errors.New("no order was given")
		}
	}
	time.Sleep(time.Second)
	r.group.Shift()
	if rule == "MAP" {
		for range 5 {
			time.Sleep(6 * time.Second)
			r.group.Shift()
		}
	} else {
		time.Sleep(13 * time.Second) // recovery_s is 12
		r.count.take()
		time.Sleep(15 * time.Second)
		sent, served := r.count.take()
		t.Log("clients: of %d streams sent later than recovery_s after the machines were back, %d were served; before, %d of %d", sent, served, servedBefore, sentBefore)
		t.Log("group: held since %.3f s; %s", r.group.HeldSince().Seconds(), r.group.Describe())
		if sent == 0 || servedBefore*4 < sentBefore {
			return errors.New("the service was not there before")
		}
		if served*4 < sent {
			t.Break("less than a quarter is served later than recovery_s after the machines are back")
		}
	}
	t.Log("group: %s", r.group.Describe())
	t.Log("claims: the topic coordinators.g ends at %d", r.store.End("coordinators.g"))
	sent, served := r.count.take()
	t.Log("clients: %d streams sent, %d served since", sent, served)
	versions, _ := r.group.State()
	if rule == "MAP" && versions[0] == 0 {
		return errors.New("the map never changed")
	}
	close(r.stop)
	time.Sleep(200 * time.Millisecond)
	return nil
}

func main() {
	record := flag.String("record", "record.txt", "file that the run is written to")
	trouble := flag.Bool("trouble", true, "with the disruption")
	rule := flag.String("rule", "MAP", "MAP or RECOVER")
	logs := flag.String("logs", "", "process whose log is printed at the end, for analysis")
	flag.Parse()
	t, err := platform.NewTest(*record)
	if err != nil {
		fmt.Println(err)
		return
	}
	var store *platform.Store
	if store, err = platform.NewStore(); err == nil {
		r := &run{t: t, store: store, stop: make(chan struct{})}
		err = r.play(*trouble, *rule)
	}
	if *logs != "" {
		fmt.Println(t.LogOf(*logs))
	}
	t.End(err)
}

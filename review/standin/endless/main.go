// Command endless runs rebalancers beside model workers, some of which now and then answer
// with bytes that do not end until the caller closes.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"review/standin/platform"
)

const (
	ranks    = 6
	sets     = 3
	experts  = 96
	share    = 0.35 // of the workers, as garble says
	x        = 0.02 // of their answers, as garble says
	spell    = 5500 * time.Millisecond
	pause    = 2500 * time.Millisecond
	spells   = 5
	cpuShare = 0.24
	// A day has a fault if on a tenth of the machines in use, two at least, processes end by
	// themselves three times.
	faultyMachines = 2
	faultyEnds     = 3
)

// engine is the worker of one rank. The group is open and has no requests, so that it makes
// no passes and gets no orders.
type engine struct {
	t      *platform.Test
	rank   int
	faulty bool // one of those that garble hits

	mu    sync.Mutex
	wrong bool // in a spell
	rnd   *rand.Rand
	wrote int // endless answers so far
}

func (e *engine) answer(w http.ResponseWriter, doc any) {
	e.mu.Lock()
	endless := e.wrong && e.rnd.Float64() < x
	if endless {
		e.wrote++
	}
	e.mu.Unlock()
	if endless {
		e.writeEndless(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(doc) //nolint:errcheck // the caller notices
}

// writeEndless sends a head, and bytes until the caller closes.
func (e *engine) writeEndless(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	start, n := time.Now(), 0
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")
	block := make([]byte, 64<<10)
	for i := range block {
		block[i] = 'x'
	}
	for {
		m, err := conn.Write(block)
		n += m
		if err != nil {
			break
		}
	}
	e.t.Log("worker %d: the caller of an endless answer has closed after %d ms and %d MB", e.rank, time.Since(start).Milliseconds(), n>>20)
}

func (e *engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /marjorampitch/report", func(w http.ResponseWriter, _ *http.Request) {
		e.answer(w, map[string]any{
			"group": map[string]any{"name": "g", "epoch": 1, "rank": e.rank, "state": "open"}, "size": ranks, "stage": "colocated",
			"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0, "queued": 0,
			"running": 0, "kv_used": 0, "kv_total": 280000, "handles": 0, "step": 0, "map": 0, "pace": 1.0, "born": 1,
		})
	})
	mux.HandleFunc("GET /marjorampitch/picked", func(w http.ResponseWriter, _ *http.Request) {
		e.answer(w, map[string]any{"step": 0, "epoch": 1, "counts": make([]int, sets*experts)})
	})
	mux.HandleFunc("POST /marjorampitch/order", func(w http.ResponseWriter, _ *http.Request) {
		e.t.Log("worker %d: an order, though the group has no requests", e.rank)
		w.WriteHeader(http.StatusConflict)
	})
	return mux
}

func run(t *platform.Test, trouble bool, seed uint64) error {
	t.CPUShare = cpuShare
	store, err := platform.NewStore()
	if err != nil {
		return err
	}
	store.Put("keyed.op", "config", platform.Config(1, map[string][]string{"hule930": {"n2ctnfzs989anu6wsjnb"}}))
	var list []*platform.Process
	var engines []*engine
	for r := range ranks {
		e := &engine{t: t, rank: r, faulty: trouble && float64(r+1) <= share*ranks, rnd: rand.New(rand.NewPCG(seed, uint64(r)))}
		ip := fmt.Sprintf("127.%d.2.%d", t.Subnet, r+1)
		ln, err := net.Listen("tcp", ip+":8228")
		if err != nil {
			return err
		}
		go http.Serve(ln, e.handler()) //nolint:errcheck // ends with the program
		entry := &platform.Entry{ID: fmt.Sprintf("i-%d", r), Service: "models", Address: ln.Addr().String(), Zone: "za", Slots: 12, Born: time.Now().UnixMilli()}
		go entry.Beat(store)
		p, err := t.Start(platform.Settings{
			Name: fmt.Sprintf("side-za-%d", r+1), Role: "rebalancer", Class: "side", IP: ip, Zone: "za", Store: store.Address,
			App: ln.Addr().String(), Service: "models",
		})
		if err != nil {
			return err
		}
		engines, list = append(engines, e), append(list, p)
	}
	time.Sleep(5 * time.Second)
	for range spells {
		for _, wrong := range []bool{true, false} {
			for _, e := range engines {
				e.mu.Lock()
				e.wrong = wrong && e.faulty
				e.mu.Unlock()
			}
			t.Log("workers: some spoil %v of their answers: %v", x, wrong && trouble)
			if wrong {
				time.Sleep(spell)
			} else {
				time.Sleep(pause)
			}
		}
	}
	faulty := 0
	for i, p := range list {
		peak, kills, ends := p.Peak()
		engines[i].mu.Lock()
		t.Log("%s: largest memory %d of %d MB; killed %d times for its memory, ended %d times in all; %d endless answers", p.Name, peak, p.MemoryMB, kills, ends, engines[i].wrote)
		engines[i].mu.Unlock()
		if ends >= faultyEnds {
			faulty++
		}
	}
	if faulty >= max(faultyMachines, (ranks+9)/10) {
		t.Break("on %d of %d machines processes ended by themselves %d times or more", faulty, ranks, faultyEnds)
	}
	return nil
}

func main() {
	record := flag.String("record", "record.txt", "file that the run is written to")
	trouble := flag.Bool("trouble", true, "with the disruption")
	seed := flag.Uint64("seed", 1, "of the stand-ins")
	flag.Parse()
	t, err := platform.NewTest(*record)
	if err != nil {
		fmt.Println(err)
		return
	}
	t.End(run(t, *trouble, *seed))
}

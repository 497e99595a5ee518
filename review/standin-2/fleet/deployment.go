package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"marjorampitch/platform/platformtest"
)

// Names in the configuration.
const (
	routeHost    = "wuny96.example"
	streamPrefix = "/gono990/"
	safePrefix   = "/cuti104/"
	oncePrefix   = "/puxa403/"
	modelService = "dele69a"
	plainService = "xano55b"
)

var zones = [...]string{"dk-east-a", "dk-east-b", "dk-east-c"}

// deployment is the platform with its workers, and the machines of the system.
type deployment struct {
	rec      *record
	dir      string
	subnet   uint64
	store    *platformtest.Store
	group    *group
	workers  []*worker
	gateways []*process
	sides    []*process
	version  int
	closers  []io.Closer
}

// newDeployment starts the platform and the workers. The processes of the system are not
// started.
func newDeployment(rec *record, g *group, gateways, plain int) (*deployment, error) {
	n, reservation, err := platformtest.ReserveSubnet(uint64(os.Getpid()))
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, subnet: n, group: g, closers: []io.Closer{reservation}}
	if d.dir, err = os.MkdirTemp("", "fleet-"); err != nil {
		return nil, err
	}
	d.store = platformtest.NewStore()
	for r := range ranks {
		if err := d.addWorker(fmt.Sprintf("i-%08x", 0x51000000+r), modelService, r); err != nil {
			return nil, err
		}
		w := d.workers[len(d.workers)-1]
		d.sides = append(d.sides, &process{
			Name: fmt.Sprintf("side-%d", r), Role: "rebalancer", IP: d.ip(2, r), Zone: w.zone, Store: d.store.Address(),
			App: w.address, Service: modelService, MemoryMB: sideMemoryMB, dir: d.dir, rec: rec,
		})
	}
	for i := range plain {
		if err := d.addWorker(fmt.Sprintf("i-%08x", 0x72000000+i), plainService, -1); err != nil {
			return nil, err
		}
	}
	for i := range gateways {
		d.gateways = append(d.gateways, &process{
			Name: fmt.Sprintf("front-%d", i), Role: "gateway", IP: d.ip(1, i), Zone: zones[i%len(zones)], Store: d.store.Address(),
			MemoryMB: frontMemoryMB, dir: d.dir, rec: rec,
		})
	}
	d.configure()
	go d.heartbeats()
	return d, nil
}

// ip returns the address of a machine.
func (d *deployment) ip(class, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.subnet, class, i+1)
}

func (d *deployment) addWorker(id, service string, rank int) error {
	class, i := 3, rank
	if rank < 0 {
		class, i = 4, len(d.workers)-ranks
	}
	ln, err := net.Listen("tcp", d.ip(class, i)+":8100")
	if err != nil {
		return err
	}
	w := &worker{
		id: id, service: service, zone: zones[i%len(zones)], rank: rank, address: ln.Addr().String(), group: d.group,
		born: time.Now().UnixMilli(), rec: d.rec,
	}
	server := &http.Server{Handler: w}
	d.workers = append(d.workers, w)
	d.closers = append(d.closers, server)
	go server.Serve(ln) //nolint:errcheck // ends with close
	d.store.Put(platformtest.ServersTopic, w.id, w.entry())
	return nil
}

// heartbeats writes the entries of the workers.
func (d *deployment) heartbeats() {
	for {
		time.Sleep(1200 * time.Millisecond)
		for _, w := range d.workers {
			d.store.Put(platformtest.ServersTopic, w.id, w.entry())
		}
	}
}

// configure writes a new version of the configuration.
func (d *deployment) configure() {
	d.version += 3
	data, err := json.Marshal(map[string]any{
		"version": d.version,
		"routes": []map[string]any{
			{
				"name": "r-stream", "host": routeHost, "path_prefix": streamPrefix, "kind": "stream", "timeout_ms": 8000,
				"target_latency_ms": 500, "priority": 1, "service": modelService, "max_attempts": 2, "allow_anonymous": false,
				"session_affinity": true, "resume_streams": true, "target_gap_ms": 120,
			},
			{
				"name": "r-safe", "host": routeHost, "path_prefix": safePrefix, "kind": "idempotent", "timeout_ms": 1000,
				"target_latency_ms": 100, "priority": 2, "service": plainService, "max_attempts": 2, "allow_anonymous": false,
			},
			{
				"name": "r-once", "host": routeHost, "path_prefix": oncePrefix, "kind": "non_idempotent", "timeout_ms": 1000,
				"target_latency_ms": 100, "priority": 2, "service": plainService, "max_attempts": 1, "allow_anonymous": false,
			},
		},
		"services": []map[string]any{
			{
				"name": modelService, "health_path": "/health", "max_conns": 418, "protocol": "h1", "cold_start_s": 3.0, "cold_per_s": 36.0,
				"engine": map[string]any{
					"slots": 12, "kv_capacity": 280000, "kv_token_bytes": 35136, "link_mbps": 44000.0, "stride": 4, "models": []any{map[string]any{"name": "m"}},
					"step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183, "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512,
					"report_lag_ms": 200.0, "usual": map[string]any{"prompt": 835, "answer": 97}, "sets": sets, "experts": experts,
					"placements": placements, "spare": spare, "expert_mb": 2200.0, "expert_share": 0.85, "form_ms": 600.0,
				},
			},
			{"name": plainService, "health_path": "/health", "max_conns": 110, "protocol": "h1", "cold_start_s": 0.0, "cold_per_s": 0.0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	})
	if err != nil {
		panic(err) // the types are fixed
	}
	d.store.Put(platformtest.OperatorTopic, "config", data)
	d.rec.line("the operator has written version %d", d.version)
}

// workerOf returns the worker on the machine of a rebalancer.
func (d *deployment) workerOf(p *process) *worker {
	for _, w := range d.workers {
		if w.address == p.App {
			return w
		}
	}
	return nil
}

// processes returns all processes of the system.
func (d *deployment) processes() []*process {
	return append(append([]*process(nil), d.sides...), d.gateways...)
}

// awaitReady waits until all gateways say that they are ready.
func (d *deployment) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range d.gateways {
			resp, err := client.Get("http://" + p.IP + ":8201/marjorampitch/ready")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.gateways) {
			return true
		}
	}
	return false
}

// coordinator returns the process whose claim is the last one in the store; nil for none.
func (d *deployment) coordinator() *process {
	resp, err := http.Get("http://" + d.store.Address() + "/marjorampitch/log-read?topic=coordinators." + groupName + "&part=0&from=0&max_kb=1024")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || len(body) < 16 {
		return nil
	}
	name := ""
	for rest := body[16:]; len(rest) >= 4; {
		n := int(binary.BigEndian.Uint32(rest))
		if len(rest) < 4+n {
			break
		}
		name, rest = string(rest[4:4+n]), rest[4+n:]
	}
	for _, p := range d.sides {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// close ends all processes and the platform.
func (d *deployment) close() {
	for _, p := range d.processes() {
		p.signal(9)
	}
	for _, p := range d.processes() {
		p.kill()
	}
	d.store.Close()
	for _, c := range d.closers {
		c.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	}
}

package platform

import (
	"encoding/json"
	"fmt"
	"time"
)

// Entry is what a worker writes to the store about itself.
type Entry struct {
	ID, Service, Address, Zone string
	Slots                      int
	Born                       int64
	Seq                        int64
}

// Record returns the next entry.
func (e *Entry) Record() []byte {
	e.Seq++
	data, err := json.Marshal(map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.Zone, "version": "v1", "slots": e.Slots, "state": "ready",
		"cold_remaining_ms": 0, "seq": e.Seq, "born": e.Born,
	})
	if err != nil {
		panic(err) // the types are fixed
	}
	return data
}

// Beat writes the entry about every heartbeat_ms for as long as the program runs.
func (e *Entry) Beat(s *Store) {
	for {
		s.Put("keyed.servers", e.ID, e.Record())
		time.Sleep(1200 * time.Millisecond)
	}
}

// Seal returns the seal of a worker's answer to a request.
func Seal(worker, id string) string { return fmt.Sprintf("3e1b.%s.%s", worker, id) }

// Config returns a configuration with one plain service and one of models. tenants maps
// names to keys.
func Config(version int, tenants map[string][]string) []byte {
	var list []map[string]any
	for name, keys := range tenants {
		list = append(list, map[string]any{"name": name, "api_keys": keys})
	}
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-once", "host": "svc.example", "path_prefix": "/once/", "kind": "non_idempotent", "timeout_ms": 800,
				"target_latency_ms": 150, "priority": 2, "service": "desk", "max_attempts": 1, "allow_anonymous": false,
			},
			{
				"name": "r-again", "host": "svc.example", "path_prefix": "/again/", "kind": "idempotent", "timeout_ms": 800,
				"target_latency_ms": 150, "priority": 2, "service": "desk", "max_attempts": 2, "allow_anonymous": false,
			},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants": list,
		"services": []map[string]any{
			{"name": "desk", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0},
			{"name": "models", "health_path": "/health", "max_conns": 408, "protocol": "h1", "tls": false, "cold_start_s": 3, "cold_per_s": 36, "engine": map[string]any{
				"slots": 12, "kv_capacity": 280000, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183, "read_per_s": 61400,
				"usual": map[string]any{"prompt": 800, "answer": 97}, "sets": 3, "experts": 96, "placements": 11, "spare": 4,
				"expert_share": 0.85, "expert_mb": 2200, "link_mbps": 44000, "form_ms": 600,
			}},
		},
	})
	if err != nil {
		panic(err) // the types are fixed
	}
	return data
}

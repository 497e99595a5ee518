package backingtest

import (
	"maps"
	"slices"

	"marjorampitch/backing"
)

// EngineRun records a request that an engine accepted.
type EngineRun struct {
	RequestID   string `json:"request_id"`
	Key         string `json:"key,omitempty"`
	Session     string `json:"session,omitempty"`
	TraceParent string `json:"trace_parent,omitempty"`
	From        int    `json:"from,omitempty"` // number of the first requested token
	Finished    bool   `json:"finished"`
}

// EngineOrderRecord records an order.
type EngineOrderRecord struct {
	Order   backing.EngineOrder `json:"order"`
	Refused bool                `json:"refused"`
}

// EngineStats is the body of GET /stats of an engine.
type EngineStats struct {
	Incarnation   string              `json:"incarnation"`
	Cold          bool                `json:"cold"`
	Running       int                 `json:"running"` // running and waiting requests
	Started       int                 `json:"started"` // requests accepted
	Finished      int                 `json:"finished"`
	Cancelled     int                 `json:"cancelled"`
	Broken        int                 `json:"broken"` // requests lost in a crash
	Crashes       int                 `json:"crashes"`
	ColdOverloads int                 `json:"falls"`         // crashes because the load exceeded ColdBound while cold
	MaxLoad       int                 `json:"max_load"`      // highest number of running and waiting requests
	MaxColdLoad   int                 `json:"max_cold_load"` // the same while callers know that the engine is cold
	ColdBound     int                 `json:"cold_bound"`
	CacheHits     int                 `json:"cache_hits"`
	CacheMisses   int                 `json:"cache_misses"`
	ByKey         map[string]int      `json:"by_key"` // accepted requests by idempotency key
	Runs          []EngineRun         `json:"runs"`   // bounded; later ones are left out
	Orders        []EngineOrderRecord `json:"orders"` // bounded; later ones are left out
	Steps         []RankSpan          `json:"steps"`  // steps that began with a map, kept across restarts
}

// add counts a run and returns its index in Runs, or -1 if Runs is full.
func (s *EngineStats) add(run EngineRun) int {
	s.Started++
	if run.Key != "" {
		s.ByKey[run.Key]++
	}
	if len(s.Runs) >= maxRecordedRuns {
		return -1
	}
	s.Runs = append(s.Runs, run)
	return len(s.Runs) - 1
}

func (s *EngineStats) addOrder(run EngineOrderRecord) {
	if len(s.Orders) < maxRecordedRuns {
		s.Orders = append(s.Orders, run)
	}
}

func (s *EngineStats) finish(run int) {
	s.Finished++
	if run >= 0 {
		s.Runs[run].Finished = true
	}
}

// Stats returns a copy of the engine's statistics.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Incarnation = e.process.incarnation
	stats.ColdBound = e.opts.ColdBound
	stats.Cold = e.cold
	stats.Running = len(e.running) + len(e.waiting)
	stats.ByKey = maps.Clone(stats.ByKey)
	stats.Runs = slices.Clone(stats.Runs)
	stats.Orders = slices.Clone(stats.Orders)
	stats.Steps = slices.Clone(e.rank.spans)
	return stats
}

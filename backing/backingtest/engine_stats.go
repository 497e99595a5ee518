package backingtest

import (
	"maps"
	"slices"

	"marjorampitch/backing"
)

// EngineRun is the record of one request that an engine took in.
type EngineRun struct {
	RequestID   string `json:"request_id"`
	Key         string `json:"key,omitempty"`
	Session     string `json:"session,omitempty"`
	TraceParent string `json:"trace_parent,omitempty"`
	From        int    `json:"from,omitempty"` // first token wanted
	Finished    bool   `json:"finished"`
}

// EngineOrderRecord is the record of one order.
type EngineOrderRecord struct {
	Order   backing.EngineOrder `json:"order"`
	Refused bool                `json:"refused"`
}

// EngineStats is the body of GET /stats of an engine.
type EngineStats struct {
	Incarnation   string              `json:"incarnation"`
	Cold          bool                `json:"cold"`
	Running       int                 `json:"running"` // requests held now
	Started       int                 `json:"started"` // requests taken in
	Finished      int                 `json:"finished"`
	Cancelled     int                 `json:"cancelled"`
	Broken        int                 `json:"broken"` // lost in a crash
	Crashes       int                 `json:"crashes"`
	ColdOverloads int                 `json:"falls"`         // crashes by too much load while cold
	MaxLoad       int                 `json:"max_load"`      // most requests at once
	MaxColdLoad   int                 `json:"max_cold_load"` // most requests at once while known to be cold
	ColdBound     int                 `json:"cold_bound"`
	CacheHits     int                 `json:"cache_hits"`
	CacheMisses   int                 `json:"cache_misses"`
	ByKey         map[string]int      `json:"by_key"` // requests taken in, by idempotency key
	Runs          []EngineRun         `json:"runs"`   // the first ones only
	Orders        []EngineOrderRecord `json:"orders"` // the first ones only
	Steps         []RankSpan          `json:"steps"`  // steps begun with a map, across restarts
}

// add counts a run and returns its index in Runs, or -1 when it isn't kept.
func (s *EngineStats) add(run EngineRun) int {
	s.Started++
	if run.Key != "" {
		s.ByKey[run.Key]++
	}
	if len(s.Runs) >= maxKeptRuns {
		return -1
	}
	s.Runs = append(s.Runs, run)
	return len(s.Runs) - 1
}

func (s *EngineStats) addOrder(run EngineOrderRecord) {
	if len(s.Orders) < maxKeptRuns {
		s.Orders = append(s.Orders, run)
	}
}

func (s *EngineStats) finish(run int) {
	s.Finished++
	if run >= 0 {
		s.Runs[run].Finished = true
	}
}

// Stats returns the counts of the engine.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Incarnation = e.start.incarnation
	stats.ColdBound = e.opts.ColdBound
	stats.Cold = e.cold
	stats.Running = len(e.running) + len(e.waiting)
	stats.ByKey = maps.Clone(stats.ByKey)
	stats.Runs = slices.Clone(stats.Runs)
	stats.Orders = slices.Clone(stats.Orders)
	stats.Steps = slices.Clone(e.rank.spans)
	return stats
}

package backingtest

import (
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"marjorampitch/api"
)

// PlainFaults are the faults of a Plain service. The zero value has none.
type PlainFaults struct {
	Delay        Duration `json:"delay"`         // before every call is executed
	AnswerDelay  Duration `json:"answer_delay"`  // after a call has been executed
	Hang         bool     `json:"hang"`          // no call is executed until the fault ends
	BreakBefore  int      `json:"break_before"`  // next calls that are cut off without having been executed
	BreakAfter   int      `json:"break_after"`   // next calls that are executed and whose answer is cut off
	RefuseStatus int      `json:"refuse_status"` // HTTP status of every call, none executed; 0 for none
}

// Execution is the record of one executed action.
type Execution struct {
	ID     string `json:"id"`   // new for every execution
	Kind   string `json:"kind"` // "deposits", "contracts" or "dispatches"
	Key    string `json:"key"`
	Detail string `json:"detail"` // body of the request
}

// PlainStats is the body of GET /stats of a plain service.
type PlainStats struct {
	Executed int            `json:"executed"`
	ByKey    map[string]int `json:"by_key"` // executions by idempotency key
	Repeated []string       `json:"repeated"`
}

// PlainService is a booking and dispatch service. It runs whatever it is sent, as
// often as it is sent, and counts. It is safe for use by several goroutines.
type PlainService struct {
	mu      sync.Mutex // guards what follows
	faults  PlainFaults
	cleared chan struct{} // closed when the faults change
	latest  map[string]Execution
	byKey   map[string]int
	total   int
}

// NewPlainService returns a service that has executed nothing.
func NewPlainService() *PlainService {
	return &PlainService{
		cleared: make(chan struct{}),
		latest:  make(map[string]Execution),
		byKey:   make(map[string]int),
	}
}

// SetFaults replaces the faults.
func (p *PlainService) SetFaults(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.cleared)
	p.cleared = make(chan struct{})
}

// Faults returns the faults that are set.
func (p *PlainService) Faults() PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Stats returns the counts of executions.
func (p *PlainService) Stats() PlainStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := PlainStats{Executed: p.total, ByKey: maps.Clone(p.byKey)}
	for key, n := range p.byKey {
		if n > 1 {
			stats.Repeated = append(stats.Repeated, key)
		}
	}
	return stats
}

// Handler serves the actions, the look-ups, /load, /stats and /faults.
func (p *PlainService) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, kind := range []string{"deposits", "contracts", "dispatches"} {
		mux.HandleFunc("POST /"+kind, func(w http.ResponseWriter, r *http.Request) {
			p.serveAction(w, r, kind)
		})
		mux.HandleFunc("GET /"+kind+"/by-key/{key}", p.serveByKey)
	}
	mux.HandleFunc("GET /availability", p.serveLookUp)
	mux.HandleFunc("GET /status", p.serveLookUp)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Stats())
	})
	serveFaults(mux, p.Faults, p.SetFaults)
	return mux
}

// serveAction executes one action and counts it.
func (p *PlainService) serveAction(w http.ResponseWriter, r *http.Request, kind string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fate, ok := p.pass(w, r)
	if !ok {
		return
	}
	done := p.execute(Execution{
		ID:     uuid.NewString(),
		Kind:   kind,
		Key:    r.Header.Get(api.HeaderIdempotencyKey),
		Detail: string(body),
	})
	sleep(r.Context(), time.Duration(fate.AnswerDelay))
	if fate.BreakAfter > 0 {
		abort()
	}
	writeJSON(w, http.StatusCreated, done)
}

// pass applies the faults that come before an execution and uses one of each
// counted fault up. It returns false when it has answered the call itself.
func (p *PlainService) pass(w http.ResponseWriter, r *http.Request) (PlainFaults, bool) {
	if !p.awaitThaw(r) {
		return PlainFaults{}, false
	}
	fate := p.takeFate()
	sleep(r.Context(), time.Duration(fate.Delay))
	if fate.BreakBefore > 0 {
		abort()
	}
	if fate.RefuseStatus != 0 {
		http.Error(w, "refused", fate.RefuseStatus)
		return fate, false
	}
	return fate, true
}

// awaitThaw waits while the service hangs; false when the caller went away.
func (p *PlainService) awaitThaw(r *http.Request) bool {
	for {
		p.mu.Lock()
		hang, cleared := p.faults.Hang, p.cleared
		p.mu.Unlock()
		if !hang {
			return true
		}
		select {
		case <-cleared:
		case <-r.Context().Done():
			return false
		}
	}
}

func (p *PlainService) takeFate() PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	fate := p.faults
	if p.faults.BreakBefore > 0 {
		p.faults.BreakBefore--
		fate.BreakAfter = 0
	} else if p.faults.BreakAfter > 0 {
		p.faults.BreakAfter--
	}
	return fate
}

func (p *PlainService) execute(e Execution) Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total++
	p.byKey[e.Key]++
	p.latest[e.Key] = e
	return e
}

// serveByKey answers with the execution under a key, or 404: not executed so far.
func (p *PlainService) serveByKey(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.pass(w, r); !ok {
		return
	}
	p.mu.Lock()
	e, ok := p.latest[r.PathValue("key")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no execution under this key", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, e)
}

// LookUpResponse is the answer to an idempotent look-up.
type LookUpResponse struct {
	Of        string `json:"of"` // path and query of the look-up
	Available bool   `json:"available"`
}

// serveLookUp answers an idempotent look-up with its own question.
func (p *PlainService) serveLookUp(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.pass(w, r); !ok {
		return
	}
	writeJSON(w, http.StatusOK, LookUpResponse{
		Of:        strings.TrimPrefix(r.URL.RequestURI(), "/"),
		Available: true,
	})
}

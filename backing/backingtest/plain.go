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

// PlainFaults are the faults of a PlainService. The zero value has none.
type PlainFaults struct {
	Delay        Duration `json:"delay"`         // delay before a call is executed
	AnswerDelay  Duration `json:"answer_delay"`  // delay after an action has been executed
	Hang         bool     `json:"hang"`          // calls hang until the fault ends
	BreakBefore  int      `json:"break_before"`  // number of next calls that are cut off before they are executed
	BreakAfter   int      `json:"break_after"`   // number of next calls; actions among them are executed and their answer is cut off
	RefuseStatus int      `json:"refuse_status"` // HTTP status that refuses every call; 0 for none
}

// Execution records an executed action.
type Execution struct {
	ID     string `json:"id"`   // unique for every execution
	Kind   string `json:"kind"` // "deposits", "contracts" or "dispatches"
	Key    string `json:"key"`
	Detail string `json:"detail"` // request body
}

// PlainStats is the body of GET /stats of a plain service.
type PlainStats struct {
	Executed int            `json:"executed"`
	ByKey    map[string]int `json:"by_key"`   // executions by idempotency key
	Repeated []string       `json:"repeated"` // keys with more than one execution
}

// PlainService simulates a booking and dispatch service. It executes and counts
// every action, without deduplication by key; look-ups are only answered. It is safe
// for concurrent use.
type PlainService struct {
	mu            sync.Mutex // guards the fields below
	faults        PlainFaults
	faultsChanged chan struct{}        // closed when the faults change
	latest        map[string]Execution // last execution by key
	byKey         map[string]int       // number of executions by key
	total         int
}

// NewPlainService returns a service that has executed nothing.
func NewPlainService() *PlainService {
	return &PlainService{
		faultsChanged: make(chan struct{}),
		latest:        make(map[string]Execution),
		byKey:         make(map[string]int),
	}
}

// SetFaults replaces the faults. Calls that hang are answered if the new faults do
// not hang; delays that have begun are not shortened.
func (p *PlainService) SetFaults(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// Faults returns the current faults.
func (p *PlainService) Faults() PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Stats returns the execution counts.
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

// Handler serves the actions, the look-ups, /stats and /faults.
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
	faults, ok := p.applyFaults(w, r)
	if !ok {
		return
	}
	done := p.execute(Execution{
		ID:     uuid.NewString(),
		Kind:   kind,
		Key:    r.Header.Get(api.HeaderIdempotencyKey),
		Detail: string(body),
	})
	sleep(r.Context(), time.Duration(faults.AnswerDelay))
	if faults.BreakAfter > 0 {
		abort()
	}
	writeJSON(w, http.StatusCreated, done)
}

// applyFaults applies the faults that precede an execution and returns all faults of the
// call. It returns false if the call has been refused or its caller
// disconnected while the service hung; a disconnection during Delay is ignored.
func (p *PlainService) applyFaults(w http.ResponseWriter, r *http.Request) (PlainFaults, bool) {
	if !p.awaitHangEnd(r) {
		return PlainFaults{}, false
	}
	faults := p.takeFaults()
	sleep(r.Context(), time.Duration(faults.Delay))
	if faults.BreakBefore > 0 {
		abort()
	}
	if faults.RefuseStatus != 0 {
		http.Error(w, "refused", faults.RefuseStatus)
		return faults, false
	}
	return faults, true
}

// awaitHangEnd waits while the service hangs. It returns false if the caller
// disconnected.
func (p *PlainService) awaitHangEnd(r *http.Request) bool {
	for {
		p.mu.Lock()
		hang, faultsChanged := p.faults.Hang, p.faultsChanged
		p.mu.Unlock()
		if !hang {
			return true
		}
		select {
		case <-faultsChanged:
		case <-r.Context().Done():
			return false
		}
	}
}

// takeFaults returns the faults of a call and decrements the counter of one;
// BreakBefore takes precedence.
func (p *PlainService) takeFaults() PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults := p.faults
	if p.faults.BreakBefore > 0 {
		p.faults.BreakBefore--
		faults.BreakAfter = 0
	} else if p.faults.BreakAfter > 0 {
		p.faults.BreakAfter--
	}
	return faults
}

func (p *PlainService) execute(e Execution) Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total++
	p.byKey[e.Key]++
	p.latest[e.Key] = e
	return e
}

// serveByKey returns the last execution with a key, or 404 if there is none.
func (p *PlainService) serveByKey(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.applyFaults(w, r); !ok {
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

// LookUpResponse is the body of the response to an idempotent look-up.
type LookUpResponse struct {
	Of        string `json:"of"` // path and query of the look-up
	Available bool   `json:"available"`
}

// serveLookUp answers an idempotent look-up; the response repeats its path and query.
func (p *PlainService) serveLookUp(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.applyFaults(w, r); !ok {
		return
	}
	writeJSON(w, http.StatusOK, LookUpResponse{
		Of:        strings.TrimPrefix(r.URL.RequestURI(), "/"),
		Available: true,
	})
}

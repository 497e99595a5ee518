package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Answers of workers.
const (
	streamEvents = 24
	plainWork    = 15 * time.Millisecond
	plainBytes   = 800
)

// worker is a model worker, or a plain one with rank -1.
type worker struct {
	id, service, zone, address string
	rank                       int
	group                      *group
	born                       int64
	seq                        atomic.Int64
	rec                        *record

	frozen   atomic.Bool  // the machine stands still, so that nothing reaches the worker or comes from it
	draining atomic.Bool  // the entry says that the worker leaves
	leaving  atomic.Bool  // answers say that the worker leaves
	broken   atomic.Int64 // each so many answers break off and state a false length; 0 for none
	answers  atomic.Int64
	arrived  func(w *worker, r *http.Request) // called for each request; may be nil
}

// plainAnswer is the answer of a plain worker.
var plainAnswer = strings.Repeat("abcdefghijklmnop", plainBytes/16)

// falseLength is the length that an answer states that breaks off.
const falseLength = "9223372036854775807"

// entry returns the worker's next entry in the store.
func (w *worker) entry() []byte {
	state := "ready"
	if w.draining.Load() {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 12, "state": state, "cold_remaining_ms": 0,
		"stage": "colocated", "models": []any{}, "seq": w.seq.Add(1), "born": w.born,
	})
	if err != nil {
		panic(err) // the types are fixed
	}
	return data
}

// thawed waits until the worker's machine goes on.
func (w *worker) thawed() {
	for w.frozen.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.thawed()
	if w.rank >= 0 {
		switch r.Method + " " + r.URL.Path {
		case "GET /marjorampitch/report":
			w.group.serveReport(rw, w.rank)
			return
		case "GET /marjorampitch/picked":
			w.group.servePicked(rw, w.rank)
			return
		case "POST /marjorampitch/order":
			w.group.serveOrder(rw, r, w.rank)
			return
		}
	}
	if r.URL.Path == "/health" {
		rw.Header().Set("Marjorampitch-Instance-Id", w.id)
		return
	}
	id := r.Header.Get("Marjorampitch-Request-Id")
	rw.Header().Set("Marjorampitch-Request-Id", id)
	if expected := r.Header.Get("Marjorampitch-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Marjorampitch-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if w.arrived != nil {
		w.arrived(w, r)
	}
	if w.leaving.Load() {
		rw.Header().Set("Server-Leaving", "1")
	}
	rw.Header().Set("Marjorampitch-Response-Seal", "seal."+w.id+"."+id)
	w.rec.line("worker %s runs %s %s", w.id, id, r.URL.Path)
	if w.rank < 0 {
		time.Sleep(plainWork)
		if n := w.broken.Load(); n > 0 && w.answers.Add(1)%n == 0 {
			w.rec.line("worker %s states a length of %s in its answer to %s and breaks off after %d bytes", w.id, falseLength, id, plainBytes/2)
			w.breakOff(rw)
		}
		rw.Header().Set("Content-Length", strconv.Itoa(plainBytes))
		io.WriteString(rw, plainAnswer) //nolint:errcheck // the caller detects a short answer
		return
	}
	w.stream(rw, r)
}

// stream writes an event at each pass, after the last event that the caller has.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.group.addStreams(1)
	defer w.group.addStreams(-1)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Marjorampitch-Weight-Versions", "1")
	flush := http.NewResponseController(rw)
	for n := first; n <= streamEvents; n++ {
		if !w.group.await(r.Context()) {
			return
		}
		w.thawed()
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s/%d\n\n", n, r.Header.Get("Marjorampitch-Request-Id"), n); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
	}
}

// breakOff states a false length, sends a half of the answer, and closes the connection.
func (w *worker) breakOff(rw http.ResponseWriter) {
	rw.Header().Set("Content-Length", falseLength)
	io.WriteString(rw, plainAnswer[:plainBytes/2]) //nolint:errcheck // see below
	http.NewResponseController(rw).Flush()         //nolint:errcheck // see below
	panic(http.ErrAbortHandler)                    // closes the connection
}

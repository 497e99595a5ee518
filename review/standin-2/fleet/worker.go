package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
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
}

// entry returns the worker's next entry in the store.
func (w *worker) entry() []byte {
	data, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 12, "state": "ready", "cold_remaining_ms": 0,
		"stage": "colocated", "models": []any{}, "seq": w.seq.Add(1), "born": w.born,
	})
	if err != nil {
		panic(err) // the types are fixed
	}
	return data
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
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
	rw.Header().Set("Marjorampitch-Response-Seal", "seal."+w.id+"."+id)
	w.rec.line("worker %s runs %s %s", w.id, id, r.URL.Path)
	if w.rank < 0 {
		time.Sleep(plainWork)
		body := make([]byte, plainBytes)
		for i := range body {
			body[i] = 'a' + byte(i%26)
		}
		rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
		rw.Write(body) //nolint:errcheck // the caller detects a short answer
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
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s/%d\n\n", n, r.Header.Get("Marjorampitch-Request-Id"), n); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
	}
}

package backingtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"marjorampitch/backing"
)

// InstanceFaults are the faults of an InstanceList. The zero value has none.
type InstanceFaults struct {
	Outage bool     `json:"outage"` // every read fails
	Lag    Duration `json:"lag"`    // reads return the list as it was this long ago
}

// InstanceList is an in-memory instance list. It is safe for concurrent use.
type InstanceList struct {
	mu      sync.Mutex // guards the fields below
	history []listing  // ascending by time, never empty
	faults  InstanceFaults
}

// listing is a version of the list and the time at which it was set.
type listing struct {
	at        time.Time
	instances []backing.Instance
}

var _ backing.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns a list of the given instances.
func NewInstanceList(instances ...backing.Instance) *InstanceList {
	return &InstanceList{history: []listing{{instances: slices.Clone(instances)}}}
}

// Set replaces the list.
func (l *InstanceList) Set(instances ...backing.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, listing{at: time.Now(), instances: slices.Clone(instances)})
}

// Put adds an instance, or replaces the one with the same name.
func (l *InstanceList) Put(in backing.Instance) {
	l.change(in.Name, &in)
}

// Remove removes the instance with this name.
func (l *InstanceList) Remove(name string) {
	l.change(name, nil)
}

// change removes the instance with this name, and adds in unless it is nil.
func (l *InstanceList) change(name string, in *backing.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.history[len(l.history)-1].instances
	next := slices.DeleteFunc(slices.Clone(last), func(i backing.Instance) bool { return i.Name == name })
	if in != nil {
		next = append(next, *in)
	}
	l.history = append(l.history, listing{at: time.Now(), instances: next})
}

// SetFaults replaces the faults, which affect reads that begin later.
func (l *InstanceList) SetFaults(f InstanceFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the current faults.
func (l *InstanceList) Faults() InstanceFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Instances implements backing.InstanceList.
func (l *InstanceList) Instances(context.Context) ([]backing.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return nil, backing.ErrUnavailable
	}
	seen := time.Now().Add(-time.Duration(l.faults.Lag))
	i := len(l.history) - 1
	for i > 0 && l.history[i].at.After(seen) {
		i--
	}
	return slices.Clone(l.history[i].instances), nil
}

// Handler serves GET and PUT /instances for the whole list, PUT and DELETE
// /instances/{name} for one instance, and /faults.
func (l *InstanceList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", l.serveGet)
	mux.HandleFunc("PUT /instances", func(w http.ResponseWriter, r *http.Request) {
		var body backing.InstancesBody
		if readJSON(w, r, &body) {
			l.Set(body.Instances...)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("PUT /instances/{name}", func(w http.ResponseWriter, r *http.Request) {
		var in backing.Instance
		if readJSON(w, r, &in) {
			in.Name = r.PathValue("name")
			l.Put(in)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("DELETE /instances/{name}", func(w http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	})
	serveFaults(mux, l.Faults, l.SetFaults)
	return mux
}

func (l *InstanceList) serveGet(w http.ResponseWriter, r *http.Request) {
	instances, err := l.Instances(r.Context())
	if err != nil {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	text, err := json.Marshal(backing.InstancesBody{Instances: instances})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(text), 36))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}

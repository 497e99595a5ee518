// Package backingtest simulates the external systems: the log service, the
// instance list, the weight store, model engines and plain services. Each can be
// used from Go and served over HTTP, and has faults that are set from Go
// (SetFaults) or with POST /faults.
package backingtest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const maxBodyBytes = 8 << 20

// Duration is a time.Duration that is encoded as text ("1.5s") in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Outage is the behaviour of a simulated system while it is down.
type Outage string

// Kinds of outage.
const (
	OutageNone   Outage = ""       // not down
	OutageRefuse Outage = "refuse" // every call is refused at once, and the caller knows that it had no effect
	OutageBreak  Outage = "break"  // every call is cut off, without effect
	OutageHang   Outage = "hang"   // every call hangs until the outage ends or the caller gives up, without effect
)

// serveFaults adds GET and POST /faults to mux. POST replaces all faults with those
// in the body.
func serveFaults[F any](mux *http.ServeMux, get func() F, set func(F)) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, get())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f F
		if !readJSON(w, r, &f) {
			return
		}
		set(f)
		writeJSON(w, http.StatusOK, f)
	})
}

// readJSON decodes the body into v. On failure it sends an error response and
// returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

// abort closes the connection of the request being handled.
func abort() {
	panic(http.ErrAbortHandler)
}

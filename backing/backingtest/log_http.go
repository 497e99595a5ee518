package backingtest

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"marjorampitch/backing"
)

// Limits of a read over HTTP.
const (
	maxReadLimit = 10_000 // records
	maxReadWait  = time.Minute
)

// TrimRequest is the body of POST /streams/{stream}/trim.
type TrimRequest struct {
	Before backing.Offset `json:"before"` // records before this offset are dropped
}

// LogStats is the body of GET /stats of the log service.
type LogStats struct {
	Appends int64 `json:"appends"`
}

// Handler serves appends, reads and trims of streams, /stats and /faults.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
	mux.HandleFunc("POST /streams/{stream}/trim", l.serveTrim)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, LogStats{Appends: l.Appends()})
	})
	serveFaults(mux, l.Faults, l.SetFaults)
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var body backing.AppendRequest
	w.Header().Set(backing.HeaderNotAppended, "true")
	if !readJSON(w, r, &body) {
		return
	}
	first, err := l.Append(r.Context(), r.PathValue("stream"), body.Records)
	if errors.Is(err, backing.ErrRefused) {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		abort()
	}
	w.Header().Del(backing.HeaderNotAppended)
	writeJSON(w, http.StatusOK, backing.AppendResponse{First: &first})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: want an offset", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 0 || limit > maxReadLimit {
		http.Error(w, "limit: want 0 to 10000", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait > maxReadWait {
		http.Error(w, "wait: want a duration up to 1m", http.StatusBadRequest)
		return
	}
	batch, err := l.Read(r.Context(), r.PathValue("stream"), backing.Offset(from), limit, wait)
	writeRead(w, batch, err)
}

func writeRead(w http.ResponseWriter, batch backing.Batch, err error) {
	answer := backing.ReadResponse{Start: batch.Start, End: batch.End}
	for _, r := range batch.Records {
		answer.Records = append(answer.Records, backing.RecordBody(r))
	}
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, answer)
	case errors.Is(err, backing.ErrTrimmed):
		writeJSON(w, http.StatusGone, answer)
	default:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	}
}

func (l *Log) serveTrim(w http.ResponseWriter, r *http.Request) {
	var body TrimRequest
	if !readJSON(w, r, &body) {
		return
	}
	l.Trim(r.PathValue("stream"), body.Before)
	w.WriteHeader(http.StatusNoContent)
}

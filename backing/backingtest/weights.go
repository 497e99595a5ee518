package backingtest

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"golang.org/x/time/rate"

	"marjorampitch/backing"
)

const weightPiece = 64 << 10 // bytes sent at once

// WeightFaults are the faults of a WeightStore. The zero value has none.
type WeightFaults struct {
	Outage bool `json:"outage"` // every fetch fails
}

// WeightStore is a weight store of zero bytes with one rate for all fetches.
// It is safe for use by several goroutines.
type WeightStore struct {
	limit *rate.Limiter
	size  int64

	mu     sync.Mutex // guards what follows
	sizes  map[string]int64
	faults WeightFaults
	bytes  int64
}

var _ backing.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a store that delivers bytesPerSecond, in which every
// name has a size in bytes unless SetSize gives another.
func NewWeightStore(bytesPerSecond, size int64) *WeightStore {
	return &WeightStore{
		limit: rate.NewLimiter(rate.Limit(bytesPerSecond), weightPiece),
		size:  size,
		sizes: make(map[string]int64),
	}
}

// SetSize sets the size of the weights with this name.
func (s *WeightStore) SetSize(name string, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[name] = size
}

// SetFaults replaces the faults.
func (s *WeightStore) SetFaults(f WeightFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults that are set.
func (s *WeightStore) Faults() WeightFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Bytes returns the bytes delivered so far.
func (s *WeightStore) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Fetch implements backing.WeightStore.
func (s *WeightStore) Fetch(ctx context.Context, name string) (int64, error) {
	return s.deliver(ctx, name, func([]byte) error { return nil })
}

func (s *WeightStore) sizeOf(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if size, ok := s.sizes[name]; ok {
		return size
	}
	return s.size
}

// deliver hands the weights to put piece by piece at the store's rate.
func (s *WeightStore) deliver(ctx context.Context, name string, put func([]byte) error) (int64, error) {
	piece := make([]byte, weightPiece)
	size := s.sizeOf(name)
	for done := int64(0); done < size; {
		n := min(weightPiece, size-done)
		if s.Faults().Outage || s.limit.WaitN(ctx, int(n)) != nil {
			return done, backing.ErrUnavailable
		}
		if err := put(piece[:n]); err != nil {
			return done, backing.ErrUnavailable
		}
		done += n
		s.count(n)
	}
	return size, nil
}

func (s *WeightStore) count(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes += n
}

// WeightStats is the body of GET /stats of the weight store.
type WeightStats struct {
	Bytes int64 `json:"bytes"`
}

// Handler serves GET /weights/{name}, /stats and /faults.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{name}", func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("name")
		if s.Faults().Outage {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Length", strconv.FormatInt(s.sizeOf(name), 10))
		_, err := s.deliver(r.Context(), name, func(p []byte) error {
			_, err := w.Write(p)
			return err
		})
		if err != nil {
			abort()
		}
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, WeightStats{Bytes: s.Bytes()})
	})
	serveFaults(mux, s.Faults, s.SetFaults)
	return mux
}

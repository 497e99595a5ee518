package backingtest

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"golang.org/x/time/rate"

	"marjorampitch/backing"
)

const weightChunk = 64 << 10 // bytes per write

// WeightFaults are the faults of a WeightStore. The zero value has none.
type WeightFaults struct {
	Outage bool `json:"outage"` // every fetch fails
}

// WeightStore simulates a weight store whose content is all zero bytes. All fetches
// share one rate limit. It is safe for concurrent use.
type WeightStore struct {
	limit *rate.Limiter // bytes per second
	size  int64         // default size in bytes

	mu     sync.Mutex // guards the fields below
	sizes  map[string]int64
	faults WeightFaults
	bytes  int64 // delivered
}

var _ backing.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a store with a total rate of bytesPerSecond. Weights have
// size bytes unless SetSize sets another size.
func NewWeightStore(bytesPerSecond, size int64) *WeightStore {
	return &WeightStore{
		limit: rate.NewLimiter(rate.Limit(bytesPerSecond), weightChunk),
		size:  size,
		sizes: make(map[string]int64),
	}
}

// SetSize sets the size in bytes of the weights with this name.
func (s *WeightStore) SetSize(name string, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[name] = size
}

// SetFaults replaces the faults, of which an outage also ends fetches in progress.
func (s *WeightStore) SetFaults(f WeightFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults.
func (s *WeightStore) Faults() WeightFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Bytes returns the number of bytes delivered so far.
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

// deliver passes the weights to put in chunks at the store's rate. It returns the
// number of bytes that were delivered.
func (s *WeightStore) deliver(ctx context.Context, name string, put func([]byte) error) (int64, error) {
	chunk := make([]byte, weightChunk)
	size := s.sizeOf(name)
	for done := int64(0); done < size; {
		n := min(weightChunk, size-done)
		if s.Faults().Outage || s.limit.WaitN(ctx, int(n)) != nil {
			return done, backing.ErrUnavailable
		}
		if err := put(chunk[:n]); err != nil {
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

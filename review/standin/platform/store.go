// Package platform holds small stand-ins for the users' platform: its metadata store,
// the settings and the supervision of processes, and the record of a test.
package platform

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is the metadata store as PROTOCOL.md describes it, with the header Store-Era and
// the drill of CONTRACTS.md. Group membership (log-join and the like) is not served.
type Store struct {
	Address string

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed at each append and at each restore
	era     int
	away    bool
	conns   map[net.Conn]bool
	epoch   int // raised by each drill: calls of before get no answer
	writer  string
}

type topic struct{ records [][]byte }

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: ln.Addr().String(), topics: map[string]*topic{}, changed: make(chan struct{}), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /marjorampitch/log-append", s.serveAppend)
	mux.HandleFunc("GET /marjorampitch/log-read", s.serveRead)
	mux.HandleFunc("GET /marjorampitch/log-newest", s.serveNewest)
	go http.Serve(ln, mux) //nolint:errcheck // ends with the process
	return s, nil
}

// Copy returns a copy of what the store holds.
func (s *Store) Copy() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	ends := map[string]int{}
	for name, t := range s.topics {
		ends[name] = len(t.records)
	}
	return ends
}

// Leave makes the store silent: calls get no answer, not even later.
func (s *Store) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.epoch++
}

// Return brings the store back from a copy.
func (s *Store) Return(ends map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.era++
	for name, t := range s.topics {
		t.records = t.records[:ends[name]]
	}
}

// LastWriter returns the record that was last written under a condition. A claim holds the
// name of the process that made it.
func (s *Store) LastWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer
}

// Era returns the value of the header Store-Era.
func (s *Store) Era() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// End returns the end of a topic.
func (s *Store) End(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).records)
}

func (s *Store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{}
	}
	return s.topics[name]
}

// Put writes a keyed record as the operator and the workers do. It reports whether the
// store has taken it.
func (s *Store) Put(name, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.add(name, append(append([]byte{byte(len(key))}, key...), value...))
	return true
}

func (s *Store) add(name string, record []byte) {
	t := s.topic(name)
	t.records = append(t.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// begin holds a call while the store is away, for good: a channel on which an answer is
// lost gives nothing further. It returns the epoch of the call.
func (s *Store) begin(w http.ResponseWriter, r *http.Request) (epoch int) {
	s.mu.Lock()
	away, epoch, era := s.away, s.epoch, s.era
	s.mu.Unlock()
	if away {
		s.lose(r)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	return epoch
}

// lose never answers a call; it ends when the caller closes the channel.
func (s *Store) lose(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	epoch := s.begin(w, r)
	q := r.URL.Query()
	name := q.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	if s.epoch != epoch {
		s.mu.Unlock()
		s.lose(r)
	}
	t := s.topic(name)
	offset := len(t.records)
	if at := q.Get("at"); at != "" && at != strconv.Itoa(offset) {
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		json.NewEncoder(w).Encode(map[string]any{"end": offset}) //nolint:errcheck // the caller notices
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.add(name, append([]byte(nil), body[4:4+n]...))
		if q.Get("at") != "" {
			s.writer = string(body[4 : 4+n])
		}
		body = body[4+n:]
	}
	end := len(t.records)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"offset": offset, "end": end}) //nolint:errcheck // as above
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	epoch := s.begin(w, r)
	q := r.URL.Query()
	name := q.Get("topic")
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.epoch != epoch {
			s.mu.Unlock()
			s.lose(r)
		}
		records := s.topic(name).records
		changed := s.changed
		if from > len(records) {
			s.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusGone)
			json.NewEncoder(w).Encode(map[string]any{"first": 0}) //nolint:errcheck // as above
			return
		}
		if from < len(records) || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			s.mu.Unlock()
			w.Write(out) //nolint:errcheck // as above
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
			wait = 0
		case <-time.After(100 * time.Millisecond): // to notice a drill
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	epoch := s.begin(w, r)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	if s.epoch != epoch {
		s.mu.Unlock()
		s.lose(r)
	}
	records := s.topic(r.URL.Query().Get("topic")).records
	newest := map[string]item{}
	for at, rec := range records {
		n := int(rec[0])
		key, value := string(rec[1:1+n]), rec[1+n:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), at}
	}
	end := len(records)
	s.mu.Unlock()
	items := []item{}
	after := r.URL.Query().Get("after")
	for _, it := range newest {
		if it.Key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "end": end}) //nolint:errcheck // as above
}

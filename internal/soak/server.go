package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"marjorampitch/platform"
)

// Shape of the engines' group and of their answers.
const (
	ranks      = 4
	sets       = 2
	experts    = 8
	places     = 4
	eventCount = 12
	passTime   = 20 * time.Millisecond
	plainWork  = 5 * time.Millisecond
	// coldPerSecond is what a cold server bears, coldExtra what the platform
	// allows beyond it.
	coldPerSecond = 20.0
	coldExtra     = 1.5*coldPerSecond + 5 - coldPerSecond
)

// server is a stand-in of a backend server. It obeys the platform's protocol
// and tells the judge what it runs.
type server struct {
	id      string
	service string
	centre  string
	rank    int // of an engine; -1 for a plain server
	world   *world
	http    *http.Server
	address string // of the proxy before it: what the store names
	proxy   *proxy

	mu      sync.Mutex // guards all below
	born    int64
	seq     int64
	state   string
	cold    time.Time // until then
	dark    bool      // crashed: every connection is cut
	loses   float64   // share of the answers that are lost
	extra   float64   // share of the answers that are followed by stray bytes
	errors  float64   // share of the requests that fail
	leaving time.Time // when the store had its word that it leaves
}

// newServer starts a stand-in behind a proxy of its own.
func newServer(w *world, id, service, centre string, rank int) (*server, error) {
	s := &server{id: id, service: service, centre: centre, rank: rank, world: w, state: "ready", born: time.Now().UnixMilli()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.request)
	if rank >= 0 {
		mux.HandleFunc("GET /marjorampitch/report", func(rw http.ResponseWriter, _ *http.Request) { s.world.group.report(rw, s.rank) })
		mux.HandleFunc("GET /marjorampitch/picked", func(rw http.ResponseWriter, _ *http.Request) { s.world.group.picked(rw, s.rank) })
		mux.HandleFunc("POST /marjorampitch/order", func(rw http.ResponseWriter, r *http.Request) { s.world.group.order(rw, r, s.rank) })
	}
	s.http = &http.Server{Handler: s.guard(mux)}
	go s.http.Serve(ln) //nolint:errcheck // ends with the world
	if s.proxy, err = newProxy(ln.Addr().String()); err != nil {
		return nil, err
	}
	s.address = s.proxy.address
	return s, nil
}

// guard cuts every connection of a crashed server.
func (s *server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDark() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *server) isDark() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dark
}

// entry is the server's record in the store.
func (s *server) entry() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	data, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.centre, "version": "v1", "slots": 8, "state": s.state,
		"cold_remaining_ms": max(time.Until(s.cold).Milliseconds(), 0), "seq": s.seq, "born": s.born,
	})
	if err != nil {
		panic(err) // the types are fixed
	}
	return data
}

// set changes the server's state under its lock.
func (s *server) set(change func(s *server)) {
	s.mu.Lock()
	change(s)
	s.mu.Unlock()
}

// notRun refuses a request that the server has not run.
func notRun(w http.ResponseWriter, status int) {
	w.Header().Set(platform.Names.NotRun, "1")
	w.WriteHeader(status)
}

// request runs one request of a caller.
func (s *server) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.Names.RequestID)
	w.Header().Set(platform.Names.RequestID, id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // cut off before it was whole: it has not run
	}
	if r.Header.Get(platform.Names.ExpectServer) != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	roll := s.world.roll
	s.mu.Lock()
	loses, extra, failed := roll() < s.loses, roll() < s.extra, roll() < s.errors
	s.mu.Unlock()
	s.world.judge.arrived(s, id, r, body)
	w.Header().Set(platform.Names.Seal, seal(s.id, id))
	switch {
	case s.rank >= 0:
		s.stream(w, r, id, loses)
		return
	case failed:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	time.Sleep(plainWork)
	s.world.judge.ran(id)
	if loses {
		panic(http.ErrAbortHandler)
	}
	answer := answerOf(s.id, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	io.WriteString(w, answer) //nolint:errcheck // the caller sees it
	if extra {
		s.stray(w)
	}
}

// stray follows an answer with a second one that belongs to nobody.
func (s *server) stray(w http.ResponseWriter) {
	conn, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	const other = "HTTP/1.1 200 OK\r\nMarjorampitch-Request-Id: nobody\r\nMarjorampitch-Response-Seal: x\r\nContent-Length: 5\r\n\r\nwrong"
	buf.Flush()              //nolint:errcheck // the answer itself
	io.WriteString(buf, other) //nolint:errcheck // may be read or not
	buf.Flush()              //nolint:errcheck // as above
	time.Sleep(50 * time.Millisecond)
}

// stream writes one event a pass, from the one after the last that the caller had.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string, breaks bool) {
	first := 0
	if last := r.Header.Get(platform.Names.LastEvent); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		first = n + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	leave := s.world.group.join()
	defer leave()
	for n := first; n < eventCount; n++ {
		if !s.world.group.await(r.Context(), 1500*time.Millisecond) {
			if n == first && r.Context().Err() == nil {
				w.Header().Set(platform.Names.AtServer, s.address)
				w.Header().Del(platform.Names.Seal)
				notRun(w, http.StatusServiceUnavailable)
				s.world.judge.undone(id)
				return
			}
			panic(http.ErrAbortHandler)
		}
		if s.isDark() || breaks && n == eventCount/2 {
			panic(http.ErrAbortHandler)
		}
		if n == first {
			s.world.judge.ran(id)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventOf(id, n))
		if flush.Flush() != nil {
			return
		}
	}
}

// seal, answerOf and eventOf are what a caller checks.
func seal(server, id string) string { return server + "." + id }

func answerOf(server, id string) string { return server + " has run " + id + strings.Repeat(".", 300) }

func eventOf(id string, n int) string { return fmt.Sprintf("%s/%d", id, n) }

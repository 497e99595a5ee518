package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"marjorampitch/api"
	"marjorampitch/backing/backingtest"
	"marjorampitch/internal/scrape"
)

// Defaults of flags, and parameters of the measurement.
const (
	defaultDuration = 5 * time.Second
	defaultCallers  = 32
	maxMicros       = 60_000_000 // longest time that a histogram can record
	cpuMetric       = "process_cpu_seconds_total"
	tokens          = 64 // per streamed answer
)

// bench holds the addresses of the processes and the parameters of a run.
type bench struct {
	engine, entry                        string
	entryStatus, chatStatus, plainStatus string
	pairs, callers                       int
	duration                             time.Duration
}

// sample holds the times, in microseconds, of streamed requests on one path: until
// the first event, between events, and until the end of the answer.
type sample struct {
	first, between, whole *hdrhistogram.Histogram
}

func newSample() *sample {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, 3) }
	return &sample{first: newHistogram(), between: newHistogram(), whole: newHistogram()}
}

// run warms up the processes, then measures latencies and the cost of load.
func (b *bench) run() error {
	if err := b.warmUp(); err != nil {
		return err
	}
	if err := b.compareLatency(); err != nil {
		return err
	}
	lookUp := func() error { return b.lookUp(b.entry) }
	if err := b.load("look-up", 1, b.plainStatus, lookUp); err != nil {
		return err
	}
	stream := func() error { return b.stream(b.entry, newSample()) }
	return b.load("streamed-token", tokens, b.chatStatus, stream)
}

// warmUp sends requests through the entry until it answers.
func (b *bench) warmUp() error {
	var err error
	for range 200 {
		if err = b.stream(b.entry, newSample()); err == nil {
			if err = b.lookUp(b.entry); err == nil {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return eris.Wrap(err, "entry does not serve requests")
}

// compareLatency measures the direct path and the path through the entry. It
// alternates between them, so that the load of the machine affects both alike.
func (b *bench) compareLatency() error {
	direct, through := newSample(), newSample()
	for range b.pairs {
		if err := b.stream(b.engine, direct); err != nil {
			return err
		}
		if err := b.stream(b.entry, through); err != nil {
			return err
		}
	}
	direct.print("direct")
	through.print("through")
	fmt.Printf("bench=added pairs=%d first_p50_us=%d first_p95_us=%d between_p50_us=%d whole_p50_us=%d\n", b.pairs,
		delta(direct.first, through.first, 50), delta(direct.first, through.first, 95),
		delta(direct.between, through.between, 50), delta(direct.whole, through.whole, 50))
	return nil
}

// delta returns the difference of a percentile between b and a.
func delta(a, b *hdrhistogram.Histogram, percentile float64) int64 {
	return b.ValueAtPercentile(percentile) - a.ValueAtPercentile(percentile)
}

func (s *sample) print(path string) {
	fmt.Printf("bench=latency way=%s first_p50_us=%d first_p95_us=%d between_p50_us=%d between_p95_us=%d whole_p50_us=%d\n", path,
		s.first.ValueAtPercentile(50), s.first.ValueAtPercentile(95),
		s.between.ValueAtPercentile(50), s.between.ValueAtPercentile(95), s.whole.ValueAtPercentile(50))
}

// client keeps enough idle connections to reuse one for every caller.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// stream sends one streamed request, checks that the answer is complete and records
// its times.
func (b *bench) stream(base string, s *sample) error {
	prompt := "bench"
	body, err := json.Marshal(backingtest.ChatRequest{
		Model: "m", Stream: true, MaxTokens: tokens,
		Messages: []backingtest.ChatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(api.HeaderOrganisation, "bench")
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return eris.Errorf("HTTP %d: %s", resp.StatusCode, text)
	}
	return readEvents(resp.Body, s, start)
}

// readEvents records the times of the events of an answer. It returns an error unless
// the answer is complete.
func readEvents(r io.Reader, s *sample, start time.Time) error {
	sc := bufio.NewScanner(r)
	last := time.Time{}
	events := 0
	for sc.Scan() {
		payload, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		now := time.Now()
		if payload == "[DONE]" {
			s.whole.RecordValue(now.Sub(start).Microseconds())
			if events < tokens {
				return eris.Errorf("got %d events, want %d", events, tokens)
			}
			return nil
		}
		if last.IsZero() {
			s.first.RecordValue(now.Sub(start).Microseconds())
		} else {
			s.between.RecordValue(now.Sub(last).Microseconds())
		}
		last = now
		events++
	}
	return eris.New("stream ended without [DONE]")
}

// lookUp sends one request to the plain service.
func (b *bench) lookUp(base string) error {
	req, err := http.NewRequest(http.MethodGet, base+"/availability?date=2027-06-12", nil)
	if err != nil {
		return err
	}
	req.Header.Set(api.HeaderOrganisation, "bench")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = eris.Errorf("HTTP %d: %s", resp.StatusCode, text)
	}
	return err
}

// load makes concurrent callers repeat a request for the configured duration. It
// prints the throughput and the processor time that the entry and a sidecar used for
// each unit of work; one request is unitsPerRequest units.
func (b *bench) load(name string, unitsPerRequest int, sideStatus string, request func() error) error {
	entryBefore, sideBefore, err := b.processorSeconds(sideStatus)
	if err != nil {
		return err
	}
	var done, failed atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(b.duration)
	for range b.callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				if request() == nil {
					done.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	entryAfter, sideAfter, err := b.processorSeconds(sideStatus)
	if err != nil {
		return err
	}
	units := float64(done.Load()) * float64(unitsPerRequest)
	fmt.Printf("bench=load unit=%s callers=%d done=%d failed=%d per_second=%.0f entry_us_each=%.1f side_us_each=%.1f entry_per_core=%.0f side_per_core=%.0f\n",
		name, b.callers, done.Load(), failed.Load(), units/b.duration.Seconds(),
		1e6*(entryAfter-entryBefore)/units, 1e6*(sideAfter-sideBefore)/units,
		units/(entryAfter-entryBefore), units/(sideAfter-sideBefore))
	return nil
}

// processorSeconds returns the processor time that the entry and a sidecar have used.
func (b *bench) processorSeconds(sideStatus string) (entry, side float64, err error) {
	if entry, err = readProcessorSeconds(b.entryStatus); err != nil {
		return 0, 0, err
	}
	side, err = readProcessorSeconds(sideStatus)
	return entry, side, err
}

// readProcessorSeconds reads the processor time of a process from its metrics.
func readProcessorSeconds(base string) (float64, error) {
	values, err := scrape.Values(client, base+"/metrics", cpuMetric)
	if err != nil {
		return 0, err
	}
	return values[0], nil
}

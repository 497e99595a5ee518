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
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"

	"marjorampitch/api"
	"marjorampitch/backing/backingtest"
)

// Defaults and bounds.
const (
	defaultDuration = 5 * time.Second
	defaultCallers  = 32
	maxMicros       = 60_000_000
	cpuMetric       = "process_cpu_seconds_total"
	tokens          = 64
)

// bench holds where everything is.
type bench struct {
	engine, plain, entry                 string
	entryStatus, chatStatus, plainStatus string
	pairs, callers                       int
	duration                             time.Duration
}

// sample collects the times of one way.
type sample struct {
	first, between, whole *hdrhistogram.Histogram
}

func newSample() *sample {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, 3) }
	return &sample{first: h(), between: h(), whole: h()}
}

func (b *bench) run() error {
	if err := b.warm(); err != nil {
		return err
	}
	if err := b.latency(); err != nil {
		return err
	}
	look := func() error { return b.lookUp(b.entry) }
	if err := b.load("look-up", 1, b.plainStatus, look); err != nil {
		return err
	}
	stream := func() error { return b.stream(b.entry, newSample()) }
	return b.load("streamed-token", tokens, b.chatStatus, stream)
}

// warm calls through the entry until it answers.
func (b *bench) warm() error {
	var err error
	for range 200 {
		if err = b.stream(b.entry, newSample()); err == nil {
			if err = b.lookUp(b.entry); err == nil {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return eris.Wrap(err, "the entry does not answer")
}

// latency alternates the two ways, so that both see the same machine.
func (b *bench) latency() error {
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

func delta(a, b *hdrhistogram.Histogram, percentile float64) int64 {
	return b.ValueAtPercentile(percentile) - a.ValueAtPercentile(percentile)
}

func (s *sample) print(way string) {
	fmt.Printf("bench=latency way=%s first_p50_us=%d first_p95_us=%d between_p50_us=%d between_p95_us=%d whole_p50_us=%d\n", way,
		s.first.ValueAtPercentile(50), s.first.ValueAtPercentile(95),
		s.between.ValueAtPercentile(50), s.between.ValueAtPercentile(95), s.whole.ValueAtPercentile(50))
}

// client keeps enough idle connections for all callers.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// stream makes one streamed request, checks its answer and records its times.
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

// readEvents times the events of an answer and fails unless it is whole.
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
				return eris.Errorf("%d events, want %d", events, tokens)
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
	return eris.New("the stream ended without [DONE]")
}

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

// load lets callers repeat one request and prints what it cost the processes.
func (b *bench) load(name string, each int, sideStatus string, request func() error) error {
	entryBefore, sideBefore, err := b.processors(sideStatus)
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
	entryAfter, sideAfter, err := b.processors(sideStatus)
	if err != nil {
		return err
	}
	units := float64(done.Load()) * float64(each)
	fmt.Printf("bench=load unit=%s callers=%d done=%d failed=%d per_second=%.0f entry_us_each=%.1f side_us_each=%.1f entry_per_core=%.0f side_per_core=%.0f\n",
		name, b.callers, done.Load(), failed.Load(), units/b.duration.Seconds(),
		1e6*(entryAfter-entryBefore)/units, 1e6*(sideAfter-sideBefore)/units,
		units/(entryAfter-entryBefore), units/(sideAfter-sideBefore))
	return nil
}

// processors returns the processor seconds that the entry and a side have used.
func (b *bench) processors(sideStatus string) (entry, side float64, err error) {
	if entry, err = processor(b.entryStatus); err != nil {
		return 0, 0, err
	}
	side, err = processor(sideStatus)
	return entry, side, err
}

func processor(base string) (float64, error) {
	resp, err := client.Get(base + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return 0, err
	}
	family := families[cpuMetric]
	if family == nil || len(family.GetMetric()) == 0 {
		return 0, eris.Errorf("%s has no %s", base, cpuMetric)
	}
	return family.GetMetric()[0].GetCounter().GetValue(), nil
}

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/backing/backingtest"
	"marjorampitch/claim"
	"marjorampitch/logfold"
)

// Ports of the HTTP sides of the entries, as scripts/demo.sh lays them out.
const (
	dk1Entry = 18300
	dk2Entry = 18303
	tt1Entry = 18306
	tt2Entry = 18309

	firstStatus = 18200 // status ports of the twelve daemons
	daemons     = 12
	pollEvery   = 50 * time.Millisecond
)

// demo holds where everything is, and what later steps need of earlier ones.
type demo struct {
	host    string
	logURL  string
	listURL string
	plain   []string
	traces  string

	traceID string // of the draft
	key     string // of the deposit
	sent    int    // calls that may not repeat, with different keys
}

// entry returns the base URL of an entry's caller side.
func (d *demo) entry(port int) string { return fmt.Sprintf("http://%s:%d", d.host, port) }

// awaitReady waits until every daemon says that it takes new work.
func (d *demo) awaitReady(ctx context.Context) error {
	start := time.Now()
	client := resty.New()
	for i := range daemons {
		url := fmt.Sprintf("http://%s:%d/readyz", d.host, firstStatus+i)
		for {
			resp, err := client.R().SetContext(ctx).Get(url)
			if err == nil && resp.IsSuccess() {
				break
			}
			if ctx.Err() != nil {
				return eris.Wrapf(ctx.Err(), "%s is not ready", url)
			}
			time.Sleep(pollEvery)
		}
	}
	fmt.Printf("%d processes ready after %v\n", daemons, time.Since(start).Round(time.Millisecond))
	return nil
}

// draft streams a chat completion and checks that every token arrived once and in order.
func (d *demo) draft(ctx context.Context) error {
	d.traceID = strings.ReplaceAll(uuid.NewString(), "-", "")
	return d.chat(ctx, dk1Entry, "nordisk-festsale", "draft-small", "Draft a setlist for a wedding in Roskilde, 80 guests.", d.traceID)
}

func (d *demo) summary(ctx context.Context) error {
	return d.chat(ctx, tt1Entry, "chaguanas", "summary-small", "Summarise: tyres in the river at Caroni bridge.", "")
}

func (d *demo) chat(ctx context.Context, port int, organisation, model, prompt, traceID string) error {
	start := time.Now()
	req := resty.New().R().SetContext(ctx).SetDoNotParseResponse(true).
		SetHeader(api.HeaderOrganisation, organisation).
		SetHeader(api.HeaderPriority, "live").
		SetHeader(api.HeaderSession, "demo").
		SetBody(backingtest.ChatRequest{
			Model:    model,
			Stream:   true,
			Messages: []backingtest.ChatMessage{{Role: "user", Content: prompt}},
		})
	if traceID != "" {
		req.SetHeader("Traceparent", "00-"+traceID+"-00f067aa0ba902b7-01")
	}
	resp, err := req.Post(d.entry(port) + "/v1/chat/completions")
	if err != nil {
		return err
	}
	defer resp.RawBody().Close()
	if resp.StatusCode() != http.StatusOK {
		body, _ := io.ReadAll(resp.RawBody())
		return eris.Errorf("HTTP %d: %s", resp.StatusCode(), body)
	}
	text, events, err := readStream(bufio.NewScanner(resp.RawBody()))
	if err != nil {
		return err
	}
	if want := backingtest.AnswerText(prompt, events); text != want {
		return eris.Errorf("the answer is not its own request's: %q", text)
	}
	report(resp, time.Since(start))
	fmt.Printf("   %d tokens, whole: %.48s...\n", events, text)
	return nil
}

// readStream collects the text of a streamed answer; it fails unless the stream ends cleanly.
func readStream(s *bufio.Scanner) (text string, events int, err error) {
	for s.Scan() {
		payload, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if payload == "[DONE]" {
			return text, events, nil
		}
		var part backingtest.ChatResponse
		if err := json.Unmarshal([]byte(payload), &part); err != nil {
			return "", 0, err
		}
		if len(part.Choices) == 0 {
			return "", 0, eris.Errorf("error event: %s", payload)
		}
		if delta := part.Choices[0].Delta; delta != nil && delta.Content != "" {
			text += delta.Content
			events++
		}
	}
	return "", 0, eris.New("the stream ended without [DONE]")
}

// report prints who served an answer and what became of it.
func report(resp *resty.Response, took time.Duration) {
	h := resp.Header()
	fmt.Printf("   HTTP %d, code %s, %s, by %s, attempts %s, replayed %q, request %s, %v\n",
		resp.StatusCode(), h.Get(api.HeaderResultCode), h.Get(api.HeaderRan), h.Get(api.HeaderServedBy),
		h.Get(api.HeaderAttempts), h.Get(api.HeaderReplayed), h.Get(api.HeaderRequestID), took.Round(time.Millisecond))
}

func (d *demo) availability(ctx context.Context) error {
	start := time.Now()
	resp, err := resty.New().R().SetContext(ctx).
		SetHeader(api.HeaderOrganisation, "nordisk-festsale").
		Get(d.entry(dk2Entry) + "/availability?date=2027-06-12")
	if err != nil {
		return err
	}
	report(resp, time.Since(start))
	fmt.Printf("   %s\n", strings.TrimSpace(resp.String()))
	return wantStatus(resp, http.StatusOK)
}

// deposit sends one deposit through each of two entries with the same key.
func (d *demo) deposit(ctx context.Context) error {
	d.key = newKey()
	first, err := d.act(ctx, dk1Entry, "/deposits", "nordisk-festsale", d.key, `{"couple":"42","amount_dkk":5000}`)
	if err != nil {
		return err
	}
	second, err := d.act(ctx, dk2Entry, "/deposits", "nordisk-festsale", d.key, `{"couple":"42","amount_dkk":5000}`)
	if err != nil {
		return err
	}
	if first != second {
		return eris.Errorf("the answers differ: %s and %s", first, second)
	}
	return nil
}

func (d *demo) dispatch(ctx context.Context) error {
	_, err := d.act(ctx, tt2Entry, "/dispatches", "chaguanas", newKey(), `{"crew":"7","place":"Caroni bridge"}`)
	return err
}

// act sends a call that may not repeat.
func (d *demo) act(ctx context.Context, port int, path, organisation, key, body string) (string, error) {
	if key != d.key || d.sent == 0 {
		d.sent++
	}
	start := time.Now()
	resp, err := resty.New().R().SetContext(ctx).
		SetHeader(api.HeaderOrganisation, organisation).
		SetHeader(api.HeaderIdempotencyKey, key).
		SetHeader("Content-Type", "application/json").
		SetBody(body).
		Post(d.entry(port) + path)
	if err != nil {
		return "", err
	}
	report(resp, time.Since(start))
	fmt.Printf("   %s\n", strings.TrimSpace(resp.String()))
	return resp.String(), wantStatus(resp, http.StatusCreated)
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func wantStatus(resp *resty.Response, want int) error {
	if resp.StatusCode() != want {
		return eris.Errorf("HTTP %d, want %d: %s", resp.StatusCode(), want, resp.String())
	}
	return nil
}

// executions asks the plain services what they ran: nothing twice, nothing missing.
func (d *demo) executions(ctx context.Context) error {
	total := 0
	for _, base := range d.plain {
		var stats backingtest.PlainStats
		if _, err := resty.New().R().SetContext(ctx).SetResult(&stats).Get(base + "/stats"); err != nil {
			return err
		}
		fmt.Printf("   %s: executed %d, repeated keys %d\n", base, stats.Executed, len(stats.Repeated))
		if len(stats.Repeated) > 0 {
			return eris.Errorf("ran more than once: %v", stats.Repeated)
		}
		total += stats.Executed
	}
	if total != d.sent {
		return eris.Errorf("%d executions, want %d", total, d.sent)
	}
	return nil
}

// logRecords prints what the streams of the log hold.
func (d *demo) logRecords(ctx context.Context) error {
	log := backing.NewLogClient(d.logURL)
	for _, service := range []string{"bryllupslyd", "caroni-watch"} {
		changes, err := log.Read(ctx, logfold.ConfigStream(service), 0, 1, 0)
		if err != nil {
			return err
		}
		fmt.Printf("   %s: %d configuration changes\n", service, changes.End)
		for partition := range claim.Partitions {
			if err := printClaims(ctx, log, claim.StreamName(service, partition)); err != nil {
				return err
			}
		}
	}
	return nil
}

// printClaims prints how many records a partition of the claims holds.
func printClaims(ctx context.Context, log backing.Log, stream string) error {
	b, err := log.Read(ctx, stream, 0, 64, 0)
	if err != nil || b.End == 0 {
		return err
	}
	bytes := 0
	for _, r := range b.Records {
		bytes += len(r.Data)
	}
	fmt.Printf("   %s: %d records of claims, outcomes and padding, %d bytes\n", stream, b.End, bytes)
	return nil
}

// wantHops are the spans of a request that is served at the first attempt.
var wantHops = []string{"entry.request", "entry.admit", "entry.pick", "entry.attempt", "side.admit", "side.backend"}

// spans prints the hops of the draft's trace.
func (d *demo) spans(context.Context) error {
	hops := map[string]bool{}
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) && len(hops) < len(wantHops) {
		time.Sleep(pollEvery)
		if err := d.readSpans(hops); err != nil {
			return err
		}
	}
	for _, name := range wantHops {
		if !hops[name] {
			return eris.Errorf("no span %s in trace %s", name, d.traceID)
		}
		fmt.Printf("   trace %s: %s\n", d.traceID, name)
	}
	return nil
}

// span is what is read of a span in the trace file.
type span struct {
	Name        string
	SpanContext struct{ TraceID string }
}

func (d *demo) readSpans(hops map[string]bool) error {
	file, err := os.Open(d.traces)
	if err != nil {
		return err
	}
	defer file.Close()
	dec := json.NewDecoder(file)
	for dec.More() {
		var s span
		if err := dec.Decode(&s); err != nil {
			return nil // a line that is still being written; read again later
		}
		if s.SpanContext.TraceID == d.traceID {
			hops[s.Name] = true
		}
	}
	return nil
}

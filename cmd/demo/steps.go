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

// Ports that scripts/demo.sh assigns.
const (
	// HTTP ports of the entries.
	dk1Entry = 18300
	dk2Entry = 18303
	tt1Entry = 18306
	tt2Entry = 18309

	firstStatusPort = 18200 // the status ports of the daemons are consecutive
	daemons         = 12
	pollInterval    = 50 * time.Millisecond
)

// demo holds the addresses of the processes and the results that later steps need.
type demo struct {
	host   string
	logURL string
	plain  []string
	traces string

	traceID string // of the draft request
	key     string // idempotency key of the deposit
	sent    int    // number of non-idempotent calls sent, counted once per key
}

// entryURL returns the base URL at which callers reach the entry with this port.
func (d *demo) entryURL(port int) string { return fmt.Sprintf("http://%s:%d", d.host, port) }

// awaitReady waits until every daemon reports that it accepts new work.
func (d *demo) awaitReady(ctx context.Context) error {
	start := time.Now()
	client := resty.New()
	for i := range daemons {
		url := fmt.Sprintf("http://%s:%d/readyz", d.host, firstStatusPort+i)
		for {
			resp, err := client.R().SetContext(ctx).Get(url)
			if err == nil && resp.IsSuccess() {
				break
			}
			if ctx.Err() != nil {
				return eris.Wrapf(ctx.Err(), "wait for %s", url)
			}
			time.Sleep(pollInterval)
		}
	}
	fmt.Printf("%d processes ready after %v\n", daemons, time.Since(start).Round(time.Millisecond))
	return nil
}

// draft streams a chat completion and checks that every token arrived once and in
// order. The request carries a trace ID, by which spans finds its trace.
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
	resp, err := req.Post(d.entryURL(port) + "/v1/chat/completions")
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
		return eris.Errorf("answer does not match the request: %q", text)
	}
	printAnswer(resp, time.Since(start))
	fmt.Printf("   %d tokens, complete: %.48s...\n", events, text)
	return nil
}

// readStream returns the text of a streamed answer and the number of its content
// events. It returns an error unless the stream ends with [DONE].
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
			return "", 0, eris.Errorf("stream ended with error event: %s", payload)
		}
		if delta := part.Choices[0].Delta; delta != nil && delta.Content != "" {
			text += delta.Content
			events++
		}
	}
	return "", 0, eris.New("stream ended without [DONE]")
}

// printAnswer prints the status and result headers of an answer, and the time it took.
func printAnswer(resp *resty.Response, took time.Duration) {
	h := resp.Header()
	fmt.Printf("   HTTP %d, code %s, %s, by %s, attempts %s, replayed %q, request %s, %v\n",
		resp.StatusCode(), h.Get(api.HeaderResultCode), h.Get(api.HeaderRan), h.Get(api.HeaderServedBy),
		h.Get(api.HeaderAttempts), h.Get(api.HeaderReplayed), h.Get(api.HeaderRequestID), took.Round(time.Millisecond))
}

func (d *demo) availability(ctx context.Context) error {
	start := time.Now()
	resp, err := resty.New().R().SetContext(ctx).
		SetHeader(api.HeaderOrganisation, "nordisk-festsale").
		Get(d.entryURL(dk2Entry) + "/availability?date=2027-06-12")
	if err != nil {
		return err
	}
	printAnswer(resp, time.Since(start))
	fmt.Printf("   %s\n", strings.TrimSpace(resp.String()))
	return checkStatus(resp, http.StatusOK)
}

// deposit sends the same deposit with the same key through two entries and checks
// that both return the same answer.
func (d *demo) deposit(ctx context.Context) error {
	d.key = newKey()
	first, err := d.callOnce(ctx, dk1Entry, "/deposits", "nordisk-festsale", d.key, `{"couple":"42","amount_dkk":5000}`)
	if err != nil {
		return err
	}
	second, err := d.callOnce(ctx, dk2Entry, "/deposits", "nordisk-festsale", d.key, `{"couple":"42","amount_dkk":5000}`)
	if err != nil {
		return err
	}
	if first != second {
		return eris.Errorf("answers to the same key differ: %s and %s", first, second)
	}
	return nil
}

func (d *demo) dispatch(ctx context.Context) error {
	_, err := d.callOnce(ctx, tt2Entry, "/dispatches", "chaguanas", newKey(), `{"crew":"7","place":"Caroni bridge"}`)
	return err
}

// callOnce sends a non-idempotent call with an idempotency key and returns the body
// of the answer.
func (d *demo) callOnce(ctx context.Context, port int, path, organisation, key, body string) (string, error) {
	if key != d.key || d.sent == 0 {
		d.sent++
	}
	start := time.Now()
	resp, err := resty.New().R().SetContext(ctx).
		SetHeader(api.HeaderOrganisation, organisation).
		SetHeader(api.HeaderIdempotencyKey, key).
		SetHeader("Content-Type", "application/json").
		SetBody(body).
		Post(d.entryURL(port) + path)
	if err != nil {
		return "", err
	}
	printAnswer(resp, time.Since(start))
	fmt.Printf("   %s\n", strings.TrimSpace(resp.String()))
	return resp.String(), checkStatus(resp, http.StatusCreated)
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func checkStatus(resp *resty.Response, want int) error {
	if resp.StatusCode() != want {
		return eris.Errorf("HTTP %d, want %d: %s", resp.StatusCode(), want, resp.String())
	}
	return nil
}

// executions checks with the plain services that every non-idempotent call was
// executed exactly once.
func (d *demo) executions(ctx context.Context) error {
	total := 0
	for _, base := range d.plain {
		var stats backingtest.PlainStats
		if _, err := resty.New().R().SetContext(ctx).SetResult(&stats).Get(base + "/stats"); err != nil {
			return err
		}
		fmt.Printf("   %s: executed %d, repeated keys %d\n", base, stats.Executed, len(stats.Repeated))
		if len(stats.Repeated) > 0 {
			return eris.Errorf("keys executed more than once: %v", stats.Repeated)
		}
		total += stats.Executed
	}
	if total != d.sent {
		return eris.Errorf("got %d executions, want %d", total, d.sent)
	}
	return nil
}

// logRecords prints the number of records in the streams of the log.
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

// printClaims prints the number and size of the records in the stream of a claim
// partition. It prints nothing for an empty stream.
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

// wantSpans are the names of the spans of a request that is served at the first
// attempt.
var wantSpans = []string{"entry.request", "entry.admit", "entry.pick", "entry.attempt", "side.admit", "side.backend"}

// spans waits until the trace of the draft request has all expected spans, and
// prints them.
func (d *demo) spans(context.Context) error {
	found := map[string]bool{}
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) && len(found) < len(wantSpans) {
		time.Sleep(pollInterval)
		if err := d.readSpans(found); err != nil {
			return err
		}
	}
	for _, name := range wantSpans {
		if !found[name] {
			return eris.Errorf("no span %s in trace %s", name, d.traceID)
		}
		fmt.Printf("   trace %s: %s\n", d.traceID, name)
	}
	return nil
}

// span holds the decoded fields of a span in the trace file.
type span struct {
	Name        string
	SpanContext struct{ TraceID string }
}

// readSpans adds the names of the spans of the trace that are in the trace file.
func (d *demo) readSpans(found map[string]bool) error {
	file, err := os.Open(d.traces)
	if err != nil {
		return err
	}
	defer file.Close()
	dec := json.NewDecoder(file)
	for dec.More() {
		var s span
		if err := dec.Decode(&s); err != nil {
			return nil // the last line is still being written; the caller reads the file again
		}
		if s.SpanContext.TraceID == d.traceID {
			found[s.Name] = true
		}
	}
	return nil
}

package backingtest_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/backing/backingtest"
)

func fastOptions() backingtest.EngineOptions {
	opts := backingtest.DefaultEngineOptions()
	opts.StepTime = 100 * time.Microsecond
	opts.RestartTime = 0
	return opts
}

func serveEngine(t *testing.T, opts backingtest.EngineOptions) (*backingtest.Engine, string) {
	e := backingtest.NewEngine(opts)
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(srv.Close)
	return e, srv.URL
}

func chat(t *testing.T, base, prompt string, stream bool, headers ...string) (*http.Response, error) {
	body, err := json.Marshal(backingtest.ChatRequest{
		Model:     "m",
		Messages:  []backingtest.ChatMessage{{Role: "user", Content: prompt}},
		Stream:    stream,
		MaxTokens: 5,
	})
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	require.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(req)
}

// readStream returns the text of a streamed answer and reports whether it ended with [DONE].
func readStream(t *testing.T, body io.Reader) (text string, complete bool) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var part backingtest.ChatResponse
		require.NoError(t, json.Unmarshal([]byte(data), &part))
		text += part.Choices[0].Delta.Content
	}
	return text, false
}

// A streamed answer must be complete and recorded under its request id; scenarios
// compare answers with AnswerText.
func TestEngineStream(t *testing.T) {
	e, base := serveEngine(t, fastOptions())
	resp, err := chat(t, base, "hello", true, api.HeaderRequestID, "r1")
	require.NoError(t, err)
	defer resp.Body.Close()
	text, complete := readStream(t, resp.Body)
	require.True(t, complete)
	require.Equal(t, backingtest.AnswerText("hello", 5), text)
	require.Equal(t, "r1", e.Stats().Runs[0].RequestID)
}

// A resumed stream must begin at the requested token, neither repeating nor skipping
// one.
func TestEngineResume(t *testing.T) {
	_, base := serveEngine(t, fastOptions())
	resp, err := chat(t, base, "hello", true, backingtest.HeaderResumeFrom, "3")
	require.NoError(t, err)
	defer resp.Body.Close()
	text, complete := readStream(t, resp.Body)
	require.True(t, complete)
	require.Equal(t, backingtest.Token("hello", 3)+backingtest.Token("hello", 4), text)
}

// An answer that is not streamed must have the same text as a streamed one.
func TestEngineCompleteAnswer(t *testing.T) {
	_, base := serveEngine(t, fastOptions())
	resp, err := chat(t, base, "hello", false)
	require.NoError(t, err)
	defer resp.Body.Close()
	var answer backingtest.ChatResponse
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
	require.Equal(t, backingtest.AnswerText("hello", 5), answer.Choices[0].Message.Content)
}

// A cold engine above its cold bound must crash and cut all its requests; otherwise
// tests of slow start would pass without it.
func TestEngineCrashesOnColdOverload(t *testing.T) {
	opts := fastOptions()
	opts.ColdBound = 1
	opts.WarmAfter = 1
	e, base := serveEngine(t, opts)
	e.SetFaults(backingtest.EngineFaults{Slow: 1e7}) // no step ends during the test
	cut := make(chan error, 2)
	for range 2 {
		go func() {
			resp, err := chat(t, base, "hello", false)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			cut <- err
		}()
	}
	require.Error(t, <-cut)
	require.Error(t, <-cut)
	require.Equal(t, 1, e.Stats().ColdOverloads)
	require.Equal(t, 2, e.Stats().MaxColdLoad)
}

// An engine that turned cold must hold its caller to the cold bound from the third
// report that the caller read over one connection, as the caller has acted on the first
// by then. Reports read over several connections at once do not count together.
func TestEngineTurnedColdCrashesOnceKnown(t *testing.T) {
	opts := fastOptions()
	opts.ColdBound = 1
	opts.WarmAfter = 1
	e, base := serveEngine(t, opts)
	resp, err := chat(t, base, "warm", false)
	require.NoError(t, err)
	resp.Body.Close()
	require.False(t, e.Stats().Cold)
	e.TurnCold()
	e.SetFaults(backingtest.EngineFaults{Slow: 1e7}) // no step ends during the test
	cut := make(chan error, 3)
	send := func() {
		started := e.Stats().Started
		go func() {
			resp, err := chat(t, base, "hello", false)
			if err == nil {
				resp.Body.Close()
			}
			cut <- err
		}()
		require.Eventually(t, func() bool { return e.Stats().Started > started }, time.Minute, time.Millisecond)
	}
	for range 3 {
		_, err := backing.NewEngineClient(base).Load(t.Context())
		require.NoError(t, err)
	}
	send()
	send()
	require.Zero(t, e.Stats().ColdOverloads)
	poller := backing.NewEngineClient(base)
	for range 3 {
		report, err := poller.Load(t.Context())
		require.NoError(t, err)
		require.True(t, report.Cold)
	}
	send()
	require.Equal(t, 1, e.Stats().ColdOverloads)
	require.Equal(t, 3, e.Stats().MaxColdLoad)
	for range 3 {
		require.Error(t, <-cut)
	}
}

// A cold engine must become warm after WarmAfter requests, and its load report must
// show it.
func TestEngineWarms(t *testing.T) {
	opts := fastOptions()
	opts.ColdBound = 1
	opts.WarmAfter = 1
	e, base := serveEngine(t, opts)
	c := backing.NewEngineClient(base)
	report, err := c.Load(t.Context())
	require.NoError(t, err)
	require.True(t, report.Cold)
	resp, err := chat(t, base, "hello", false)
	require.NoError(t, err)
	resp.Body.Close()
	require.False(t, e.Report().Cold)
}

// A prompt with CrashMarker must crash the engine, and the restart must change its
// incarnation.
func TestEngineCrashMarker(t *testing.T) {
	e, base := serveEngine(t, fastOptions())
	before := e.Report().Incarnation
	_, err := chat(t, base, "now "+backingtest.CrashMarker, true)
	require.Error(t, err)
	require.NotEqual(t, before, e.Report().Incarnation)
	require.Equal(t, 1, e.Stats().Crashes)
}

// An order of a superseded coordinator must be refused: its fencing number is lower
// than the highest one seen.
func TestEngineChecksFences(t *testing.T) {
	opts := fastOptions()
	opts.ChecksFences = true
	_, base := serveEngine(t, opts)
	c := backing.NewEngineClient(base)
	state, err := c.Order(t.Context(), backing.EngineOrder{Kind: backing.OrderStage, Fence: 5, Epoch: 2, MapHash: "h"})
	require.NoError(t, err)
	require.Equal(t, uint64(2), state.Staged)
	state, err = c.Order(t.Context(), backing.EngineOrder{Kind: backing.OrderAbort, Fence: 4})
	require.ErrorIs(t, err, backing.ErrStaleFence)
	require.Equal(t, int64(5), state.HighestFence)
}

// An armed rank must not start the armed step before the commit, and must use the new
// map from that step on; otherwise ranks could run a pass with different maps.
func TestEngineHoldsAtArmedStep(t *testing.T) {
	e := backingtest.NewEngine(fastOptions())
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	order := func(kind backing.OrderKind) {
		_, err := e.Order(backing.EngineOrder{Kind: kind, Epoch: 1, Step: 3, MapHash: "h"})
		require.NoError(t, err)
	}
	order(backing.OrderStage)
	order(backing.OrderArm)
	resp, err := chat(t, srv.URL, "hello", true)
	require.NoError(t, err)
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	for range 2 { // steps 1 and 2
		_, err = r.ReadString('\n')
		require.NoError(t, err)
		_, err = r.ReadString('\n')
		require.NoError(t, err)
	}
	require.Equal(t, int64(2), e.Report().Step)
	order(backing.OrderCommit)
	_, complete := readStream(t, r)
	require.True(t, complete)
	require.Equal(t, "h", e.Report().ExpertMapHash)
}

// Package cost estimates what a request for a language model will cost the backend
// server that runs it, and keeps account of the work that servers still have to do.
//
// Estimator predicts the output length of a request from what its route's finished
// requests wrote. Model turns prompt and output lengths into server time. Ledger keeps
// what is left of the running requests by server, together with what other instances
// report.
//
// All types are pure state: times are offsets on the caller's monotonic clock. None of
// the types is safe for concurrent use.
package cost

import "time"

// Size is what a request states about its size, in tokens. A field that is 0 is
// unknown.
type Size struct {
	Prompt    int // prompt tokens
	MaxOutput int // most output tokens that it asks for
	Hint      int // the caller's estimate of the output tokens
}

// maxTokens bounds the token counts that are believed.
const maxTokens = 10_000_000

// Valid returns the size with counts that cannot be right replaced by 0.
func (s Size) Valid() Size {
	for _, n := range []*int{&s.Prompt, &s.MaxOutput, &s.Hint} {
		if *n < 0 || *n > maxTokens {
			*n = 0
		}
	}
	return s
}

// Model is the cost model of one backend server. Fields that are 0 are unknown.
type Model struct {
	Slots       int           // requests that run at once
	Step        time.Duration // duration of a token step without requests
	PerSequence time.Duration // added to a step for each running request
	PerContext  time.Duration // added for each 1,000 tokens of context of a running request
	PrefillRate float64       // prompt tokens read per second
	// Horizon is how many output tokens of a request ahead count as outstanding work; 0
	// for all of them. What a server has to write soon says better than the rest how
	// long its passes are and which slots are taken.
	Horizon float64
}

// Known reports whether the model tells requests of different sizes apart.
func (m Model) Known() bool { return m.Slots > 0 && m.PerSequence > 0 }

// Reading returns the server time for reading a prompt.
func (m Model) Reading(prompt int) time.Duration {
	if m.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(prompt) / m.PrefillRate * float64(time.Second))
}

// Writing returns the server time for the next tokens of a request that has that many
// tokens of context: what it adds to each step, and the share of one slot in the rest
// of the step.
func (m Model) Writing(context int, tokens float64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	perToken := float64(m.PerSequence)
	if m.Slots > 0 {
		perToken += float64(m.Step) / float64(m.Slots)
	}
	perToken += float64(m.PerContext) * (float64(context) + tokens/2) / 1000
	return time.Duration(perToken * tokens)
}

// outstanding returns the server time that is due for a request with unread prompt
// tokens, that many tokens of context, and output tokens left to write.
func (m Model) outstanding(unread, context int, left float64) time.Duration {
	if m.Horizon > 0 {
		left = min(left, m.Horizon)
	}
	return m.Reading(unread) + m.Writing(context, left)
}

// Due returns the server time that is due for a request before it has begun.
func (m Model) Due(e Estimate) time.Duration { return m.outstanding(e.Prompt, e.Prompt, e.Output) }

// Estimate is what a request is expected to cost.
type Estimate struct {
	Prompt int     // prompt tokens
	Output float64 // output tokens
	Work   time.Duration
}

// Memory returns the tokens that the request holds at its end.
func (e Estimate) Memory() int { return e.Prompt + int(e.Output+0.5) }

// Estimate returns the expected cost of a request with this prompt and output.
func (m Model) Estimate(prompt int, output float64) Estimate {
	return Estimate{Prompt: prompt, Output: output, Work: m.Reading(prompt) + m.Writing(prompt, output)}
}

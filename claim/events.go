package claim

import (
	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/wire"
)

// Event is something that a Call learns. The types below implement it.
type Event interface{ event() }

// Start begins a call with what the log is known to say of its key.
type Start struct {
	View    View
	End     backing.Offset // of the stream, as last seen
	LogDown bool           // the log service does not answer
}

// AppendRefused says that the log service refused the append of a claim.
type AppendRefused struct{ Nonce uint64 }

// AppendUnknown says that the answer to the append of a claim was lost.
type AppendUnknown struct{ Nonce uint64 }

// RecordsApplied says that records were read. Verdict is set when a claim of this call
// was among them.
type RecordsApplied struct {
	View    View
	End     backing.Offset // next offset to be read
	Verdict Verdict
	Nonce   uint64         // of the claim judged
	Offset  backing.Offset // of the claim judged
}

// RecordsTrimmed says that records were trimmed before they were read, so that a claim of
// the call may have been among them.
type RecordsTrimmed struct{}

// SendResult says what became of the request that was sent under the claim at
// Offset; a late one for an earlier claim of the call counts for nothing.
type SendResult struct {
	Offset backing.Offset
	Status SendStatus
	Answer wire.Answer // with SendReplied
	Err    *api.Error  // with SendRefused and SendNotStarted
}

// SendStatus is what became of a request.
type SendStatus uint8

// Statuses of a request.
const (
	SendReplied    SendStatus = iota + 1 // the whole answer came
	SendRefused                          // the side refused it or failed
	SendNotStarted                       // nothing of it was written to any connection
	SendConnLost                         // the connection failed after it was or may have been written
)

// QueryAnswered carries the answer to a Query.
type QueryAnswered struct {
	Offset backing.Offset // of the claim asked about
	State  wire.KeyState
	Answer wire.Answer // with wire.KeyFinished
}

// QueryFailed says that a Query was not answered.
type QueryFailed struct{ Offset backing.Offset }

// OutcomeAppendEnded says that the append of an outcome ended, in whatever way.
type OutcomeAppendEnded struct{}

// FetchResult answers a Fetch; Outcome is nil when the record cannot be read now.
type FetchResult struct{ Outcome *Outcome }

// LookUpResult answers a LookUp. Found false settles nothing.
type LookUpResult struct {
	Found  bool
	Answer wire.Answer
}

// CallerGone says that nobody waits for the answer any more.
type CallerGone struct{}

// Tick says that the time of Call.NextTick has come.
type Tick struct{}

func (Start) event()              {}
func (AppendRefused) event()      {}
func (AppendUnknown) event()      {}
func (RecordsApplied) event()     {}
func (RecordsTrimmed) event()     {}
func (SendResult) event()         {}
func (QueryAnswered) event()      {}
func (QueryFailed) event()        {}
func (OutcomeAppendEnded) event() {}
func (FetchResult) event()        {}
func (LookUpResult) event()       {}
func (CallerGone) event()         {}
func (Tick) event()               {}

// Action is something that the driver does for a Call. Appends keep their
// order. The types below implement it.
type Action interface{ action() }

// AppendClaim appends a claim once.
type AppendClaim struct{ Claim *Claim }

// AppendRelease appends a release; it may be appended again.
type AppendRelease struct{ Release *Release }

// AppendOutcome appends an outcome; it may be appended again. OutcomeAppendEnded follows.
type AppendOutcome struct{ Outcome *Outcome }

// Pad appends records that count for nothing until the stream's end lies
// beyond the offset; it may be repeated.
type Pad struct{ Until backing.Offset }

// Send sends the request once, to that incarnation of that side alone.
// SendResult follows.
type Send struct {
	Target Target
	Offset backing.Offset // of the claim
}

// Query asks a side about a claim. QueryAnswered or QueryFailed follows.
type Query struct {
	Target Target
	Offset backing.Offset
	Seal   bool
}

// Fetch reads the Outcome record at an offset. FetchResult follows.
type Fetch struct{ Offset backing.Offset }

// LookUp asks the service itself what became of the key. LookUpResult follows.
type LookUp struct{}

// Reply answers the caller, with Err or with Answer. It occurs at most once.
type Reply struct {
	Answer   wire.Answer
	Replayed bool   // of a run under another call's claim
	Side     string // that the answer came from, as far as known
	Err      *api.Error
}

func (AppendClaim) action()   {}
func (AppendRelease) action() {}
func (AppendOutcome) action() {}
func (Pad) action()           {}
func (Send) action()          {}
func (Query) action()         {}
func (Fetch) action()         {}
func (LookUp) action()        {}
func (Reply) action()         {}

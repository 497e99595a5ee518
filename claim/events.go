package claim

import (
	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/wire"
)

// Event is an input of a Call. The types below implement it.
type Event interface{ event() }

// Start begins a call with the known state of its key.
type Start struct {
	View    View
	End     backing.Offset // last known end of the stream
	LogDown bool           // the log service does not answer
}

// AppendRefused reports that the log service refused to append a claim.
type AppendRefused struct{ Nonce uint64 }

// AppendUnknown reports that the response to the append of a claim was lost: the
// claim may be stored, now or later.
type AppendUnknown struct{ Nonce uint64 }

// RecordsApplied reports that records were read and applied. Verdict is set if one of
// them was a claim made by this process for the key.
type RecordsApplied struct {
	View    View
	End     backing.Offset // next offset to read
	Verdict Verdict
	Nonce   uint64         // nonce of that claim
	Offset  backing.Offset // offset of that claim
}

// RecordsTrimmed reports that the log was trimmed past unread records, which may have
// included a claim of the call.
type RecordsTrimmed struct{}

// SendResult is the result of a Send. A late result for an earlier claim of the call
// is ignored.
type SendResult struct {
	Offset backing.Offset // offset of the claim
	Status SendStatus
	Answer wire.Answer // with SendReplied
	Err    *api.Error  // with SendRefused and SendNotStarted
}

// SendStatus is the status of a SendResult.
type SendStatus uint8

// Statuses of a SendResult.
const (
	SendReplied    SendStatus = iota + 1 // the complete answer was received
	SendRefused                          // the sidecar refused the request, or the run failed
	SendNotStarted                       // no byte was written to any connection
	SendConnLost                         // the connection failed after the request was or may have been written
)

// QueryAnswered is the answer to a Query.
type QueryAnswered struct {
	Offset backing.Offset // offset of the claim
	State  wire.KeyState
	Answer wire.Answer // with wire.KeyFinished
}

// QueryFailed reports that a Query was not answered.
type QueryFailed struct{ Offset backing.Offset }

// OutcomeAppendEnded reports that the append of an outcome has succeeded or failed.
type OutcomeAppendEnded struct{}

// FetchResult is the result of a Fetch. Outcome is nil if the record could not be
// read.
type FetchResult struct{ Outcome *Outcome }

// LookUpResult is the result of a LookUp. Found false does not mean that the call did
// not run.
type LookUpResult struct {
	Found  bool
	Answer wire.Answer
}

// CallerGone reports that the caller no longer waits for the answer.
type CallerGone struct{}

// Tick reports that the time of Call.NextTick has been reached.
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

// Action is an output of a Call, performed by its driver. Appends are performed in
// order. The types below implement it.
type Action interface{ action() }

// AppendClaim appends a claim; it must not be appended twice.
type AppendClaim struct{ Claim *Claim }

// AppendRelease appends a release; it may be appended more than once.
type AppendRelease struct{ Release *Release }

// AppendOutcome appends an outcome; it may be appended more than once.
// OutcomeAppendEnded follows.
type AppendOutcome struct{ Outcome *Outcome }

// Pad appends padding records until the end of the stream is beyond Until; it may be
// repeated.
type Pad struct{ Until backing.Offset }

// Send sends the request once, only to the given incarnation of the sidecar.
// SendResult follows.
type Send struct {
	Target Target
	Offset backing.Offset // offset of the claim
}

// Query queries a sidecar about a claim. QueryAnswered or QueryFailed follows.
type Query struct {
	Target Target
	Offset backing.Offset // offset of the claim
	Seal   bool           // seal the claim if it has not run
}

// Fetch reads the Outcome record at Offset. FetchResult follows.
type Fetch struct{ Offset backing.Offset }

// LookUp looks the key up at the service. LookUpResult follows.
type LookUp struct{}

// Reply answers the caller with Err or Answer. A call emits at most one.
type Reply struct {
	Answer   wire.Answer
	Replayed bool   // the answer comes from a run under another call's claim
	Side     string // sidecar that ran the call, "" if unknown
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

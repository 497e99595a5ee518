package claim_test

import (
	"fmt"
	"time"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/claim"
	"marjorampitch/wire"
)

// A sidecar runs a claimed call once, even if its request arrives again.
func ExampleKeyTable() {
	key, _ := claim.ParseKey("01920000-0000-7000-8000-000000000001")
	t := claim.NewKeyTable("incarnation-1")
	first := t.Begin(key, 7, 12, "incarnation-1")
	t.Finish(key, wire.Answer{Status: 201, Body: []byte("signed")})
	second := t.Begin(key, 7, 12, "incarnation-1")
	fmt.Println(first.Decision == claim.DecideRun, second.Decision == claim.DecideAnswer, string(second.Answer.Body))
	// Output: true true signed
}

// A front proxy sends a call only after it has read its claim back as the winner.
func ExampleCall() {
	key, _ := claim.ParseKey("01920000-0000-7000-8000-000000000001")
	now := time.UnixMilli(key.Timestamp())
	c := claim.NewCall(claim.CallConfig{
		Key: key, Fingerprint: 7, Claimant: "entry-1", Nonce: func() uint64 { return 1 },
		Deadline: now.Add(time.Minute), Limits: claim.KeyLimits{MaxAge: time.Hour}, Tuning: claim.DefaultTuning(),
		Pick: pickSide,
	})
	for _, a := range c.Step(now, claim.Start{End: 40}) {
		fmt.Printf("%T\n", a)
	}
	held := claim.View{Phase: claim.KeyHeld, Known: true, Fingerprint: 7, Offset: 40}
	won := claim.RecordsApplied{View: held, End: backing.Offset(41), Verdict: claim.VerdictWon, Nonce: 1, Offset: 40}
	for _, a := range c.Step(now, won) {
		fmt.Printf("%T\n", a)
	}
	// Output:
	// claim.AppendClaim
	// claim.Send
}

func pickSide(*api.Error) (claim.Target, *api.Error) {
	return claim.Target{Side: "side-1", Incarnation: "incarnation-1"}, nil
}

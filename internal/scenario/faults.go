package scenario

import (
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"marjorampitch/backing/backingtest"
)

// newKeyCommand sets an environment variable of the script to a new idempotency
// key: newkey VARIABLE.
func newKeyCommand(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: newkey VARIABLE")
	}
	ts.Setenv(args[0], newIdempotencyKey())
}

// plainFaultCommand replaces the faults of plain servers: plain-fault [flags] NAME...
// Without flags it clears them.
func (tb *Testbed) plainFaultCommand(args []string) error {
	var delay, answerDelay time.Duration
	var faults backingtest.PlainFaults
	f := newFlagSet("plain-fault")
	f.DurationVar(&delay, "delay", 0, "")
	f.DurationVar(&answerDelay, "answer-delay", 0, "")
	f.BoolVar(&faults.Hang, "hang", false, "")
	f.IntVar(&faults.BreakBefore, "break-before", 0, "")
	f.IntVar(&faults.BreakAfter, "break-after", 0, "")
	if err := f.Parse(args); err != nil {
		return err
	}
	faults.Delay = backingtest.Duration(delay)
	faults.AnswerDelay = backingtest.Duration(answerDelay)
	return forEach(f.Args(), tb.withBackend(func(b *backend) error {
		b.plain.SetFaults(faults)
		return nil
	}))
}

// appendFaultCommand sets the faults of the next appends to the log, instead of
// all earlier faults of the log service:
// append-fault [-lose N] [-late N -late-by D].
func (tb *Testbed) appendFaultCommand(args []string) error {
	var faults backingtest.LogFaults
	var lateBy time.Duration
	f := newFlagSet("append-fault")
	f.IntVar(&faults.LoseAnswers, "lose", 0, "")
	f.IntVar(&faults.LateAppends, "late", 0, "")
	f.DurationVar(&lateBy, "late-by", 0, "")
	if err := f.Parse(args); err != nil {
		return err
	}
	faults.LateBy = backingtest.Duration(lateBy)
	tb.log.SetFaults(faults)
	return nil
}

package scenario

import (
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"marjorampitch/backing/backingtest"
)

// newKeyVerb sets a variable of the script to a new idempotency key: newkey VARIABLE.
func newKeyVerb(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: newkey VARIABLE")
	}
	ts.Setenv(args[0], newKey())
}

// plainFaultVerb sets the faults of plain services: plain-fault [flags] NAME...
func (w *World) plainFaultVerb(args []string) error {
	var delay, answerDelay time.Duration
	var faults backingtest.PlainFaults
	f := flags("plain-fault")
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
	return each(f.Args(), w.withBackend(func(b *backend) error {
		b.plain.SetFaults(faults)
		return nil
	}))
}

// appendFaultVerb sets what becomes of the next appends: append-fault [-lose N] [-late N -late-by D].
func (w *World) appendFaultVerb(args []string) error {
	var faults backingtest.LogFaults
	var lateBy time.Duration
	f := flags("append-fault")
	f.IntVar(&faults.LoseAnswers, "lose", 0, "")
	f.IntVar(&faults.LateAppends, "late", 0, "")
	f.DurationVar(&lateBy, "late-by", 0, "")
	if err := f.Parse(args); err != nil {
		return err
	}
	faults.LateBy = backingtest.Duration(lateBy)
	w.log.SetFaults(faults)
	return nil
}

// Command fleet runs the system's processes against a small platform and disturbs them as
// one case of the review says. It exits with 1 if the rule of the case was broken, with 0 if
// it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	held    = 0
	broken  = 1
	invalid = 2
)

var cases = map[string]func(rec *record, trouble bool) int{
	"recover": runRecover, "memory": runMemory, "length": runLength, "leaving": runLeaving,
}

// cleanup ends what the case has started.
var cleanup = func() {}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: fleet CASE RECORD")
		os.Exit(invalid)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(invalid)
	}
	rec := newRecord(f)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		rec.line("ended by a signal")
		cleanup()
		os.Exit(invalid)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", os.Args[1], trouble)
	code := cases[os.Args[1]](rec, trouble)
	cleanup()
	rec.line("exit %d", code)
	f.Close()
	os.Exit(code)
}

// failed records why a case could not run.
func failed(rec *record, err error) int {
	rec.line("the case cannot run: %v", err)
	return invalid
}

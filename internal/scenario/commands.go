package scenario

import (
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"marjorampitch/backing"
	"marjorampitch/backing/backingtest"
	"marjorampitch/internal/relay"
)

// tailLines is the number of lines of each daemon's output that a failure shows.
const tailLines = 15

// Commands returns the commands that scripts use in addition to those of package
// testscript. find returns the Testbed of a script.
func Commands(find func(*testscript.TestScript) *Testbed) map[string]func(*testscript.TestScript, bool, []string) {
	methods := map[string]func(*Testbed, []string) error{
		"engine":        (*Testbed).engineCommand,
		"plain":         (*Testbed).plainCommand,
		"group":         (*Testbed).groupCommand,
		"slots":         (*Testbed).slotsCommand,
		"entry":         (*Testbed).entryCommand,
		"side":          (*Testbed).sideCommand,
		"publish":       (*Testbed).publishCommand,
		"ready":         (*Testbed).readyCommand,
		"shutdown":      (*Testbed).shutdownCommand,
		"sigkill":       (*Testbed).sigkillCommand,
		"crash-backend": (*Testbed).crashBackendCommand,
		"start-backend": (*Testbed).startBackendCommand,
		"restart":       (*Testbed).restartCommand,
		"freeze":        (*Testbed).freezeCommand,
		"thaw":          (*Testbed).thawCommand,
		"turn-cold":     (*Testbed).turnColdCommand,
		"silence":       (*Testbed).silenceCommand,
		"cut":           (*Testbed).cutCommand,
		"heal":          (*Testbed).healCommand,
		"list":          (*Testbed).listCommand,
		"outage":        (*Testbed).outageCommand,
		"plain-fault":   (*Testbed).plainFaultCommand,
		"append-fault":  (*Testbed).appendFaultCommand,
		"load":          (*Testbed).loadCommand,
		"finish":        (*Testbed).finishCommand,
		"await":         (*Testbed).awaitCommand,
		"expect":        (*Testbed).expectCommand,
		"check":         (*Testbed).checkCommand,
	}
	commands := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, method := range methods {
		commands[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("command %s can't be negated", name)
			}
			tb := find(ts)
			if err := method(tb, args); err != nil {
				ts.Fatalf("%s: %v\n%s", name, err, tb.diagnostics())
			}
		}
	}
	commands["newkey"] = newKeyCommand
	commands["note"] = func(ts *testscript.TestScript, _ bool, args []string) { noteCommand(ts, find(ts), args) }
	return commands
}

// noteCommand stores a counter in an environment variable of the script:
// note VARIABLE KIND NAME COUNTER.
func noteCommand(ts *testscript.TestScript, tb *Testbed, args []string) {
	if len(args) != 4 {
		ts.Fatalf("usage: note VARIABLE KIND NAME COUNTER")
	}
	got, err := tb.countersOf(args[1], args[2])
	ts.Check(err)
	ts.Setenv(args[0], strconv.Itoa(got[args[3]]))
}

// diagnostics describes the state of loads and daemons after a failure.
func (tb *Testbed) diagnostics() string {
	var b strings.Builder
	for name, l := range tb.loads {
		fmt.Fprintf(&b, "load %s: %v\n%s", name, l.counters(), l.describeFailures())
	}
	for name, d := range tb.daemons {
		fmt.Fprintf(&b, "--- %s\n%s\n", name, d.tail(tailLines))
	}
	return b.String()
}

// newFlagSet returns an empty flag set for a command; flags come before its other
// arguments.
func newFlagSet(name string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	return f
}

// checkArgs checks that a command has as many arguments as its usage names.
func checkArgs(args []string, usage ...string) error {
	if len(args) != len(usage) {
		return fmt.Errorf("got %d arguments, want: %s", len(args), strings.Join(usage, " "))
	}
	return nil
}

// engineCommand starts an engine: engine [flags] NAME DATA-CENTRE.
func (tb *Testbed) engineCommand(args []string) error {
	opts := backingtest.DefaultEngineOptions()
	f := newFlagSet("engine")
	f.DurationVar(&opts.StepTime, "step", opts.StepTime, "")
	f.IntVar(&opts.ColdBound, "cold-bound", 0, "")
	f.IntVar(&opts.WarmAfter, "warm-after", 0, "")
	f.IntVar(&opts.MaxRunning, "max-running", opts.MaxRunning, "")
	if err := f.Parse(args); err != nil {
		return err
	}
	if err := checkArgs(f.Args(), "NAME", "DATA-CENTRE"); err != nil {
		return err
	}
	return tb.AddEngine(f.Arg(0), f.Arg(1), opts)
}

// plainCommand starts a plain server: plain NAME DATA-CENTRE.
func (tb *Testbed) plainCommand(args []string) error {
	if err := checkArgs(args, "NAME", "DATA-CENTRE"); err != nil {
		return err
	}
	return tb.AddPlain(args[0], args[1])
}

// entryCommand starts an entry: entry NAME DATA-CENTRE.
func (tb *Testbed) entryCommand(args []string) error {
	if err := checkArgs(args, "NAME", "DATA-CENTRE"); err != nil {
		return err
	}
	return tb.StartDaemon(roleEntry, args[0], args[1])
}

// sideCommand starts the sidecars of backend servers: side NAME...
func (tb *Testbed) sideCommand(args []string) error {
	return forEach(args, func(name string) error { return tb.StartDaemon(roleSide, name, "") })
}

// forEach calls do for each name until one call fails.
func forEach(names []string, do func(string) error) error {
	for _, name := range names {
		if err := do(name); err != nil {
			return err
		}
	}
	return nil
}

// withDaemon returns a function that looks up a daemon by name and calls do for it.
func (tb *Testbed) withDaemon(do func(*daemon) error) func(string) error {
	return func(name string) error {
		d, ok := tb.daemons[name]
		if !ok {
			return fmt.Errorf("no daemon %q", name)
		}
		return do(d)
	}
}

// readyCommand waits until daemons are ready: ready [NAME]... Without names it waits
// for all.
func (tb *Testbed) readyCommand(args []string) error {
	if len(args) == 0 {
		for name := range tb.daemons {
			args = append(args, name)
		}
	}
	return forEach(args, tb.withDaemon(func(d *daemon) error {
		if err := poll(expectTimeout, d.ready); err != nil {
			return fmt.Errorf("wait until %s is ready: %w", d.name, err)
		}
		return nil
	}))
}

// shutdownCommand stops daemons with SIGTERM and waits for their exit:
// shutdown NAME...
func (tb *Testbed) shutdownCommand(args []string) error {
	stop := func(d *daemon) error { return d.signal(syscall.SIGTERM) }
	if err := forEach(args, tb.withDaemon(stop)); err != nil {
		return err
	}
	return forEach(args, tb.withDaemon((*daemon).wait))
}

// sigkillCommand kills daemons with SIGKILL: sigkill NAME...
func (tb *Testbed) sigkillCommand(args []string) error {
	return forEach(args, tb.withDaemon(func(d *daemon) error { d.kill(); return nil }))
}

// restartCommand starts daemons that have exited: restart NAME...
func (tb *Testbed) restartCommand(args []string) error {
	return forEach(args, tb.withDaemon((*daemon).start))
}

// crashBackendCommand crashes backend servers: crash-backend NAME...
func (tb *Testbed) crashBackendCommand(args []string) error {
	return forEach(args, tb.withBackend(func(b *backend) error { b.kill(); return nil }))
}

// startBackendCommand starts backend servers that have crashed: start-backend NAME...
func (tb *Testbed) startBackendCommand(args []string) error {
	return forEach(args, tb.withBackend(func(b *backend) error { return b.server.start() }))
}

// withBackend returns a function that looks up a backend server by name and calls
// do for it.
func (tb *Testbed) withBackend(do func(*backend) error) func(string) error {
	return func(name string) error {
		b, ok := tb.backends[name]
		if !ok {
			return fmt.Errorf("no backend server %q", name)
		}
		return do(b)
	}
}

// freezeCommand pauses daemons with SIGSTOP: freeze NAME...
func (tb *Testbed) freezeCommand(args []string) error {
	return forEach(args, tb.withDaemon(func(d *daemon) error { return d.signal(syscall.SIGSTOP) }))
}

// thawCommand resumes paused daemons with SIGCONT: thaw NAME...
func (tb *Testbed) thawCommand(args []string) error {
	return forEach(args, tb.withDaemon(func(d *daemon) error { return d.signal(syscall.SIGCONT) }))
}

// withRelays returns a function that calls do for the relays with a given name:
// "NAME" selects those to a daemon, "NAME.log" the one from it to the log service,
// "zone:NAME" all between a data centre and the rest of the deployment.
func (tb *Testbed) withRelays(do func(*relay.Relay)) func(string) error {
	return func(name string) error {
		var found []*relay.Relay
		if zone, ok := strings.CutPrefix(name, "zone:"); ok {
			found = tb.borderRelays(zone)
		} else if d, ok := tb.daemons[name]; ok {
			found = tb.relaysOf(d)
		} else if r, ok := tb.relays[name]; ok {
			found = []*relay.Relay{r}
		}
		if len(found) == 0 {
			return fmt.Errorf("no relay matches %q", name)
		}
		for _, r := range found {
			do(r)
		}
		return nil
	}
}

// silenceCommand silences the open connections of relays; new ones work:
// silence NAME...
func (tb *Testbed) silenceCommand(args []string) error {
	return forEach(args, tb.withRelays((*relay.Relay).BlackholeOpen))
}

// cutCommand silences open and new connections of relays in both directions:
// cut NAME...
func (tb *Testbed) cutCommand(args []string) error {
	return forEach(args, tb.withRelays(func(r *relay.Relay) { r.Blackhole(relay.Both) }))
}

// healCommand lets new connections of relays work again; silenced ones stay silent:
// heal NAME...
func (tb *Testbed) healCommand(args []string) error {
	return forEach(args, tb.withRelays((*relay.Relay).Heal))
}

// turnColdCommand makes engines cold without announcing it: turn-cold NAME...
func (tb *Testbed) turnColdCommand(args []string) error {
	return forEach(args, tb.withBackend(func(b *backend) error { b.engine.TurnCold(); return nil }))
}

// publishCommand publishes the service configuration after changing the state of
// data centres or backend servers in it: publish [NAME=STATE]...
func (tb *Testbed) publishCommand(args []string) error {
	for _, arg := range args {
		name, state, ok := strings.Cut(arg, "=")
		if !ok {
			return fmt.Errorf("publish: got %q, want NAME=STATE", arg)
		}
		if err := tb.document.set(name, state); err != nil {
			return err
		}
	}
	return tb.Publish()
}

// listCommand changes the instance list: list NAME live|leaving|gone.
func (tb *Testbed) listCommand(args []string) error {
	if err := checkArgs(args, "NAME", "live|leaving|gone"); err != nil {
		return err
	}
	return tb.withDaemon(func(d *daemon) error {
		if args[1] == "gone" {
			tb.deregister(d)
			return nil
		}
		return tb.register(d, backing.InstanceState(args[1]))
	})(args[0])
}

// outageCommand sets the kind of outage of the log service, instead of all earlier
// faults of it: outage refuse|break|hang|none.
func (tb *Testbed) outageCommand(args []string) error {
	if err := checkArgs(args, "refuse|break|hang|none"); err != nil {
		return err
	}
	kind := backingtest.Outage(args[0])
	if args[0] == "none" {
		kind = backingtest.OutageNone
	}
	tb.log.SetFaults(backingtest.LogFaults{Outage: kind})
	return nil
}

// loadCommand starts a load: load [flags] NAME KIND.
func (tb *Testbed) loadCommand(args []string) error {
	var opts LoadOptions
	c := &opts.Call
	f := newFlagSet("load")
	f.IntVar(&opts.Callers, "callers", 1, "")
	f.IntVar(&opts.Count, "count", 0, "")
	f.BoolVar(&opts.RepeatRefused, "again", false, "")
	f.BoolVar(&opts.ObeyRetry, "obey", false, "")
	f.BoolVar(&opts.Resend, "resend", false, "")
	f.IntVar(&c.Tokens, "tokens", 40, "")
	f.IntVar(&c.LeaveAfter, "leave", 0, "")
	f.StringVar(&c.Key, "key", "", "")
	f.StringVar(&c.Prompt, "prompt", "", "")
	f.StringVar(&c.Body, "body", `{"amount":1}`, "")
	f.StringVar(&c.Entry, "entry", "", "")
	if err := f.Parse(args); err != nil {
		return err
	}
	if err := checkArgs(f.Args(), "NAME", "KIND"); err != nil {
		return err
	}
	c.Kind = f.Arg(1)
	tb.StartLoad(f.Arg(0), opts)
	return nil
}

// withLoad returns a function that looks up a load by name and calls do for it.
func (tb *Testbed) withLoad(do func(*Load)) func(string) error {
	return func(name string) error {
		l, ok := tb.loads[name]
		if !ok {
			return fmt.Errorf("no load %q", name)
		}
		do(l)
		return nil
	}
}

// finishCommand ends loads once their calls in flight have ended: finish NAME...
func (tb *Testbed) finishCommand(args []string) error {
	return forEach(args, tb.withLoad((*Load).finish))
}

// awaitCommand waits until loads have made all their calls: await NAME...
func (tb *Testbed) awaitCommand(args []string) error {
	return forEach(args, tb.withLoad((*Load).await))
}

// expectCommand waits until conditions hold: expect KIND NAME CONDITION...
func (tb *Testbed) expectCommand(args []string) error { return tb.compare(args, expectTimeout) }

// checkCommand fails unless conditions hold now: check KIND NAME CONDITION...
func (tb *Testbed) checkCommand(args []string) error { return tb.compare(args, 0) }

// compare waits up to limit until all conditions hold.
func (tb *Testbed) compare(args []string, limit time.Duration) error {
	if len(args) < 3 {
		return fmt.Errorf("got %d arguments, want: KIND NAME and one or more CONDITION", len(args))
	}
	conditions, err := parseConditions(args[2:])
	if err != nil {
		return err
	}
	deadline := time.Now().Add(limit)
	for {
		got, err := tb.countersOf(args[0], args[1])
		if err != nil {
			return err
		}
		failed := unmet(conditions, got)
		if failed == "" {
			return nil
		}
		if !time.Now().Before(deadline) {
			return fmt.Errorf("%s %s: %s (%v)", args[0], args[1], failed, got)
		}
		time.Sleep(pollEvery)
	}
}

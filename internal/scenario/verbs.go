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

const tailLines = 15

// Verbs returns the verbs of the scripts. world finds a script's World.
func Verbs(world func(*testscript.TestScript) *World) map[string]func(*testscript.TestScript, bool, []string) {
	verbs := map[string]func(*World, []string) error{
		"engine":        (*World).engineVerb,
		"plain":         (*World).plainVerb,
		"group":         (*World).groupVerb,
		"slots":         (*World).slotsVerb,
		"entry":         (*World).entryVerb,
		"side":          (*World).sideVerb,
		"publish":       (*World).publishVerb,
		"ready":         (*World).readyVerb,
		"shutdown":      (*World).shutdownVerb,
		"sigkill":       (*World).sigkillVerb,
		"crash-backend": (*World).crashBackendVerb,
		"start-backend": (*World).startBackendVerb,
		"restart":       (*World).restartVerb,
		"freeze":        (*World).freezeVerb,
		"thaw":          (*World).thawVerb,
		"turn-cold":     (*World).turnColdVerb,
		"silence":       (*World).silenceVerb,
		"cut":           (*World).cutVerb,
		"heal":          (*World).healVerb,
		"list":          (*World).listVerb,
		"outage":        (*World).outageVerb,
		"plain-fault":   (*World).plainFaultVerb,
		"append-fault":  (*World).appendFaultVerb,
		"load":          (*World).loadVerb,
		"finish":        (*World).finishVerb,
		"await":         (*World).awaitVerb,
		"expect":        (*World).expectVerb,
		"check":         (*World).checkVerb,
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, verb := range verbs {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s can't be negated", name)
			}
			w := world(ts)
			if err := verb(w, args); err != nil {
				ts.Fatalf("%s: %v\n%s", name, err, w.report())
			}
		}
	}
	out["newkey"] = newKeyVerb
	out["note"] = func(ts *testscript.TestScript, _ bool, args []string) { note(ts, world(ts), args) }
	return out
}

// note sets a variable of the script to a number: note VARIABLE KIND NAME NUMBER.
func note(ts *testscript.TestScript, w *World, args []string) {
	if len(args) != 4 {
		ts.Fatalf("usage: note VARIABLE KIND NAME NUMBER")
	}
	have, err := w.subject(args[1], args[2])
	ts.Check(err)
	ts.Setenv(args[0], strconv.Itoa(have[args[3]]))
}

// report describes the world after a failure.
func (w *World) report() string {
	var b strings.Builder
	for name, l := range w.loads {
		fmt.Fprintf(&b, "load %s: %v\n%s", name, l.counters(), l.trouble())
	}
	for name, d := range w.daemons {
		fmt.Fprintf(&b, "--- %s\n%s\n", name, d.tail(tailLines))
	}
	return b.String()
}

// flags returns a set of flags that a verb may take before its other words.
func flags(name string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	return f
}

// words checks that a verb got as many words as its usage names.
func words(args []string, usage ...string) error {
	if len(args) != len(usage) {
		return fmt.Errorf("want: %s", strings.Join(usage, " "))
	}
	return nil
}

// engineVerb: engine [flags] NAME DATA-CENTRE.
func (w *World) engineVerb(args []string) error {
	opts := backingtest.DefaultEngineOptions()
	f := flags("engine")
	f.DurationVar(&opts.StepTime, "step", opts.StepTime, "")
	f.IntVar(&opts.ColdBound, "cold-bound", 0, "")
	f.IntVar(&opts.WarmAfter, "warm-after", 0, "")
	f.IntVar(&opts.MaxRunning, "max-running", opts.MaxRunning, "")
	if err := f.Parse(args); err != nil {
		return err
	}
	if err := words(f.Args(), "NAME", "DATA-CENTRE"); err != nil {
		return err
	}
	return w.AddEngine(f.Arg(0), f.Arg(1), opts)
}

func (w *World) plainVerb(args []string) error {
	if err := words(args, "NAME", "DATA-CENTRE"); err != nil {
		return err
	}
	return w.AddPlain(args[0], args[1])
}

func (w *World) entryVerb(args []string) error {
	if err := words(args, "NAME", "DATA-CENTRE"); err != nil {
		return err
	}
	return w.StartDaemon(roleEntry, args[0], args[1])
}

// sideVerb starts the side processes of backend servers: side NAME...
func (w *World) sideVerb(args []string) error {
	return each(args, func(name string) error { return w.StartDaemon(roleSide, name, "") })
}

func each(names []string, do func(string) error) error {
	for _, name := range names {
		if err := do(name); err != nil {
			return err
		}
	}
	return nil
}

// withDaemon looks a daemon up for do.
func (w *World) withDaemon(do func(*daemon) error) func(string) error {
	return func(name string) error {
		d, ok := w.daemons[name]
		if !ok {
			return fmt.Errorf("no daemon %q", name)
		}
		return do(d)
	}
}

// readyVerb waits until daemons are ready: ready NAME...; without names, all.
func (w *World) readyVerb(args []string) error {
	if len(args) == 0 {
		for name := range w.daemons {
			args = append(args, name)
		}
	}
	return each(args, w.withDaemon(func(d *daemon) error {
		if err := poll(expectLimit, d.ready); err != nil {
			return fmt.Errorf("%s ready: %w", d.name, err)
		}
		return nil
	}))
}

// shutdownVerb stops daemons gracefully and waits for their end: shutdown NAME...
func (w *World) shutdownVerb(args []string) error {
	stop := func(d *daemon) error { return d.signal(syscall.SIGTERM) }
	if err := each(args, w.withDaemon(stop)); err != nil {
		return err
	}
	return each(args, w.withDaemon((*daemon).wait))
}

// sigkillVerb ends daemons at once: sigkill NAME...
func (w *World) sigkillVerb(args []string) error {
	return each(args, w.withDaemon(func(d *daemon) error { d.kill(); return nil }))
}

// restartVerb starts daemons that have ended: restart NAME...
func (w *World) restartVerb(args []string) error { return each(args, w.withDaemon((*daemon).start)) }

// crashBackendVerb ends backend servers at once: crash-backend NAME...
func (w *World) crashBackendVerb(args []string) error {
	return each(args, w.withBackend(func(b *backend) error { b.kill(); return nil }))
}

// startBackendVerb starts backend servers that have ended: start-backend NAME...
func (w *World) startBackendVerb(args []string) error {
	return each(args, w.withBackend(func(b *backend) error { return b.server.start() }))
}

func (w *World) withBackend(do func(*backend) error) func(string) error {
	return func(name string) error {
		b, ok := w.backends[name]
		if !ok {
			return fmt.Errorf("no backend server %q", name)
		}
		return do(b)
	}
}

func (w *World) freezeVerb(args []string) error {
	return each(args, w.withDaemon(func(d *daemon) error { return d.signal(syscall.SIGSTOP) }))
}

func (w *World) thawVerb(args []string) error {
	return each(args, w.withDaemon(func(d *daemon) error { return d.signal(syscall.SIGCONT) }))
}

// withRelays finds the relays that a word names: "NAME" for those that lead to
// a daemon, "NAME.log" for the one from it to the log service, "zone:NAME" for
// all that cross the border of a data centre.
func (w *World) withRelays(do func(*relay.Relay)) func(string) error {
	return func(name string) error {
		var found []*relay.Relay
		if zone, ok := strings.CutPrefix(name, "zone:"); ok {
			found = w.border(zone)
		} else if d, ok := w.daemons[name]; ok {
			found = w.relaysOf(d)
		} else if r, ok := w.relays[name]; ok {
			found = []*relay.Relay{r}
		}
		if len(found) == 0 {
			return fmt.Errorf("nothing leads to %q", name)
		}
		for _, r := range found {
			do(r)
		}
		return nil
	}
}

func (w *World) silenceVerb(args []string) error {
	return each(args, w.withRelays((*relay.Relay).BlackholeOpen))
}

func (w *World) cutVerb(args []string) error {
	return each(args, w.withRelays(func(r *relay.Relay) { r.Blackhole(relay.Both) }))
}

func (w *World) healVerb(args []string) error { return each(args, w.withRelays((*relay.Relay).Heal)) }

// turnColdVerb makes engines cold without a word: turn-cold NAME...
func (w *World) turnColdVerb(args []string) error {
	return each(args, w.withBackend(func(b *backend) error { b.engine.TurnCold(); return nil }))
}

// publishVerb publishes the document: publish [NAME=STATE]...
func (w *World) publishVerb(args []string) error {
	for _, arg := range args {
		name, state, ok := strings.Cut(arg, "=")
		if !ok {
			return fmt.Errorf("%q: want NAME=STATE", arg)
		}
		if err := w.document.set(name, state); err != nil {
			return err
		}
	}
	return w.Publish()
}

// listVerb changes the instance list: list NAME live|leaving|gone.
func (w *World) listVerb(args []string) error {
	if err := words(args, "NAME", "live|leaving|gone"); err != nil {
		return err
	}
	return w.withDaemon(func(d *daemon) error {
		if args[1] == "gone" {
			w.remove(d)
			return nil
		}
		return w.show(d, backing.InstanceState(args[1]))
	})(args[0])
}

// outageVerb sets the log service's outage: outage refuse|break|hang|none.
func (w *World) outageVerb(args []string) error {
	if err := words(args, "refuse|break|hang|none"); err != nil {
		return err
	}
	kind := backingtest.Outage(args[0])
	if args[0] == "none" {
		kind = backingtest.OutageNone
	}
	w.log.SetFaults(backingtest.LogFaults{Outage: kind})
	return nil
}

// loadVerb starts callers: load [flags] NAME KIND.
func (w *World) loadVerb(args []string) error {
	var opts LoadOptions
	c := &opts.Call
	f := flags("load")
	f.IntVar(&opts.Callers, "callers", 1, "")
	f.IntVar(&opts.Count, "count", 0, "")
	f.BoolVar(&opts.Again, "again", false, "")
	f.BoolVar(&opts.Resend, "resend", false, "")
	f.IntVar(&c.Tokens, "tokens", 40, "")
	f.IntVar(&c.Leave, "leave", 0, "")
	f.StringVar(&c.Key, "key", "", "")
	f.StringVar(&c.Prompt, "prompt", "", "")
	f.StringVar(&c.Body, "body", `{"amount":1}`, "")
	f.StringVar(&c.Entry, "entry", "", "")
	if err := f.Parse(args); err != nil {
		return err
	}
	if err := words(f.Args(), "NAME", "KIND"); err != nil {
		return err
	}
	c.Kind = f.Arg(1)
	w.StartLoad(f.Arg(0), opts)
	return nil
}

func (w *World) withLoad(do func(*Load)) func(string) error {
	return func(name string) error {
		l, ok := w.loads[name]
		if !ok {
			return fmt.Errorf("no load %q", name)
		}
		do(l)
		return nil
	}
}

// finishVerb ends loads; calls in flight come to their end: finish NAME...
func (w *World) finishVerb(args []string) error { return each(args, w.withLoad((*Load).finish)) }

// awaitVerb waits until loads have made all their calls: await NAME...
func (w *World) awaitVerb(args []string) error { return each(args, w.withLoad((*Load).await)) }

// expectVerb waits until conditions hold: expect KIND NAME CONDITION...
func (w *World) expectVerb(args []string) error { return w.compare(args, expectLimit) }

// checkVerb fails unless conditions hold now: check KIND NAME CONDITION...
func (w *World) checkVerb(args []string) error { return w.compare(args, 0) }

func (w *World) compare(args []string, limit time.Duration) error {
	if len(args) < 3 {
		return fmt.Errorf("want: KIND NAME CONDITION, one or more")
	}
	conditions, err := parseConditions(args[2:])
	if err != nil {
		return err
	}
	deadline := time.Now().Add(limit)
	for {
		have, err := w.subject(args[0], args[1])
		if err != nil {
			return err
		}
		missing := unmet(conditions, have)
		if missing == "" {
			return nil
		}
		if !time.Now().Before(deadline) {
			return fmt.Errorf("%s %s: %s (%v)", args[0], args[1], missing, have)
		}
		time.Sleep(pollEvery)
	}
}

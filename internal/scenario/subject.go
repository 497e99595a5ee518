package scenario

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"marjorampitch/logfold"
)

// expectLimit is how long a script waits for a condition.
const expectLimit = 60 * time.Second

// subject returns the numbers of a load, a backend server or a daemon: "load
// NAME", "engine NAME", "group NAME", "plain" (all together), "daemon NAME".
func (w *World) subject(kind, name string) (counters, error) {
	switch kind {
	case "load":
		if l, ok := w.loads[name]; ok {
			c := l.counters()
			c["refused-ran"] = l.refusedRan(w.executions("all"))
			return c, nil
		}
	case "engine":
		if name == "all" {
			return w.engineSum(), nil
		}
		if b, ok := w.backends[name]; ok && b.engine != nil {
			return engineCounters(b), nil
		}
	case "group":
		if g, ok := w.groups[name]; ok {
			c := g.counters()
			claims, err := w.log.Read(context.Background(), logfold.GroupStream(service), 0, 1, 0)
			c["claims"] = int(claims.End)
			return c, err
		}
	case "plain":
		return w.plainCounters(name), nil
	case "log":
		return counters{"appends": int(w.log.Appends())}, nil
	case "daemon":
		if d, ok := w.daemons[name]; ok {
			return daemonCounters(d), nil
		}
	}
	return nil, eris.Errorf("no %s %q", kind, name)
}

func engineCounters(b *backend) counters {
	s := b.engine.Stats()
	return counters{
		"started":       s.Started,
		"finished":      s.Finished,
		"cancelled":     s.Cancelled,
		"broken":        s.Broken,
		"crashes":       s.Crashes,
		"falls":         s.ColdOverloads,
		"max-cold-load": s.MaxColdLoad,
		"max-load":      s.MaxLoad,
		"running":       s.Running,
		"cold":          number(s.Cold),
	}
}

// engineSum adds the counters of all engines up.
func (w *World) engineSum() counters {
	sum := counters{}
	for _, b := range w.backends {
		if b.engine != nil {
			sum = sum.add(engineCounters(b))
		}
	}
	return sum
}

// plainCounters are those of one plain service, or of all when name is "all".
func (w *World) plainCounters(name string) counters {
	sum := counters{"executed": 0, "repeated": 0, "keys": 0}
	for _, n := range w.executions(name) {
		sum["executed"] += n
		sum["keys"]++
		if n > 1 {
			sum["repeated"]++
		}
	}
	return sum
}

// executions counts the actions that one plain service, or all, executed under each key.
func (w *World) executions(name string) map[string]int {
	byKey := make(map[string]int)
	for _, b := range w.backends {
		if b.plain == nil || name != "all" && b.name != name {
			continue
		}
		for key, n := range b.plain.Stats().ByKey {
			byKey[key] += n
		}
	}
	return byKey
}

// daemonCounters are those of a status page; a process that does not answer has "up" 0.
func daemonCounters(d *daemon) counters {
	st, err := d.ask()
	if err != nil {
		return counters{"up": 0}
	}
	connected := 0
	for _, s := range st.Sides {
		connected += number(s.Connected)
	}
	return counters{
		"up":        1,
		"ready":     number(d.ready()),
		"config":    st.ConfigOffset,
		"current":   number(st.Current),
		"leaving":   number(st.Leaving),
		"refuses":   number(st.Refuses != ""),
		"cold":      number(st.Cold),
		"limit":     st.Limit,
		"running":   st.Running,
		"entries":   st.Entries,
		"connected": connected,
	}
}

func number(b bool) int {
	if b {
		return 1
	}
	return 0
}

// condition is a comparison such as "whole>=3".
type condition struct {
	name, op string
	value    int
}

var conditionForm = regexp.MustCompile(`^([a-z0-9-]+)(=|>=|<=|>|<)(-?[0-9]+)$`)

func parseConditions(args []string) ([]condition, error) {
	var out []condition
	for _, arg := range args {
		m := conditionForm.FindStringSubmatch(arg)
		if m == nil {
			return nil, eris.Errorf("condition %q: want name=3, name>=3, name<=3, name>3 or name<3", arg)
		}
		value, err := strconv.Atoi(m[3])
		if err != nil {
			return nil, err
		}
		out = append(out, condition{name: m[1], op: m[2], value: value})
	}
	return out, nil
}

func (c condition) holds(n int) bool {
	switch c.op {
	case "=":
		return n == c.value
	case ">=":
		return n >= c.value
	case "<=":
		return n <= c.value
	case ">":
		return n > c.value
	}
	return n < c.value
}

// unmet returns what does not hold, or an empty string.
func unmet(conditions []condition, have counters) string {
	var out []string
	for _, c := range conditions {
		if !c.holds(have[c.name]) {
			out = append(out, fmt.Sprintf("%s is %d, want %s%d", c.name, have[c.name], c.op, c.value))
		}
	}
	return strings.Join(out, "; ")
}

// pause waits a moment, or until stop is closed.
func pause(stop <-chan struct{}) {
	select {
	case <-stop:
	case <-time.After(retryPause):
	}
}

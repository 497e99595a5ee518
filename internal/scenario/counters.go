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

// expectTimeout is how long the expect and ready commands wait for a condition.
const expectTimeout = 60 * time.Second

// countersOf returns the counters of a load, engine, group, plain server, daemon or
// the log. The name "all" stands for all engines or all plain servers together.
func (tb *Testbed) countersOf(kind, name string) (counters, error) {
	switch kind {
	case "load":
		if l, ok := tb.loads[name]; ok {
			c := l.counters()
			c["refused-ran"] = l.refusedRan(tb.executions("all"))
			return c, nil
		}
	case "engine":
		if name == "all" {
			return tb.sumEngineCounters(), nil
		}
		if b, ok := tb.backends[name]; ok && b.engine != nil {
			return engineCounters(b), nil
		}
	case "group":
		if g, ok := tb.groups[name]; ok {
			c := g.counters()
			claims, err := tb.log.Read(context.Background(), logfold.GroupStream(service), 0, 1, 0)
			c["claims"] = int(claims.End)
			return c, err
		}
	case "plain":
		return tb.plainCounters(name), nil
	case "log":
		return counters{"appends": int(tb.log.Appends())}, nil
	case "daemon":
		if d, ok := tb.daemons[name]; ok {
			return daemonCounters(d), nil
		}
	}
	return nil, eris.Errorf("read counters: no %s %q", kind, name)
}

// engineCounters returns the counters of one engine.
func engineCounters(b *backend) counters {
	s := b.engine.Stats()
	return counters{
		"started":       s.Started,
		"finished":      s.Finished,
		"cancelled":     s.Cancelled,
		"broken":        s.Broken,
		"crashes":       s.Crashes,
		"falls":         s.ColdOverloads, // crashes because of overload while cold
		"max-cold-load": s.MaxColdLoad,
		"max-load":      s.MaxLoad,
		"running":       s.Running,
		"cold":          boolToInt(s.Cold),
	}
}

// sumEngineCounters returns the sums of the counters of all engines.
func (tb *Testbed) sumEngineCounters() counters {
	sum := counters{}
	for _, b := range tb.backends {
		if b.engine != nil {
			sum = sum.add(engineCounters(b))
		}
	}
	return sum
}

// plainCounters returns the counters of one plain server, or of all if name is "all".
// executed: actions executed; keys: keys with an execution; repeated: keys executed
// more than once.
func (tb *Testbed) plainCounters(name string) counters {
	sum := counters{"executed": 0, "repeated": 0, "keys": 0}
	for _, n := range tb.executions(name) {
		sum["executed"] += n
		sum["keys"]++
		if n > 1 {
			sum["repeated"]++
		}
	}
	return sum
}

// executions returns by key how many actions one plain server executed, or all if
// name is "all".
func (tb *Testbed) executions(name string) map[string]int {
	byKey := make(map[string]int)
	for _, b := range tb.backends {
		if b.plain == nil || name != "all" && b.name != name {
			continue
		}
		for key, n := range b.plain.Stats().ByKey {
			byKey[key] += n
		}
	}
	return byKey
}

// daemonCounters returns the counters of a daemon's status page. A process that
// does not answer has only the counter up, with value 0.
func daemonCounters(d *daemon) counters {
	st, err := d.fetchStatus()
	if err != nil {
		return counters{"up": 0}
	}
	connected := 0
	for _, s := range st.Sides {
		connected += boolToInt(s.Connected && !s.BackendDown)
	}
	return counters{
		"up":        1,
		"ready":     boolToInt(d.ready()),
		"config":    st.ConfigOffset,
		"current":   boolToInt(st.Current),
		"leaving":   boolToInt(st.Leaving),
		"refuses":   boolToInt(st.Refuses != ""),
		"cold":      boolToInt(st.Cold),
		"limit":     st.Limit,
		"running":   st.Running,
		"entries":   st.Entries,
		"connected": connected,
	}
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// condition compares a counter with a value, as in "whole>=3".
type condition struct {
	name, op string
	value    int
}

var conditionPattern = regexp.MustCompile(`^([a-z0-9-]+)(=|>=|<=|>|<)(-?[0-9]+)$`)

// parseConditions parses the conditions of an expect or check command.
func parseConditions(args []string) ([]condition, error) {
	var out []condition
	for _, arg := range args {
		m := conditionPattern.FindStringSubmatch(arg)
		if m == nil {
			return nil, eris.Errorf("condition %q: want a form like name=3, name>=3, name<=3, name>3 or name<3", arg)
		}
		value, err := strconv.Atoi(m[3])
		if err != nil {
			return nil, err
		}
		out = append(out, condition{name: m[1], op: m[2], value: value})
	}
	return out, nil
}

// holds reports whether the condition holds for a counter of value n.
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

// unmet describes the conditions that do not hold; it returns an empty string if
// all hold.
func unmet(conditions []condition, got counters) string {
	var out []string
	for _, c := range conditions {
		if !c.holds(got[c.name]) {
			out = append(out, fmt.Sprintf("%s is %d, want %s%d", c.name, got[c.name], c.op, c.value))
		}
	}
	return strings.Join(out, "; ")
}

// pause waits for d or until stop is closed.
func pause(stop <-chan struct{}, d time.Duration) {
	select {
	case <-stop:
	case <-time.After(d):
	}
}

package logfold_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjorampitch/config/publish"
	"marjorampitch/logfold"

	"marjorampitch/internal/fuzztest"
)

func TestMain(m *testing.M) {
	fuzztest.Main(m, fuzztest.Defaults{Seed: 4, Checks: 40, Steps: 100})
}

// convergenceBound is the time after the last fault within which an accepted
// document must be active in every process.
const convergenceBound = 10 * time.Second

// acceptedChange is an accepted change as computed by the model from all records
// ever stored.
type acceptedChange struct {
	offset  int64
	version uint64
	mark    int           // identifies the document
	at      time.Duration // when the record was stored
	nonce   string
}

// publication is one publish operation of an operator.
type publication struct {
	mark    int
	valid   bool
	seen    uint64 // version that the operator had read
	settles bool   // publishes the current document again to settle an unknown outcome

	restart bool // restarts the history
}

// operator is an operator at the command line, with the version last read.
type operator struct {
	name string
	seen uint64
}

// model is a simulation with operators and the checks of every process against
// the accepted changes.
type model struct {
	*simulation
	ops             []*operator
	publications    map[string]publication // by nonce
	results         map[string]publish.Result
	marks           int
	publish         func(m *model, t *rapid.T, op *operator, text []byte)
	violation       string // first violation
	mayFail         bool   // a violation ends the run without failing the test
	noProof         bool   // mutation: processes accept new work without a freshness proof
	acceptedChanges []acceptedChange
	evaluated       int    // number of records that acceptedChanges covers
	version         uint64 // current version after these records
}

func newModel(seed uint64) *model {
	m := &model{
		simulation:   newSimulation(seed),
		ops:          []*operator{{name: "anna"}, {name: "brian"}},
		publications: map[string]publication{},
		results:      map[string]publish.Result{},
		publish:      publishBySeen,
	}
	return m
}

// accepted returns the accepted changes among all records ever stored. It derives
// them from the publications rather than from the code under test.
func (m *model) accepted() []acceptedChange {
	all := m.streams[logfold.ConfigStream(service)].all
	for ; m.evaluated < len(all); m.evaluated++ {
		var c logfold.ConfigChange
		if _, err := c.UnmarshalMsg(all[m.evaluated].data); err != nil {
			continue
		}
		pub := m.publications[c.Nonce]
		switch {
		case pub.restart && c.At == int64(m.evaluated):
			m.version = uint64(m.evaluated) + 1
		case pub.valid && !pub.restart && c.Base == m.version:
			m.version++
		default:
			continue
		}
		m.acceptedChanges = append(m.acceptedChanges, acceptedChange{int64(m.evaluated), m.version, pub.mark, all[m.evaluated].at, c.Nonce})
	}
	return m.acceptedChanges
}

// check checks every process against the accepted changes.
func (m *model) check() {
	accepted := m.accepted()
	byOffset := map[int64]acceptedChange{}
	due := int64(-1) // lowest offset that a current process may have
	for _, a := range accepted {
		byOffset[a.offset] = a
		if a.at < m.now-freshFor {
			due = a.offset
		}
	}
	for _, p := range m.procs {
		doc := p.follower.ActiveDocument()
		if doc == nil {
			continue
		}
		a, ok := byOffset[doc.Offset]
		changed := doc.Offset != p.highest
		if changed && (!ok || a.version != doc.Version || string(doc.Raw) != string(text(a.mark, true))) {
			m.fail("process %d has an active document that was not accepted", p.id)
		}
		if doc.Offset < p.highest {
			m.fail("process %d went back from offset %d to %d", p.id, p.highest, doc.Offset)
		}
		p.highest = doc.Offset
		current := m.noProof || p.follower.Current(p.local(m.now))
		stale := !p.paused && current && doc.Offset < due
		if stale && !m.majorityLostLog() {
			m.fail("process %d accepts new work under the document at offset %d; the one at offset %d was accepted more than fresh-for ago", p.id, doc.Offset, due)
		}
	}
	m.checkPublications(accepted)
}

// checkPublications checks that each change replaced the version that its
// operator had read, became a version only once, and was reported correctly.
func (m *model) checkPublications(accepted []acceptedChange) {
	marks := map[int]bool{}
	for _, a := range accepted {
		pub := m.publications[a.nonce]
		if a.version != pub.seen+1 && !pub.restart {
			m.fail("version %d replaced one that its operator had not seen", a.version)
		}
		if marks[pub.mark] && !pub.settles {
			m.fail("change %d became a version twice", pub.mark)
		}
		marks[pub.mark] = true
	}
	for nonce, r := range m.results {
		m.checkResult(accepted, nonce, r)
	}
}

// checkResult checks the result that an operator received against the accepted
// changes.
func (m *model) checkResult(accepted []acceptedChange, nonce string, r publish.Result) {
	storedAsReported := false
	for _, a := range accepted {
		if a.nonce == nonce {
			storedAsReported = r.Status != publish.Accepted || (a.version == r.Version && a.offset == int64(r.Offset))
		}
	}
	if (r.Status == publish.Accepted) != storedAsReported && r.Status != publish.Unknown {
		m.fail("operator received the wrong result %q", r.Status)
	}
}

// majorityLostLog reports whether recently some process in each of a majority of
// the data centres could not read the log. check then tolerates outdated
// processes, since a quorum proof can replace the log proof.
func (m *model) majorityLostLog() bool {
	from := max(0, len(m.logDownTicks)-int(2*freshFor/tick))
	for _, down := range m.logDownTicks[from:] {
		if down {
			return true
		}
	}
	return false
}

func (m *model) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf("at %s: ", m.now) + fmt.Sprintf(format, args...)
	}
}

func (m *model) run(d time.Duration) {
	for range d / tick {
		m.step()
		m.check()
	}
}

// checkConvergence ends all faults and checks that the newest document becomes
// active in every process.
func (m *model) checkConvergence() {
	m.endFaults()
	before := m.recoverable()
	m.run(convergenceBound)
	accepted := m.accepted()
	if !before || !m.recoverable() || len(accepted) == 0 || len(m.delayedAppends) > 0 {
		return
	}
	last := accepted[len(accepted)-1]
	if last.at > m.now-convergenceBound/2 {
		return
	}
	m.counts["convergence checked"]++
	for _, p := range m.procs {
		doc := p.follower.ActiveDocument()
		if doc == nil || doc.Offset != last.offset || !p.follower.Current(p.local(m.now)) {
			m.fail("process %d, generation %d, lacks the newest document without a fault", p.id, p.generation)
		}
	}
}

// readVersion makes an operator read the current version.
func (m *model) readVersion(op *operator) {
	r := logfold.NewReader(m.simulation, service)
	if r.ReadToEnd(context.Background()) == nil {
		op.seen = r.State.Version
	}
}

func publishBySeen(m *model, t *rapid.T, op *operator, body []byte) {
	p := m.publisher(op.name)
	p.Nonce = func() string { return m.register(op) }
	r, err := p.Publish(context.Background(), op.seen, body)
	if err != nil || r.Nonce == "" {
		return
	}
	m.counts["published "+string(r.Status)]++
	m.results[r.Nonce] = r
	if r.Status == publish.Accepted {
		op.seen = r.Version
	}
}

// register records a publication and returns its nonce.
func (m *model) register(op *operator) string {
	nonce := fmt.Sprintf("%s-%d", op.name, len(m.publications))
	m.publications[nonce] = publication{mark: m.marks, valid: true, seen: op.seen}
	return nonce
}

// actions returns the actions of the operators and of the fault injector by name.
// rapid sorts them by name, so changing their order changes the runs of a fixed seed.
func (m *model) actions() map[string]func(*rapid.T) {
	anyProcess := func(t *rapid.T) *process { return m.procs[rapid.IntRange(0, len(m.procs)-1).Draw(t, "process")] }
	anyOp := func(t *rapid.T) *operator { return m.ops[rapid.IntRange(0, 1).Draw(t, "operator")] }
	actions := map[string]func(*rapid.T){
		"run short":    func(t *rapid.T) { m.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * tick) },
		"run long":     func(t *rapid.T) { m.run(time.Duration(rapid.IntRange(2, 90).Draw(t, "seconds")) * time.Second) },
		"quiesce":      func(*rapid.T) { m.checkConvergence() },
		"load version": func(t *rapid.T) { m.readVersion(anyOp(t)) },
		"publish": func(t *rapid.T) {
			m.marks++
			m.publish(m, t, anyOp(t), text(m.marks, true))
		},
		"load version and publish": func(t *rapid.T) {
			op := anyOp(t)
			m.readVersion(op)
			m.marks++
			m.publish(m, t, op, text(m.marks, true))
		},
		"race next append": func(t *rapid.T) {
			op := anyOp(t)
			m.beforeAppend = func() {
				m.readVersion(op)
				m.marks++
				m.publish(m, t, op, text(m.marks, true))
			}
		},
		"invalid record": func(t *rapid.T) {
			packed, _ := logfold.Pack(text(1, false))
			c := logfold.ConfigChange{Service: service, Base: anyOp(t).seen, Format: 1, Document: packed}
			data, _ := c.MarshalMsg(nil)
			m.store(logfold.ConfigStream(service), data)
		},
		"start new history":      func(*rapid.T) { m.restartHistory() },
		"settle unknown outcome": func(t *rapid.T) { m.resolveUnknown() },
		"draw append outcome": func(t *rapid.T) {
			m.nextAppend = appendOutcome(rapid.IntRange(0, int(numAppendOutcomes)-1).Draw(t, "outcome"))
			m.appendDelay = time.Duration(rapid.IntRange(1, 100).Draw(t, "delay")) * time.Second
		},
		"outage":            func(*rapid.T) { m.logDown = !m.logDown },
		"disconnect log":    func(t *rapid.T) { p := anyProcess(t); p.logUnreachable = !p.logUnreachable },
		"disconnect centre": func(t *rapid.T) { m.disconnectCentre(rapid.IntRange(0, numCentres-1).Draw(t, "centre")) },
		"disconnect peers": func(t *rapid.T) {
			a, b := anyProcess(t), anyProcess(t)
			m.disconnected[pair(a.id, b.id)] = !m.disconnected[pair(a.id, b.id)]
		},
		"restart": func(t *rapid.T) { m.restart(anyProcess(t)) },
		"restart all": func(*rapid.T) {
			for _, p := range m.procs {
				m.restart(p)
			}
		},
		"pause": func(t *rapid.T) { p := anyProcess(t); p.paused = !p.paused },
	}
	for name, action := range actions {
		actions[name] = func(t *rapid.T) {
			if m.violation == "" {
				m.counts["action "+name]++
				action(t)
			}
		}
	}
	actions[""] = func(t *rapid.T) {
		m.check()
		if m.violation != "" && !m.mayFail {
			t.Fatal(m.violation)
		}
	}
	return actions
}

// disconnectCentre disconnects a data centre from the log and from the other data
// centres, or reconnects it.
func (m *model) disconnectCentre(centre int) {
	name := fmt.Sprintf("d%d", centre)
	for _, p := range m.procs {
		if p.centre != name {
			continue
		}
		p.logUnreachable = !p.logUnreachable
		for _, other := range m.procs {
			if other.centre != name {
				m.disconnected[pair(p.id, other.id)] = p.logUnreachable
			}
		}
	}
}

// resolveUnknown resolves one publication whose outcome is unknown to its operator.
func (m *model) resolveUnknown() {
	for nonce, r := range m.results {
		if r.Status != publish.Unknown {
			continue
		}
		p := m.publisher("resolver")
		settleNonce := ""
		p.Nonce = func() string {
			settleNonce = fmt.Sprintf("settle-%d", len(m.publications))
			m.publications[settleNonce] = publication{mark: m.settleMark(), valid: true, seen: r.Base, settles: true}
			return settleNonce
		}
		if resolved, err := p.Resolve(context.Background(), r.Base, nonce, true); err == nil {
			m.counts["resolved "+string(resolved.Status)]++
			m.results[nonce] = resolved
		}
		return
	}
}

// restartHistory restarts the history, which is refused unless the current
// version is lost.
func (m *model) restartHistory() {
	m.marks++
	p := m.publisher("restarter")
	p.Nonce = func() string {
		nonce := fmt.Sprintf("restart-%d", len(m.publications))
		m.publications[nonce] = publication{mark: m.marks, valid: true, restart: true}
		return nonce
	}
	r, err := p.Restart(context.Background(), text(m.marks, true))
	if err == nil {
		m.counts["restart "+string(r.Status)]++
	}
	if err == nil && r.Status == publish.Accepted {
		m.results[r.Nonce] = r
	}
}

// settleMark returns the mark of the document that is published again to settle an
// unknown outcome.
func (m *model) settleMark() int {
	accepted := m.accepted()
	return accepted[len(accepted)-1].mark
}

// fuzz runs random actions on many simulations. With mayFail it returns the first
// violation; otherwise a violation fails the test.
func fuzz(t *testing.T, prepare func(*model)) (violation string) {
	total := map[string]int{}
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		if violation != "" {
			return
		}
		m := newModel(rapid.Uint64().Draw(t, "seed"))
		prepare(m)
		m.addDefault()
		t.Repeat(m.actions())
		steps += m.steps
		for name, n := range m.counts {
			total[name] += n
		}
		if m.mayFail {
			violation = m.violation
		}
	})
	t.Logf("events handled: %d; %v", steps, total)
	return violation
}

// TestFuzzFold runs followers, freshness proofs, publishers and a log service
// with retention under random faults. It guards against processes that use a
// rejected or outdated document and against changes that overwrite others unseen.
func TestFuzzFold(t *testing.T) {
	fuzz(t, func(*model) {})
}

// requireViolation checks that the fuzz test finds a violation containing want
// when a mechanism is disabled.
func requireViolation(t *testing.T, want string, prepare func(*model)) {
	violation := fuzz(t, func(m *model) {
		m.mayFail = true
		prepare(m)
	})
	require.Contains(t, violation, want)
	t.Log("found", violation)
}

// lateCheckpoint runs a fixed case: every process is down while retention trims
// the newest change, and then a delayed append of an old checkpoint is stored.
func lateCheckpoint(anyCheckpoint bool) *model {
	m := newModel(1)
	m.anyCheckpoint = anyCheckpoint
	m.addDefault()
	op := m.ops[0]
	for range 2 {
		m.marks++
		publishBySeen(m, nil, op, text(m.marks, true))
		if m.marks == 1 {
			m.run(retention / 2)
		}
	}
	checkpoints := m.streams[logfold.CheckpointStream(service)]
	old := checkpoints.all[0].data
	for _, p := range m.procs {
		p.paused = true
	}
	m.run(2 * retention)
	m.store(logfold.CheckpointStream(service), old)
	for _, p := range m.procs {
		m.restart(p)
	}
	m.run(4 * freshFor)
	return m
}

// When the newest document is lost, an operator can restart the history, and
// every process adopts the new document.
func TestRestartAfterLoss(t *testing.T) {
	m := lateCheckpoint(false)
	m.restartHistory()
	require.Equal(t, 1, m.counts["restart accepted"])
	m.run(time.Minute)
	require.Empty(t, m.violation)
	for _, p := range m.procs {
		require.Equal(t, uint64(3), p.follower.ActiveDocument().Version)
		require.True(t, p.follower.Current(p.local(m.now)))
	}
	m.restartHistory()
	require.Equal(t, 1, m.counts["restart refused"], "the current version is known again")
}

// A process must not resume from a checkpoint after which records were trimmed: it
// would accept new work under an outdated document.
func TestLateCheckpointAfterTrim(t *testing.T) {
	require.Contains(t, lateCheckpoint(true).violation, "accepts new work under the document at offset 0; the one at offset 1")
	m := lateCheckpoint(false)
	require.Empty(t, m.violation)
	for _, p := range m.procs {
		require.Nil(t, p.follower.ActiveDocument(), "the newest document is lost")
	}
}

// Without reading back after a lost answer, a change is accepted twice.
func TestMutationNoReadBack(t *testing.T) {
	requireViolation(t, "became a version twice", func(m *model) { m.publish = publishTwice })
}

// A change that is not based on the version that its operator read overwrites changes
// that the operator has not seen.
func TestMutationNoSeenBase(t *testing.T) {
	requireViolation(t, "had not seen", func(m *model) { m.publish = publishOnCurrent })
}

// Without a freshness proof, a process accepts new work under an outdated document.
func TestMutationNoProof(t *testing.T) {
	requireViolation(t, "accepts new work under the document", func(m *model) { m.noProof = true })
}

// publishTwice treats a lost answer as a failure and appends the document again,
// based on the then current version.
func publishTwice(m *model, _ *rapid.T, op *operator, body []byte) {
	for range 2 {
		r := logfold.NewReader(m.simulation, service)
		if r.ReadToEnd(context.Background()) != nil {
			return
		}
		op.seen = r.State.Version
		packed, _ := logfold.Pack(body)
		c := logfold.ConfigChange{Service: service, Base: op.seen, Format: 1, Document: packed, Nonce: m.register(op)}
		data, _ := c.MarshalMsg(nil)
		if _, err := m.Append(context.Background(), logfold.ConfigStream(service), [][]byte{data}); err == nil {
			return
		}
	}
}

// publishOnCurrent publishes on the current version, even if the operator has not
// read it.
func publishOnCurrent(m *model, t *rapid.T, op *operator, body []byte) {
	r := logfold.NewReader(m.simulation, service)
	if r.ReadToEnd(context.Background()) != nil {
		return
	}
	p := m.publisher(op.name)
	p.Nonce = func() string { return m.register(op) }
	if res, err := p.Publish(context.Background(), r.State.Version, body); err == nil && res.Status == publish.Accepted {
		op.seen = res.Version
	}
}

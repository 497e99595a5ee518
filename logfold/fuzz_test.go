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
	fuzztest.Main(m, fuzztest.Fixed{Seed: 4, Checks: 40, Steps: 100})
}

const quietBound = 10 * time.Second // an accepted document is in force everywhere this long after the last fault

// truth is what an omniscient reader knows of one accepted change.
type truth struct {
	offset  int64
	version uint64
	mark    int
	at      time.Duration
	nonce   string
}

// wish is one publishing of an operator.
type wish struct {
	mark  int
	valid bool
	seen  uint64 // version that the operator looked at
	seal  bool   // publishes the current document once more

	restart bool // begins the history anew
}

// operator is a person at the command line, with the version last looked at.
type operator struct {
	name string
	seen uint64
}

// model is a world with its operators and the oracle.
type model struct {
	*world
	ops     []*operator
	wishes  map[string]wish // by nonce
	results map[string]publish.Result
	marks   int
	publish func(m *model, t *rapid.T, op *operator, text []byte)
	bad     string // first violation
	mayFail bool   // a violation ends the run without failing the test
	noProof bool   // mechanism taken out: processes take new work without proof
	seq     []truth
	judged  int    // records of the stream that seq covers
	version uint64 // after them
}

func newModel(seed uint64) *model {
	m := &model{
		world:   newWorld(seed),
		ops:     []*operator{{name: "anna"}, {name: "brian"}},
		wishes:  map[string]wish{},
		results: map[string]publish.Result{},
		publish: publishBySeen,
	}
	return m
}

// accepted judges every record ever stored, by the wishes that they came from.
func (m *model) accepted() []truth {
	all := m.streams[logfold.ConfigStream(service)].all
	for ; m.judged < len(all); m.judged++ {
		var c logfold.ConfigChange
		if _, err := c.UnmarshalMsg(all[m.judged].data); err != nil {
			continue
		}
		w := m.wishes[c.Nonce]
		switch {
		case w.restart && c.At == int64(m.judged):
			m.version = uint64(m.judged) + 1
		case w.valid && !w.restart && c.Base == m.version:
			m.version++
		default:
			continue
		}
		m.seq = append(m.seq, truth{int64(m.judged), m.version, w.mark, all[m.judged].at, c.Nonce})
	}
	return m.seq
}

// check compares every process with the accepted changes.
func (m *model) check() {
	seq := m.accepted()
	byOffset := map[int64]truth{}
	due := int64(-1) // offset that a current process must have
	for _, a := range seq {
		byOffset[a.offset] = a
		if a.at < m.now-freshFor {
			due = a.offset
		}
	}
	for _, p := range m.procs {
		doc := p.follower.InForce()
		if doc == nil {
			continue
		}
		a, ok := byOffset[doc.Offset]
		moved := doc.Offset != p.top
		if moved && (!ok || a.version != doc.Version || string(doc.Raw) != string(text(a.mark, true))) {
			m.fail("process %d has a document in force that was not accepted", p.id)
		}
		if doc.Offset < p.top {
			m.fail("process %d went back from offset %d to %d", p.id, p.top, doc.Offset)
		}
		p.top = doc.Offset
		current := m.noProof || p.follower.Current(p.local(m.now))
		stale := !p.paused && current && doc.Offset < due
		if stale && !m.doubleFault() {
			m.fail("process %d takes new work by offset %d, %d is older than fresh-for", p.id, doc.Offset, due)
		}
	}
	m.checkAuthors(seq)
}

// checkAuthors sees to it that each change replaced the version that its
// operator had looked at, and became a version once.
func (m *model) checkAuthors(seq []truth) {
	marks := map[int]bool{}
	for _, a := range seq {
		w := m.wishes[a.nonce]
		if a.version != w.seen+1 && !w.restart {
			m.fail("version %d replaced one that its operator had not seen", a.version)
		}
		if marks[w.mark] && !w.seal {
			m.fail("change %d became a version twice", w.mark)
		}
		marks[w.mark] = true
	}
	for nonce, r := range m.results {
		m.checkResult(seq, nonce, r)
	}
}

// checkResult holds what an operator was told against the accepted changes.
func (m *model) checkResult(seq []truth, nonce string, r publish.Result) {
	became := false
	for _, a := range seq {
		if a.nonce == nonce {
			became = r.Status != publish.Accepted || (a.version == r.Version && a.offset == int64(r.Offset))
		}
	}
	if (r.Status == publish.Accepted) != became && r.Status != publish.Unknown {
		m.fail("operator was told %q, which is wrong", r.Status)
	}
}

// doubleFault reports whether lately, in most data centres, somebody could
// not read the log.
func (m *model) doubleFault() bool {
	from := max(0, len(m.downs)-int(2*freshFor/tick))
	for _, down := range m.downs[from:] {
		if down {
			return true
		}
	}
	return false
}

func (m *model) fail(format string, args ...any) {
	if m.bad == "" {
		m.bad = fmt.Sprintf("at %s: ", m.now) + fmt.Sprintf(format, args...)
	}
}

func (m *model) run(d time.Duration) {
	for range d / tick {
		m.step()
		m.check()
	}
}

// quiet ends all faults and demands that everyone gets the newest document.
func (m *model) quiet() {
	m.heal()
	before := m.recoverable()
	m.run(quietBound)
	seq := m.accepted()
	if !before || !m.recoverable() || len(seq) == 0 || len(m.late) > 0 {
		return
	}
	last := seq[len(seq)-1]
	if last.at > m.now-quietBound/2 {
		return
	}
	m.counts["quiet checked"]++
	for _, p := range m.procs {
		doc := p.follower.InForce()
		if doc == nil || doc.Offset != last.offset || !p.follower.Current(p.local(m.now)) {
			m.fail("process %d of life %d lacks the newest document without a fault", p.id, p.life)
		}
	}
}

// look has an operator read the current version.
func (m *model) look(op *operator) {
	r := logfold.NewReader(m.world, service)
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
	m.counts["told "+string(r.Status)]++
	m.results[r.Nonce] = r
	if r.Status == publish.Accepted {
		op.seen = r.Version
	}
}

// register notes the wish that the next nonce stands for.
func (m *model) register(op *operator) string {
	nonce := fmt.Sprintf("%s-%d", op.name, len(m.wishes))
	m.wishes[nonce] = wish{mark: m.marks, valid: true, seen: op.seen}
	return nonce
}

// actions are the moves of operators and of the adversary.
func (m *model) actions() map[string]func(*rapid.T) {
	anyProc := func(t *rapid.T) *proc { return m.procs[rapid.IntRange(0, len(m.procs)-1).Draw(t, "process")] }
	anyOp := func(t *rapid.T) *operator { return m.ops[rapid.IntRange(0, 1).Draw(t, "operator")] }
	moves := map[string]func(*rapid.T){
		"run short": func(t *rapid.T) { m.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * tick) },
		"run long":  func(t *rapid.T) { m.run(time.Duration(rapid.IntRange(2, 90).Draw(t, "seconds")) * time.Second) },
		"quiet":     func(*rapid.T) { m.quiet() },
		"look":      func(t *rapid.T) { m.look(anyOp(t)) },
		"publish": func(t *rapid.T) {
			m.marks++
			m.publish(m, t, anyOp(t), text(m.marks, true))
		},
		"look and publish": func(t *rapid.T) {
			op := anyOp(t)
			m.look(op)
			m.marks++
			m.publish(m, t, op, text(m.marks, true))
		},
		"race next append": func(t *rapid.T) {
			op := anyOp(t)
			m.race = func() {
				m.look(op)
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
		"start over": func(*rapid.T) { m.startOver() },
		"settle":     func(t *rapid.T) { m.settle() },
		"fate of next append": func(t *rapid.T) {
			m.fate = fate(rapid.IntRange(0, int(numFates)-1).Draw(t, "fate"))
			m.lateBy = time.Duration(rapid.IntRange(1, 100).Draw(t, "late by")) * time.Second
		},
		"outage":     func(*rapid.T) { m.logDown = !m.logDown },
		"cut log":    func(t *rapid.T) { p := anyProc(t); p.logCut = !p.logCut },
		"cut centre": func(t *rapid.T) { m.cutCentre(rapid.IntRange(0, numCentres-1).Draw(t, "centre")) },
		"cut peers": func(t *rapid.T) {
			a, b := anyProc(t), anyProc(t)
			m.cut[pair(a.id, b.id)] = !m.cut[pair(a.id, b.id)]
		},
		"restart": func(t *rapid.T) { m.restart(anyProc(t)) },
		"restart all": func(*rapid.T) {
			for _, p := range m.procs {
				m.restart(p)
			}
		},
		"pause": func(t *rapid.T) { p := anyProc(t); p.paused = !p.paused },
	}
	for name, move := range moves {
		moves[name] = func(t *rapid.T) {
			if m.bad == "" {
				m.counts["move "+name]++
				move(t)
			}
		}
	}
	moves[""] = func(t *rapid.T) {
		m.check()
		if m.bad != "" && !m.mayFail {
			t.Fatal(m.bad)
		}
	}
	return moves
}

// cutCentre cuts a data centre off from the log and from the others, or ends that.
func (m *model) cutCentre(centre int) {
	name := fmt.Sprintf("d%d", centre)
	for _, p := range m.procs {
		if p.centre != name {
			continue
		}
		p.logCut = !p.logCut
		for _, other := range m.procs {
			if other.centre != name {
				m.cut[pair(p.id, other.id)] = p.logCut
			}
		}
	}
}

// settle resolves the changes whose fate an operator doesn't know.
func (m *model) settle() {
	for nonce, r := range m.results {
		if r.Status != publish.Unknown {
			continue
		}
		p := m.publisher("settler")
		seal := ""
		p.Nonce = func() string {
			seal = fmt.Sprintf("seal-%d", len(m.wishes))
			m.wishes[seal] = wish{mark: m.sealMark(), valid: true, seen: r.Base, seal: true}
			return seal
		}
		if settled, err := p.Resolve(context.Background(), r.Base, nonce, true); err == nil {
			m.counts["settled "+string(settled.Status)]++
			m.results[nonce] = settled
		}
		return
	}
}

// startOver restarts the history, which is refused unless it is lost.
func (m *model) startOver() {
	m.marks++
	p := m.publisher("restarter")
	p.Nonce = func() string {
		nonce := fmt.Sprintf("restart-%d", len(m.wishes))
		m.wishes[nonce] = wish{mark: m.marks, valid: true, restart: true}
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

// sealMark is the mark of the document that a seal publishes again.
func (m *model) sealMark() int {
	seq := m.accepted()
	return seq[len(seq)-1].mark
}

// fuzz runs the moves on many worlds and returns the first violation.
func fuzz(t *testing.T, prepare func(*model)) (bad string) {
	total := map[string]int{}
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		if bad != "" {
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
			bad = m.bad
		}
	})
	t.Logf("events handled: %d; %v", steps, total)
	return bad
}

// TestFuzzFold composes followers, freshness, publishers and a log service
// with retention, and an adversary.
func TestFuzzFold(t *testing.T) {
	fuzz(t, func(*model) {})
}

// finds demands that the fuzz sees what happens with a mechanism taken out.
func finds(t *testing.T, want string, prepare func(*model)) {
	bad := fuzz(t, func(m *model) {
		m.mayFail = true
		prepare(m)
	})
	require.Contains(t, bad, want)
	t.Log("found", bad)
}

// lateCheckpoint is a fixed case: every process is down while retention cuts
// the newest change, and then an append of an old checkpoint lands.
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

// TestRestartAfterLoss: once nobody can know the newest document, an operator
// begins anew, and every process follows.
func TestRestartAfterLoss(t *testing.T) {
	m := lateCheckpoint(false)
	m.startOver()
	require.Equal(t, 1, m.counts["restart accepted"])
	m.run(time.Minute)
	require.Empty(t, m.bad)
	for _, p := range m.procs {
		require.Equal(t, uint64(3), p.follower.InForce().Version)
		require.True(t, p.follower.Current(p.local(m.now)))
	}
	m.startOver()
	require.Equal(t, 1, m.counts["restart refused"], "the version is known again")
}

func TestLateCheckpointAfterCutRecords(t *testing.T) {
	require.Contains(t, lateCheckpoint(true).bad, "takes new work by offset 0, 1 is older")
	m := lateCheckpoint(false)
	require.Empty(t, m.bad)
	for _, p := range m.procs {
		require.Nil(t, p.follower.InForce(), "nobody can know the newest document")
	}
}

func TestWithoutReadBack(t *testing.T) {
	finds(t, "became a version twice", func(m *model) { m.publish = publishTwice })
}

func TestWithoutSeenBase(t *testing.T) {
	finds(t, "had not seen", func(m *model) { m.publish = publishLast })
}

func TestWithoutProof(t *testing.T) {
	finds(t, "takes new work by", func(m *model) { m.noProof = true })
}

// publishTwice takes a lost answer for a failure, and appends the document
// again on what is then the current version.
func publishTwice(m *model, _ *rapid.T, op *operator, body []byte) {
	for range 2 {
		r := logfold.NewReader(m.world, service)
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

// publishLast publishes on whatever version is current, seen or not.
func publishLast(m *model, t *rapid.T, op *operator, body []byte) {
	r := logfold.NewReader(m.world, service)
	if r.ReadToEnd(context.Background()) != nil {
		return
	}
	p := m.publisher(op.name)
	p.Nonce = func() string { return m.register(op) }
	if res, err := p.Publish(context.Background(), r.State.Version, body); err == nil && res.Status == publish.Accepted {
		op.seen = res.Version
	}
}

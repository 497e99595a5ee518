package fleet

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/store"
)

// scriptedSource answers reads with one batch after the other, then waits for ever.
type scriptedSource struct {
	batches []Batch
	reads   []time.Duration // wait of each read
	at      []time.Duration // time of each read
	start   time.Time
}

func (s *scriptedSource) Snapshot(context.Context) (Batch, error) { return Batch{}, nil }

func (s *scriptedSource) Read(ctx context.Context, _ store.Position, wait time.Duration) (Batch, error) {
	s.reads, s.at = append(s.reads, wait), append(s.at, time.Since(s.start))
	if len(s.reads) > len(s.batches) {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	return s.batches[len(s.reads)-1], nil
}

// follow runs a Follower for one second and returns it.
func follow(t *testing.T, s *scriptedSource, opts FollowOptions) *Follower {
	s.start = time.Now()
	opts.Clock = func() time.Duration { return time.Hour + time.Since(s.start) }
	opts.Timeout = time.Minute
	f := NewFollower(s, NewCache(0), opts, log.New(io.Discard))
	ctx, stop := context.WithCancel(t.Context())
	go f.Run(ctx)
	time.Sleep(time.Second)
	stop()
	synctest.Wait()
	return f
}

// The proof of a relayed batch is the one that it carries, and no proof goes back.
func TestProofOfRelayedBatches(t *testing.T) {
	for name, c := range map[string]struct {
		batches []Batch
		want    time.Duration
	}{
		"own read":          {[]Batch{{Complete: true}}, time.Hour},
		"incomplete":        {[]Batch{{CurrentAt: time.Minute}}, 0},
		"relayed":           {[]Batch{{Complete: true, Relayed: true, CurrentAt: 50 * time.Minute}}, 50 * time.Minute},
		"older than before": {[]Batch{{Complete: true}, {Complete: true, Relayed: true, CurrentAt: 59 * time.Minute}}, time.Hour},
		"newer than before": {[]Batch{{Complete: true, CurrentAt: 50 * time.Minute}, {Complete: true, CurrentAt: 51 * time.Minute}}, 51 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := follow(t, &scriptedSource{batches: c.batches}, FollowOptions{Wait: time.Second})
				at, ok := f.FreshnessProof()
				require.Equal(t, c.want, at)
				require.Equal(t, c.want != 0, ok)
			})
		})
	}
}

// A relayed read has waited at the other process, so that the next one follows at once.
func TestNoPauseAfterRelayedBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{batches: []Batch{{Complete: true}, {Complete: true, Relayed: true}, {Complete: true}}}
		follow(t, s, FollowOptions{Pause: 300 * time.Millisecond})
		ms := time.Millisecond
		require.Equal(t, []time.Duration{300 * ms, 600 * ms, 600 * ms, 900 * ms}, s.at, "a pause after the snapshot and each own read")
	})
}

// A process that tolerates an old document needs no proof, so its first read after the
// snapshot waits for records: one call less at the start.
func TestRelaxedFollowerReadsOnceAfterSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{}
		follow(t, s, FollowOptions{Wait: 20 * time.Second, RelaxedPause: time.Minute})
		require.Equal(t, []time.Duration{20 * time.Second}, s.reads)

		s = &scriptedSource{}
		follow(t, s, FollowOptions{Wait: 20 * time.Second})
		require.Equal(t, []time.Duration{0}, s.reads, "others learn at once whether they are current")
	})
}

package soak

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/internal/cli"
)

// The processes are this test's own binary, so that they run with its race detector.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && (os.Args[1] == "gateway" || os.Args[1] == "rebalancer") {
		os.Exit(cli.Run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// Days of faults, among them every seed that ever failed (testdata/seeds, with
// the cause), on which nothing happens that must not.
func TestDays(t *testing.T) {
	binary, err := os.Executable()
	require.NoError(t, err)
	for _, seed := range seeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := Run(t.Context(), Options{Seed: seed, Binary: binary, Dir: t.TempDir(), Gateways: 2, Callers: 6, Faults: 8 * time.Second})
			require.NoError(t, err)
			t.Logf("answers %v, %d passes, map %d", r.Counts, r.Passes, r.Map)
			require.Empty(t, r.Broken, "faults:\n%s", strings.Join(r.Faults, "\n"))
			require.Positive(t, r.Counts["200"], "somebody is served")
		})
	}
}

// seeds reads the list of seeds; what follows a seed is the cause of its finding.
func seeds(t *testing.T) (list []uint64) {
	f, err := os.Open("testdata/seeds")
	require.NoError(t, err)
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		word, _, _ := strings.Cut(lines.Text(), " ")
		if word == "" || word == "#" {
			continue
		}
		seed, err := strconv.ParseUint(word, 10, 64)
		require.NoError(t, err)
		list = append(list, seed)
	}
	return list
}

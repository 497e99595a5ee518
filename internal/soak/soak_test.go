package soak

import (
	"bufio"
	"os"
	"slices"
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
// the cause), on which nothing happens that must not. A seed that is listed in
// KNOWN-RED.txt may break the one check that is named there, and is printed.
func TestDays(t *testing.T) {
	binary, err := os.Executable()
	require.NoError(t, err)
	for _, day := range seeds(t) {
		t.Run(strconv.FormatUint(day.seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := Run(t.Context(), Options{Seed: day.seed, Binary: binary, Dir: t.TempDir(), Gateways: 2, Callers: 6, Faults: 8 * time.Second})
			require.NoError(t, err)
			t.Logf("answers %v, %d passes, map %d", r.Counts, r.Passes, r.Map)
			broken := slices.DeleteFunc(r.Broken, func(what string) bool {
				return day.red != "" && strings.Contains(what, day.red)
			})
			if n := len(r.Broken) - len(broken); n > 0 {
				t.Logf("known to be red: %d times %q", n, day.red)
			}
			require.Empty(t, broken, "faults:\n%s", strings.Join(r.Faults, "\n"))
			require.Positive(t, r.Counts["200"], "somebody is served")
		})
	}
}

// day is one line of testdata/seeds.
type day struct {
	seed uint64
	red  string // check that is known to be red; empty for none
}

// seeds reads the list of seeds: seed, check known to be red or "-", cause.
func seeds(t *testing.T) (list []day) {
	f, err := os.Open("testdata/seeds")
	require.NoError(t, err)
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Split(lines.Text(), "|")
		if len(fields) != 3 {
			continue // a comment
		}
		seed, err := strconv.ParseUint(strings.TrimSpace(fields[0]), 10, 64)
		require.NoError(t, err)
		red := strings.Trim(fields[1], " -")
		list = append(list, day{seed, red})
	}
	return list
}

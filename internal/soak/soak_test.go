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

// TestMain runs the gateway or rebalancer if the binary was started as one: the
// test binary serves as the program so that the race detector covers it.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && (os.Args[1] == "gateway" || os.Args[1] == "rebalancer") {
		os.Exit(cli.Run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// TestDays performs one run per seed in testdata/seeds and expects no violation.
// The list includes every seed that has ever failed, with the cause. A seed that
// KNOWN-RED.txt lists may violate the one check named in testdata/seeds; the number
// of violations is logged.
func TestDays(t *testing.T) {
	binary, err := os.Executable()
	require.NoError(t, err)
	for _, s := range readSeeds(t) {
		t.Run(strconv.FormatUint(s.seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := Run(t.Context(), Options{Seed: s.seed, Binary: binary, Dir: t.TempDir(), Gateways: 2, Callers: 6, Faults: 8 * time.Second})
			require.NoError(t, err)
			t.Logf("answers %v, %d passes, map %d", r.Counts, r.Passes, r.MapVersion)
			violations := slices.DeleteFunc(r.Violations, func(violation string) bool {
				return s.knownRed != "" && strings.Contains(violation, s.knownRed)
			})
			if n := len(r.Violations) - len(violations); n > 0 {
				t.Logf("known failure: %d violations of %q", n, s.knownRed)
			}
			require.Empty(t, violations, "faults:\n%s", strings.Join(r.Faults, "\n"))
			require.Positive(t, r.Counts["200"], "no request succeeded")
		})
	}
}

// TestDaysOfRestoredStore performs runs in which the store comes back from older copies,
// and expects no violation.
func TestDaysOfRestoredStore(t *testing.T) {
	binary, err := os.Executable()
	require.NoError(t, err)
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := Run(t.Context(), Options{Seed: seed, Binary: binary, Dir: t.TempDir(), Gateways: 3, Callers: 6, Faults: 8 * time.Second, Restores: true})
			require.NoError(t, err)
			t.Logf("answers %v, %d passes, map %d", r.Counts, r.Passes, r.MapVersion)
			require.Empty(t, r.Violations, "faults:\n%s", strings.Join(r.Faults, "\n"))
			require.Positive(t, r.Counts["200"], "no request succeeded")
		})
	}
}

// seedEntry is one line of testdata/seeds.
type seedEntry struct {
	seed     uint64
	knownRed string // check that is known to fail; empty for none
}

// readSeeds reads testdata/seeds: seed, check known to fail or "-", cause.
func readSeeds(t *testing.T) (list []seedEntry) {
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
		knownRed := strings.Trim(fields[1], " -")
		list = append(list, seedEntry{seed, knownRed})
	}
	return list
}

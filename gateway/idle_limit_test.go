package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleLimit(t *testing.T) {
	type step struct{ at, limit, want time.Duration } // in seconds
	for name, steps := range map[string][]step{
		"first":                     {{0, 20, 20}},
		"raised at once":            {{0, 2, 2}, {1, 20, 20}},
		"lowered after the grace":   {{0, 20, 20}, {1, 2, 20}, {7, 2, 20}, {8, 2, 2}},
		"lowered in two steps":      {{0, 20, 20}, {1, 10, 20}, {4, 2, 20}, {8, 2, 10}, {9, 2, 2}},
		"lowered, raised, lowered":  {{0, 20, 20}, {1, 2, 20}, {3, 30, 30}, {4, 2, 30}, {10, 2, 30}, {11, 2, 2}},
		"a short rise counts, too":  {{0, 2, 2}, {1, 20, 20}, {2, 2, 20}, {8, 2, 20}, {9, 2, 2}},
		"equal limits are one":      {{0, 20, 20}, {5, 20, 20}, {6, 2, 20}, {12, 2, 20}, {13, 2, 2}},
		"no update for a long time": {{0, 20, 20}, {100, 2, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			l := idleLimit{grace: 7 * time.Second}
			for _, s := range steps {
				require.Equal(t, s.want*time.Second, l.update(s.limit*time.Second, s.at*time.Second), "at second %d", s.at)
			}
		})
	}
}

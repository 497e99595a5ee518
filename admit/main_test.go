package admit

import (
	"testing"

	"marjorampitch/internal/fuzztest"
)

// TestMain fixes the seed and the number of cases unless FUZZ=1 is set.
func TestMain(m *testing.M) {
	fuzztest.Main(m, fuzztest.Defaults{Seed: 20260701, Checks: 40})
}

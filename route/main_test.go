package route_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of cases unless FUZZ=1 is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("FUZZ") != "1" {
		for name, value := range map[string]string{"rapid.seed": "20260702", "rapid.checks": "500"} {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

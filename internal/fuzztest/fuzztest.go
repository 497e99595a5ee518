// Package fuzztest fixes the seeds of stateful fuzz tests, so that every run
// of the tests is the same one. With FUZZ=1 in the environment the seed is
// fresh and printed.
package fuzztest

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// Defaults is what a package's tests run with when FUZZ is not set.
type Defaults struct {
	Seed   uint64
	Checks int // cases of each property
	Steps  int // actions of a state machine's case; 0 for rapid's own number
}

// Main is a package's TestMain. Flags on the command line go before Fixed, so
// that a failure's seed can be run again. It exits the process.
func Main(m *testing.M, fixed Defaults) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	values := map[string]string{"rapid.nofailfile": "true"}
	if os.Getenv("FUZZ") == "1" {
		values["rapid.seed"] = strconv.FormatInt(time.Now().UnixNano(), 10)
	} else {
		values["rapid.seed"] = strconv.FormatUint(fixed.Seed, 10)
		values["rapid.checks"] = strconv.Itoa(fixed.Checks)
		if fixed.Steps > 0 {
			values["rapid.steps"] = strconv.Itoa(fixed.Steps)
		}
	}
	for name, value := range values {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	if os.Getenv("FUZZ") == "1" {
		fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	}
	os.Exit(m.Run())
}

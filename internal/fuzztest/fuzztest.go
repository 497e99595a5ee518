// Package fuzztest fixes the seeds of the stateful fuzz tests, so that every run
// executes the same cases. With FUZZ=1 in the environment, each run uses a new seed
// and prints it.
package fuzztest

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// Defaults are the settings of a package's fuzz tests when FUZZ=1 is not set.
type Defaults struct {
	Seed   uint64
	Checks int // number of cases per property
	Steps  int // number of actions per state machine case; 0 selects the default of package rapid
}

// Main implements TestMain of a package; it exits the process. Flags given on the
// command line override defaults, so that the seed of a failure can be replayed.
func Main(m *testing.M, defaults Defaults) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	values := map[string]string{"rapid.nofailfile": "true"}
	if os.Getenv("FUZZ") == "1" {
		values["rapid.seed"] = strconv.FormatInt(time.Now().UnixNano(), 10)
	} else {
		values["rapid.seed"] = strconv.FormatUint(defaults.Seed, 10)
		values["rapid.checks"] = strconv.Itoa(defaults.Checks)
		if defaults.Steps > 0 {
			values["rapid.steps"] = strconv.Itoa(defaults.Steps)
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

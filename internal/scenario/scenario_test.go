package scenario_test

import (
	"os"
	"os/exec"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"marjorampitch/internal/cli"
	"marjorampitch/internal/scenario"
)

const program = "marjorampitch"

type testbedKey struct{}

// TestMain registers the program as a command of the test binary: the daemons run
// the test binary, so that the race detector covers them.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		program: func() { os.Exit(cli.Run(os.Args[1:])) },
	})
}

// TestScenarios runs every script in testdata against real processes.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("scenarios start many processes")
	}
	binary, err := exec.LookPath(program)
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			tb, err := scenario.NewTestbed(env.WorkDir, binary)
			if err != nil {
				return err
			}
			env.Defer(tb.Close)
			env.Values[testbedKey{}] = tb
			return nil
		},
		Cmds: scenario.Commands(func(ts *testscript.TestScript) *scenario.Testbed {
			return ts.Value(testbedKey{}).(*scenario.Testbed)
		}),
	})
}

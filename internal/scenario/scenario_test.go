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

type worldKey struct{}

// The daemons are this test's own binary, so that they run with its race detector.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		program: func() { os.Exit(cli.Run(os.Args[1:])) },
	})
}

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
			w, err := scenario.NewWorld(env.WorkDir, binary)
			if err != nil {
				return err
			}
			env.Defer(w.Close)
			env.Values[worldKey{}] = w
			return nil
		},
		Cmds: scenario.Verbs(func(ts *testscript.TestScript) *scenario.World {
			return ts.Value(worldKey{}).(*scenario.World)
		}),
	})
}

package route_test

import (
	"fmt"
	"time"

	"marjorampitch/route"
	_ "marjorampitch/route/policies"
	"marjorampitch/wire"
)

func Example() {
	table := route.NewTable()
	table.Put("engine-1", "east", 0, false)
	table.Put("engine-2", "west", 1500*time.Microsecond, false)
	table.ApplyReport("engine-1", &wire.Report{Limit: 8, Running: 8, StepMillis: 20}, 0)
	table.ApplyReport("engine-2", &wire.Report{Limit: 8, Running: 1, StepMillis: 20}, 0)

	picker, err := route.Build("leastconn", 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	candidates := table.Candidates(100 * time.Millisecond)
	i, ok := picker.Pick(&route.Request{Session: "s1"}, candidates)
	fmt.Println(candidates[i].Name, ok)
	// Output: engine-2 true
}

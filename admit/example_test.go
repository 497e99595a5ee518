package admit_test

import (
	"fmt"
	"time"

	"marjorampitch/admit"
	"marjorampitch/backing"
)

func ExampleColdStart() {
	cold := admit.NewColdStart(admit.ColdStartConfig{ColdLimit: 2, WarmLimit: 16, ReportsLoad: true, MaxReportAge: time.Second}, 0)
	_, err := cold.Admit(0, false)
	fmt.Println(err)

	now := 10 * time.Millisecond
	cold.Observe(now, now, &backing.EngineReport{Incarnation: "a", Cold: true})
	for range 3 {
		_, err = cold.Admit(now, false)
	}
	fmt.Println(err, cold.Limit(now))
	// Output:
	// 205 cold-limit: waiting for the server's report after a start
	// 205 cold-limit: at the limit 2
}

func ExampleRetryBudget() {
	budget := admit.NewRetryBudget(0.1, 1)
	fmt.Println(budget.TryWithdraw(), budget.TryWithdraw())
	for range 10 {
		budget.Deposit()
	}
	fmt.Println(budget.TryWithdraw())
	// Output:
	// true false
	// true
}

func ExampleQuarantine() {
	side, entry := admit.NewQuarantine(2), admit.NewQuarantine(2)
	side.RecordCrash(1, []uint64{7, 8}, false, 0)
	side.RecordCrash(2, []uint64{7, 9}, false, 0)
	evidence, _ := side.ChangesSince(0)
	entry.Merge(evidence, 0)
	fmt.Println(entry.Check(7, 0) == admit.RunAlone, entry.Check(8, 0) == admit.Run)
	// Output: true true
}

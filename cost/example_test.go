package cost_test

import (
	"fmt"
	"time"

	"marjorampitch/cost"
)

// A route turns out to write ten times as much as usual, and what a server has to do
// follows.
func Example() {
	estimator := cost.NewEstimator(40)
	size := cost.Size{Prompt: 1000, MaxOutput: 1000}
	before := estimator.Output("reports", size)
	for i := range 100 {
		estimator.Observe(time.Duration(i)*time.Second, "reports", size, 400)
	}
	after := estimator.Output("reports", size)
	fmt.Println("longer than assumed:", after > 5*before)

	model := cost.Model{Slots: 10, Step: 5 * time.Millisecond, PerSequence: time.Millisecond, PrefillRate: 50_000}
	ledger := cost.NewLedger()
	server := cost.Server{ID: "s1"}
	entry := ledger.Begin(server, model, model.Estimate(size.Prompt, after), size.MaxOutput, time.Minute)
	atFirst := ledger.Own(server).Work
	ledger.Wrote(entry, 200)
	fmt.Println("less to do than before:", ledger.Own(server).Work < atFirst)
	ledger.End(entry)
	fmt.Println("requests:", ledger.Own(server).Requests)
	// Output:
	// longer than assumed: true
	// less to do than before: true
	// requests: 0
}

package group_test

import (
	"fmt"

	"marjorampitch/group"
)

// Example claims a group with a coordinator and seals its only rank.
func Example() {
	c := group.NewCoordinator(group.CoordinatorOptions{Group: "g", Ranks: 1})
	rank, _ := group.NewRank(group.RankOptions{Group: "g"}, group.EngineState{Epoch: 7, Next: 100}, []byte("map"))
	rank.SetFence(3) // the latest claim on the log when the sidecar started

	c.Lead()
	order := c.Claimed(4)[0].(group.SendOrder).Order
	command := rank.HandleOrder(&order)[0].(group.RunCommand).Command
	fmt.Println(group.OrderKind(order.Kind), "with number", command.Fence)

	result := group.Result{Kind: command.Kind, Outcome: group.Succeeded, State: group.EngineState{Epoch: 7, Next: 101}}
	ack := rank.HandleResult(result)[0].(group.SendAck).Ack
	fmt.Println("map", ack.Epoch, "next step", ack.Next)
	// Output:
	// seal with number 4
	// map 7 next step 101
}

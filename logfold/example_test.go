package logfold_test

import (
	"fmt"

	"marjorampitch/backing"
	"marjorampitch/logfold"
)

// Two operators change version 0; the change stored first is accepted.
func ExampleState() {
	state := logfold.NewState(service)
	for i, author := range []string{"anna", "brian"} {
		packed, err := logfold.Pack(text(i, true))
		if err != nil {
			panic(err)
		}
		change := logfold.ConfigChange{Service: service, Base: 0, Format: 1, Document: packed, Author: author}
		data, err := change.MarshalMsg(nil)
		if err != nil {
			panic(err)
		}
		out, err := state.Apply(backing.Record{Offset: backing.Offset(i), Data: data})
		fmt.Println(out.Author, out.Accepted, out.Version, out.Detail, err)
	}
	// Output:
	// anna true 1  <nil>
	// brian false 1 based on version 0, current is 1 <nil>
}

package inforce_test

import (
	"fmt"

	"marjorampitch/config/inforce"
)

func ExampleEverywhere() {
	reports := []inforce.Report{
		{Instance: "dk1-entry", Offset: 7, Current: true},
		{Instance: "dk2-entry", Offset: 4, Current: true},
	}
	fmt.Println(inforce.Everywhere(reports, 4), inforce.Everywhere(reports, 7))
	// Output: true false
}

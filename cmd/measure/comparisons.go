package main

import "marjorampitch/internal/measure"

func init() {
	register("routing", measure.Routing)
	register("zone", measure.DataCentreOutage)
	register("admission", measure.Admission)
	register("unequal", measure.Unequal)
}

package main

import "marjorampitch/internal/measure"

func init() {
	register("routing", measure.Routing)
	register("zone", measure.Zone)
	register("admission", measure.Admission)
}

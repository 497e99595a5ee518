package config_test

import (
	"fmt"

	"marjorampitch/config"
)

func ExampleParseDocument() {
	_, err := config.ParseDocument("service.ini", []byte("[service]\nname = Bands\nformat = 1\ncolour = red\n"))
	if problems, ok := err.(config.Problems); ok {
		for _, p := range problems {
			if p.Line > 0 {
				fmt.Println(p)
			}
		}
	}
	// Output:
	// service.ini:2: [service] name: found "Bands", want a name of lower-case letters, digits, '.', '_' and '-', at most 63 long
	// service.ini:4: [service] colour: found "red", want a known key: name, format
}

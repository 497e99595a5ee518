// Command marjorampitch runs the daemons of the load balancer and the commands for
// operators.
package main

import (
	"os"

	"marjorampitch/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:]))
}

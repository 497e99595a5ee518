// Command marjorampitch runs the daemons of the load balancer and its operator's commands.
package main

import (
	"os"

	"marjorampitch/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:]))
}

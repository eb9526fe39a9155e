// Tuliprock is a load-balancing sidecar: it takes requests from callers and passes each to the endpoint that the
// decision module chooses. Started with no argument it is the platform's daemon; its tools are commands.
package main

import (
	"fmt"
	"os"
)

// Exit codes, the same for all commands.
const (
	exitOK      = iota
	exitFailure // the work ran and its verdict is bad
	exitUsage
)

func main() {
	if len(os.Args) == 1 {
		if err := daemon(); err != nil {
			fmt.Fprintln(os.Stderr, "tuliprock:", err)
			os.Exit(1)
		}
		return
	}
	os.Exit(runCommand(os.Args[1:]))
}

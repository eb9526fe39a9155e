// Tuliprock is a load-balancing sidecar: it accepts requests from clients and forwards each to the endpoint that the
// decision module chooses.
//
// Started without an argument it is the platform's daemon and reads the configuration that ROUTER_CONFIG names. All else
// is a command with a file of its own here: serve runs the daemon on an operators' file, check reads such a file, peers
// and settings ask a running daemon, and rehearse, fleet, load and stand-in are tools to test daemons with. The package
// keeps no state: the daemon's is owned by internal/sidecar. Its own goroutines are the one that reloads the configuration,
// which lasts as long as the process, and those of the tools, which end before their command does.
package main

import (
	"fmt"
	"os"

	"tuliprock/internal/eventloop"
)

// Exit codes, the same for all commands.
const (
	exitOK      = iota // the work was done, and its result is good
	exitFailure        // the work was done, and its result is bad; or the platform's daemon ended with an error
	exitUsage          // nothing was done
)

func main() {
	if len(os.Args) == 1 {
		if err := servePlatform(eventloop.NewBalancer); err != nil {
			fmt.Fprintln(os.Stderr, "tuliprock:", err)
			os.Exit(exitFailure)
		}
		return
	}
	os.Exit(runCommand(os.Args[1:]))
}

// Tuliprock is a load-balancing sidecar: it accepts requests from clients and forwards each to the endpoint that the balancer,
// which is package balance, chooses.
//
// Started without an argument it is the platform's daemon and reads the configuration file that ROUTER_CONFIG names, as tuliprockd does,
// which is that daemon alone.
// Everything else is a command in a file of its own in this package: serve runs the daemon on an operators' file, check
// validates such a file, peers and settings query a running daemon, and rehearse, fleet, load and stand-in are tools to
// test daemons with. The package keeps no state: the daemon's state is owned by internal/sidecar. The goroutines that the tools start
// end before their command returns.
package main

import (
	"fmt"
	"os"

	"tuliprock/internal/daemon"
	"tuliprock/internal/eventloop"
)

// Exit codes, the same for all commands.
const (
	exitOK      = iota // the command ran, and found no fault
	exitFailure        // the command ran, and its result is negative, such as a violated invariant; or the platform's daemon ended with an error
	exitUsage          // the command did nothing, because of a usage or input error
)

func main() {
	if len(os.Args) == 1 {
		if err := daemon.ServePlatform(eventloop.NewBalancer); err != nil {
			fmt.Fprintln(os.Stderr, "tuliprock:", err)
			os.Exit(exitFailure)
		}
		return
	}
	os.Exit(runCommand(os.Args[1:]))
}

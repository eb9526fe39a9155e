// Tuliprockd is the load-balancing sidecar as the platform runs it: tuliprock without its commands. It reads the configuration file that
// ROUTER_CONFIG names and takes no argument. The program is separate because the platform counts the mapped program as memory.
package main

import (
	"fmt"
	"os"

	"tuliprock/internal/daemon"
	"tuliprock/internal/eventloop"
)

func main() {
	if err := daemon.ServePlatform(eventloop.NewBalancer); err != nil {
		fmt.Fprintln(os.Stderr, "tuliprock:", err)
		os.Exit(1)
	}
}

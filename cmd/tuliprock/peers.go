package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"tuliprock/internal/cluster/status"
)

// peersCommand prints the members of a daemon's cluster as the daemon sees them.
type peersCommand struct{ daemonFlags }

// Run executes the command "peers". The parser kong calls it with the flags and arguments set.
func (c *peersCommand) Run() error {
	fleet, err := status.FetchFleet(c.AdminAddr, reportTimeout)
	if err != nil {
		return err
	}
	return c.printResult(fleet, func(w io.Writer) error { return writePeers(w, fleet) })
}

// writePeers prints the state of a daemon in its cluster, and its view of each member.
func writePeers(w io.Writer, f *status.Fleet) error {
	var rows strings.Builder
	fmt.Fprintf(&rows, "%s is %s (view %d), one of %d\n", f.Self, f.Connectivity, f.ViewNumber, f.DaemonCount)
	if f.ElderAddr != "" {
		fmt.Fprintf(&rows, "it stays out of the fleet: an elder daemon of its name is at %s\n", f.ElderAddr)
	}
	for _, p := range f.Peers {
		timeInState := (time.Duration(p.StateAgeMs) * time.Millisecond).Round(100 * time.Millisecond)
		fmt.Fprintf(&rows, "%s\t%s\t%s\tfor %v\n", p.Name, p.Address, p.State, timeInState)
	}
	return writeColumns(w, rows.String())
}

package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"tuliprock/internal/cluster/status"
	"tuliprock/internal/testkit/raftsim"
	"tuliprock/internal/testkit/swimsim"
)

type peersCommand struct{ daemonFlags }

// daemonFlags is whom a command asks, and where the answer goes.
type daemonFlags struct {
	At   string `required:"" placeholder:"ADDR" help:"The daemon's operators' address (admin_addr)."`
	JSON string `name:"json" placeholder:"FILE" help:"Write the whole answer here; '-': standard output."`
}

// printResult writes an answer as JSON where that is wanted, and else as print does.
func (d *daemonFlags) printResult(answer any, print func(w io.Writer) error) error {
	if d.JSON != "" {
		return writeJSON(d.JSON, answer)
	}
	return print(os.Stdout)
}

const reportTimeout = 2 * time.Second // a daemon owes an answer within one

// Run implements kong's command.
func (c *peersCommand) Run() error {
	f, err := status.FetchFleet(c.At, reportTimeout)
	if err != nil {
		return err
	}
	return c.printResult(f, func(w io.Writer) error { return writePeers(w, f) })
}

type councilCommand struct {
	Daemons []int  `sep:"," default:"3,7,50,300" help:"Sizes of the fleets, three voters each."`
	Seed    uint64 `default:"1" help:"What chance decides is drawn from it."`
}

// Run implements kong's command.
func (c *councilCommand) Run() error { return raftsim.Tables(os.Stdout, c.Daemons, c.Seed) }

type detectorCommand struct {
	Nodes []int  `sep:"," default:"10,100,1000" help:"Sizes of the fleets."`
	Seed  uint64 `default:"1" help:"What chance decides is drawn from it."`
}

// Run implements kong's command.
func (c *detectorCommand) Run() error { return swimsim.Tables(os.Stdout, c.Nodes, c.Seed) }

func writePeers(w io.Writer, f *status.Fleet) error {
	var rows strings.Builder
	fmt.Fprintf(&rows, "%s is %s (view %d), one of %d\n", f.Self, f.Standing, f.View, f.Daemons)
	if f.Elder != "" {
		fmt.Fprintf(&rows, "it stays out of the fleet: an elder daemon of its name is at %s\n", f.Elder)
	}
	for _, p := range f.Peers {
		fmt.Fprintf(&rows, "%s\t%s\t%s\tfor %v\n", p.Name, p.Address, p.State, (time.Duration(p.SinceMs) * time.Millisecond).Round(100*time.Millisecond))
	}
	return writeColumns(w, rows.String())
}

// writeColumns aligns the tab-separated cells of rows.
func writeColumns(w io.Writer, rows string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, rows); err != nil {
		return err
	}
	return t.Flush()
}

package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"tuliprock/deploy/rehearsals"
)

// commandLine is what the arguments are parsed into. The names of verbs, flags and arguments come from the names of the
// fields of the commands.
type commandLine struct {
	Rehearse           rehearseCommand           `cmd:"" help:"Play a day on this machine, with stand-ins and real sidecars, and say whether each rule held."`
	Fleet              fleetCommand              `cmd:"" help:"Play a fleet of hundreds of sidecars in virtual time, and say whether each rule held."`
	Serve              serveCommand              `cmd:"" help:"Serve as an operators' file says, until SIGTERM. SIGHUP reads the file again."`
	Check              checkCommand              `cmd:"" help:"Check an operators' file, and say what was understood."`
	Peers              peersCommand              `cmd:"" help:"Who of its fleet a running daemon holds to be there."`
	Settings           settingsCommand           `cmd:"" help:"What a running daemon's fleet has agreed on, and what of it the daemon acts on."`
	ConsensusSim       consensusSimCommand       `name:"council" cmd:"" hidden:"" help:"Measures agreement on fleets in virtual time."`
	FailureDetectorSim failureDetectorSimCommand `name:"detector" cmd:"" hidden:"" help:"Measures the failure detector on fleets in virtual time."`
	Load               loadCommand               `cmd:"" help:"Send load on an open-loop schedule, and count latency from when each request was due."`
	StandIn            standInCommand            `cmd:"" name:"stand-in" help:"Nodes on loopback that say which request came to them, to try a daemon with."`
	Baseline           baselineCommand           `name:"plain" cmd:"" hidden:"" help:"The daemon with a textbook picker in the module's place, for rehearsals."`
}

// verdictError is an error that ends the process with exitFailure: the work was done, and its result is bad. All other
// errors of a command end it with exitUsage.
type verdictError struct{ error }

// runCommand runs the command that the arguments name, prints its error and returns the exit code.
func runCommand(args []string) int {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("tuliprock"),
		kong.Description("A load-balancing sidecar. With no argument: the daemon, as ROUTER_CONFIG says."),
		kong.Vars{"day": rehearsals.Default, "days": strings.Join(rehearsals.Names(), ", ")})
	if err != nil {
		panic(err) // the struct above is wrong
	}
	ctx, err := parser.Parse(args)
	if err == nil {
		err = ctx.Run()
	}
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "tuliprock:", err)
	if bad := (verdictError{}); errors.As(err, &bad) {
		return exitFailure
	}
	return exitUsage
}

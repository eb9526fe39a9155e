package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"tuliprock/deploy/rehearsals"
)

// commandLine is the struct that kong parses the arguments into. A command, flag or argument is named after its field,
// unless a name tag says otherwise.
type commandLine struct {
	Rehearse           rehearseCommand           `cmd:"" help:"Run a day on this machine, with stand-in nodes and real sidecars, and report whether each rule held."`
	Fleet              fleetCommand              `cmd:"" help:"Simulate a fleet of hundreds of sidecars in virtual time, and report whether each rule held."`
	Serve              serveCommand              `cmd:"" help:"Run the daemon on an operators' file, until SIGTERM. SIGHUP reloads the file."`
	Check              checkCommand              `cmd:"" help:"Check an operators' file, and print a summary of it."`
	Peers              peersCommand              `cmd:"" help:"List the members of its fleet that a running daemon knows, and their states."`
	Settings           settingsCommand           `cmd:"" help:"Show and change the settings that a running daemon's fleet has agreed on."`
	ConsensusSim       consensusSimCommand       `cmd:"" name:"council" hidden:"" help:"Measure consensus on settings in simulated fleets, in virtual time."`
	FailureDetectorSim failureDetectorSimCommand `cmd:"" name:"detector" hidden:"" help:"Measure the failure detector in simulated fleets, in virtual time."`
	Load               loadCommand               `cmd:"" help:"Send load on an open-loop schedule, and measure latency from the time each request was due."`
	StandIn            standInCommand            `cmd:"" name:"stand-in" help:"Run stand-in nodes on loopback that echo each request, to try a daemon with."`
	Baseline           baselineCommand           `cmd:"" name:"plain" hidden:"" help:"Run the daemon with a baseline policy instead of its own balancer, for rehearsals."`
}

// verdictError wraps an error that ends the process with exitFailure: the command ran, and its result is negative, such
// as a violated invariant, or two documents that differ. Every other error of a command ends the process with exitUsage.
type verdictError struct{ error }

// runCommand runs the command that the arguments name, prints the error if it fails, and returns the exit code.
func runCommand(args []string) int {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("tuliprock"),
		kong.Description("A load-balancing sidecar. With no argument: the daemon, as ROUTER_CONFIG says."),
		kong.Vars{"day": rehearsals.DefaultDay, "days": strings.Join(rehearsals.Names(), ", ")})
	if err != nil {
		panic(err) // a tag of commandLine is malformed
	}
	ctx, err := parser.Parse(args)
	if err == nil {
		err = ctx.Run()
	}
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "tuliprock:", err)
	if verdict := (verdictError{}); errors.As(err, &verdict) {
		return exitFailure
	}
	return exitUsage
}

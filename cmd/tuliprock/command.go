package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"tuliprock/deploy/rehearsals"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/testkit/baseline"
)

// commandLine is the command line.
type commandLine struct {
	Rehearse rehearseCommand `cmd:"" help:"Play a day on this machine, with stand-ins and real sidecars, and say whether each rule held."`
	Fleet    fleetCommand    `cmd:"" help:"Play a fleet of hundreds of sidecars in virtual time, and say whether each rule held."`
	Serve    serveCommand    `cmd:"" help:"Serve as an operators' file says, until SIGTERM. SIGHUP reads the file again."`
	Check    checkCommand    `cmd:"" help:"Check an operators' file, and say what was understood."`
	Peers    peersCommand    `cmd:"" help:"Who of its fleet a running daemon holds to be there."`
	Settings settingsCommand `cmd:"" help:"What a running daemon's fleet has agreed on, and what of it the daemon acts on."`
	Council  councilCommand  `cmd:"" hidden:"" help:"Measures agreement on fleets in virtual time."`
	Detector detectorCommand `cmd:"" hidden:"" help:"Measures the failure detector on fleets in virtual time."`
	Load     loadCommand     `cmd:"" help:"Send load on an open-loop schedule, and count latency from when each request was due."`
	StandIn  standInCommand  `cmd:"" name:"stand-in" help:"Nodes on loopback that say which request came to them, to try a daemon with."`
	Plain    plainCommand    `cmd:"" hidden:"" help:"The daemon with a textbook picker in the module's place, for rehearsals."`
}

// verdictError is an error that ends with exitBad: the work ran.
type verdictError struct{ error }

// runCommand runs one and gives the exit code.
func runCommand(args []string) int {
	var c commandLine
	parser, err := kong.New(&c, kong.Name("tuliprock"), kong.Description("A load-balancing sidecar. With no argument: the daemon, as ROUTER_CONFIG says."),
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

// writeJSON writes a tool's result to a file; "-": standard output.
func writeJSON(path string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	text = append(text, '\n')
	if path == "-" {
		_, err = os.Stdout.Write(text)
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

type plainCommand struct {
	Name string `arg:"" help:"random, round-robin or least-outstanding"`
}

// Run implements kong's command.
func (c *plainCommand) Run() error {
	decide, err := baseline.New(c.Name)
	if err != nil {
		return err
	}
	return servePlatform(decide)
}

type serveCommand struct {
	Config string `required:"" placeholder:"FILE" help:"An operators' file; 'tuliprock check' says what is understood of it."`
}

// Run implements kong's command.
func (c *serveCommand) Run() error {
	return serve(eventloop.Module, fileConfig(c.Config), fileGCPercent, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"tuliprock/internal/testkit/loadgen"
	"tuliprock/internal/testkit/schedule"
)

type loadCommand struct {
	Send  loadSendCommand  `cmd:"" default:"withargs" help:"Send load (the default)."`
	Merge loadMergeCommand `cmd:"" help:"Join the results of several runs, exactly."`
}

// Bounds of a run, so that a mistyped flag cannot send more than was meant.
const (
	maxLoadRate        = 100_000 // requests per second
	maxLoadDuration    = 24 * time.Hour
	maxLoadConnections = 20_000
)

type loadSendCommand struct {
	Target      string        `required:"" placeholder:"URL" help:"Where to; {n} in it is the request's number."`
	Rate        float64       `default:"100" help:"Requests a second."`
	For         time.Duration `default:"10s" help:"How long to send."`
	Gaps        string        `default:"poisson" enum:"poisson,even,pareto,on-off" help:"How requests follow one another: ${enum}."`
	Wait        time.Duration `default:"5s" help:"How long an answer is waited for, from when its request was due."`
	Connections int           `default:"1000" help:"Requests out at once; those beyond are counted as not sent."`
	Seed        uint64        `default:"1" help:"Draws the schedule."`
	Method      string        `default:"GET" help:"Of the requests."`
	Headers     []string      `name:"header" short:"H" sep:"none" placeholder:"'NAME: VALUE'" help:"A header of the requests; may be repeated."`
	Body        string        `help:"Of the requests."`
	MayLoad     string        `name:"i-may-load" placeholder:"HOST" help:"The host of the target, in full, if it is not on loopback."`
	JSON        string        `name:"json" placeholder:"FILE" help:"Write the whole result as JSON; -: standard output."`
}

var gapsByName = map[string]schedule.Gaps{
	"poisson": schedule.Exponential,
	"even":    schedule.Even,
	"pareto":  schedule.Pareto,
	"on-off":  schedule.OnOff,
}

// Run implements kong's command. Exit code 0: the run is valid; 1: it is not, or was interrupted; 2: nothing was sent.
func (c *loadSendCommand) Run() error {
	if err := c.validate(); err != nil {
		return err
	}
	header, err := parseHeaders(c.Headers)
	if err != nil {
		return err
	}
	request, err := loadgen.RequestTemplate(c.Method, c.Target, header, []byte(c.Body))
	if err != nil {
		return fmt.Errorf("--target: %w", err)
	}
	log.SetOutput(io.Discard) // net/http logs there when a server sends what was not requested
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	send := loadgen.NewHTTP(request, c.Connections, nil)
	defer send.Close()
	result, err := loadgen.Run(ctx, c.options(), send)
	if err != nil {
		return err
	}
	if err := writeLoadResult(result, c.JSON); err != nil {
		return verdictError{err}
	}
	switch {
	case result.Interrupted:
		return verdictError{errors.New("interrupted")}
	case result.Invalid != "":
		return verdictError{errors.New("the run is not valid")}
	}
	return nil
}

func (c *loadSendCommand) options() loadgen.Options {
	return loadgen.Options{
		Process: schedule.Process{
			Rate: schedule.Steady(c.Rate), Gaps: gapsByName[c.Gaps], Tail: 1.5, On: time.Second, Off: time.Second,
		},
		Seed: c.Seed, Duration: c.For, ResponseTimeout: c.Wait, Connections: c.Connections,
	}
}

func (c *loadSendCommand) validate() error {
	u, err := url.Parse(c.Target)
	switch {
	case err != nil || u.Scheme != "http" || u.Host == "":
		return fmt.Errorf("--target: %q is no http:// URL", c.Target)
	case !isLoopback(u.Hostname()) && c.MayLoad != u.Hostname():
		return fmt.Errorf("--target: %s is not on loopback: say --i-may-load %s if you may", u.Hostname(), u.Hostname())
	case !(c.Rate > 0 && c.Rate <= maxLoadRate):
		return fmt.Errorf("--rate: must be over 0, and %d at most", maxLoadRate)
	case c.For <= 0 || c.For > maxLoadDuration:
		return fmt.Errorf("--for: must be over 0, and %v at most", maxLoadDuration)
	case c.Wait <= 0 || c.Wait > maxLoadDuration:
		return fmt.Errorf("--wait: must be over 0, and %v at most", maxLoadDuration)
	case c.Connections < 1 || c.Connections > maxLoadConnections:
		return fmt.Errorf("--connections: must be from 1 to %d", maxLoadConnections)
	}
	return nil
}

// isLoopback says whether a host is this machine. Names other than localhost are not resolved: what they resolve to may
// change.
func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// writeLoadResult prints a result as a table, and writes it as JSON to path unless that is empty; with "-" the JSON goes to
// standard output and the table to standard error.
func writeLoadResult(result *loadgen.Result, path string) error {
	table := io.Writer(os.Stdout)
	if path == "-" {
		table = os.Stderr
		if err := result.Write(os.Stdout); err != nil {
			return err
		}
	} else if path != "" {
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		if err := errors.Join(result.Write(f), f.Close()); err != nil {
			return err
		}
	}
	return result.WriteTable(table)
}

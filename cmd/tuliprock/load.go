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

// loadCommand generates load, or merges the results of earlier load runs.
type loadCommand struct {
	Send  loadSendCommand  `cmd:"" default:"withargs" help:"Send load (the default)."`
	Merge loadMergeCommand `cmd:"" help:"Merge the results of several runs into one, without loss of precision."`
}

// Upper bounds of the flags, so that a typing error cannot send far more load than was meant.
const (
	maxLoadRate        = 100_000 // requests per second
	maxLoadDuration    = 24 * time.Hour
	maxLoadConnections = 20_000
)

// loadSendCommand sends requests to a target on an open-loop schedule and measures their latencies.
type loadSendCommand struct {
	Target          string        `required:"" placeholder:"URL" help:"URL to send requests to; {n} in it is replaced by the number of the request."`
	Rate            float64       `default:"100" help:"Requests per second."`
	Duration        time.Duration `name:"for" default:"10s" help:"How long to send requests."`
	Gaps            string        `default:"poisson" enum:"poisson,even,pareto,on-off" help:"Distribution of the gaps between requests: ${enum}."`
	ResponseTimeout time.Duration `name:"wait" default:"5s" help:"How long to wait for a response, from the time the request was due."`
	Connections     int           `default:"1000" help:"Maximum number of requests in flight; requests beyond it are counted as not sent."`
	Seed            uint64        `default:"1" help:"Seed of the random schedule."`
	Method          string        `default:"GET" help:"Method of the requests."`
	Headers         []string      `name:"header" short:"H" sep:"none" placeholder:"'NAME: VALUE'" help:"Header to add to each request; may be repeated."`
	Body            string        `help:"Body of the requests."`
	AllowedHost     string        `name:"i-may-load" placeholder:"HOST" help:"Host of the target, which must be confirmed if it is not on loopback."`
	JSON            string        `name:"json" placeholder:"FILE" help:"Write the whole result as JSON; -: standard output."`
}

// gapsByName maps the values of --gaps to the distributions of the gaps between requests.
var gapsByName = map[string]schedule.Gaps{
	"poisson": schedule.Exponential,
	"even":    schedule.Even,
	"pareto":  schedule.Pareto,
	"on-off":  schedule.OnOff,
}

// Run executes the command "load send". The parser kong calls it with the flags and arguments set. The
// exit code is 0 if the load run is valid, 1 if the run is not valid or was interrupted, and 2 if no request was sent.
func (c *loadSendCommand) Run() error {
	if err := c.validate(); err != nil {
		return err
	}
	header, err := parseHeaders(c.Headers)
	if err != nil {
		return err
	}
	request, err := loadgen.NewRequestTemplate(c.Method, c.Target, header, []byte(c.Body))
	if err != nil {
		return fmt.Errorf("--target: %w", err)
	}
	log.SetOutput(io.Discard) // discards the lines that net/http logs about unsolicited responses on idle connections
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	sender := loadgen.NewHTTPSender(request, c.Connections, nil)
	defer sender.Close()
	result, err := loadgen.Run(ctx, c.options(), sender)
	if err != nil {
		return err
	}
	if err := writeLoadResult(result, c.JSON); err != nil {
		return verdictError{err}
	}
	switch {
	case result.Interrupted:
		return verdictError{errors.New("interrupted")}
	case result.InvalidReason != "":
		return verdictError{errors.New("the run is not valid")}
	}
	return nil
}

func (c *loadSendCommand) options() loadgen.Options {
	return loadgen.Options{
		Process: schedule.Process{
			Rate: schedule.Steady(c.Rate), Gaps: gapsByName[c.Gaps], Tail: 1.5, On: time.Second, Off: time.Second,
		},
		Seed: c.Seed, Duration: c.Duration, ResponseTimeout: c.ResponseTimeout, Connections: c.Connections,
	}
}

func (c *loadSendCommand) validate() error {
	u, err := url.Parse(c.Target)
	switch {
	case err != nil || u.Scheme != "http" || u.Host == "":
		return fmt.Errorf("--target: %q is not an http:// URL", c.Target)
	case !isLoopback(u.Hostname()) && c.AllowedHost != u.Hostname():
		return fmt.Errorf("--target: %s is not on loopback; confirm with --i-may-load %s that it may be loaded", u.Hostname(), u.Hostname())
	case !(c.Rate > 0 && c.Rate <= maxLoadRate):
		return fmt.Errorf("--rate: must be greater than 0 and at most %d", maxLoadRate)
	case c.Duration <= 0 || c.Duration > maxLoadDuration:
		return fmt.Errorf("--for: must be greater than 0 and at most %v", maxLoadDuration)
	case c.ResponseTimeout <= 0 || c.ResponseTimeout > maxLoadDuration:
		return fmt.Errorf("--wait: must be greater than 0 and at most %v", maxLoadDuration)
	case c.Connections < 1 || c.Connections > maxLoadConnections:
		return fmt.Errorf("--connections: must be from 1 to %d", maxLoadConnections)
	}
	return nil
}

// isLoopback reports whether a host is localhost or a loopback IP address. Other names are not resolved, since their
// addresses may change.
func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// writeLoadResult prints the result of a load run as a table, and writes it as JSON to path unless path is empty. If path is "-",
// the JSON goes to standard output and the table to standard error.
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

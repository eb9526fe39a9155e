package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"tuliprock/deploy/rehearsals"
	"tuliprock/internal/testkit/baseline"
	"tuliprock/internal/testkit/rehearse"
)

// rehearseCommand rehearses a scenario, called a day: real sidecars serve generated load with stand-in nodes, while faults are
// injected.
type rehearseCommand struct {
	Day             string        `arg:"" optional:"" help:"A day's file, or the name of a day that ships (${days}); default: ${day}."`
	Seeds           []uint64      `name:"seed" sep:"," placeholder:"N,..." help:"Run the day once with each of these seeds, instead of its own seed."`
	DemandFactors   []float64     `name:"demand" sep:"," default:"1" help:"Factors to multiply the day's demand by; the day is run once with each."`
	Baselines       []string      `name:"against" sep:"," placeholder:"NAME,..." help:"Also run the day with baseline policies, to compare: random, round-robin, least-outstanding."`
	Length          time.Duration `help:"Shorten the day to this length; the times of its faults are scaled with it."`
	UseServeCommand bool          `name:"serve" help:"Start the sidecars with 'serve' on operators' files, instead of on platform configurations."`
	PrintPlan       bool          `name:"plan" help:"Print the drawn schedule, fleet and faults as lines of JSON, and run nothing."`
	JSON            string        `name:"json" placeholder:"FILE" help:"Write the whole result as JSON; -: standard output."`
	Report          string        `placeholder:"FILE.html" help:"Write the result as an HTML page that needs no network."`
	LogDir          string        `name:"logs" placeholder:"DIR" help:"Keep the sidecars' logs in this directory."`
}

// Help implements kong's HelpProvider: "rehearse --help" shows this text with the command's one-line description.
func (c *rehearseCommand) Help() string {
	return "Days that ship: " + strings.Join(rehearsals.Names(), ", ") +
		". Exit code 0: every rule held; 1: one was broken, or the day was not valid; 2: nothing was played."
}

// loadDay reads the scenario that the argument gives: the name of a day that ships with the program, or else the path of a file.
func (c *rehearseCommand) loadDay() (*rehearse.Day, error) {
	name := c.Day
	if name == "" {
		name = rehearsals.DefaultDay
	}
	if text, ok := rehearsals.Text(name); ok {
		return rehearse.Parse(name+".toml", text)
	}
	return rehearse.Load(name)
}

// Run executes the command "rehearse". The parser kong calls it with the flags and arguments set.
func (c *rehearseCommand) Run() error {
	day, err := c.loadDay()
	if err != nil {
		return err
	}
	if c.Length > 0 {
		if err := day.SetLength(c.Length); err != nil {
			return err
		}
	}
	plans, err := c.drawPlans(day)
	if err != nil {
		return err
	}
	if c.PrintPlan {
		return printPlans(plans)
	}
	for _, name := range c.Baselines {
		if _, err := baseline.New(name); err != nil {
			return fmt.Errorf("--against: %w", err)
		}
	}
	files, err := c.openOutputs()
	if err != nil {
		return err
	}
	defer files.discard()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	results, err := c.runAll(ctx, plans)
	if err != nil {
		return err
	}
	return c.writeResults(results, files)
}

// drawPlans draws a plan from the day for each combination of demand factor and seed.
func (c *rehearseCommand) drawPlans(day *rehearse.Day) ([]*rehearse.Plan, error) {
	seeds := c.Seeds
	if len(seeds) == 0 {
		seeds = []uint64{day.Seed}
	}
	var plans []*rehearse.Plan
	for _, demand := range c.DemandFactors {
		if demand <= 0 || demand > 100 {
			return nil, fmt.Errorf("--demand: %v is not greater than 0 and at most 100", demand)
		}
		for _, seed := range seeds {
			plan, err := rehearse.NewPlan(day, seed, demand)
			if err != nil {
				return nil, err
			}
			plans = append(plans, plan)
		}
	}
	return plans, nil
}

func printPlans(plans []*rehearse.Plan) error {
	for _, p := range plans {
		if err := p.Print(os.Stdout); err != nil {
			return err
		}
	}
	return nil
}

// runAll runs each plan with the daemon's own balancer and with each baseline policy. The runs are sequential, since parallel
// runs would compete for the processors.
func (c *rehearseCommand) runAll(ctx context.Context, plans []*rehearse.Plan) ([]*rehearse.Result, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	balancers := append([]string{rehearse.OwnBalancer}, c.Baselines...)
	var results []*rehearse.Result
	for _, plan := range plans {
		for _, balancer := range balancers {
			options := c.options(plan, balancer, executable)
			bar := newProgressBar(plan, balancer)
			options.OnProgress = bar.show
			result, err := rehearse.Run(ctx, plan, options)
			bar.finish()
			if errors.Is(err, context.Canceled) {
				return nil, verdictError{errors.New("interrupted; everything that was started has ended")}
			}
			if err != nil {
				return nil, verdictError{err}
			}
			result.Balancer = balancer
			results = append(results, result)
		}
	}
	return results, nil
}

// options returns the options of a run whose sidecars are processes of this program. balancer is rehearse.OwnBalancer or the
// name of a baseline policy.
func (c *rehearseCommand) options(plan *rehearse.Plan, balancer, executable string) rehearse.Options {
	isOwnBalancer := balancer == rehearse.OwnBalancer
	options := rehearse.Options{NewCommand: func() *exec.Cmd { return exec.Command(executable) }, UsesOperatorsFile: c.UseServeCommand && isOwnBalancer}
	if !isOwnBalancer {
		options.NewCommand = func() *exec.Cmd { return exec.Command(executable, "plain", balancer) }
	}
	if c.LogDir != "" {
		options.LogDir = filepath.Join(c.LogDir, fmt.Sprintf("%s-%d-%v-%s", plan.Day.Name, plan.Seed, plan.DemandFactor, balancer))
	}
	return options
}

// writeResults prints the results and writes the files of --json and --report. It returns a verdictError if a run with the
// daemon's own balancer is not valid or violated an invariant; the results of baseline policies cause no error.
func (c *rehearseCommand) writeResults(results []*rehearse.Result, files *outputFiles) error {
	table := io.Writer(os.Stdout)
	if c.JSON == "-" {
		table = os.Stderr
	}
	if err := rehearse.WriteTable(table, results); err != nil {
		return verdictError{err}
	}
	if err := files.write(results); err != nil {
		return verdictError{err}
	}
	ownResults := slices.DeleteFunc(slices.Clone(results), func(r *rehearse.Result) bool { return r.Balancer != rehearse.OwnBalancer })
	for _, r := range ownResults {
		switch {
		case !r.Valid:
			return verdictError{fmt.Errorf("%s is not valid: %s", r.Day, r.InvalidReasons[0])}
		case !r.Held:
			return verdictError{fmt.Errorf("%s: a rule is broken", r.Day)}
		}
	}
	return nil
}

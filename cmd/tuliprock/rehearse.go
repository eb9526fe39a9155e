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

type rehearseCommand struct {
	Day             string        `arg:"" optional:"" help:"A day's file, or the name of one that ships (${days}); none: ${day}."`
	Seeds           []uint64      `name:"seed" sep:"," placeholder:"N,..." help:"Draw the day by these seeds, one after another, instead of its own."`
	DemandFactors   []float64     `name:"demand" sep:"," default:"1" help:"Times the day's demand; several are played one after another."`
	Baselines       []string      `name:"against" sep:"," placeholder:"NAME,..." help:"Play the same with plain pickers too: random, round-robin, least-outstanding."`
	Length          time.Duration `help:"Cut the day to this length; its troubles move along."`
	UseServeCommand bool          `name:"serve" help:"Start the sidecars with 'serve' on operators' files, in place of what the platform tells."`
	PrintPlan       bool          `name:"plan" help:"Print the drawn schedule, fleet and troubles as lines of JSON, and play nothing."`
	JSON            string        `name:"json" placeholder:"FILE" help:"Write the whole result as JSON; -: standard output."`
	Report          string        `placeholder:"FILE.html" help:"Write a page that opens offline."`
	LogDir          string        `name:"logs" placeholder:"DIR" help:"Keep the sidecars' logs."`
}

// Help implements kong's HelpProvider.
func (c *rehearseCommand) Help() string {
	return "Days that ship: " + strings.Join(rehearsals.Names(), ", ") +
		". Exit code 0: every rule held; 1: one was broken, or the day was not valid; 2: nothing was played."
}

// loadDay reads the day: one that ships, by its name, or a file.
func (c *rehearseCommand) loadDay() (*rehearse.Day, error) {
	name := c.Day
	if name == "" {
		name = rehearsals.Default
	}
	if text, ok := rehearsals.Text(name); ok {
		return rehearse.Parse(name+".toml", text)
	}
	return rehearse.Load(name)
}

// Run implements kong's command.
func (c *rehearseCommand) Run() error {
	day, err := c.loadDay()
	if err != nil {
		return err
	}
	if c.Length > 0 {
		if err := day.Cut(c.Length); err != nil {
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

// drawPlans draws a plan for each demand and seed.
func (c *rehearseCommand) drawPlans(day *rehearse.Day) ([]*rehearse.Plan, error) {
	seeds := c.Seeds
	if len(seeds) == 0 {
		seeds = []uint64{day.Seed}
	}
	var plans []*rehearse.Plan
	for _, demand := range c.DemandFactors {
		if demand <= 0 || demand > 100 {
			return nil, fmt.Errorf("--demand: %v is not over 0 and 100 at most", demand)
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

// runAll plays each plan with the module and with the plain pickers, one after another: side by side they would compete
// for the machine.
func (c *rehearseCommand) runAll(ctx context.Context, plans []*rehearse.Plan) ([]*rehearse.Result, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	balancers := append([]string{rehearse.Module}, c.Baselines...)
	var results []*rehearse.Result
	for _, plan := range plans {
		for _, balancer := range balancers {
			options := c.options(plan, balancer, executable)
			bar := newProgressBar(plan, balancer)
			options.Progress = bar.show
			result, err := rehearse.Play(ctx, plan, options)
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

// options are those of a play whose sidecars are this program.
func (c *rehearseCommand) options(plan *rehearse.Plan, balancer, executable string) rehearse.Options {
	isModule := balancer == rehearse.Module
	options := rehearse.Options{Command: func() *exec.Cmd { return exec.Command(executable) }, Serve: c.UseServeCommand && isModule}
	if !isModule {
		options.Command = func() *exec.Cmd { return exec.Command(executable, "plain", balancer) }
	}
	if c.LogDir != "" {
		options.Logs = filepath.Join(c.LogDir, fmt.Sprintf("%s-%d-%v-%s", plan.Day.Name, plan.Seed, plan.Demand, balancer))
	}
	return options
}

// writeResults prints the results and writes them to the files that are wanted. The error is the verdict on the module's
// plays; the plain pickers have none.
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
	ofModule := slices.DeleteFunc(slices.Clone(results), func(r *rehearse.Result) bool { return r.Balancer != rehearse.Module })
	for _, r := range ofModule {
		switch {
		case !r.Valid:
			return verdictError{fmt.Errorf("%s is not valid: %s", r.Day, r.Invalid[0])}
		case !r.Held:
			return verdictError{fmt.Errorf("%s: a rule is broken", r.Day)}
		}
	}
	return nil
}

package main

import (
	"errors"
	"os"
	"sync"
	"time"

	"tuliprock/internal/eventloop"
	"tuliprock/internal/testkit/baseline"
	"tuliprock/internal/testkit/fleetsim"
)

// fleetCommand simulates a fleet of sidecars in each of the given fault scenarios.
type fleetCommand struct {
	Scenarios   []string      `arg:"" optional:"" name:"troubles" help:"Fault scenarios to simulate: calm, roll, herd, zone, split, join; default: all of them."`
	Sidecars    int           `default:"300" help:"Number of sidecars in all tiers together."`
	Seed        uint64        `default:"1" help:"Seed of the simulation; the same seed gives the same result."`
	Length      time.Duration `default:"20s" help:"How long clients send requests, in virtual time."`
	Utilization float64       `name:"use" default:"0.6" help:"Offered load as a fraction of the capacity of the fleet."`
	Baseline    string        `name:"against" placeholder:"NAME" help:"Use a baseline policy instead of the daemon's own balancer: random, round-robin, least-outstanding."`
	JSON        string        `name:"json" placeholder:"FILE" help:"Write the results as JSON; -: standard output."`
}

// Help implements kong's HelpProvider: "fleet --help" shows this text with the command's one-line description.
func (c *fleetCommand) Help() string {
	return "Exit code 0: every rule held; 1: one was broken; 2: nothing was played."
}

// Run executes the command "fleet". The parser kong calls it with the flags and arguments set.
func (c *fleetCommand) Run() error {
	newBalancer := eventloop.NewBalancer
	if c.Baseline != "" {
		var err error
		if newBalancer, err = baseline.New(c.Baseline); err != nil {
			return err
		}
	}
	if len(c.Scenarios) == 0 {
		c.Scenarios = fleetsim.Scenarios()
	}
	results, err := c.simulateAll(newBalancer)
	if err != nil {
		return err
	}
	allHeld := true
	for _, r := range results {
		allHeld = allHeld && r.Rules.Held()
		if c.JSON == "-" {
			continue
		}
		if err := r.WriteSummary(os.Stdout); err != nil {
			return err
		}
	}
	if err := c.writeResults(results); err != nil {
		return err
	}
	if !allHeld {
		return verdictError{errors.New("a rule was broken")}
	}
	return nil
}

// simulateAll simulates all scenarios in parallel, each in a goroutine with a state of its own, and returns when all have
// ended.
func (c *fleetCommand) simulateAll(newBalancer eventloop.BalancerFactory) ([]*fleetsim.Result, error) {
	results, errs := make([]*fleetsim.Result, len(c.Scenarios)), make([]error, len(c.Scenarios))
	var simulations sync.WaitGroup
	for i, scenario := range c.Scenarios {
		day := fleetsim.Day{Seed: c.Seed, Sidecars: c.Sidecars, Scenario: scenario, Length: c.Length, Utilization: c.Utilization}
		simulations.Go(func() { results[i], errs[i] = fleetsim.RunWith(newBalancer, day) })
	}
	simulations.Wait()
	return results, errors.Join(errs...)
}

func (c *fleetCommand) writeResults(results []*fleetsim.Result) error {
	if c.JSON == "" {
		return nil
	}
	return writeJSON(c.JSON, struct {
		Format int                `json:"format"`
		Days   []*fleetsim.Result `json:"days"`
	}{1, results})
}

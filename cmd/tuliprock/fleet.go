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

type fleetCommand struct {
	Troubles []string      `arg:"" optional:"" help:"What goes wrong: calm, roll, herd, zone, split, join; none: each of them, one day after another."`
	Sidecars int           `default:"300" help:"Sidecars of all tiers together."`
	Seed     uint64        `default:"1" help:"The same seed draws the same day."`
	Length   time.Duration `default:"20s" help:"For how long requests are asked for, in virtual time."`
	Use      float64       `default:"0.6" help:"Of what the fleet can do, by the work that is asked for."`
	Against  string        `placeholder:"NAME" help:"A plain picker in the module's place: random, round-robin, least-outstanding."`
	JSON     string        `name:"json" placeholder:"FILE" help:"Write the results as JSON; -: standard output."`
}

// Help implements kong's HelpProvider.
func (c *fleetCommand) Help() string {
	return "Exit code 0: every rule held; 1: one was broken; 2: nothing was played."
}

// Run implements kong's command.
func (c *fleetCommand) Run() error {
	decider := eventloop.NewBalancer
	if c.Against != "" {
		var err error
		if decider, err = baseline.New(c.Against); err != nil {
			return err
		}
	}
	if len(c.Troubles) == 0 {
		c.Troubles = fleetsim.Scenarios()
	}
	results, err := c.playAll(decider)
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

// playAll plays the days at the same time. Each has a goroutine and a state of its own; all have ended when it returns.
func (c *fleetCommand) playAll(decider eventloop.BalancerFactory) ([]*fleetsim.Result, error) {
	results, errs := make([]*fleetsim.Result, len(c.Troubles)), make([]error, len(c.Troubles))
	var days sync.WaitGroup
	for i, trouble := range c.Troubles {
		day := fleetsim.Day{Seed: c.Seed, Sidecars: c.Sidecars, Scenario: trouble, Length: c.Length, Utilization: c.Use}
		days.Go(func() { results[i], errs[i] = fleetsim.RunWith(decider, day) })
	}
	days.Wait()
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

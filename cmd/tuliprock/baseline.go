package main

import "tuliprock/internal/testkit/baseline"

// baselineCommand runs the daemon with a baseline picker instead of the decision module. Its command line name is plain.
type baselineCommand struct {
	Name string `arg:"" help:"random, round-robin or least-outstanding"`
}

// Run implements kong's command.
func (c *baselineCommand) Run() error {
	newBalancer, err := baseline.New(c.Name)
	if err != nil {
		return err
	}
	return servePlatform(newBalancer)
}

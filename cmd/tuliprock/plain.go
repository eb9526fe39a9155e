package main

import "tuliprock/internal/testkit/baseline"

type plainCommand struct {
	Name string `arg:"" help:"random, round-robin or least-outstanding"`
}

// Run implements kong's command.
func (c *plainCommand) Run() error {
	decider, err := baseline.New(c.Name)
	if err != nil {
		return err
	}
	return servePlatform(decider)
}

package main

import "tuliprock/internal/testkit/baseline"

// baselineCommand runs the daemon with a baseline picker instead of the decision module. On the
// command line it is called plain.
type baselineCommand struct {
	Name string `arg:"" help:"random, round-robin or least-outstanding"`
}

// Run executes the command "plain". The parser kong calls it with the flags and arguments set.
func (c *baselineCommand) Run() error {
	newBalancer, err := baseline.New(c.Name)
	if err != nil {
		return err
	}
	return servePlatform(newBalancer)
}

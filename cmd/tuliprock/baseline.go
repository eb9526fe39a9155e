package main

import (
	"tuliprock/internal/daemon"
	"tuliprock/internal/testkit/baseline"
)

// baselineCommand runs the daemon with a textbook load-balancing policy instead of the balancer of package balance, as a
// baseline for comparisons. On the command line it is named "plain".
type baselineCommand struct {
	Name string `arg:"" help:"random, round-robin or least-outstanding"`
}

// Run executes the command "plain". The parser kong calls it with the flags and arguments set.
func (c *baselineCommand) Run() error {
	newBalancer, err := baseline.New(c.Name)
	if err != nil {
		return err
	}
	return daemon.ServePlatform(newBalancer)
}

package main

import (
	"os"

	"tuliprock/internal/testkit/raftsim"
	"tuliprock/internal/testkit/swimsim"
)

// consensusSimCommand measures how fast simulated clusters agree on changes of settings. On the command line it is named
// "council".
type consensusSimCommand struct {
	Daemons []int  `sep:"," default:"3,7,50,300" help:"Numbers of daemons in the simulated fleets, each with three voters."`
	Seed    uint64 `default:"1" help:"Seed of the simulation; the same seed gives the same result."`
}

// Run executes the command "council". The parser kong calls it with the flags and arguments set.
func (c *consensusSimCommand) Run() error { return raftsim.WriteTables(os.Stdout, c.Daemons, c.Seed) }

// failureDetectorSimCommand measures how fast the failure detector of simulated clusters detects failures, how many of these are
// false, and how many messages it sends. On the command line it is named "detector".
type failureDetectorSimCommand struct {
	Nodes []int  `sep:"," default:"10,100,1000" help:"Numbers of daemons in the simulated fleets."`
	Seed  uint64 `default:"1" help:"Seed of the simulation; the same seed gives the same result."`
}

// Run executes the command "detector". The parser kong calls it with the flags and arguments set.
func (c *failureDetectorSimCommand) Run() error {
	return swimsim.WriteTables(os.Stdout, c.Nodes, c.Seed)
}

package main

import (
	"os"

	"tuliprock/internal/testkit/raftsim"
	"tuliprock/internal/testkit/swimsim"
)

// consensusSimCommand measures the consensus among the cluster's voters in simulation.
type consensusSimCommand struct {
	Daemons []int  `sep:"," default:"3,7,50,300" help:"Sizes of the fleets, three voters each."`
	Seed    uint64 `default:"1" help:"What chance decides is drawn from it."`
}

// Run implements kong's command.
func (c *consensusSimCommand) Run() error { return raftsim.Tables(os.Stdout, c.Daemons, c.Seed) }

// failureDetectorSimCommand measures the cluster's failure detector in simulation.
type failureDetectorSimCommand struct {
	Nodes []int  `sep:"," default:"10,100,1000" help:"Sizes of the fleets."`
	Seed  uint64 `default:"1" help:"What chance decides is drawn from it."`
}

// Run implements kong's command.
func (c *failureDetectorSimCommand) Run() error { return swimsim.Tables(os.Stdout, c.Nodes, c.Seed) }

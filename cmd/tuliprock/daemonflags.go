package main

import (
	"io"
	"os"
	"time"

	"tuliprock/internal/cluster/status"
)

const (
	// reportTimeout bounds a call that the daemon answers from its own state, which takes it less than a second.
	reportTimeout = 2 * time.Second
	// agreementTimeout bounds a call that a majority of the voters must answer: an election takes one or two seconds.
	agreementTimeout = 10 * time.Second
)

// daemonFlags are the flags of a command that asks a running daemon.
type daemonFlags struct {
	AdminAddr string `name:"at" required:"" placeholder:"ADDR" help:"The daemon's operators' address (admin_addr)."`
	JSON      string `name:"json" placeholder:"FILE" help:"Write the whole answer here; '-': standard output."`
}

// call sends a cluster command with its arguments and body to the daemon.
func (f *daemonFlags) call(body []byte, words ...string) (*status.CommandResult, error) {
	return status.Call(f.AdminAddr, words, body, agreementTimeout)
}

// printResult writes a result as JSON where the flags ask for that, and else to standard output as print does.
func (f *daemonFlags) printResult(result any, print func(w io.Writer) error) error {
	if f.JSON != "" {
		return writeJSON(f.JSON, result)
	}
	return print(os.Stdout)
}

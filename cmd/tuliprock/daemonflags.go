package main

import (
	"io"
	"os"
	"time"

	"tuliprock/internal/cluster/status"
)

const (
	// reportTimeout is the timeout of calls to which the daemon responds from its own state, in less than a second.
	reportTimeout = 2 * time.Second
	// agreementTimeout is the timeout of calls that need a majority of the voters, which may first hold an election of 1 to 2 s.
	agreementTimeout = 10 * time.Second
)

// daemonFlags are the flags of the commands that query a running daemon.
type daemonFlags struct {
	AdminAddr string `name:"at" required:"" placeholder:"ADDR" help:"The daemon's operators' address (admin_addr)."`
	JSON      string `name:"json" placeholder:"FILE" help:"Write the complete result as JSON to this file; '-': standard output."`
}

// call sends a cluster command to the daemon. words are the name and the arguments of the command, and body is the document that
// is sent with it.
func (f *daemonFlags) call(body []byte, words ...string) (*status.CommandResult, error) {
	return status.SendCommand(f.AdminAddr, words, body, agreementTimeout)
}

// printResult writes a result as JSON if the flag --json is given; otherwise it calls print with standard output.
func (f *daemonFlags) printResult(result any, print func(w io.Writer) error) error {
	if f.JSON != "" {
		return writeJSON(f.JSON, result)
	}
	return print(os.Stdout)
}

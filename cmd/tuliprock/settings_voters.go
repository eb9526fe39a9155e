package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"tuliprock/internal/cluster/status"
)

// settingsVotersCommand lists the voters of a cluster, or adds or removes a voter.
type settingsVotersCommand struct {
	daemonFlags
	Change      string        `arg:"" optional:"" enum:"add,remove," default:"" help:"add or remove; if omitted, the voters are listed."`
	Name        string        `arg:"" optional:"" help:"Name of the daemon to add or remove. A daemon that is added needs an empty data_dir."`
	WaitTimeout time.Duration `name:"wait" default:"30s" help:"How long to wait until the change has taken effect."`
}

// Run executes the command "settings voters". The parser kong calls it with the flags and arguments set.
func (c *settingsVotersCommand) Run() error {
	if (c.Change == "") != (c.Name == "") {
		return errors.New("settings voters: needs both add or remove and the NAME of a daemon, or neither")
	}
	if c.Change != "" {
		if _, err := c.call(nil, "voters-"+c.Change, rand.Text(), c.Name); err != nil {
			return err
		}
	}
	settings, ok, err := c.pollUntil(c.WaitTimeout, func(s *status.Settings) bool { return c.Change == "" || c.isDone(s) })
	if !ok {
		return errors.Join(verdictError{fmt.Errorf("after %v, %s: voters %s", c.WaitTimeout, c.describeUnmetGoal(), settings.KnownVoters)}, err)
	}
	return c.printResult(settings, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, strings.ReplaceAll(settings.ActiveVoters, ",", " "))
		return err
	})
}

// describeUnmetGoal describes, for the error message after a timeout, that the requested change of the voters has not taken effect.
func (c *settingsVotersCommand) describeUnmetGoal() string {
	if c.Change == "add" {
		return c.Name + " does not vote yet"
	}
	return c.Name + " still votes"
}

// isDone reports whether the daemon c.Name votes now, if the command adds it as a voter, or does not vote now, if the command
// removes it. It checks ActiveVoters, since KnownVoters, the voters that may grant leases, can have more daemons.
func (c *settingsVotersCommand) isDone(s *status.Settings) bool {
	return slices.Contains(strings.Split(s.ActiveVoters, ","), c.Name) == (c.Change == "add")
}

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

type settingsVotersCommand struct {
	daemonFlags
	Change      string        `arg:"" optional:"" enum:"add,remove," default:"" help:"add or remove; left out: says who votes."`
	Name        string        `arg:"" optional:"" help:"Of the daemon. It needs a data_dir, empty where it is added."`
	WaitTimeout time.Duration `name:"wait" default:"30s" help:"How long to wait until it is so."`
}

// Run implements kong's command.
func (c *settingsVotersCommand) Run() error {
	if (c.Change == "") != (c.Name == "") {
		return errors.New("settings voters: add NAME or remove NAME")
	}
	if c.Change != "" {
		if _, err := c.call(nil, "voters-"+c.Change, rand.Text(), c.Name); err != nil {
			return err
		}
	}
	settings, ok, err := c.pollUntil(c.WaitTimeout, func(s *status.Settings) bool { return c.Change == "" || c.isDone(s) })
	if !ok {
		return errors.Join(verdictError{fmt.Errorf("after %v it is not so that %s: voters %s", c.WaitTimeout, c.goal(), settings.LeaseVoters)}, err)
	}
	return c.printResult(settings, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, strings.ReplaceAll(settings.CurrentVoters, ",", " "))
		return err
	})
}

// goal is what the command waits for.
func (c *settingsVotersCommand) goal() string {
	if c.Change == "add" {
		return c.Name + " votes"
	}
	return c.Name + " votes no longer"
}

// isDone says whether the daemon that is asked sees the change made. Sitting lists those who vote now, while Voters may
// list more.
func (c *settingsVotersCommand) isDone(s *status.Settings) bool {
	return slices.Contains(strings.Split(s.CurrentVoters, ","), c.Name) == (c.Change == "add")
}

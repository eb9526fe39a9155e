package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"tuliprock/internal/cluster/status"
	"tuliprock/internal/config"
)

// changeFlags are the flags of a command that changes a document.
type changeFlags struct {
	rolloutFlags
	ExpectedVersion string `name:"expect" placeholder:"VERSION" help:"Change nothing unless this is the latest version."`
	ID              string `help:"Of this change: made again with the same one it is done once. Left out: drawn."`
}

// propose has a change of a document agreed on, and waits until all daemons act on it. The id makes the change idempotent:
// where the outcome is indeterminate the error names the id to repeat it with.
func (f *changeFlags) propose(verb, document string, body []byte, more ...string) error {
	if f.ID == "" {
		f.ID = rand.Text()
	}
	expect := "-"
	if f.ExpectedVersion != "" {
		expect = f.ExpectedVersion
	}
	agreed, err := f.call(body, append([]string{verb, f.ID, expect, document}, more...)...)
	if indeterminate := (status.IndeterminateError{}); errors.As(err, &indeterminate) {
		return verdictError{fmt.Errorf("%w; ask again with --id %s", err, f.ID)}
	}
	if err != nil {
		return err
	}
	return f.await(&changeResult{Format: 1, ID: f.ID, Version: agreed.Version, IsUnchanged: agreed.IsUnchanged})
}

type settingsPutCommand struct {
	changeFlags
	File string `arg:"" help:"An operators' file, of which the shared part is put; with --name: the document."`
	Name string `help:"Put the file as this document: members/POOL (a list of members) or flag/NAME." placeholder:"NAME"`
}

// Run implements kong's command.
func (c *settingsPutCommand) Run() error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	name := c.Name
	if name == "" {
		var left []string // the parts that each daemon has for itself
		name = config.SharedDocument
		if body, left, err = config.ExtractShared(c.File, body); err != nil {
			return err
		}
		if len(left) > 0 {
			fmt.Fprintf(os.Stderr, "left out, as it is each daemon's own: %s\n", strings.Join(left, ", "))
		}
	}
	return c.propose("put", name, body, strconv.Itoa(len(body)))
}

type settingsRemoveCommand struct {
	changeFlags
	Name string `arg:"" help:"Of the document."`
}

// Run implements kong's command.
func (c *settingsRemoveCommand) Run() error { return c.propose("remove", c.Name, nil) }

type settingsRevertCommand struct {
	changeFlags
	Version uint64 `arg:"" help:"The version at which the document was as it is to be."`
	Name    string `default:"shared" help:"Of the document."`
}

// Run implements kong's command.
func (c *settingsRevertCommand) Run() error {
	return c.propose("back", c.Name, nil, strconv.FormatUint(c.Version, 10))
}

type settingsForceCommand struct {
	rolloutFlags
	Version uint64 `arg:"" help:"The version that is to come."`
}

// Run implements kong's command.
func (c *settingsForceCommand) Run() error {
	agreed, err := c.call(nil, "force", rand.Text(), strconv.FormatUint(c.Version, 10))
	if err != nil {
		return err
	}
	return c.await(&changeResult{Format: 1, Version: agreed.Version})
}

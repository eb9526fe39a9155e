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

// changeFlags are the flags of the commands that change a document.
type changeFlags struct {
	rolloutFlags
	ExpectedVersion string `name:"expect" placeholder:"VERSION" help:"Change nothing unless this is the latest version."`
	ID              string `help:"Idempotency key of this change: a repeated change with the same key takes effect once. Default: a random key."`
}

// propose sends a change of a document to the daemon, which gets the cluster's agreement, and waits until all daemons act on the
// change. f.ID makes the change idempotent: if the outcome is indeterminate, the error names the id to retry with. verb is the
// cluster command, and furtherArgs are its arguments after the document's name.
func (f *changeFlags) propose(verb, documentName string, body []byte, furtherArgs ...string) error {
	if f.ID == "" {
		f.ID = rand.Text()
	}
	expectedVersion := "-" // any version
	if f.ExpectedVersion != "" {
		expectedVersion = f.ExpectedVersion
	}
	result, err := f.call(body, append([]string{verb, f.ID, expectedVersion, documentName}, furtherArgs...)...)
	if indeterminate := (status.IndeterminateError{}); errors.As(err, &indeterminate) {
		return verdictError{fmt.Errorf("%w; retry with --id %s", err, f.ID)}
	}
	if err != nil {
		return err
	}
	return f.awaitRollout(&changeResult{Format: 1, ID: f.ID, Version: result.Version, IsUnchanged: result.IsUnchanged})
}

// settingsPutCommand makes the contents of a file a document of the agreed settings.
type settingsPutCommand struct {
	changeFlags
	File string `arg:"" help:"An operators' file, of which the shared part is put; with --name: a file with the contents of that document."`
	Name string `help:"Put the file as this document: members/POOL (a list of members) or flag/NAME." placeholder:"NAME"`
}

// Run executes the command "settings put". The parser kong calls it with the flags and arguments set.
func (c *settingsPutCommand) Run() error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	name := c.Name
	if name == "" {
		var localTables []string // names of the tables in the file that are left out, since each daemon configures them for itself
		name = config.SharedDocument
		if body, localTables, err = config.ExtractShared(c.File, body); err != nil {
			return err
		}
		if len(localTables) > 0 {
			fmt.Fprintf(os.Stderr, "left out, as it is each daemon's own: %s\n", strings.Join(localTables, ", "))
		}
	}
	return c.propose("put", name, body, strconv.Itoa(len(body)))
}

// settingsRemoveCommand removes a document from the agreed settings.
type settingsRemoveCommand struct {
	changeFlags
	Name string `arg:"" help:"Name of the document."`
}

// Run executes the command "settings remove". The parser kong calls it with the flags and arguments set.
func (c *settingsRemoveCommand) Run() error { return c.propose("remove", c.Name, nil) }

// settingsRevertCommand restores the contents that a document had at an earlier version. On the command line it is named "back".
type settingsRevertCommand struct {
	changeFlags
	Version uint64 `arg:"" help:"Version whose contents of the document are restored."`
	Name    string `default:"shared" help:"Name of the document."`
}

// Run executes the command "settings back". The parser kong calls it with the flags and arguments set.
func (c *settingsRevertCommand) Run() error {
	return c.propose("back", c.Name, nil, strconv.FormatUint(c.Version, 10))
}

// settingsForceCommand activates a pending version without waiting for the daemons that cannot act on it.
type settingsForceCommand struct {
	rolloutFlags
	Version uint64 `arg:"" help:"The pending version to activate."`
}

// Run executes the command "settings force". The parser kong calls it with the flags and arguments set.
func (c *settingsForceCommand) Run() error {
	result, err := c.call(nil, "force", rand.Text(), strconv.FormatUint(c.Version, 10))
	if err != nil {
		return err
	}
	return c.awaitRollout(&changeResult{Format: 1, Version: result.Version})
}

package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"tuliprock/internal/cluster/status"
)

// settingsHistoryCommand lists the changes of all documents, or of one.
type settingsHistoryCommand struct {
	daemonFlags
	Name string `arg:"" optional:"" help:"Name of a document; if omitted, the changes of all documents are listed."`
}

// Run executes the command "settings history". The parser kong calls it with the flags and arguments set.
func (c *settingsHistoryCommand) Run() error {
	result, err := c.call(nil, "history")
	if err != nil {
		return err
	}
	return c.printResult(result, func(w io.Writer) error { return c.writeHistory(w, result.History) })
}

// writeHistory prints the changes of the document c.Name, or those of all documents if c.Name is empty, one per line.
func (c *settingsHistoryCommand) writeHistory(w io.Writer, history []status.HistoryEntry) error {
	var rows strings.Builder
	for _, h := range history {
		if c.Name != "" && h.Name != c.Name {
			continue
		}
		change := fmt.Sprintf("%d bytes, %.12s", h.Bytes, h.SHA256)
		if h.IsRemoval() {
			change = "taken out"
		}
		if h.RevertedTo > 0 {
			change += fmt.Sprintf(", as at version %d", h.RevertedTo)
		}
		at := time.UnixMilli(h.AtUnixMilli).UTC().Format(time.DateTime)
		fmt.Fprintf(&rows, "%d\t%s\t%s\tby %s\t%s\n", h.Version, h.Name, change, h.ProposedBy, at)
	}
	return writeColumns(w, rows.String())
}

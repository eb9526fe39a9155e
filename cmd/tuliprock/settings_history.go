package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"tuliprock/internal/cluster/status"
)

type settingsHistoryCommand struct {
	daemonFlags
	Name string `arg:"" optional:"" help:"Of a document; left out: all."`
}

// Run implements kong's command.
func (c *settingsHistoryCommand) Run() error {
	result, err := c.call(nil, "history")
	if err != nil {
		return err
	}
	return c.printResult(result, func(w io.Writer) error { return c.writeHistory(w, result.History) })
}

func (c *settingsHistoryCommand) writeHistory(w io.Writer, history []status.HistoryEntry) error {
	var rows strings.Builder
	for _, h := range history {
		if c.Name != "" && h.Name != c.Name {
			continue
		}
		what := fmt.Sprintf("%d bytes, %.12s", h.Bytes, h.SHA256)
		if h.IsRemoval() {
			what = "taken out"
		}
		if h.RestoredVersion > 0 {
			what += fmt.Sprintf(", as at version %d", h.RestoredVersion)
		}
		at := time.UnixMilli(h.AtMs).UTC().Format(time.DateTime)
		fmt.Fprintf(&rows, "%d\t%s\t%s\tby %s\t%s\n", h.Version, h.Name, what, h.By, at)
	}
	return writeColumns(w, rows.String())
}

package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"tuliprock/internal/cluster/status"
)

// settingsShowCommand prints which settings a daemon acts on, or the body of one document.
type settingsShowCommand struct {
	daemonFlags
	Name    string `arg:"" optional:"" help:"Name of a document to print: shared, members/POOL, out/ID, flag/NAME."`
	Version uint64 `help:"Print the document as it was at this version; 0: the latest."`
}

// Run executes the command "settings show". The parser kong calls it with the flags and arguments set.
func (c *settingsShowCommand) Run() error {
	if c.Name != "" {
		document, err := c.fetchDocument(c.Name, c.Version)
		if err != nil {
			return err
		}
		return c.printResult(document, func(w io.Writer) error {
			_, err := w.Write(document.Body)
			return err
		})
	}
	settings, err := status.FetchSettings(c.AdminAddr, reportTimeout)
	if err != nil {
		return err
	}
	return c.printResult(settings, func(w io.Writer) error { return writeSettings(w, settings) })
}

// writeSettings prints the version that a daemon acts on, its lease, the daemons that delay a version, and the documents.
func writeSettings(w io.Writer, s *status.Settings) error {
	var rows strings.Builder
	lease := fmt.Sprintf("its lease lasts %v yet", time.Duration(s.LeaseMs)*time.Millisecond)
	if !s.HasLease {
		lease = "it has no lease"
	}
	fmt.Fprintf(&rows, "version %d; %s; granted by %s\n", s.ActiveVersion, lease, s.Leader)
	if s.RejectedVersion > 0 {
		fmt.Fprintf(&rows, "it can't act on version %d: %s\n", s.RejectedVersion, s.RejectionReason)
	}
	for _, l := range s.LaggingDaemons {
		fmt.Fprintf(&rows, "waited for: %s: %s\n", l.Name, l.Reason)
	}
	for _, d := range s.Documents {
		fmt.Fprintf(&rows, "%s\tversion %d\tby %s\t%d bytes\n", d.Name, d.Version, d.ProposedBy, d.Bytes)
	}
	return writeColumns(w, rows.String())
}

package status

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"tuliprock/internal/cluster/consensus"
)

const (
	// bodyBytesPerLine is the number of bytes of a document's body that are encoded on one line.
	bodyBytesPerLine = 6000

	// requestTimeout is the maximum time that SendCommand takes to connect to the daemon, and also the maximum time that it
	// then takes to send one request and read the response. A daemon responds within one second.
	requestTimeout = 2 * time.Second

	// retryInterval is the pause between two requests that SendCommand sends for one command.
	retryInterval = 100 * time.Millisecond
)

// HistoryEntry describes one change of the documents that the cluster has agreed on. Its JSON form is documented for operators.
type HistoryEntry struct {
	Version     uint64 `json:"version"`        // version of the documents that the change made
	Name        string `json:"name"`           // name of the changed document
	Bytes       int    `json:"bytes"`          // length of the document's body after the change, in bytes
	SHA256      string `json:"sha256"`         // SHA-256 of the document's new body, in hexadecimal; all zeros: the document was removed
	ProposedBy  string `json:"by"`             // name of the daemon that proposed the change
	AtUnixMilli int64  `json:"at_ms"`          // Unix time of the proposal in milliseconds, by the clock of the proposing daemon
	RevertedTo  uint64 `json:"back,omitempty"` // version of the documents from which the change restored the document; 0: the change was no revert
}

// IsRemoval reports whether the change removed the document. In that case SHA256 is all zeros.
func (h *HistoryEntry) IsRemoval() bool { return strings.Trim(h.SHA256, "0") == "" }

// CommandResult is the result of a command on the documents that the cluster has agreed on. Its JSON form is documented for
// operators.
type CommandResult struct {
	Format      int            `json:"format"`            // number of the format of CommandResult's JSON form, always 1
	Version     uint64         `json:"version"`           // version of the documents that the command made, or the latest committed version if it made none
	IsUnchanged bool           `json:"same,omitempty"`    // whether the command had nothing to change and so made no version
	Name        string         `json:"name,omitempty"`    // name of the document that the command read; empty: it read none
	PutVersion  uint64         `json:"put,omitempty"`     // version of the documents that was made when the document that the command read was last written
	Body        []byte         `json:"body,omitempty"`    // body of the document that the command read
	History     []HistoryEntry `json:"history,omitempty"` // changes of the documents that a command to read the history requested, oldest first
}

// WriteResult writes the lines of a command's result. The admin server writes the line that ends the response.
func WriteResult(w io.Writer, r consensus.CommandResult) error {
	if _, err := fmt.Fprintf(w, "answer version=%d same=%v\n", r.Version, r.Unchanged); err != nil {
		return err
	}
	for _, h := range r.History {
		if _, err := fmt.Fprintf(w, "change version=%d name=%s bytes=%d sha256=%x by=%s at_ms=%d back=%d\n",
			h.Version, h.Name, h.Bytes, h.Digest, h.ProposedBy, h.AtUnixMilli, h.RevertedTo); err != nil {
			return err
		}
	}
	if r.Doc == nil {
		return nil
	}
	if _, err := fmt.Fprintf(w, "document name=%s version=%d\n", r.Doc.Name, r.Doc.Version); err != nil {
		return err
	}
	for rest := r.Doc.Body; len(rest) > 0; {
		n := min(len(rest), bodyBytesPerLine)
		if _, err := fmt.Fprintf(w, "body text=%s\n", base64.RawURLEncoding.EncodeToString(rest[:n])); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// parseLine parses a line that WriteResult wrote, and sets the fields of the command's result r that the line contains.
func (r *CommandResult) parseLine(line string) error {
	var h HistoryEntry
	var encodedBody string
	err := parseFields(line, lineFields{
		"answer": {"version": &r.Version, "same": &r.IsUnchanged},
		"change": {
			"version": &h.Version, "name": &h.Name, "bytes": &h.Bytes, "sha256": &h.SHA256, "by": &h.ProposedBy,
			"at_ms": &h.AtUnixMilli, "back": &h.RevertedTo,
		},
		"document": {"name": &r.Name, "version": &r.PutVersion},
		"body":     {"text": &encodedBody},
	})
	if err == nil && h.Version > 0 {
		r.History = append(r.History, h)
	}
	if err != nil || encodedBody == "" {
		return err
	}
	body, err := base64.RawURLEncoding.DecodeString(encodedBody)
	r.Body = append(r.Body, body...)
	return err
}

// IndeterminateError is returned by SendCommand if it is not known whether the command was or will be carried out.
type IndeterminateError struct{ error }

// Unwrap returns the error of the last request that SendCommand sent.
func (e IndeterminateError) Unwrap() error { return e.error }

// SendCommand connects to a daemon at its admin address addr, and sends it a command that concerns the documents on which the
// cluster has agreed. The command consists of args, which follow the word settings on the request line, and of body, the new
// body of a document that the command writes. While no majority of the voters responds, SendCommand retries with the same
// arguments. If the command must not be carried out twice, the arguments must contain an ID. SendCommand returns an
// IndeterminateError if there is no result within retryFor, and any other error at once.
func SendCommand(addr string, args []string, body []byte, retryFor time.Duration) (*CommandResult, error) {
	deadline := time.Now().Add(retryFor)
	for {
		r := &CommandResult{Format: 1}
		err := query(addr, "settings "+strings.Join(args, " "), body, requestTimeout, r.parseLine)
		if err == nil {
			return r, nil
		}
		if !errors.Is(err, consensus.ErrIndeterminate) {
			return nil, err
		}
		if time.Until(deadline) < retryInterval {
			return nil, IndeterminateError{err}
		}
		time.Sleep(retryInterval)
	}
}

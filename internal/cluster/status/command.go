package status

import (
	"encoding/base64"
	"fmt"
	"io"
	"strings"
	"time"

	"tuliprock/internal/cluster/consensus"
)

// HistoryEntry is an entry of the history of what was agreed on.
type HistoryEntry struct {
	Version uint64 `json:"version"`
	Name    string `json:"name"`
	Bytes   int    `json:"bytes"`
	SHA256  string `json:"sha256"` // zeros: it was taken out
	By      string `json:"by"`
	AtMs    int64  `json:"at_ms"`          // Unix milliseconds, by the clock of the daemon that was called
	Back    uint64 `json:"back,omitempty"` // the version that it goes back to
}

// IsRemoval tells whether the document was taken out.
func (c *HistoryEntry) IsRemoval() bool { return strings.Trim(c.SHA256, "0") == "" }

// CommandResult is what became of a call about what is agreed on. Its form in JSON is documented.
type CommandResult struct {
	Format  int            `json:"format"`         // 1
	Version uint64         `json:"version"`        // that a put made, or that is agreed on
	Same    bool           `json:"same,omitempty"` // there was nothing to change
	Name    string         `json:"name,omitempty"` // of a document that was asked for,
	Put     uint64         `json:"put,omitempty"`  // and the version in which it was put
	Body    []byte         `json:"body,omitempty"`
	History []HistoryEntry `json:"history,omitempty"`
}

// bodyBytesPerLine is how many bytes of a body are on a line, in base64.
const bodyBytesPerLine = 6000

// WriteResult writes a line for what became of a call, and what was asked for.
func WriteResult(w io.Writer, a consensus.CommandResult) error {
	if _, err := fmt.Fprintf(w, "answer version=%d same=%v\n", a.Version, a.Same); err != nil {
		return err
	}
	for _, c := range a.History {
		if _, err := fmt.Fprintf(w, "change version=%d name=%s bytes=%d sha256=%x by=%s at_ms=%d back=%d\n", c.Version, c.Name, c.Bytes, c.Digest, c.By, c.At, c.Back); err != nil {
			return err
		}
	}
	if a.Doc == nil {
		return nil
	}
	if _, err := fmt.Fprintf(w, "document name=%s version=%d\n", a.Doc.Name, a.Doc.Version); err != nil {
		return err
	}
	for rest := a.Doc.Body; len(rest) > 0; {
		n := min(len(rest), bodyBytesPerLine)
		if _, err := fmt.Fprintf(w, "body text=%s\n", base64.RawURLEncoding.EncodeToString(rest[:n])); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

func (a *CommandResult) parseLine(line string) error {
	var c HistoryEntry
	var part string
	err := parseLine(line, map[string]map[string]any{
		"answer":   {"version": &a.Version, "same": &a.Same},
		"change":   {"version": &c.Version, "name": &c.Name, "bytes": &c.Bytes, "sha256": &c.SHA256, "by": &c.By, "at_ms": &c.AtMs, "back": &c.Back},
		"document": {"name": &a.Name, "version": &a.Put},
		"body":     {"text": &part},
	})
	if err == nil && c.Version > 0 {
		a.History = append(a.History, c)
	}
	if err != nil || part == "" {
		return err
	}
	body, err := base64.RawURLEncoding.DecodeString(part)
	a.Body = append(a.Body, body...)
	return err
}

// Call makes a call about what is agreed on: the words that follow settings, and the body of a put. It is made again, with the
// same words, while no majority of the voters answers and until within has passed. An error of that sort is an Unsure.
func Call(at string, words []string, body []byte, within time.Duration) (*CommandResult, error) {
	ends := time.Now().Add(within)
	for {
		a := &CommandResult{Format: 1}
		err := query(at, "settings "+strings.Join(words, " "), body, callTimeout, a.parseLine)
		if err == nil {
			return a, nil
		}
		if !strings.Contains(err.Error(), consensus.ErrIndeterminate.Error()) {
			return nil, err
		}
		if time.Until(ends) < retryInterval {
			return nil, IndeterminateError{err}
		}
		time.Sleep(retryInterval)
	}
}

// IndeterminateError is an error of a call that may have been carried out, or may be yet.
type IndeterminateError struct{ error }

// Unwrap gives what was said.
func (u IndeterminateError) Unwrap() error { return u.error }

const (
	callTimeout   = 2 * time.Second        // a daemon owes an answer within one
	retryInterval = 100 * time.Millisecond // between two tries
)

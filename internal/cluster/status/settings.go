package status

import (
	"fmt"
	"io"
	"net/url"
	"time"
)

// Settings is what one daemon holds of what is agreed. Its form in JSON is documented.
type Settings struct {
	Format    int        `json:"format"`  // 1
	Version   uint64     `json:"version"` // that this daemon acts on
	Acting    bool       `json:"acting"`  // its lease lasts
	LeaseMs   int64      `json:"lease_ms"`
	Votes     bool       `json:"votes"`
	Leads     bool       `json:"leads"`
	Leader    string     `json:"leader"`             // who granted the latest lease
	Committed uint64     `json:"committed"`          // the latest version agreed on, as far as a voter here knows
	Coming    uint64     `json:"coming"`             // the version that is to be acted on next
	Term      uint64     `json:"term"`               // of the voters, where this daemon votes
	All       uint64     `json:"all"`                // no daemon acts on an earlier version; 0: that is not known
	Declined  uint64     `json:"declined,omitempty"` // the version that this daemon can't act on
	Why       string     `json:"why,omitempty"`
	Refused   uint64     `json:"refused"` // requests, for want of a lease
	Voters    string     `json:"voters"`  // whom it may ask for a lease, with commas between
	Sitting   string     `json:"sitting"` // who votes, as the leader said last, with commas between
	Lags      []Lag      `json:"lags"`    // whom the leader waits for
	Documents []Document `json:"documents"`
}

// Lag is a daemon that is waited for.
type Lag struct {
	Daemon string `json:"daemon"`
	Why    string `json:"why"`
}

// Document is one that is agreed on.
type Document struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"` // in which it was put
	By      string `json:"by"`
	Bytes   int    `json:"bytes"`
	SHA256  string `json:"sha256"`
}

// FetchSettings calls a daemon's operators' address. All of it takes no longer than within.
func FetchSettings(at string, within time.Duration) (*Settings, error) {
	return fetchSettings(at, "settings", within)
}

// FetchVersions is AskSettings without the documents.
func FetchVersions(at string, within time.Duration) (*Settings, error) {
	return fetchSettings(at, "versions", within)
}

func fetchSettings(at, call string, within time.Duration) (*Settings, error) {
	s := &Settings{Format: 1, Lags: []Lag{}, Documents: []Document{}}
	return s, query(at, call, nil, within, s.parseLine)
}

// Write writes a line for the daemon, one for each that is waited for, and one for each document.
func (s *Settings) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "settings version=%d acting=%v lease_ms=%d votes=%v leads=%v leader=%s term=%d committed=%d coming=%d all=%d declined=%d why=%s refused=%d voters=%s sitting=%s\n", s.Version, s.Acting,
		s.LeaseMs, s.Votes, s.Leads, s.Leader, s.Term, s.Committed, s.Coming, s.All, s.Declined, escapeText(s.Why), s.Refused, s.Voters, s.Sitting); err != nil {
		return err
	}
	for _, l := range s.Lags {
		if _, err := fmt.Fprintf(w, "lag daemon=%s why=%s\n", l.Daemon, escapeText(l.Why)); err != nil {
			return err
		}
	}
	for _, d := range s.Documents {
		if _, err := fmt.Fprintf(w, "document name=%s version=%d by=%s bytes=%d sha256=%s\n", d.Name, d.Version, d.By, d.Bytes, d.SHA256); err != nil {
			return err
		}
	}
	return nil
}

// escapeText is a text as one word.
func escapeText(s string) string { return url.QueryEscape(s) }

func (s *Settings) parseLine(line string) error {
	var d Document
	var l Lag
	err := parseLine(line, map[string]map[string]any{
		"settings": {"version": &s.Version, "acting": &s.Acting, "lease_ms": &s.LeaseMs, "votes": &s.Votes, "leads": &s.Leads, "leader": &s.Leader, "term": &s.Term,
			"committed": &s.Committed, "coming": &s.Coming, "all": &s.All, "declined": &s.Declined, "why": (*escapedText)(&s.Why), "refused": &s.Refused, "voters": &s.Voters, "sitting": &s.Sitting},
		"lag":      {"daemon": &l.Daemon, "why": (*escapedText)(&l.Why)},
		"document": {"name": &d.Name, "version": &d.Version, "by": &d.By, "bytes": &d.Bytes, "sha256": &d.SHA256},
	})
	if err == nil && d.Name != "" {
		s.Documents = append(s.Documents, d)
	}
	if err == nil && l.Daemon != "" {
		s.Lags = append(s.Lags, l)
	}
	return err
}

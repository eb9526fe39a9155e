package status

import (
	"fmt"
	"io"
	"net/url"
	"time"
)

// Settings is what one daemon holds of the agreed settings. Its JSON form is documented for operators.
type Settings struct {
	Format           int        `json:"format"`  // 1
	Version          uint64     `json:"version"` // the version that this daemon acts on
	HasLease         bool       `json:"acting"`  // its lease is valid
	LeaseMs          int64      `json:"lease_ms"`
	IsVoter          bool       `json:"votes"`              // it is a voter
	IsLeader         bool       `json:"leads"`              // it is the leader
	Leader           string     `json:"leader"`             // name of the daemon that granted the latest lease
	Committed        uint64     `json:"committed"`          // the latest committed version, as far as a voter here knows
	NextVersion      uint64     `json:"coming"`             // the version that is to be acted on next
	Term             uint64     `json:"term"`               // of the voters, where this daemon is one
	MinActingVersion uint64     `json:"all"`                // no daemon acts on an earlier version; 0: not known
	RejectedVersion  uint64     `json:"declined,omitempty"` // the version that this daemon cannot act on
	RejectionReason  string     `json:"why,omitempty"`      // the reason for Declined
	RejectedRequests uint64     `json:"refused"`            // requests that were rejected for lack of a valid lease
	LeaseVoters      string     `json:"voters"`             // names from which it may acquire a lease, separated by commas
	CurrentVoters    string     `json:"sitting"`            // names of the voters, as the leader reported last, separated by commas
	Lags             []Lag      `json:"lags"`               // the daemons that the leader waits for
	Documents        []Document `json:"documents"`
}

// Lag is a daemon that the leader waits for.
type Lag struct {
	Daemon string `json:"daemon"`
	Reason string `json:"why"`
}

// Document is an agreed document.
type Document struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"` // the version in which it was put
	By      string `json:"by"`      // name of the daemon that put it
	Bytes   int    `json:"bytes"`
	SHA256  string `json:"sha256"` // in hexadecimal
}

// FetchSettings gets the Settings of the daemon whose operators' address is addr. All of it takes no longer than timeout.
func FetchSettings(addr string, timeout time.Duration) (*Settings, error) {
	return fetchSettings(addr, "settings", timeout)
}

// FetchVersions is FetchSettings without the documents.
func FetchVersions(addr string, timeout time.Duration) (*Settings, error) {
	return fetchSettings(addr, "versions", timeout)
}

func fetchSettings(addr, request string, timeout time.Duration) (*Settings, error) {
	s := &Settings{Format: 1, Lags: []Lag{}, Documents: []Document{}}
	return s, query(addr, request, nil, timeout, s.parseLine)
}

// Write writes a line for the daemon, one for each that the leader waits for, and one for each document, but no end of the
// response.
func (s *Settings) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "settings version=%d acting=%v lease_ms=%d votes=%v leads=%v leader=%s term=%d committed=%d "+
		"coming=%d all=%d declined=%d why=%s refused=%d voters=%s sitting=%s\n",
		s.Version, s.HasLease, s.LeaseMs, s.IsVoter, s.IsLeader, s.Leader, s.Term, s.Committed,
		s.NextVersion, s.MinActingVersion, s.RejectedVersion, url.QueryEscape(s.RejectionReason), s.RejectedRequests, s.LeaseVoters, s.CurrentVoters); err != nil {
		return err
	}
	for _, l := range s.Lags {
		if _, err := fmt.Fprintf(w, "lag daemon=%s why=%s\n", l.Daemon, url.QueryEscape(l.Reason)); err != nil {
			return err
		}
	}
	for _, d := range s.Documents {
		if _, err := fmt.Fprintf(w, "document name=%s version=%d by=%s bytes=%d sha256=%s\n",
			d.Name, d.Version, d.By, d.Bytes, d.SHA256); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) parseLine(line string) error {
	var d Document
	var l Lag
	err := parseFields(line, lineFields{
		"settings": {
			"version": &s.Version, "acting": &s.HasLease, "lease_ms": &s.LeaseMs, "votes": &s.IsVoter, "leads": &s.IsLeader,
			"leader": &s.Leader, "term": &s.Term, "committed": &s.Committed, "coming": &s.NextVersion, "all": &s.MinActingVersion,
			"declined": &s.RejectedVersion, "why": (*escapedText)(&s.RejectionReason), "refused": &s.RejectedRequests, "voters": &s.LeaseVoters,
			"sitting": &s.CurrentVoters,
		},
		"lag":      {"daemon": &l.Daemon, "why": (*escapedText)(&l.Reason)},
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

package status

import (
	"fmt"
	"io"
	"net/url"
	"time"
)

// Settings describes on which version of the cluster's agreed documents one daemon acts, and what it knows of other versions.
// Its JSON form is documented for operators.
type Settings struct {
	Format              int             `json:"format"`             // number of the format of Settings' JSON form, always 1
	ActiveVersion       uint64          `json:"version"`            // version of the documents on which this daemon acts
	HasLease            bool            `json:"acting"`             // whether this daemon has a valid lease on ActiveVersion
	LeaseMs             int64           `json:"lease_ms"`           // remaining time of this daemon's lease, in milliseconds; 0: the daemon has no valid lease
	IsVoter             bool            `json:"votes"`              // whether this daemon runs a voter that is not a learner
	IsLeader            bool            `json:"leads"`              // whether this daemon's voter is the raft leader, as far as the voter knows
	Leader              string          `json:"leader"`             // name of the voter that this daemon takes for the leader: the one that granted its latest lease or, if a lease request got no grant since then, the voter that got the next request
	AppliedVersion      uint64          `json:"committed"`          // latest version of the documents that this daemon's voter has applied; 0: the daemon runs no voter
	PendingVersion      uint64          `json:"coming"`             // version on which the daemons are to act next, as far as this daemon's voter knows; 0: this daemon runs no voter
	Term                uint64          `json:"term"`               // latest raft term that this daemon's voter has seen; 0: the daemon runs no voter
	OldestActiveVersion uint64          `json:"all"`                // oldest version of the documents on which any daemon of the cluster may still act; 0: not known
	RejectedVersion     uint64          `json:"declined,omitempty"` // latest version of the documents on which this daemon can't act; 0: none
	RejectionReason     string          `json:"why,omitempty"`      // why this daemon can't act on RejectedVersion
	RejectedRequests    uint64          `json:"refused"`            // number of client requests that this daemon rejected because it had no valid lease
	KnownVoters         string          `json:"voters"`             // names of the voters from which this daemon may request a lease, separated by commas
	ActiveVoters        string          `json:"sitting"`            // names of the daemons that vote, as a leader last reported them, separated by commas
	LaggingDaemons      []LaggingDaemon `json:"lags"`               // daemons that delay the activation of a version, or that do not act on the active version yet
	Documents           []Document      `json:"documents"`          // documents that the cluster has agreed on, without their bodies
}

// LaggingDaemon is a daemon that delays the activation of a version of the documents, or that does not act on the active
// version yet.
type LaggingDaemon struct {
	Name   string `json:"daemon"` // name of the daemon that lags
	Reason string `json:"why"`    // text for operators that says why the daemon lags
}

// Document describes a document that the cluster has agreed on, without its body.
type Document struct {
	Name       string `json:"name"`    // name by which operators write and read the document
	Version    uint64 `json:"version"` // version of the documents that was made when this document was last written
	ProposedBy string `json:"by"`      // name of the daemon that proposed this version of the document
	Bytes      int    `json:"bytes"`   // length of the document's body in bytes
	SHA256     string `json:"sha256"`  // SHA-256 of the document's body, in hexadecimal
}

// FetchSettings requests the Settings of the daemon whose admin address is addr. It returns within twice the timeout.
func FetchSettings(addr string, timeout time.Duration) (*Settings, error) {
	return fetchSettings(addr, "settings", timeout)
}

// FetchVersions requests the Settings of the daemon whose admin address is addr, without the list of documents. It returns
// within twice the timeout.
func FetchVersions(addr string, timeout time.Duration) (*Settings, error) {
	return fetchSettings(addr, "versions", timeout)
}

// fetchSettings sends the request line to the daemon whose admin address is addr, and returns the Settings in the response.
func fetchSettings(addr, request string, timeout time.Duration) (*Settings, error) {
	s := &Settings{Format: 1, LaggingDaemons: []LaggingDaemon{}, Documents: []Document{}}
	return s, query(addr, request, nil, timeout, s.parseLine)
}

// Write writes a line for the reporting daemon, a line for each lagging daemon and a line for each document. The admin server
// writes the line that ends the response.
func (s *Settings) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "settings version=%d acting=%v lease_ms=%d votes=%v leads=%v leader=%s term=%d committed=%d "+
		"coming=%d all=%d declined=%d why=%s refused=%d voters=%s sitting=%s\n",
		s.ActiveVersion, s.HasLease, s.LeaseMs, s.IsVoter, s.IsLeader, s.Leader, s.Term, s.AppliedVersion,
		s.PendingVersion, s.OldestActiveVersion, s.RejectedVersion, url.QueryEscape(s.RejectionReason), s.RejectedRequests, s.KnownVoters, s.ActiveVoters); err != nil {
		return err
	}
	for _, l := range s.LaggingDaemons {
		if _, err := fmt.Fprintf(w, "lag daemon=%s why=%s\n", l.Name, url.QueryEscape(l.Reason)); err != nil {
			return err
		}
	}
	for _, d := range s.Documents {
		if _, err := fmt.Fprintf(w, "document name=%s version=%d by=%s bytes=%d sha256=%s\n",
			d.Name, d.Version, d.ProposedBy, d.Bytes, d.SHA256); err != nil {
			return err
		}
	}
	return nil
}

// parseLine parses a line that Settings.Write wrote, and adds its content to s.
func (s *Settings) parseLine(line string) error {
	var d Document
	var l LaggingDaemon
	err := parseFields(line, lineFields{
		"settings": {
			"version": &s.ActiveVersion, "acting": &s.HasLease, "lease_ms": &s.LeaseMs, "votes": &s.IsVoter, "leads": &s.IsLeader,
			"leader": &s.Leader, "term": &s.Term, "committed": &s.AppliedVersion, "coming": &s.PendingVersion, "all": &s.OldestActiveVersion,
			"declined": &s.RejectedVersion, "why": (*escapedText)(&s.RejectionReason), "refused": &s.RejectedRequests, "voters": &s.KnownVoters,
			"sitting": &s.ActiveVoters,
		},
		"lag":      {"daemon": &l.Name, "why": (*escapedText)(&l.Reason)},
		"document": {"name": &d.Name, "version": &d.Version, "by": &d.ProposedBy, "bytes": &d.Bytes, "sha256": &d.SHA256},
	})
	if err == nil && d.Name != "" {
		s.Documents = append(s.Documents, d)
	}
	if err == nil && l.Name != "" {
		s.LaggingDaemons = append(s.LaggingDaemons, l)
	}
	return err
}

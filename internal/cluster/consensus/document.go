package consensus

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
)

// Bounds of the replicated documents. A snapshot holds at most the documents of three versions (latest, pending and
// active) and the retained documents of earlier versions. Such a snapshot, encoded as JSON, is under 7 MiB and fits
// into one message of the transport.
const (
	MaxDocumentBytes = 1 << 20                  // greatest size of a document's body in bytes
	MaxVersionBytes  = MaxDocumentBytes * 5 / 4 // greatest total size of the bodies of one version's documents in bytes
	MaxDocuments     = 1000                     // greatest number of documents in one version
)

// Document is a named text that the voters replicate, as one command wrote it. A later command that writes the same
// name makes another Document.
type Document struct {
	Name       string   `json:"name"`
	Version    uint64   `json:"version"`        // version that the command made which wrote the document
	Digest     [32]byte `json:"digest"`         // SHA-256 of Body, also in copies that have no Body
	ProposedBy string   `json:"by"`             // name of the daemon that proposed the document
	Body       []byte   `json:"body,omitempty"` // complete text of the document
}

// DocumentPut has the name and the body of a document that a command writes.
type DocumentPut struct {
	Name string `json:"name"`
	Body []byte `json:"body"` // complete text of the document
}

// DocumentVersion refers to a document as it was at some version.
type DocumentVersion struct {
	Name    string `json:"name"`
	Version uint64 `json:"version,omitempty"` // version at which the document is looked up; 0: the latest
}

// HistoryEntry describes one change of the documents.
type HistoryEntry struct {
	Version     uint64   `json:"version"`        // version that the change made
	Name        string   `json:"name"`           // name of the changed document
	Digest      [32]byte `json:"digest"`         // SHA-256 of the document's new body; all zeros: the document was removed
	Bytes       int      `json:"bytes"`          // size of the document's new body in bytes; 0 if it was removed
	ProposedBy  string   `json:"by"`             // name of the daemon that proposed the change
	AtUnixMilli int64    `json:"at,omitempty"`   // time of the proposal in Unix milliseconds, by the clock of the proposing daemon; informational only
	RevertedTo  uint64   `json:"back,omitempty"` // version to which the change reverted the document; 0: the change is no revert
}

// DigestDocuments returns one digest of all documents, independent of the map's order, with which the documents of two
// daemons can be compared. The digest covers names and body digests only.
func DigestDocuments(docs map[string]Document) [32]byte {
	var text []byte
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		text = fmt.Appendf(text, "%q %x\n", name, docs[name].Digest)
	}
	return sha256.Sum256(text)
}

// totalBodyBytes returns the total size of the bodies of all documents in bytes.
func totalBodyBytes(docs map[string]Document) (total int) {
	for _, document := range docs {
		total += len(document.Body)
	}
	return total
}

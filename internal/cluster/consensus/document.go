package consensus

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
)

// Bounds of the replicated documents. A snapshot holds the documents three times at most (latest, pending and active),
// and the retained earlier ones: encoded as JSON that is under 7 MiB, which fits into one message of the transport.
const (
	MaxDocumentBytes = 1 << 20                  // of the body of one document
	MaxTotalBytes    = MaxDocumentBytes * 5 / 4 // of the bodies of all documents of a version
	MaxDocuments     = 1000                     // in one version
)

// Document is a named text, as of the version in which it was put.
type Document struct {
	Name    string   `json:"name"`
	Version uint64   `json:"version"` // in which it was put
	Digest  [32]byte `json:"digest"`  // SHA-256 of Body
	By      string   `json:"by"`      // who put it
	Body    []byte   `json:"body,omitempty"`
}

// DocumentPut is a document to be written, with its complete body.
type DocumentPut struct {
	Name string `json:"name"`
	Body []byte `json:"body"`
}

// DocumentVersion names a document as of a version of the State; version 0 means the latest.
type DocumentVersion struct {
	Name    string `json:"name"`
	Version uint64 `json:"version,omitempty"`
}

// HistoryEntry describes one change of the documents.
type HistoryEntry struct {
	Version    uint64   `json:"version"` // that the change made
	Name       string   `json:"name"`    // of the document
	Digest     [32]byte `json:"digest"`  // of the new body; all zeros: the document was removed
	Bytes      int      `json:"bytes"`   // of the new body
	By         string   `json:"by"`
	At         int64    `json:"at,omitempty"`   // Unix milliseconds by the clock of the requesting daemon; informational only
	RevertedTo uint64   `json:"back,omitempty"` // the version to which the change reverts the document; 0: it is no revert
}

// DigestDocuments returns one digest of all documents, independent of the map's order, to compare what daemons act on. It
// covers names and body digests only.
func DigestDocuments(docs map[string]Document) [32]byte {
	var text []byte
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		text = fmt.Appendf(text, "%q %x\n", name, docs[name].Digest)
	}
	return sha256.Sum256(text)
}

// totalBytes returns the size of all bodies.
func totalBytes(docs map[string]Document) (total int) {
	for _, document := range docs {
		total += len(document.Body)
	}
	return total
}

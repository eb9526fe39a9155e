package consensus

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Bounds of the documents and history entries that the State retains of earlier versions.
const (
	maxRetainedBytes  = 1 << 20 // greatest total size, in bytes, of the retained bodies of documents that were replaced or removed
	maxHistoryEntries = 1000    // greatest number of entries in the history; also the greatest number of retained documents
)

// applyDocumentChange puts, removes or reverts a document. A duplicate of an earlier command changes nothing and gets the
// earlier command's result.
func (s *State) applyDocumentChange(c *Command) (CommandResult, error) {
	if result, isDuplicate := s.duplicateResult(c.ID); isDuplicate {
		return result, nil
	}
	if c.ExpectedVersion != nil && *c.ExpectedVersion != s.Version {
		return CommandResult{}, fmt.Errorf("%w: %d, not %d", ErrVersionMismatch, s.Version, *c.ExpectedVersion)
	}
	name, put, err := s.changedDocument(c)
	if err != nil {
		return CommandResult{}, err
	}
	change := HistoryEntry{Version: s.Version + 1, Name: name, ProposedBy: c.ProposedBy, AtUnixMilli: c.AtUnixMilli}
	if c.Revert != nil {
		change.RevertedTo = c.Revert.Version
	}
	replaced, exists := s.Docs[name]
	docs := maps.Clone(s.Docs) // a copy: other goroutines may still read the old map
	switch {
	case put != nil:
		if !s.fitsLimits(put) {
			return CommandResult{}, ErrLimitExceeded
		}
		change.Digest, change.Bytes = sha256.Sum256(put.Body), len(put.Body)
		docs[name] = Document{name, change.Version, change.Digest, c.ProposedBy, put.Body}
	case !exists: // the document to be removed does not exist
		return s.recordResult(c.ID, CommandResult{Version: s.Version, Unchanged: true}), nil
	default:
		delete(docs, name)
	}
	s.Docs = docs
	s.Version++
	if !s.hasPendingVersion() {
		s.makeLatestPending()
	}
	if exists {
		s.retainDocument(replaced)
	}
	s.History = lastN(append(s.History, change), maxHistoryEntries)
	return s.recordResult(c.ID, CommandResult{Version: s.Version}), nil
}

// changedDocument returns the name of the document that a command changes, and the document to be written under that
// name; a nil put means that the document is to be removed. A revert to a version without the document removes the
// document.
func (s *State) changedDocument(c *Command) (name string, put *DocumentPut, _ error) {
	name, put = c.Remove, c.Put
	if c.Revert != nil {
		document, err := s.documentAt(c.Revert)
		if err != nil && !errors.Is(err, ErrDocumentNotFound) {
			return "", nil, err
		}
		if name = c.Revert.Name; document != nil {
			put = &DocumentPut{document.Name, document.Body}
		}
	}
	if put != nil {
		name = put.Name
	}
	return name, put, nil
}

// fitsLimits reports whether the documents stay within MaxDocumentBytes, MaxVersionBytes and MaxDocuments if put is applied.
func (s *State) fitsLimits(put *DocumentPut) bool {
	replaced, exists := s.Docs[put.Name]
	return len(put.Body) <= MaxDocumentBytes &&
		(exists || len(s.Docs) < MaxDocuments) &&
		totalBodyBytes(s.Docs)-len(replaced.Body)+len(put.Body) <= MaxVersionBytes
}

// retainDocument adds a document that was replaced or removed to RetainedDocs, and drops the oldest retained documents
// beyond maxRetainedBytes or maxHistoryEntries.
func (s *State) retainDocument(document Document) {
	retained := append(slices.Clone(s.RetainedDocs), document)
	retainedBytes := 0
	for i, d := range slices.Backward(retained) {
		if retainedBytes += len(d.Body); retainedBytes > maxRetainedBytes || len(retained)-i > maxHistoryEntries {
			retained = retained[i+1:]
			break
		}
	}
	s.RetainedDocs = retained
}

// documentAt returns a document as it was at a version. The error is ErrDocumentNotFound if that version did not have
// the document, and ErrCompacted if the version is no longer retained.
func (s *State) documentAt(at *DocumentVersion) (*Document, error) {
	if d, ok := s.Docs[at.Name]; ok && (at.Version == 0 || d.Version <= at.Version) {
		return &d, nil
	}
	if at.Version == 0 {
		return nil, fmt.Errorf("%.200q: %w", at.Name, ErrDocumentNotFound)
	}
	lookupError := func(cause error) error {
		return fmt.Errorf("%.200q at version %d: %w", at.Name, at.Version, cause)
	}
	for _, change := range slices.Backward(s.History) {
		if change.Name != at.Name || change.Version > at.Version {
			continue
		}
		if change.Digest == [32]byte{} {
			return nil, lookupError(ErrDocumentNotFound)
		}
		i := slices.IndexFunc(s.RetainedDocs, func(d Document) bool {
			return d.Name == change.Name && d.Version == change.Version
		})
		if i < 0 {
			return nil, lookupError(ErrCompacted)
		}
		return &s.RetainedDocs[i], nil
	}
	if len(s.History) > 0 && s.History[0].Version > 1 && s.History[0].Version > at.Version {
		return nil, lookupError(ErrCompacted) // the requested version is older than the oldest entry of the history
	}
	return nil, lookupError(ErrDocumentNotFound)
}

// readDocument returns a document as it was at a version, or the history if no name is given.
func (s *State) readDocument(at *DocumentVersion) (CommandResult, error) {
	if at.Name == "" {
		return CommandResult{Version: s.Version, History: s.History}, nil
	}
	document, err := s.documentAt(at)
	return CommandResult{Version: s.Version, Doc: document}, err
}

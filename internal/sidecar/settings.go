package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/status"
	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/config"
)

// activeSettings is the version of what is agreed on by which a configuration serves.
type activeSettings struct {
	digest  [32]byte       // of the documents that it was made of
	version *atomic.Uint64 // read by each of its requests
}

// indeterminateRetryAfter is when a caller may ask again that is refused since this daemon has no lease: one that reaches a voter asks for
// one every conflict_within/4, 1.25 s by default, and at once where its lease has run out while it was stopped.
const indeterminateRetryAfter = time.Second

// settingsDocuments are the documents that settings are made of; those of endpoints that are out by hand are heeded by themselves.
func settingsDocuments(docs map[string]consensus.Document) map[string]consensus.Document {
	out := make(map[string]consensus.Document, len(docs))
	for name, d := range docs {
		if !strings.HasPrefix(name, config.OutPrefix) {
			out[name] = d
		}
	}
	return out
}

func documentBodies(docs map[string]consensus.Document) map[string][]byte {
	out := make(map[string][]byte, len(docs))
	for name, d := range docs {
		out[name] = d.Body
	}
	return out
}

// hasConsensus tells whether anything is agreed on here.
func (t *clusterNode) hasConsensus() bool { return t != nil && t.raft != nil }

// composeConfig is what a daemon was told with what is agreed on, as it is to act on it, and of which version; without a fleet that
// agrees it is as it was.
func (t *clusterNode) composeConfig(told config.Service) (config.Service, *consensus.LeasedVersion, error) {
	if !t.hasConsensus() {
		return told, &consensus.LeasedVersion{}, nil
	}
	a, _ := t.raft.Valid()
	with, err := told.File.WithDocuments(documentBodies(settingsDocuments(a.Docs)))
	if err != nil {
		return told, a, fmt.Errorf("with version %d of what is agreed on: %w", a.Version, err)
	}
	return with.Service(), a, nil
}

// requestGuard is what the requests of a configuration that acts on a version have to pass, where it refuses those that it is not sure
// of: nobody acts on a later version for longer than is promised. Nil: they pass.
func (t *clusterNode) requestGuard(refuses bool, version *atomic.Uint64) func() bool {
	if !t.hasConsensus() || !refuses {
		return nil
	}
	return func() bool {
		sure := t.raft.CoversVersion(version.Load())
		if !sure {
			t.rejectedRequests.Add(1)
		}
		return sure
	}
}

// installAgreedSettings takes up what is agreed on, where that differs from what is served by.
func (s *Sidecar) installAgreedSettings() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isShuttingDown {
		return errShuttingDown
	}
	a, _ := s.cluster.raft.Valid()
	if consensus.DigestOf(settingsDocuments(a.Docs)) != s.activeSettings.digest {
		return s.reload(s.ownConfig)
	}
	s.activeSettings.version.Store(a.Version)
	s.cluster.raft.MarkInstalled(a.Version)
	return nil
}

// errNoConsensus is why a call about what is agreed on is not carried out.
var errNoConsensus = errors.New("nothing is agreed on here")

// handleSettings carries out what follows settings on a line:
//
//	put ID EXPECT NAME BYTES      a document; EXPECT: the version that must be the latest, or -
//	remove ID EXPECT NAME         no document of this name any more
//	back ID EXPECT NAME VERSION   a document as it was at a version
//	force ID VERSION              the version that comes is activated though some daemons can't act on it
//	voters-add ID NAME            a daemon with a data_dir is to vote
//	voters-remove ID NAME         a daemon is to vote no longer
//	history                       all changes that are remembered
//	show NAME [VERSION]           a document as it is agreed on, or was
//
// Repeated with the same ID nothing is done twice.
func (t *clusterNode) handleSettings(ctx context.Context, more string, body []byte, w io.Writer) error {
	if !t.hasConsensus() {
		return errNoConsensus
	}
	words := strings.Fields(more)
	if len(words) == 0 {
		return t.writeSettings(w)
	}
	c, err := t.parseSettingsCommand(words, body)
	if err != nil {
		return err
	}
	if c.Put != nil {
		if err := t.checkPut(c.Put); err != nil {
			return err
		}
	}
	a, err := t.raft.Propose(ctx, *c)
	if err != nil {
		return err
	}
	if c.Read == nil {
		t.log.Info("operators' call", "settings", words[0], "words", strings.Join(words[1:], " "), "version", a.Version)
	}
	return status.WriteResult(w, a)
}

// parseSettingsCommand reads the words of a call.
func (t *clusterNode) parseSettingsCommand(words []string, body []byte) (*consensus.Command, error) {
	c := &consensus.Command{By: t.spec.Name, At: time.Now().UnixMilli()}
	args := words[1:]
	wants := map[string][2]int{"put": {4, 4}, "remove": {3, 3}, "back": {4, 4}, "force": {2, 2}, "voters-add": {2, 2}, "voters-remove": {2, 2}, "history": {0, 0}, "show": {1, 2}}
	n, known := wants[words[0]]
	if !known {
		return nil, fmt.Errorf("settings %.40q is none of put, remove, back, force, voters-add, voters-remove, history, show", words[0])
	}
	if len(args) < n[0] || len(args) > n[1] {
		return nil, fmt.Errorf("settings %s: %d words follow, not %d", words[0], len(args), n[0])
	}
	var err error
	switch words[0] {
	case "history":
		c.Read = &consensus.DocumentVersion{}
		return c, nil
	case "show":
		c.Read = &consensus.DocumentVersion{Name: args[0]}
		if len(args) == 2 {
			c.Read.Version, err = strconv.ParseUint(args[1], 10, 64)
		}
		return c, err
	}
	c.ID = args[0]
	if words[0] == "force" {
		c.Force, err = strconv.ParseUint(args[1], 10, 64)
		return c, err
	}
	if words[0] == "voters-add" || words[0] == "voters-remove" {
		if !swim.IsValidName(args[1]) {
			return nil, fmt.Errorf("%.40q is no name of a daemon", args[1])
		}
		c.Seat = &consensus.VoterChange{Name: args[1], Out: words[0] == "voters-remove"}
		return c, nil
	}
	if args[1] != "-" {
		expect, err := strconv.ParseUint(args[1], 10, 64)
		if err != nil {
			return nil, err
		}
		c.Expect = &expect
	}
	name := args[2]
	switch {
	case !config.IsDocumentName(name):
		return nil, fmt.Errorf("%.40q is no name of a document", name)
	case words[0] == "put":
		c.Put = &consensus.DocumentPut{Name: name, Body: body}
	case words[0] == "remove":
		c.Remove = name
	default:
		c.Back = &consensus.DocumentVersion{Name: name}
		c.Back.Version, err = strconv.ParseUint(args[3], 10, 64)
	}
	return c, err
}

// checkPut wants a document to be one that this daemon can act on, beside the others that are there.
func (t *clusterNode) checkPut(put *consensus.DocumentPut) error {
	a, _ := t.raft.Valid()
	docs := documentBodies(settingsDocuments(a.Docs))
	docs[put.Name] = put.Body
	return t.ownFile.Load().CheckDocuments(docs)
}

package sidecar

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/config"
)

// firstGrantTimeout is how long a daemon that starts waits for its first lease before it takes clients: two elections.
const firstGrantTimeout = 2 * time.Second

// indeterminateRetryAfter is the Retry-After of a request that is rejected since this daemon has no lease. One that
// reaches a voter requests a lease every conflict_within/4, 1.25 s by default, and at once where its lease has expired
// while the process was stopped.
const indeterminateRetryAfter = time.Second

// activeSettings are the agreed settings in the installed configuration.
type activeSettings struct {
	digest  [32]byte       // of the documents
	version *atomic.Uint64 // read by each request; it changes alone when the documents stay the same
}

// effectiveConfig is a daemon's own configuration with the agreed settings in it.
type effectiveConfig struct {
	service config.Service
	agreed  *consensus.LeasedVersion // of version 0 where nothing is agreed on
}

// settingsDocuments are the documents that a configuration is made of. Those of manual ejections are left out:
// watchAgreement applies them without a reload.
func settingsDocuments(docs map[string]consensus.Document) map[string]consensus.Document {
	out := make(map[string]consensus.Document, len(docs))
	for name, d := range docs {
		if !strings.HasPrefix(name, config.EjectionPrefix) {
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

// hasConsensus tells whether this daemon is in a cluster that agrees on settings.
func (n *clusterNode) hasConsensus() bool { return n != nil && n.raft != nil }

// composeConfig adds the agreed settings to a daemon's own configuration. Without a cluster that agrees on settings it
// returns that as it is.
func (n *clusterNode) composeConfig(own config.Service) (effectiveConfig, error) {
	if !n.hasConsensus() {
		return effectiveConfig{own, &consensus.LeasedVersion{}}, nil
	}
	agreed, _ := n.raft.Valid()
	file, err := own.File.WithDocuments(documentBodies(settingsDocuments(agreed.Docs)))
	if err != nil {
		return effectiveConfig{}, fmt.Errorf("with version %d of what is agreed on: %w", agreed.Version, err)
	}
	return effectiveConfig{file.Service(), agreed}, nil
}

// requestGuard returns what decides, for each request of a configuration, whether it is served: it is rejected unless
// this daemon's lease covers the configuration's version, so that no daemon serves by an old version for longer than is
// promised. It returns nil, which serves all, where the configuration does not want that.
func (n *clusterNode) requestGuard(isWanted bool, version *atomic.Uint64) func() bool {
	if !n.hasConsensus() || !isWanted {
		return nil
	}
	return func() bool {
		isCovered := n.raft.CoversVersion(version.Load())
		if !isCovered {
			n.rejectedRequests.Add(1)
		}
		return isCovered
	}
}

// awaitFirstGrant waits for the first lease, and applies the agreed ejections before the first client is accepted.
func (n *clusterNode) awaitFirstGrant(o *overrides) {
	if !n.hasConsensus() {
		return
	}
	select {
	case <-n.raft.FirstGrant():
	case <-time.After(firstGrantTimeout):
		cached, _ := n.raft.Valid()
		n.log.Warn("no lease granted yet; the cached settings hold", "after", firstGrantTimeout, "version", cached.Version)
	}
	n.agreedEjections = o.applyAgreed(context.Background(), nil, n.ejectedIDs())
}

// watchAgreement installs from now on what the cluster agrees on, until close.
func (n *clusterNode) watchAgreement(s *Sidecar) {
	if !n.hasConsensus() {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	stop := n.stop
	n.stop = func() { cancel(); stop() }
	n.goroutines.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-n.raft.Changed():
				n.agreedEjections = s.overrides.applyAgreed(ctx, n.agreedEjections, n.ejectedIDs())
				if err := s.installAgreedSettings(); err != nil && !errors.Is(err, errShuttingDown) {
					n.log.Error("what is agreed on is not taken up", "error", err)
				}
			}
		}
	})
}

// installAgreedSettings installs the agreed settings, if they differ from those in force; else it notes their version.
func (s *Sidecar) installAgreedSettings() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isShuttingDown {
		return errShuttingDown
	}
	agreed, _ := s.cluster.raft.Valid()
	if consensus.DigestDocuments(settingsDocuments(agreed.Docs)) != s.activeSettings.digest {
		return s.reload(s.ownConfig)
	}
	s.activeSettings.version.Store(agreed.Version)
	s.cluster.raft.MarkInstalled(agreed.Version)
	return nil
}

// ejectedIDs returns the endpoints that are ejected by agreement. Where the lease has expired the last agreement holds:
// at worst an endpoint gets no requests that might get some.
func (n *clusterNode) ejectedIDs() map[string]bool {
	ejected := map[string]bool{}
	agreed, _ := n.raft.Valid()
	for name := range agreed.Docs {
		if id, ok := strings.CutPrefix(name, config.EjectionPrefix); ok {
			ejected[id] = true
		}
	}
	return ejected
}

// proposeEjection has the cluster agree on an ejection, or its end, that was carried out here. It returns what is added
// to the response to the operator; nothing where no settings are agreed on.
func (n *clusterNode) proposeEjection(ctx context.Context, id string, isEjected bool) string {
	if !n.hasConsensus() {
		return ""
	}
	c := consensus.Command{ProposedBy: n.spec.Name, AtUnixMilli: time.Now().UnixMilli()}
	if isEjected {
		c.Put = &consensus.DocumentPut{Name: config.EjectionPrefix + id}
	} else {
		c.Remove = config.EjectionPrefix + id
	}
	version, err := n.raft.ProposeVersion(ctx, c)
	if err != nil {
		return fmt.Sprintf(" here; for the others: %v", err)
	}
	return fmt.Sprintf(", on all daemons with version %d", version)
}

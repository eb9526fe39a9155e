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

// firstGrantTimeout is how long a starting daemon waits for its first lease before it takes clients. Two elections of a
// leader fit into this time.
const firstGrantTimeout = 2 * time.Second

// noLeaseRetryAfter is the Retry-After of requests that are rejected because this daemon has no valid lease. It is close
// to the interval at which such a daemon requests a lease from the voters: conflict_within/4, which is 1.25 s by default. A
// daemon whose lease expired while the process was stopped requests a lease at once.
const noLeaseRetryAfter = time.Second

// activeSettings identifies the agreed settings in the installed configuration.
type activeSettings struct {
	digest [32]byte // digest of the names and contents of the documents
	// version is the version of the agreed settings, which each request reads. If a new version has equal documents, only
	// this field changes.
	version *atomic.Uint64
}

// effectiveConfig is a daemon's own configuration combined with the agreed settings.
type effectiveConfig struct {
	service config.Service
	agreed  *consensus.LeasedVersion // the agreed settings; version 0 if the cluster does not agree on settings
}

// settingsDocuments returns the documents that are part of the configuration. It omits the documents of manual ejections,
// which watchAgreement applies without a reload.
func settingsDocuments(docs map[string]consensus.Document) map[string]consensus.Document {
	out := make(map[string]consensus.Document, len(docs))
	for name, d := range docs {
		if !strings.HasPrefix(name, config.EjectionPrefix) {
			out[name] = d
		}
	}
	return out
}

// documentBodies returns the contents of documents by the documents' names.
func documentBodies(docs map[string]consensus.Document) map[string][]byte {
	out := make(map[string][]byte, len(docs))
	for name, d := range docs {
		out[name] = d.Body
	}
	return out
}

// hasConsensus reports whether this daemon is in a cluster that agrees on settings.
func (n *clusterNode) hasConsensus() bool { return n != nil && n.raft != nil }

// composeConfig combines a daemon's own configuration with the agreed settings. Without a cluster that agrees on settings
// it returns the own configuration unchanged.
func (n *clusterNode) composeConfig(own config.Service) (effectiveConfig, error) {
	if !n.hasConsensus() {
		return effectiveConfig{own, &consensus.LeasedVersion{}}, nil
	}
	agreed, _ := n.raft.Valid()
	file, err := own.File.WithDocuments(documentBodies(settingsDocuments(agreed.Docs)))
	if err != nil {
		return effectiveConfig{}, fmt.Errorf("with version %d of the agreed settings: %w", agreed.Version, err)
	}
	return effectiveConfig{file.Service(), agreed}, nil
}

// requestGuard returns a function that decides whether a request is served. The function rejects requests unless this
// daemon's lease covers servedVersion, the version of the settings with which it serves requests. So no daemon serves with
// an old version for longer than the cluster guarantees. requestGuard returns nil, which means that all requests are
// served, if rejectsWithoutLease is false or the cluster does not agree on settings.
func (n *clusterNode) requestGuard(rejectsWithoutLease bool, servedVersion *atomic.Uint64) func() bool {
	if !n.hasConsensus() || !rejectsWithoutLease {
		return nil
	}
	return func() bool {
		isCovered := n.raft.CoversVersion(servedVersion.Load())
		if !isCovered {
			n.rejectedRequests.Add(1)
		}
		return isCovered
	}
}

// awaitFirstGrant waits for the first lease, at most for firstGrantTimeout, and applies the agreed ejections before the
// first client is accepted.
func (n *clusterNode) awaitFirstGrant(o *overrides) {
	if !n.hasConsensus() {
		return
	}
	select {
	case <-n.raft.FirstGrant():
	case <-time.After(firstGrantTimeout):
		cached, _ := n.raft.Valid()
		n.log.Warn("no lease granted yet; using the cached settings", "after", firstGrantTimeout, "version", cached.Version)
	}
	n.appliedEjections = o.applyAgreed(context.Background(), agreedEjections{}, n.agreedEjections())
}

// watchAgreement starts a goroutine that installs settings and ejections as the cluster agrees on them. The
// goroutine ends when the method close is called.
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
			case <-n.raft.VersionChanged():
				n.appliedEjections = s.overrides.applyAgreed(ctx, n.appliedEjections, n.agreedEjections())
				if err := s.installAgreedSettings(); err != nil && !errors.Is(err, errShuttingDown) {
					n.log.Error("what is agreed on is not taken up", "error", err)
				}
			}
		}
	})
}

// installAgreedSettings installs the agreed settings if their documents differ from the installed ones. Otherwise it only
// records their version as installed.
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

// agreedEjections returns the endpoints that the cluster has agreed to eject. After the lease has expired it still returns the last
// agreed set: at worst an endpoint stays ejected that could serve again.
func (n *clusterNode) agreedEjections() agreedEjections {
	agreed, _ := n.raft.Valid()
	ejections := agreedEjections{version: agreed.Version, ids: map[string]bool{}}
	for name := range agreed.Docs {
		if id, ok := strings.CutPrefix(name, config.EjectionPrefix); ok {
			ejections.ids[id] = true
		}
	}
	return ejections
}

// proposeEjection proposes to the cluster a manual ejection, or its end, that was applied on this daemon. It returns the version in
// which the cluster has agreed on it, or 0, and a text to append to the response to the operator. Clients of the admin address
// may match this text.
func (n *clusterNode) proposeEjection(ctx context.Context, id string, isEjected bool) (uint64, string) {
	c := consensus.Command{ProposedBy: n.spec.Name, AtUnixMilli: time.Now().UnixMilli()}
	if isEjected {
		c.Put = &consensus.DocumentPut{Name: config.EjectionPrefix + id}
	} else {
		c.Remove = config.EjectionPrefix + id
	}
	version, err := n.raft.ProposeVersion(ctx, c)
	if err != nil {
		return 0, fmt.Sprintf(" here; for the others: %v", err)
	}
	return version, fmt.Sprintf(", on all daemons with version %d", version)
}

package consensus

import (
	"fmt"
	"time"
)

const (
	requestsPerLease      = 4 // in the duration of the shorter lease, so that some may be lost
	requestIntervalFactor = 4 // by which requests come faster while a version is being activated
)

// LeasedVersion is what a daemon may act on: a version until its lease expires and, while the daemon changes over to
// it, the previous one until the lease on that expires. It is a value that may be copied and read by other goroutines.
type LeasedVersion struct {
	Version           uint64
	Docs              map[string]Document // never modified
	ExpiresAt         time.Duration       // instant, by the daemon's clock, at which the lease expires
	PreviousVersion   uint64              // on which the daemon acted before
	PreviousExpiresAt time.Duration       // instant until which it may still act on that
}

// CoversVersion tells whether the daemon may act on a version at an instant.
func (l *LeasedVersion) CoversVersion(version uint64, now time.Duration) bool {
	return version == l.Version && now < l.ExpiresAt || version == l.PreviousVersion && now < l.PreviousExpiresAt
}

// LeaseHolder is a daemon's side of its leases: it makes requests, takes up grants and knows what the daemon may act
// on. It moves on to a version only after the daemon has checked that version's documents (PendingCheck and
// CompleteCheck). It is not safe for concurrent use.
type LeaseHolder struct {
	config          LeaseConfig
	name            string
	seq             uint64        // of the latest request,
	requestedAt     time.Duration // and when it was made
	requestInterval time.Duration
	acceptedSeq     uint64 // of the latest grant in use

	leased           LeasedVersion
	installedVersion uint64 // on which the daemon's other parts act

	readyVersion    uint64 // the latest one that passed its check
	readyDocs       map[string]Document
	offeredVersion  uint64 // to be checked; 0: none
	offeredDocs     map[string]Document
	rejectedVersion uint64 // the latest one that failed its check; 0: none
	rejectReason    string

	fullyActive uint64 // these as of the latest grant
	lagging     []LaggingDaemon
}

// NewLeaseHolder returns a holder without a lease. version and docs are what the daemon persisted before a restart;
// version 0: nothing.
func NewLeaseHolder(name string, config LeaseConfig, version uint64, docs map[string]Document) *LeaseHolder {
	return &LeaseHolder{
		config:          config,
		name:            name,
		requestInterval: min(config.Duration, config.ShortDuration) / requestsPerLease,
		leased:          LeasedVersion{Version: version, Docs: docs},
		readyVersion:    version,
		readyDocs:       docs,
	}
}

// NextRequest returns a request that is to be sent now, and the instant at which the next one is due. A grant counts
// only in response to the latest request.
func (h *LeaseHolder) NextRequest(now time.Duration) (r LeaseRequest, nextAt time.Duration) {
	h.seq++
	h.requestedAt = now
	nextAt = now + h.requestInterval
	if h.readyVersion > h.leased.Version || len(h.lagging) > 0 { // an activation waits for these requests
		nextAt = now + h.requestInterval/requestIntervalFactor
	}
	return LeaseRequest{
		Daemon:           h.name,
		Seq:              h.seq,
		ReadyVersion:     h.readyVersion,
		InstalledVersion: min(h.installedVersion, h.leased.Version),
		AcceptedSeq:      h.acceptedSeq,
		RejectedVersion:  h.rejectedVersion,
		RejectReason:     h.rejectReason,
	}, nextAt
}

// HandleGrant takes up a grant. One that does not answer the latest request is dropped, since the instant of its
// request is not known any more.
func (h *LeaseHolder) HandleGrant(now time.Duration, g LeaseGrant) {
	if g.Seq != h.seq || g.Version < h.leased.Version {
		return
	}
	h.fullyActive, h.lagging = g.FullyActive, g.Lagging
	if g.ActiveDocs != nil { // the active version takes precedence over the pending one
		h.offerForCheck(g.Version, g.ActiveDocs)
	} else {
		h.offerForCheck(g.PendingVersion, g.PendingDocs)
	}
	switch g.Version {
	case h.leased.Version:
	case h.readyVersion:
		h.leased = LeasedVersion{
			Version:           h.readyVersion,
			Docs:              h.readyDocs,
			PreviousVersion:   h.leased.Version,
			PreviousExpiresAt: h.leased.ExpiresAt,
		}
	default:
		return // the daemon does not have this version, or has not checked it
	}
	start := h.requestedAt
	if h.config.CountFromGrant {
		start = now
	}
	h.leased.ExpiresAt, h.acceptedSeq = start+g.Duration, g.Seq // sooner than before if a version has become pending
}

// offerForCheck has documents checked that the daemon neither has nor has rejected.
func (h *LeaseHolder) offerForCheck(version uint64, docs map[string]Document) {
	if docs != nil && version > h.readyVersion && version != h.rejectedVersion && version != h.offeredVersion {
		h.offeredVersion, h.offeredDocs = version, docs
	}
}

// PendingCheck returns the version that the daemon is to check, and then to report to CompleteCheck; 0: none.
func (h *LeaseHolder) PendingCheck() (version uint64, docs map[string]Document) {
	return h.offeredVersion, h.offeredDocs
}

// CompleteCheck reports whether the daemon can act on a version that PendingCheck returned; a non-nil error says why
// not. The outcome of a check that another one has replaced is dropped.
func (h *LeaseHolder) CompleteCheck(version uint64, err error) {
	if version == 0 || version != h.offeredVersion {
		return
	}
	if err != nil {
		h.rejectedVersion, h.rejectReason = version, fmt.Sprintf("%.*s", maxReasonRunes, err.Error())
	} else {
		h.readyVersion, h.readyDocs = version, h.offeredDocs
		if h.rejectedVersion <= version {
			h.Recheck()
		}
	}
	h.offeredVersion, h.offeredDocs = 0, nil
}

// Recheck forgets which version was rejected, so that it is checked anew when the leader next offers it.
func (h *LeaseHolder) Recheck() { h.rejectedVersion, h.rejectReason = 0, "" }

// RejectedVersion returns the version that the daemon rejects, and why; 0: none.
func (h *LeaseHolder) RejectedVersion() (version uint64, reason string) {
	return h.rejectedVersion, h.rejectReason
}

// MarkInstalled reports that all parts of the daemon act on a version. Until then the leader counts the daemon as
// acting on the version before.
func (h *LeaseHolder) MarkInstalled(version uint64) { h.installedVersion = version }

// Leased returns what the daemon may act on.
func (h *LeaseHolder) Leased() LeasedVersion { return h.leased }

// Valid returns the version on which the daemon may act at an instant; ok is false if it has no lease then.
func (h *LeaseHolder) Valid(now time.Duration) (version uint64, docs map[string]Document, ok bool) {
	l := &h.leased
	return l.Version, l.Docs, l.Version > 0 && (now < l.ExpiresAt || h.config.SkipExpiryCheck)
}

// FullyActive returns, as of the latest grant, the version before which no daemon acts (0: not known) and the daemons
// for which the leader waits.
func (h *LeaseHolder) FullyActive() (version uint64, lagging []LaggingDaemon) {
	return h.fullyActive, h.lagging
}

package consensus

import (
	"fmt"
	"time"
)

const (
	requestsPerShortestLease  = 4 // number of lease requests in the shorter of LeaseConfig.Duration and ShortDuration, so that a lease stays valid even if some requests are lost
	activationIntervalDivisor = 4 // number by which LeaseHolder.requestInterval is divided while the daemon is ready for a later version than its leased one, or while some daemon lags
)

// LeasedVersion has the version on which a daemon may act until the lease on it expires, and the previous version, on
// which parts of the daemon may still act until the lease on that version expires. A LeasedVersion may be copied and read
// by other goroutines.
type LeasedVersion struct {
	Version           uint64              // version on which the daemon is to act; 0: none
	Docs              map[string]Document // documents of Version by name, never modified
	ExpiresAt         time.Duration       // instant, by the daemon's clock, at which the lease on Version expires
	PreviousVersion   uint64              // version on which the daemon acted before Version; 0: none
	PreviousExpiresAt time.Duration       // instant, by the daemon's clock, at which the lease on PreviousVersion expires
}

// CoversVersion reports whether, at the instant now, the daemon holds an unexpired lease on the given version.
func (l *LeasedVersion) CoversVersion(version uint64, now time.Duration) bool {
	return version == l.Version && now < l.ExpiresAt || version == l.PreviousVersion && now < l.PreviousExpiresAt
}

// LeaseHolder is a daemon's side of its leases: it makes requests, applies grants and knows what the daemon may act on.
// It changes to a version only after the daemon has checked that version's documents (PendingCheck and CompleteCheck).
// It is not safe for concurrent use.
type LeaseHolder struct {
	config          LeaseConfig
	name            string        // name of the daemon, which is sent in each request
	seq             uint64        // sequence number of the latest request; 0: no request was made
	requestedAt     time.Duration // instant of the latest request, by the daemon's clock
	requestInterval time.Duration // time between requests while no version is being activated
	acceptedSeq     uint64        // sequence number of the latest accepted grant; 0: none was accepted

	leased           LeasedVersion
	installedVersion uint64 // version on which all parts of the daemon act, as reported to MarkInstalled

	readyVersion    uint64              // latest version whose documents the daemon has checked and accepted
	readyDocs       map[string]Document // documents of readyVersion
	offeredVersion  uint64              // version that the daemon is to check; 0: none
	offeredDocs     map[string]Document // documents of offeredVersion
	rejectedVersion uint64              // latest version whose documents the daemon has checked and rejected; 0: none
	rejectReason    string              // why the daemon rejected rejectedVersion

	oldestActiveVersion uint64          // oldest version on which a daemon may still act, according to the latest grant; 0: not known
	lagging             []LaggingDaemon // daemons that, according to the latest grant, delay the activation of the pending version or do not act on the active version yet
}

// NewLeaseHolder returns a holder without a lease. If the daemon persisted the version on which it acted before a
// restart, version is that version and docs has its documents; otherwise version is 0.
func NewLeaseHolder(name string, config LeaseConfig, version uint64, docs map[string]Document) *LeaseHolder {
	return &LeaseHolder{
		config:          config,
		name:            name,
		requestInterval: min(config.Duration, config.ShortDuration) / requestsPerShortestLease,
		leased:          LeasedVersion{Version: version, Docs: docs},
		readyVersion:    version,
		readyDocs:       docs,
	}
}

// NextRequest returns a request that is to be sent now, and the instant at which the next request is due. Only a grant that
// answers the latest request is accepted.
func (h *LeaseHolder) NextRequest(now time.Duration) (r LeaseRequest, nextAt time.Duration) {
	h.seq++
	h.requestedAt = now
	nextAt = now + h.requestInterval
	if h.readyVersion > h.leased.Version || len(h.lagging) > 0 { // the leader may wait for this daemon's requests before it activates a version
		nextAt = now + h.requestInterval/activationIntervalDivisor
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

// HandleGrant applies a grant. A grant that does not answer the latest request is dropped, since the instant of its
// request, from which the lease counts, is no longer known.
func (h *LeaseHolder) HandleGrant(now time.Duration, g LeaseGrant) {
	if g.Seq != h.seq || g.Version < h.leased.Version {
		return
	}
	h.oldestActiveVersion, h.lagging = g.OldestActiveVersion, g.Lagging
	if g.ActiveDocs != nil { // the active version is checked before the pending one
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
		return // the daemon does not have the documents of the granted version, or has not checked them
	}
	start := h.requestedAt
	if h.config.CountFromGrant {
		start = now
	}
	// The lease may now expire earlier than before, if a version has become pending.
	h.leased.ExpiresAt, h.acceptedSeq = start+g.Duration, g.Seq
}

// offerForCheck makes a version the one that PendingCheck returns, unless the daemon has the version's documents or has
// rejected the version.
func (h *LeaseHolder) offerForCheck(version uint64, docs map[string]Document) {
	if docs != nil && version > h.readyVersion && version != h.rejectedVersion && version != h.offeredVersion {
		h.offeredVersion, h.offeredDocs = version, docs
	}
}

// PendingCheck returns a version that the daemon is to check, with the documents of that version; version 0 means that
// there is nothing to check. The daemon reports the outcome with CompleteCheck.
func (h *LeaseHolder) PendingCheck() (version uint64, docs map[string]Document) {
	return h.offeredVersion, h.offeredDocs
}

// CompleteCheck records whether the daemon can act on a version that PendingCheck returned; a non-nil error says why it
// can't. The outcome is dropped if PendingCheck no longer returns that version.
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

// Recheck forgets which version was rejected, so that the version is checked again when the leader next offers it.
func (h *LeaseHolder) Recheck() { h.rejectedVersion, h.rejectReason = 0, "" }

// RejectedVersion returns the version that the daemon rejects and the reason; version 0 means that there is none.
func (h *LeaseHolder) RejectedVersion() (version uint64, reason string) {
	return h.rejectedVersion, h.rejectReason
}

// MarkInstalled records that all parts of the daemon act on a version. Until then the leader assumes that the daemon
// still acts on the version that was recorded before.
func (h *LeaseHolder) MarkInstalled(version uint64) { h.installedVersion = version }

// Leased returns the versions on which the daemon may act, with the instants at which the leases on them expire.
func (h *LeaseHolder) Leased() LeasedVersion { return h.leased }

// Valid returns the version on which the daemon may act at an instant, with its documents; ok is false if the daemon has
// no lease that is valid at that instant.
func (h *LeaseHolder) Valid(now time.Duration) (version uint64, docs map[string]Document, ok bool) {
	l := &h.leased
	return l.Version, l.Docs, l.Version > 0 && (now < l.ExpiresAt || h.config.SkipExpiryCheck)
}

// OldestActiveVersion returns the oldest version on which a daemon of the cluster may still act, or 0 if it is not
// known. It also returns the daemons that delay the activation of the pending version or do not act on the active
// version yet. Both come from the latest grant.
func (h *LeaseHolder) OldestActiveVersion() (version uint64, lagging []LaggingDaemon) {
	return h.oldestActiveVersion, h.lagging
}

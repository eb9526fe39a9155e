package consensus

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxOutstandingGrants bounds the grants that the leader records for one daemon. When that many are recorded, a further
// grant is merged with the latest one: the result has the sequence number of the further grant and the later of the two
// expiry instants. So the leader may wait too long for the daemon's leases to expire, but never too briefly.
const maxOutstandingGrants = 32

// LeaseManager is the leader's side of leases during one term: it knows which leases may be outstanding, and hence when
// a pending version may be activated. A leader creates a new LeaseManager in each term. It is not safe for concurrent use.
type LeaseManager struct {
	config      LeaseConfig
	leaderSince time.Duration            // instant at which the term began, by the leader's clock
	daemons     map[string]*daemonLeases // daemons that may hold a lease, by name; Refresh drops those whose leases have expired

	oldestActiveVersion uint64          // oldest version on which a daemon may still act, according to the latest Refresh; 0: not known
	lagging             []LaggingDaemon // daemons that, at the latest Refresh, delayed the activation of the pending version or did not act on the active version yet, sorted by name
}

// daemonLeases has a daemon's latest request and the grants with which the daemon may hold a lease.
type daemonLeases struct {
	request LeaseRequest       // latest lease request of the daemon in this term
	grants  []outstandingGrant // grants that the daemon may use, in the order of seq, at most maxOutstandingGrants
}

// outstandingGrant is a grant that the leader has sent, and on which the daemon may act until it has expired.
type outstandingGrant struct {
	seq       uint64        // sequence number of the request that the grant answered
	expiresAt time.Duration // instant, by the leader's clock, at which the lease has certainly expired
}

// expiresAt returns the instant at which all leases that the daemon may hold have certainly expired.
func (d *daemonLeases) expiresAt() (latest time.Duration) {
	for _, grant := range d.grants {
		latest = max(latest, grant.expiresAt)
	}
	return latest
}

// NewLeaseManager returns the manager of a term that begins now. Leases that earlier leaders granted may still be valid.
func NewLeaseManager(now time.Duration, config LeaseConfig) *LeaseManager {
	return &LeaseManager{config: config, leaderSince: now, daemons: map[string]*daemonLeases{}}
}

// Grant answers a request. It may be called only if a majority has confirmed, after the request arrived, that this voter
// leads.
func (m *LeaseManager) Grant(now time.Duration, r LeaseRequest, state *State) LeaseGrant {
	grant := LeaseGrant{
		Seq:                 r.Seq,
		Version:             state.ActiveVersion,
		PendingVersion:      state.PendingVersion,
		Duration:            m.leaseDuration(&r, state),
		SlotHolders:         state.Voters(),
		ActiveVoters:        state.activeVoterNames(),
		OldestActiveVersion: m.oldestActiveVersion,
		Lagging:             m.lagging[:min(len(m.lagging), maxLaggingDaemons)],
	}
	if r.ReadyVersion < state.ActiveVersion && r.RejectedVersion < state.ActiveVersion {
		grant.ActiveDocs = state.ActiveDocs
	}
	if r.ReadyVersion < state.PendingVersion && r.RejectedVersion < state.PendingVersion {
		grant.PendingDocs = state.PendingDocs
	}
	m.recordGrant(now, r, grant.Duration)
	return grant
}

// leaseDuration returns the duration of the lease that answers a request. It is 0 for a daemon that can't act on the
// active version, or that rejects a pending version that operators force to be activated.
func (m *LeaseManager) leaseDuration(r *LeaseRequest, state *State) time.Duration {
	switch {
	case r.ReadyVersion < state.ActiveVersion || isExcludedByForce(state, r):
		return 0
	case state.hasPendingVersion():
		return m.config.ShortDuration
	}
	return m.config.Duration
}

// recordGrant records a request and the grant that answers it. It drops the grants before the one that the daemon has
// accepted, since the daemon does not use them again.
func (m *LeaseManager) recordGrant(now time.Duration, r LeaseRequest, leaseDuration time.Duration) {
	d := m.daemons[r.Daemon]
	if d == nil {
		d = &daemonLeases{}
		m.daemons[r.Daemon] = d
	}
	d.request = r
	d.grants = slices.DeleteFunc(d.grants, func(grant outstandingGrant) bool {
		return grant.seq < r.AcceptedSeq || now >= grant.expiresAt
	})
	expiresAt := now + m.config.expiryWait(leaseDuration)
	if n := len(d.grants); n >= maxOutstandingGrants {
		d.grants[n-1] = outstandingGrant{r.Seq, max(d.grants[n-1].expiresAt, expiresAt)}
	} else {
		d.grants = append(d.grants, outstandingGrant{r.Seq, expiresAt})
	}
}

// Refresh updates what grants report about all daemons: which daemons lag, and the oldest version on which a daemon may
// still act. As Refresh scans all daemons, it is called once a heartbeat and not for each grant. Until the next call no
// daemon begins to act on an older version than the reported one.
func (m *LeaseManager) Refresh(now time.Duration, state *State) {
	maps.DeleteFunc(m.daemons, func(_ string, d *daemonLeases) bool { return now >= d.expiresAt() })
	m.lagging = m.laggingDaemons(now, state)
	m.oldestActiveVersion = m.findOldestActiveVersion(now, state)
}

// VersionToActivate returns the pending version if it may be activated now, else 0. Each daemon that may hold a lease
// must have the version's documents and hold short leases only; for a daemon that does not, the leader waits until its
// leases have certainly expired.
func (m *LeaseManager) VersionToActivate(now time.Duration, state *State) uint64 {
	switch {
	case !state.hasPendingVersion():
		return 0
	case m.config.SkipActivationWait:
		return state.PendingVersion
	case !m.predecessorsExpired(now):
		return 0
	}
	for _, d := range m.daemons {
		if m.activationWaitReason(now, state, d) != "" {
			return 0
		}
	}
	return state.PendingVersion
}

// VersionToSkip returns the pending version if the latest version is to take its place, else 0. The pending version is
// to be skipped if some daemon rejects it, operators do not force its activation, and a later version exists. No daemon
// ever acts on a version that was skipped.
func (m *LeaseManager) VersionToSkip(now time.Duration, state *State) uint64 {
	if !state.hasPendingVersion() || state.Version == state.PendingVersion || state.ForcedVersion >= state.PendingVersion {
		return 0
	}
	for _, d := range m.daemons {
		if rejectsPending(state, &d.request) && now < d.expiresAt() {
			return state.PendingVersion
		}
	}
	return 0
}

// predecessorsExpired reports whether all leases that earlier leaders granted have certainly expired.
func (m *LeaseManager) predecessorsExpired(now time.Duration) bool {
	return now >= m.leaderSince+m.config.expiryWait(m.config.Duration)
}

// laggingDaemons returns the lagging daemons, sorted by name. While a version is pending, a daemon lags if it delays
// the activation of that version; otherwise a daemon lags if it does not act on the active version yet. Daemons that
// certainly hold no lease do not lag. Clients of the admin address may match the texts of the reasons.
func (m *LeaseManager) laggingDaemons(now time.Duration, state *State) (lagging []LaggingDaemon) {
	for name, d := range m.daemons {
		reason := ""
		switch {
		case now >= d.expiresAt():
			continue
		case state.hasPendingVersion():
			reason = m.activationWaitReason(now, state, d)
		case d.request.InstalledVersion < state.ActiveVersion:
			reason = fmt.Sprintf("it acts on version %d yet", d.request.InstalledVersion)
		}
		if reason != "" {
			lagging = append(lagging, LaggingDaemon{name, reason})
		}
	}
	slices.SortFunc(lagging, func(a, b LaggingDaemon) int { return strings.Compare(a.Daemon, b.Daemon) })
	return lagging
}

// activationWaitReason describes why the activation of the pending version waits for a daemon. It is empty if the
// activation does not wait for that daemon. Clients of the admin address may match the text.
func (m *LeaseManager) activationWaitReason(now time.Duration, state *State, d *daemonLeases) string {
	expiresAt := d.expiresAt()
	switch {
	case now >= expiresAt:
		return ""
	case isExcludedByForce(state, &d.request):
		return fmt.Sprintf("it can't act on version %d, which was forced: its lease ends", state.PendingVersion)
	case rejectsPending(state, &d.request):
		return fmt.Sprintf("it can't act on version %d: %s", state.PendingVersion, d.request.RejectReason)
	case d.request.ReadyVersion < state.PendingVersion:
		return fmt.Sprintf("it has not got version %d", state.PendingVersion)
	case expiresAt > now+m.config.expiryWait(m.config.ShortDuration):
		return "it may have a long lease"
	}
	return ""
}

// findOldestActiveVersion returns the oldest version on which a daemon may still act. It returns 0, which means that the version
// is not known, while leases of earlier leaders may still be valid.
func (m *LeaseManager) findOldestActiveVersion(now time.Duration, state *State) uint64 {
	if !m.predecessorsExpired(now) {
		return 0
	}
	oldest := state.ActiveVersion
	for _, d := range m.daemons {
		if now < d.expiresAt() {
			oldest = min(oldest, d.request.InstalledVersion)
		}
	}
	return oldest
}

// isExcludedByForce reports whether a daemon gets no lease because it rejects the pending version, which operators
// force to be activated.
func isExcludedByForce(state *State, r *LeaseRequest) bool {
	return state.hasPendingVersion() && state.ForcedVersion >= state.PendingVersion && rejectsPending(state, r)
}

// rejectsPending reports whether a daemon has reported that it can't act on the pending version.
func rejectsPending(state *State, r *LeaseRequest) bool {
	return r.ReadyVersion < state.PendingVersion && r.RejectedVersion == state.PendingVersion
}

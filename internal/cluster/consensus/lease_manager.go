package consensus

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxOutstandingGrants bounds the grants that are remembered of one daemon. Beyond it the latest two are merged into
// one with the later Seq and the later expiry, which errs on the side of waiting.
const maxOutstandingGrants = 32

// LeaseManager is the leader's side of leases during one term: it knows which leases may be outstanding, and hence when
// a pending version may be activated. Each term has a new one. It is not safe for concurrent use.
type LeaseManager struct {
	config      LeaseConfig
	leaderSince time.Duration
	daemons     map[string]*daemonLeases // by name; those whose leases have expired are dropped by Refresh

	fullyActive uint64          // these two as of the latest Refresh
	lagging     []LaggingDaemon // sorted by daemon
}

// daemonLeases is what the leader knows of a daemon.
type daemonLeases struct {
	request LeaseRequest       // the latest one
	grants  []outstandingGrant // that the daemon may use, by Seq; at most maxOutstandingGrants
}

// outstandingGrant is a grant that its daemon may use.
type outstandingGrant struct {
	seq       uint64
	expiresAt time.Duration // instant, by the leader's clock, at which it has certainly expired
}

// expiresAt returns the instant at which all leases that the daemon may hold have certainly expired.
func (d *daemonLeases) expiresAt() (latest time.Duration) {
	for _, grant := range d.grants {
		latest = max(latest, grant.expiresAt)
	}
	return latest
}

// NewLeaseManager returns the manager of a term that begins now. Leases that earlier leaders granted may still run.
func NewLeaseManager(now time.Duration, config LeaseConfig) *LeaseManager {
	return &LeaseManager{config: config, leaderSince: now, daemons: map[string]*daemonLeases{}}
}

// Grant answers a request. It may be called only after a majority has confirmed, later than the request arrived, that
// this node leads.
func (m *LeaseManager) Grant(now time.Duration, r LeaseRequest, state *State) LeaseGrant {
	grant := LeaseGrant{
		Seq:            r.Seq,
		Version:        state.Active,
		PendingVersion: state.Pending,
		Duration:       m.leaseDuration(&r, state),
		SlotHolders:    state.Voters(),
		ActiveVoters:   state.activeVoterNames(),
		FullyActive:    m.fullyActive,
		Lagging:        m.lagging[:min(len(m.lagging), maxLagging)],
	}
	if r.ReadyVersion < state.Active && r.RejectedVersion < state.Active {
		grant.ActiveDocs = state.ActiveDocs
	}
	if r.ReadyVersion < state.Pending && r.RejectedVersion < state.Pending {
		grant.PendingDocs = state.PendingDocs
	}
	m.remember(now, r, grant.Duration)
	return grant
}

// leaseDuration returns the duration of a lease, which is 0 for a daemon that can't act on the active version, or not
// on a pending one that was forced.
func (m *LeaseManager) leaseDuration(r *LeaseRequest, state *State) time.Duration {
	switch {
	case r.ReadyVersion < state.Active || isForcedOut(state, r):
		return 0
	case state.hasPending():
		return m.config.ShortDuration
	}
	return m.config.Duration
}

// remember records a request and the grant that answers it. Grants before the one that the daemon has accepted are
// dropped: it never returns to them.
func (m *LeaseManager) remember(now time.Duration, r LeaseRequest, lease time.Duration) {
	d := m.daemons[r.Daemon]
	if d == nil {
		d = &daemonLeases{}
		m.daemons[r.Daemon] = d
	}
	d.request = r
	d.grants = slices.DeleteFunc(d.grants, func(grant outstandingGrant) bool {
		return grant.seq < r.AcceptedSeq || now >= grant.expiresAt
	})
	expiresAt := now + m.config.expiryWait(lease)
	if n := len(d.grants); n >= maxOutstandingGrants {
		d.grants[n-1] = outstandingGrant{r.Seq, max(d.grants[n-1].expiresAt, expiresAt)}
	} else {
		d.grants = append(d.grants, outstandingGrant{r.Seq, expiresAt})
	}
}

// Refresh updates what grants carry about the other daemons. It visits all of them, and is therefore called once a
// heartbeat and not for each grant. That no daemon acts on versions before some version stays true until the next call.
func (m *LeaseManager) Refresh(now time.Duration, state *State) {
	maps.DeleteFunc(m.daemons, func(_ string, d *daemonLeases) bool { return now >= d.expiresAt() })
	m.lagging = m.laggingDaemons(now, state)
	m.fullyActive = m.oldestActive(now, state)
}

// VersionToActivate returns the pending version if it may be activated now, else 0. Each daemon that may hold a lease
// must have the version's documents and hold short leases only; for others the leader waits until their leases have
// certainly expired.
func (m *LeaseManager) VersionToActivate(now time.Duration, state *State) uint64 {
	switch {
	case !state.hasPending():
		return 0
	case m.config.SkipActivationWait:
		return state.Pending
	case !m.predecessorsExpired(now):
		return 0
	}
	for _, d := range m.daemons {
		if m.waitReason(now, state, d) != "" {
			return 0
		}
	}
	return state.Pending
}

// VersionToSkip returns the pending version if a later one is to take its place, else 0: some daemon rejects it, it was
// not forced, and another version was made since. No daemon ever acts on a version that was skipped.
func (m *LeaseManager) VersionToSkip(now time.Duration, state *State) uint64 {
	if !state.hasPending() || state.Version == state.Pending || state.Forced >= state.Pending {
		return 0
	}
	for _, d := range m.daemons {
		if rejectsPending(state, &d.request) && now < d.expiresAt() {
			return state.Pending
		}
	}
	return 0
}

// predecessorsExpired tells whether all leases that earlier leaders granted have certainly expired.
func (m *LeaseManager) predecessorsExpired(now time.Duration) bool {
	return now >= m.leaderSince+m.config.expiryWait(m.config.Duration)
}

// laggingDaemons returns the daemons for which the leader waits, sorted: before a version is activated, and until they
// act on the one that was. Daemons that have certainly no lease are not waited for.
func (m *LeaseManager) laggingDaemons(now time.Duration, state *State) (lagging []LaggingDaemon) {
	for name, d := range m.daemons {
		reason := ""
		switch {
		case now >= d.expiresAt():
			continue
		case state.hasPending():
			reason = m.waitReason(now, state, d)
		case d.request.InstalledVersion < state.Active:
			reason = fmt.Sprintf("it acts on version %d yet", d.request.InstalledVersion)
		}
		if reason != "" {
			lagging = append(lagging, LaggingDaemon{name, reason})
		}
	}
	slices.SortFunc(lagging, func(a, b LaggingDaemon) int { return strings.Compare(a.Daemon, b.Daemon) })
	return lagging
}

// waitReason describes why the activation of the pending version waits for a daemon; empty: it does not wait.
func (m *LeaseManager) waitReason(now time.Duration, state *State, d *daemonLeases) string {
	expiresAt := d.expiresAt()
	switch {
	case now >= expiresAt:
		return ""
	case isForcedOut(state, &d.request):
		return fmt.Sprintf("it can't act on version %d, which was forced: its lease ends", state.Pending)
	case rejectsPending(state, &d.request):
		return fmt.Sprintf("it can't act on version %d: %s", state.Pending, d.request.RejectReason)
	case d.request.ReadyVersion < state.Pending:
		return fmt.Sprintf("it has not got version %d", state.Pending)
	case expiresAt > now+m.config.expiryWait(m.config.ShortDuration):
		return "it may have a long lease"
	}
	return ""
}

// oldestActive returns the version before which no daemon acts; 0: it is not known while leases of earlier leaders may
// run.
func (m *LeaseManager) oldestActive(now time.Duration, state *State) uint64 {
	if !m.predecessorsExpired(now) {
		return 0
	}
	oldest := state.Active
	for _, d := range m.daemons {
		if now < d.expiresAt() {
			oldest = min(oldest, d.request.InstalledVersion)
		}
	}
	return oldest
}

// isForcedOut tells whether a daemon gets no lease because it rejects a pending version that was forced.
func isForcedOut(state *State, r *LeaseRequest) bool {
	return state.hasPending() && state.Forced >= state.Pending && rejectsPending(state, r)
}

// rejectsPending tells whether a daemon has reported that it can't act on the pending version.
func rejectsPending(state *State, r *LeaseRequest) bool {
	return r.ReadyVersion < state.Pending && r.RejectedVersion == state.Pending
}

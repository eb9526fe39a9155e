package consensus

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// LeaseConfig are the times of leases, the same for all daemons of a fleet. Clocks run at a rate from 1-Drift to 1+Drift.
type LeaseConfig struct {
	Lease time.Duration // that a daemon may act without asking again, by its own clock
	Short time.Duration // the same while another version is to come
	Drift float64

	// What a test can spoil, to see that it is missed. All are off in the daemon.
	CountFromGrant bool // a lease counts from its answer
	NoWait         bool // a version is activated though others may act on the one before for long
	NoLook         bool // a daemon acts without a look at its lease
}

// expiryWait is how long to wait by this clock until a lease that another counts has certainly run out.
func (t LeaseConfig) expiryWait(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + t.Drift) / (1 - t.Drift))
}

// Overlap is the longest, in true time, that some daemon may act on a version after another has begun to act on a later one.
func (t LeaseConfig) Overlap() time.Duration { return time.Duration(float64(t.Short) / (1 - t.Drift)) }

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	Daemon           string `json:"Daemon"`
	Seq              uint64 `json:"Seq"`
	ReadyVersion     uint64 `json:"Has"`                // the latest version whose documents the daemon holds and can act on
	InstalledVersion uint64 `json:"Acts"`               // the version that it acts on
	AcceptedSeq      uint64 `json:"Took"`               // Seq of the grant under which it acts: it never goes back to one before
	RejectedVersion  uint64 `json:"Declines,omitempty"` // the latest version that it can't act on; 0: none
	RejectReason     string `json:"Why,omitempty"`
	Mark             string `json:"Mark,omitempty"` // of the disk of a daemon that could vote, and does not
}

// LeaseGrant answers a Request.
type LeaseGrant struct {
	Seq            uint64              `json:"Seq"`
	Version        uint64              `json:"Version"` // that the daemon is to act on
	ActiveDocs     map[string]Document `json:"Docs"`    // of it, where the daemon lacks them; nil: it has them
	PendingVersion uint64              `json:"Next"`    // that is to come: the daemon gets ready for it
	PendingDocs    map[string]Document `json:"Coming"`
	Duration       time.Duration       `json:"Lease"` // 0: none, and what the daemon had is over

	Voters        []string `json:"Voters"`  // who is to vote, and grants leases
	Sitting       []string `json:"Sitting"` // who does
	Seat          uint64   `json:"Seat"`    // of this daemon; 0: none
	MayStartVoter bool     `json:"Begins"`  // it is to take that seat, with the disk whose mark it told,
	First         []string `json:"First"`   // in the fleet of these first voters
	DiskLost      bool     `json:"Lost"`    // it has a seat, which was taken with another disk

	FullyActive uint64 `json:"All"`  // no daemon acts on an earlier version; 0: that is not known yet
	Lagging     []Lag  `json:"Lags"` // who is waited for; mostLags at most
}

// Lag is a daemon that is waited for.
type Lag struct {
	Daemon string `json:"Daemon"`
	Why    string `json:"Why"`
}

const (
	maxLagging     = 16
	maxReasonBytes = 300 // bytes
)

// LeasedVersion is what a daemon may act on: its version until an instant, and what it acted on before, until it has changed over.
type LeasedVersion struct {
	Version           uint64
	Docs              map[string]Document // never changed
	Until             time.Duration
	PreviousVersion   uint64        // the version that it acted on before this one
	PreviousExpiresAt time.Duration // until when it may act on that
}

// CoversVersion tells whether a version may be acted on at an instant.
func (a *LeasedVersion) CoversVersion(version uint64, now time.Duration) bool {
	return version == a.Version && now < a.Until || version == a.PreviousVersion && now < a.PreviousExpiresAt
}

// LeaseHolder is a daemon's side of its leases. It acts on versions alone that were checked. It is not safe for concurrent use.
type LeaseHolder struct {
	config          LeaseConfig
	name            string
	seq             uint64
	requestedAt     time.Duration // of the latest request
	requestInterval time.Duration
	acceptedSeq     uint64

	leased           LeasedVersion
	installedVersion uint64 // the version that the daemon's other parts have taken up
	readyVersion     uint64 // the latest that was checked, and may be acted on when it is active
	readyDocs        map[string]Document
	offeredVersion   uint64 // to be checked; 0: none
	offeredDocs      map[string]Document
	rejectedVersion  uint64
	rejectReason     string

	fullyActive uint64
	lagging     []Lag
}

// NewLeaseHolder makes a Holder without a lease, which holds the documents of a version from before a restart; 0: none.
func NewLeaseHolder(name string, t LeaseConfig, version uint64, docs map[string]Document) *LeaseHolder {
	return &LeaseHolder{config: t, name: name, requestInterval: min(t.Lease, t.Short) / 4, leased: LeasedVersion{Version: version, Docs: docs}, readyVersion: version, readyDocs: docs}
}

// NextRequest is a request that is to be sent now, and when the next is due.
func (h *LeaseHolder) NextRequest(now time.Duration) (r LeaseRequest, again time.Duration) {
	h.seq++
	h.requestedAt = now
	again = now + h.requestInterval
	if h.readyVersion > h.leased.Version || len(h.lagging) > 0 { // sooner, while others wait
		again = now + h.requestInterval/4
	}
	return LeaseRequest{Daemon: h.name, Seq: h.seq, ReadyVersion: h.readyVersion, InstalledVersion: min(h.installedVersion, h.leased.Version), AcceptedSeq: h.acceptedSeq, RejectedVersion: h.rejectedVersion, RejectReason: h.rejectReason}, again
}

// HandleGrant takes an answer. Only that to the latest request counts: of earlier ones it is not known when they were sent.
func (h *LeaseHolder) HandleGrant(now time.Duration, g LeaseGrant) {
	if g.Seq != h.seq || g.Version < h.leased.Version {
		return
	}
	h.fullyActive, h.lagging = g.FullyActive, g.Lagging
	if g.ActiveDocs != nil { // what others act on comes before what is to come
		h.acceptOffer(g.Version, g.ActiveDocs)
	} else {
		h.acceptOffer(g.PendingVersion, g.PendingDocs)
	}
	switch {
	case g.Version == h.leased.Version:
	case g.Version == h.readyVersion:
		h.leased = LeasedVersion{Version: h.readyVersion, Docs: h.readyDocs, PreviousVersion: h.leased.Version, PreviousExpiresAt: h.leased.Until}
	default:
		return // it is to act on what it has not, or not checked
	}
	from := h.requestedAt
	if h.config.CountFromGrant {
		from = now
	}
	h.leased.Until, h.acceptedSeq = from+g.Duration, g.Seq // perhaps sooner than before: a version is to come
}

// acceptOffer takes documents that are to be checked.
func (h *LeaseHolder) acceptOffer(version uint64, docs map[string]Document) {
	if docs != nil && version > h.readyVersion && version != h.rejectedVersion && version != h.offeredVersion {
		h.offeredVersion, h.offeredDocs = version, docs
	}
}

// PendingCheck is a version that is to be checked, for Checked; 0: none.
func (h *LeaseHolder) PendingCheck() (version uint64, docs map[string]Document) {
	return h.offeredVersion, h.offeredDocs
}

// CompleteCheck says whether this daemon can act on the version that was Offered; an error says why it can't.
func (h *LeaseHolder) CompleteCheck(version uint64, err error) {
	if version == 0 || version != h.offeredVersion {
		return // another came meanwhile
	}
	if err != nil {
		h.rejectedVersion, h.rejectReason = version, fmt.Sprintf("%.*s", maxReasonBytes, err.Error())
	} else {
		h.readyVersion, h.readyDocs = version, h.offeredDocs
		if h.rejectedVersion <= version {
			h.rejectedVersion, h.rejectReason = 0, ""
		}
	}
	h.offeredVersion, h.offeredDocs = 0, nil
}

// Recheck has what was declined looked at again when it is offered anew.
func (h *LeaseHolder) Recheck() { h.rejectedVersion, h.rejectReason = 0, "" }

// Rejected is the version that this daemon can't act on, and why; 0: none.
func (h *LeaseHolder) Rejected() (uint64, string) { return h.rejectedVersion, h.rejectReason }

// MarkInstalled says which version the daemon's other parts have taken up: until then they act on the one before.
func (h *LeaseHolder) MarkInstalled(version uint64) { h.installedVersion = version }

// Leased is what this daemon may act on.
func (h *LeaseHolder) Leased() LeasedVersion { return h.leased }

// Valid tells which version the daemon may act on at an instant; false: none, for its lease has run out.
func (h *LeaseHolder) Valid(now time.Duration) (version uint64, docs map[string]Document, ok bool) {
	a := &h.leased
	return a.Version, a.Docs, a.Version > 0 && (now < a.Until || h.config.NoLook)
}

// FullyActive is the version before which no daemon acts any more, and the daemons that are waited for, as the leader said last.
func (h *LeaseHolder) FullyActive() (all uint64, lags []Lag) { return h.fullyActive, h.lagging }

// LeaseManager is the leader's side of leases, in one term. It is made anew with each.
type LeaseManager struct {
	config      LeaseConfig
	leaderSince time.Duration // it has led
	daemons     map[string]*daemonLeases

	fullyActive uint64 // what Look found
	lagging     []Lag
}

// daemonLeases is what the steward knows of a daemon.
type daemonLeases struct {
	request LeaseRequest       // its latest
	grants  []outstandingGrant // that it may act under, by Seq; mostGrants at most
}

type outstandingGrant struct {
	seq       uint64
	expiresAt time.Duration // by this clock it has certainly run out
}

// maxOutstandingGrants bounds what is remembered of one daemon: beyond it the two latest are taken for one, of the later Seq and the later end.
const maxOutstandingGrants = 32

// NewLeaseManager begins a term. Leases that earlier leaders have granted may run on.
func NewLeaseManager(now time.Duration, t LeaseConfig) *LeaseManager {
	return &LeaseManager{config: t, leaderSince: now, daemons: map[string]*daemonLeases{}}
}

// Grant answers a request, after it was confirmed that this node still led when the request had come.
func (s *LeaseManager) Grant(now time.Duration, r LeaseRequest, st *State) LeaseGrant {
	k := s.daemons[r.Daemon]
	if k == nil {
		k = &daemonLeases{}
		s.daemons[r.Daemon] = k
	}
	g := LeaseGrant{Seq: r.Seq, Version: st.Active, PendingVersion: st.Coming, Duration: s.config.Lease, Voters: st.Voters(), Sitting: st.activeVoterNames()}
	if st.Coming > st.Active {
		g.Duration = s.config.Short
	}
	if r.ReadyVersion < st.Active || isForcedOut(st, &r) { // it can't act on what others do, or will
		g.Duration = 0
	}
	k.request = r
	k.grants = slices.DeleteFunc(k.grants, func(o outstandingGrant) bool { return o.seq < r.AcceptedSeq || now >= o.expiresAt })
	end := now + s.config.expiryWait(g.Duration)
	if n := len(k.grants); n >= maxOutstandingGrants {
		k.grants[n-1] = outstandingGrant{r.Seq, max(k.grants[n-1].expiresAt, end)}
	} else {
		k.grants = append(k.grants, outstandingGrant{r.Seq, end})
	}
	if r.ReadyVersion < st.Active && r.RejectedVersion < st.Active {
		g.ActiveDocs = st.ActiveDocs
	}
	if r.ReadyVersion < st.Coming && r.RejectedVersion < st.Coming {
		g.PendingDocs = st.PendingDocs
	}
	g.FullyActive, g.Lagging = s.fullyActive, s.lagging[:min(len(s.lagging), maxLagging)]
	return g
}

// Refresh takes stock of all daemons, for the grants that follow: once a beat, since it goes through all of them. What it finds of
// versions that nobody acts on any more stays so.
func (s *LeaseManager) Refresh(now time.Duration, st *State) {
	s.lagging = s.LaggingDaemons(now, st)
	s.fullyActive = s.oldestActive(now, st)
}

// isForcedOut tells whether a daemon goes without a lease, since a version comes on which it can't act.
func isForcedOut(st *State, r *LeaseRequest) bool {
	return st.Coming > st.Active && st.Forced >= st.Coming && rejectsPending(st, r)
}

// rejectsPending tells whether a daemon has said that it can't act on what comes.
func rejectsPending(st *State, r *LeaseRequest) bool {
	return r.ReadyVersion < st.Coming && r.RejectedVersion == st.Coming
}

// expiresAt is when the last lease that a daemon may hold has run out.
func (k *daemonLeases) expiresAt() (end time.Duration) {
	for _, o := range k.grants {
		end = max(end, o.expiresAt)
	}
	return end
}

// predecessorsExpired tells whether all that predecessors granted has run out.
func (s *LeaseManager) predecessorsExpired(now time.Duration) bool {
	return now >= s.leaderSince+s.config.expiryWait(s.config.Lease)
}

// VersionToActivate tells which version is to be activated now; 0: none. Each daemon that may hold a lease must have what comes, and
// hold short leases only; one that does not is waited for until its lease has certainly run out.
func (s *LeaseManager) VersionToActivate(now time.Duration, st *State) uint64 {
	switch {
	case st.Coming == st.Active:
		return 0
	case s.config.NoWait:
		return st.Coming
	case !s.predecessorsExpired(now):
		return 0
	}
	for _, k := range s.daemons {
		if s.waitReason(now, st, k) != "" {
			return 0
		}
	}
	return st.Coming
}

// VersionToSkip tells which version is to give way to a later one; 0: none. It is one that some daemon can't act on, that nobody has
// forced, and after which something else was put: no daemon ever acts on it.
func (s *LeaseManager) VersionToSkip(now time.Duration, st *State) uint64 {
	if st.Coming == st.Active || st.Version == st.Coming || st.Forced >= st.Coming {
		return 0
	}
	for _, k := range s.daemons {
		if rejectsPending(st, &k.request) && now < k.expiresAt() {
			return st.Coming
		}
	}
	return 0
}

// waitReason says why a version that comes waits for a daemon; empty: it does not.
func (s *LeaseManager) waitReason(now time.Duration, st *State, k *daemonLeases) string {
	end := k.expiresAt()
	switch {
	case now >= end:
		return ""
	case isForcedOut(st, &k.request):
		return fmt.Sprintf("it can't act on version %d, which was forced: its lease ends", st.Coming)
	case rejectsPending(st, &k.request):
		return fmt.Sprintf("it can't act on version %d: %s", st.Coming, k.request.RejectReason)
	case k.request.ReadyVersion < st.Coming:
		return fmt.Sprintf("it has not got version %d", st.Coming)
	case end > now+s.config.expiryWait(s.config.Short):
		return "it may have a long lease"
	}
	return ""
}

// oldestActive is the version before which no daemon acts; 0: not known, since a predecessor's leases may last.
func (s *LeaseManager) oldestActive(now time.Duration, st *State) uint64 {
	if !s.predecessorsExpired(now) {
		return 0
	}
	all := st.Active
	for _, k := range s.daemons {
		if now < k.expiresAt() {
			all = min(all, k.request.InstalledVersion)
		}
	}
	return all
}

// LaggingDaemons are the daemons that are waited for, by name: before a version is activated, and until they act on the one that was.
// Who has certainly no lease is forgotten.
func (s *LeaseManager) LaggingDaemons(now time.Duration, st *State) (lags []Lag) {
	for name, k := range s.daemons {
		why := ""
		switch {
		case now >= k.expiresAt():
			delete(s.daemons, name)
		case st.Coming > st.Active:
			why = s.waitReason(now, st, k)
		case k.request.InstalledVersion < st.Active:
			why = fmt.Sprintf("it acts on version %d yet", k.request.InstalledVersion)
		}
		if why != "" {
			lags = append(lags, Lag{name, why})
		}
	}
	slices.SortFunc(lags, func(a, b Lag) int { return strings.Compare(a.Daemon, b.Daemon) })
	return lags
}

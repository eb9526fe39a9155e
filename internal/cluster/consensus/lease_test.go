package consensus

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// testLeaseConfig is the lease configuration of tests that do not need a particular one.
var testLeaseConfig = LeaseConfig{Duration: 6 * time.Second, ShortDuration: 1500 * time.Millisecond, MaxClockDrift: 0.01}

// stateWithPendingVersion returns a State whose version 1 is active and whose version 2 is pending.
func stateWithPendingVersion(tb testing.TB) *State {
	tb.Helper()
	state := NewState()
	for i, c := range []Command{
		{ID: "a", Put: &DocumentPut{"x", []byte("1")}},
		{ActivateVersion: 1},
		{ID: "b", Put: &DocumentPut{"x", []byte("2")}},
	} {
		if _, err := apply(tb, state, c); err != nil {
			tb.Fatal(i, err)
		}
	}
	if state.ActiveVersion != 1 || state.PendingVersion != 2 {
		tb.Fatalf("active %d, pending %d: %+v", state.ActiveVersion, state.PendingVersion, state)
	}
	return state
}

// withoutPendingVersion returns a copy of the State in which no version is pending, so that leases are long.
func withoutPendingVersion(state *State) *State {
	c := *state
	c.PendingVersion = c.ActiveVersion
	return &c
}

// The last grant of a lease on version 1 reaches its daemon late, and no grant follows. If the lease counted from the
// arrival of the grant (CountFromGrant), the daemon would act on version 1 until more than MaxOverlap after the
// instant at which the leader may activate version 2.
func TestLeaseCountsFromItsRequest(t *testing.T) {
	for _, countFromGrant := range []bool{false, true} {
		config := testLeaseConfig
		config.CountFromGrant = countFromGrant
		state, start := stateWithPendingVersion(t), 100*time.Second
		m := NewLeaseManager(start-time.Minute, config)
		h := NewLeaseHolder("d", config, 0, nil)
		request := func(now time.Duration) LeaseGrant {
			r, _ := h.NextRequest(now)
			return m.Grant(now, r, state)
		}
		// The first grant has the active documents, the second one a lease and the pending documents, the third one a lease
		// again. The third request reports that the daemon has the pending documents.
		for range 3 {
			h.HandleGrant(start, request(start))
			completeCheckAndInstall(h)
		}
		lateGrant := request(start)
		if got := m.VersionToActivate(start, state); got != 2 {
			t.Fatalf("version to activate %d, want 2; lagging: %v", got, m.laggingDaemons(start, state))
		}
		h.HandleGrant(start+config.ShortDuration/5, lateGrant)
		version, _, ok := h.Valid(start + config.MaxOverlap() + 1)
		if ok != countFromGrant || version != 1 {
			t.Errorf("after MaxOverlap the lease is valid: %v, for version %d; want %v, for version 1, if it counts from the grant: %v",
				ok, version, countFromGrant, countFromGrant)
		}
	}
}

// The leader does not activate a version before each daemon that may hold a lease has the version's documents and holds
// short leases only.
func TestActivationWaitsForOutstandingLeases(t *testing.T) {
	state, start := stateWithPendingVersion(t), 100*time.Second
	m := NewLeaseManager(start, testLeaseConfig)
	if m.VersionToActivate(start+testLeaseConfig.Duration, state) != 0 {
		t.Error("a new leader activates a version before the leases of its predecessors have expired")
	}
	now := start + time.Minute
	m.Grant(now, LeaseRequest{Daemon: "slow", Seq: 1, ReadyVersion: 1}, state)
	m.Grant(now, LeaseRequest{Daemon: "ready", Seq: 1, ReadyVersion: 2}, state)
	later := now + time.Second
	if got := m.laggingDaemons(later, state); len(got) != 1 || got[0].Daemon != "slow" || m.VersionToActivate(later, state) != 0 {
		t.Errorf("lagging: %v, version to activate %d; want slow alone, and 0", got, m.VersionToActivate(later, state))
	}
	if m.VersionToActivate(now+testLeaseConfig.expiryWait(testLeaseConfig.ShortDuration), state) != 2 {
		t.Error("the leader does not activate the version though the lease of the only lagging daemon has expired")
	}
	m.Grant(now, LeaseRequest{Daemon: "long", Seq: 1, ReadyVersion: 2}, withoutPendingVersion(state))
	m.Grant(now, LeaseRequest{Daemon: "long", Seq: 2, ReadyVersion: 2}, state)
	later = now + 2*time.Second
	if m.VersionToActivate(later, state) != 0 {
		t.Error("the leader activates the version though a daemon may hold a long lease: the grant of its short one may be lost")
	}
	m.Grant(later, LeaseRequest{Daemon: "long", Seq: 3, ReadyVersion: 2, AcceptedSeq: 2}, state)
	if m.VersionToActivate(later, state) != 2 {
		t.Errorf("the leader does not activate the version though the daemon has accepted the short lease; lagging: %v",
			m.laggingDaemons(later, state))
	}
}

// Grants to a daemon are lost for so long that the leader merges the outstanding ones. The leader still waits until the
// lease that the daemon accepted last has expired.
func TestActivationWaitsForAcceptedGrantAfterMerge(t *testing.T) {
	state, now := stateWithPendingVersion(t), 100*time.Second
	m := NewLeaseManager(now-time.Minute, testLeaseConfig)
	const lastSeq = maxOutstandingGrants + 8
	for seq := range uint64(lastSeq) {
		m.Grant(now, LeaseRequest{Daemon: "d", Seq: seq + 1, ReadyVersion: 2, InstalledVersion: 1}, withoutPendingVersion(state))
	}
	// The grant that answers this request and would shorten the daemon's lease is lost: no later request reports the grant
	// as accepted.
	m.Grant(now, LeaseRequest{Daemon: "d", Seq: lastSeq + 1, ReadyVersion: 2, InstalledVersion: 1, AcceptedSeq: lastSeq}, state)
	if m.VersionToActivate(now+time.Second, state) != 0 {
		t.Error("the leader activates the version though the daemon may hold the long lease that it accepted")
	}
	if m.VersionToActivate(now+testLeaseConfig.expiryWait(testLeaseConfig.Duration), state) != 2 {
		t.Error("the leader does not activate the version though the daemon's leases have expired")
	}
}

// A daemon that can't act on a version reports why, and delays the version's activation. A later version takes the
// place of the rejected one. A version that operators force to be activated is activated without the daemon.
func TestVersionThatDaemonRejectsWaitsUnlessForced(t *testing.T) {
	state, now := stateWithPendingVersion(t), testLeaseConfig.Duration*10
	m := NewLeaseManager(0, testLeaseConfig)
	errNoSuchField := errors.New("no such field")
	accepting, rejecting := NewLeaseHolder("d", testLeaseConfig, 0, nil), NewLeaseHolder("old", testLeaseConfig, 0, nil)
	requestLeases := func(rounds int) {
		for range rounds {
			m.Refresh(now, state)
			for _, h := range []*LeaseHolder{accepting, rejecting} {
				r, _ := h.NextRequest(now)
				h.HandleGrant(now, m.Grant(now, r, state))
				version, _ := h.PendingCheck()
				err := error(nil)
				if h == rejecting && (version == 2 || version == 3) {
					err = errNoSuchField
				}
				h.CompleteCheck(version, err)
				h.MarkInstalled(h.Leased().Version)
			}
		}
	}
	requestLeases(4)
	want := LaggingDaemon{"old", "it can't act on version 2: no such field"}
	if got := m.laggingDaemons(now, state); len(got) != 1 || got[0] != want ||
		m.VersionToActivate(now, state) != 0 || m.VersionToSkip(now, state) != 0 {
		t.Fatalf("lagging: %v, version to activate %d, to skip %d; want %v alone, 0 and 0",
			got, m.VersionToActivate(now, state), m.VersionToSkip(now, state), want)
	}
	if version, _, ok := rejecting.Valid(now); version != 1 || !ok {
		t.Errorf("the daemon that rejects the pending version acts on %d, valid %v; want 1, true", version, ok)
	}
	mustApply(t, state, putCommand("x", "3"))
	if m.VersionToSkip(now, state) != 2 {
		t.Error("the rejected version is not skipped though a later one exists")
	}
	mustApply(t, state, Command{SkipVersion: 2})
	requestLeases(2)
	mustApply(t, state, Command{ForceVersion: 3})
	requestLeases(1)
	if _, _, ok := rejecting.Valid(now); ok {
		t.Error("the daemon that rejects the forced version has a lease")
	}
	// The last grant to the rejecting daemon had a lease duration of 0. The daemon's next request tells the leader that the daemon
	// accepted this grant, and therefore has no lease anymore.
	requestLeases(1)
	if m.VersionToActivate(now, state) != 3 {
		t.Errorf("version to activate %d, want the forced version 3; lagging: %v",
			m.VersionToActivate(now, state), m.laggingDaemons(now, state))
	}
	mustApply(t, state, Command{ActivateVersion: 3})
	requestLeases(1)
	if version, _, ok := accepting.Valid(now); version != 3 || !ok {
		t.Errorf("the other daemon acts on %d, valid %v; want 3, true", version, ok)
	}
	leased := accepting.Leased()
	if !leased.CoversVersion(1, now) || leased.CoversVersion(1, now+testLeaseConfig.MaxOverlap()) ||
		!leased.CoversVersion(3, now) || leased.CoversVersion(2, now) {
		t.Errorf("leased %+v, want version 3, and version 1 until its lease expires", leased)
	}
	if _, _, ok := rejecting.Valid(now); ok {
		t.Error("the daemon that rejects the active version has a lease")
	}
	mustApply(t, state, putCommand("x", "4"))
	requestLeases(3)
	mustApply(t, state, Command{ActivateVersion: m.VersionToActivate(now, state)})
	requestLeases(3)
	if version, _, ok := rejecting.Valid(now); version != 4 || !ok {
		t.Errorf("with a version that it can act on, the daemon acts on %d, valid %v; want 4, true; lagging: %v",
			version, ok, m.laggingDaemons(now, state))
	}
	if version, lagging := accepting.OldestActiveVersion(); version != 4 || len(lagging) > 0 {
		t.Errorf("all daemons act on %d, lagging: %v; want 4, and none", version, lagging)
	}
}

// BenchmarkLeaseValid measures LeaseHolder.Valid, which must acquire no lock and take less than 50 ns. A daemon that
// rejects requests while no lease is valid makes a similar comparison for each client request (LeasedVersion.CoversVersion).
func BenchmarkLeaseValid(b *testing.B) {
	h := NewLeaseHolder("d", testLeaseConfig, 1, nil)
	h.leased.ExpiresAt = time.Hour
	for b.Loop() {
		if _, _, ok := h.Valid(time.Minute); !ok {
			b.Fatal("Valid reports no valid lease, want one")
		}
	}
}

// BenchmarkGrant measures a leader's work for each lease request while a version is pending. The measured work includes
// LeaseManager.Refresh, which a leader calls once a heartbeat and which scans all daemons.
func BenchmarkGrant(b *testing.B) {
	for _, daemonCount := range []uint64{50, 300, 1000} {
		b.Run(fmt.Sprint(daemonCount), func(b *testing.B) {
			state, m, now := stateWithPendingVersion(b), NewLeaseManager(0, testLeaseConfig), time.Minute
			const requestsPerHeartbeat = 100 // 300 daemons send 1000 lease requests a second, and a leader has ten heartbeats a second
			for i := uint64(0); b.Loop(); i++ {
				now += time.Millisecond
				if i%requestsPerHeartbeat == 0 {
					m.Refresh(now, state)
				}
				seq := i / daemonCount
				m.Grant(now, LeaseRequest{Daemon: fmt.Sprint("d", i%daemonCount), Seq: seq, ReadyVersion: 1, AcceptedSeq: seq}, state)
			}
		})
	}
}

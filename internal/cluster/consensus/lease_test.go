package consensus

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

var testLeaseConfig = LeaseConfig{Duration: 6 * time.Second, ShortDuration: 1500 * time.Millisecond, MaxClockDrift: 0.01}

// stateWithPendingVersion returns a State whose version 1 is active and whose version 2 is pending.
func stateWithPendingVersion(tb testing.TB) *State {
	tb.Helper()
	state := NewState()
	for i, c := range []Command{
		{ID: "a", Put: &DocumentPut{"x", []byte("1")}},
		{Activate: 1},
		{ID: "b", Put: &DocumentPut{"x", []byte("2")}},
	} {
		if _, err := apply(tb, state, c); err != nil {
			tb.Fatal(i, err)
		}
	}
	if state.Active != 1 || state.Pending != 2 {
		tb.Fatalf("active %d, pending %d: %+v", state.Active, state.Pending, state)
	}
	return state
}

// withoutPendingVersion returns a copy of the State in which no version is pending, so that leases are long.
func withoutPendingVersion(state *State) *State {
	quiet := *state
	quiet.Pending = quiet.Active
	return &quiet
}

// The last grant for a version arrives late, and nothing after it. If the lease counted from the grant, the daemon
// would act on the version for longer than is guaranteed.
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
		for range 3 { // the active documents, then a lease and the pending documents, then the report that it has them
			h.HandleGrant(start, request(start))
			completeCheckAndInstall(h)
		}
		late := request(start)
		if got := m.VersionToActivate(start, state); got != 2 {
			t.Fatalf("version to activate %d, want 2; lagging: %v", got, m.laggingDaemons(start, state))
		}
		h.HandleGrant(start+config.ShortDuration/5, late)
		version, _, ok := h.Valid(start + config.MaxOverlap() + 1)
		if ok != countFromGrant || version != 1 {
			t.Errorf("lease counted from the grant: %v; after the greatest overlap it is valid: %v, for version %d",
				countFromGrant, ok, version)
		}
	}
}

// The leader waits for each daemon that may hold a lease, unless it has the pending version and holds short leases
// only.
func TestActivationWaitsForOutstandingLeases(t *testing.T) {
	state, start := stateWithPendingVersion(t), 100*time.Second
	m := NewLeaseManager(start, testLeaseConfig)
	if m.VersionToActivate(start+testLeaseConfig.Duration, state) != 0 {
		t.Error("a new leader does not wait for leases of its predecessors")
	}
	now := start + time.Minute
	m.Grant(now, LeaseRequest{Daemon: "slow", Seq: 1, ReadyVersion: 1}, state)
	m.Grant(now, LeaseRequest{Daemon: "ready", Seq: 1, ReadyVersion: 2}, state)
	later := now + time.Second
	if got := m.laggingDaemons(later, state); len(got) != 1 || got[0].Daemon != "slow" || m.VersionToActivate(later, state) != 0 {
		t.Errorf("lagging: %v, want slow alone", got)
	}
	if m.VersionToActivate(now+testLeaseConfig.expiryWait(testLeaseConfig.ShortDuration), state) != 2 {
		t.Error("the leader waits for a daemon whose lease has expired")
	}
	m.Grant(now, LeaseRequest{Daemon: "long", Seq: 1, ReadyVersion: 2}, withoutPendingVersion(state))
	m.Grant(now, LeaseRequest{Daemon: "long", Seq: 2, ReadyVersion: 2}, state)
	later = now + 2*time.Second
	if m.VersionToActivate(later, state) != 0 {
		t.Error("the grant that shortened the lease may be lost, and the leader does not wait")
	}
	m.Grant(later, LeaseRequest{Daemon: "long", Seq: 3, ReadyVersion: 2, AcceptedSeq: 2}, state)
	if m.VersionToActivate(later, state) != 2 {
		t.Errorf("the daemon has accepted the short lease, and the leader waits: %v", m.laggingDaemons(later, state))
	}
}

// Grants are lost for so long that those of one daemon are merged: the leader still waits for the one that the daemon
// accepted last.
func TestActivationWaitsForAcceptedGrantBeyondBound(t *testing.T) {
	state, now := stateWithPendingVersion(t), 100*time.Second
	m := NewLeaseManager(now-time.Minute, testLeaseConfig)
	const last = maxOutstandingGrants + 8
	for seq := range uint64(last) {
		m.Grant(now, LeaseRequest{Daemon: "d", Seq: seq + 1, ReadyVersion: 2, InstalledVersion: 1}, withoutPendingVersion(state))
	}
	// The grant that answers this, and that would shorten the lease, is lost.
	m.Grant(now, LeaseRequest{Daemon: "d", Seq: last + 1, ReadyVersion: 2, InstalledVersion: 1, AcceptedSeq: last}, state)
	if m.VersionToActivate(now+time.Second, state) != 0 {
		t.Error("the leader does not wait for the long lease that the daemon accepted")
	}
	if m.VersionToActivate(now+testLeaseConfig.expiryWait(testLeaseConfig.Duration), state) != 2 {
		t.Error("the leader waits for a daemon whose lease has expired")
	}
}

// A daemon that can't act on a version reports why, and delays its activation. A version that was put since takes its
// place; a version that is forced is activated without the daemon.
func TestVersionThatDaemonRejectsWaitsUnlessForced(t *testing.T) {
	state, now := stateWithPendingVersion(t), testLeaseConfig.Duration*10
	m := NewLeaseManager(0, testLeaseConfig)
	errNoSuchField := errors.New("no such field")
	able, unable := NewLeaseHolder("d", testLeaseConfig, 0, nil), NewLeaseHolder("old", testLeaseConfig, 0, nil)
	rounds := func(n int) {
		for range n {
			m.Refresh(now, state)
			for _, h := range []*LeaseHolder{able, unable} {
				r, _ := h.NextRequest(now)
				h.HandleGrant(now, m.Grant(now, r, state))
				version, _ := h.PendingCheck()
				err := error(nil)
				if h == unable && (version == 2 || version == 3) {
					err = errNoSuchField
				}
				h.CompleteCheck(version, err)
				h.MarkInstalled(h.Leased().Version)
			}
		}
	}
	rounds(4)
	want := LaggingDaemon{"old", "it can't act on version 2: no such field"}
	if got := m.laggingDaemons(now, state); len(got) != 1 || got[0] != want ||
		m.VersionToActivate(now, state) != 0 || m.VersionToSkip(now, state) != 0 {
		t.Fatalf("lagging: %v, want %v alone", got, want)
	}
	if version, _, ok := unable.Valid(now); version != 1 || !ok {
		t.Errorf("the daemon that rejects the pending version acts on %d, valid %v", version, ok)
	}
	mustApply(t, state, putCommand("x", "3"))
	if m.VersionToSkip(now, state) != 2 {
		t.Error("the rejected version is not skipped for the one that was put since")
	}
	mustApply(t, state, Command{Skip: 2})
	rounds(2)
	mustApply(t, state, Command{Force: 3})
	rounds(1)
	if _, _, ok := unable.Valid(now); ok {
		t.Error("the daemon that rejects the forced version has a lease")
	}
	rounds(1) // it accepts the grant without a lease
	if m.VersionToActivate(now, state) != 3 {
		t.Errorf("the forced version waits for %v", m.laggingDaemons(now, state))
	}
	mustApply(t, state, Command{Activate: 3})
	rounds(1)
	if version, _, ok := able.Valid(now); version != 3 || !ok {
		t.Errorf("the other daemon acts on %d, valid %v", version, ok)
	}
	leased := able.Leased()
	if !leased.CoversVersion(1, now) || leased.CoversVersion(1, now+testLeaseConfig.MaxOverlap()) ||
		!leased.CoversVersion(3, now) || leased.CoversVersion(2, now) {
		t.Errorf("while the daemon changes over: %+v", leased)
	}
	if _, _, ok := unable.Valid(now); ok {
		t.Error("the daemon that rejects the active version has a lease")
	}
	mustApply(t, state, putCommand("x", "4"))
	rounds(3)
	mustApply(t, state, Command{Activate: m.VersionToActivate(now, state)})
	rounds(3)
	if version, _, ok := unable.Valid(now); version != 4 || !ok {
		t.Errorf("with a version that it can act on, the daemon acts on %d, valid %v; lagging: %v",
			version, ok, m.laggingDaemons(now, state))
	}
	if version, lagging := able.FullyActive(); version != 4 || len(lagging) > 0 {
		t.Errorf("all daemons act on %d, lagging: %v", version, lagging)
	}
}

// Each request of a client calls this: it takes no lock, and far less than 50 ns.
func BenchmarkLeaseValid(b *testing.B) {
	h := NewLeaseHolder("d", testLeaseConfig, 1, nil)
	h.leased.ExpiresAt = time.Hour
	for b.Loop() {
		if _, _, ok := h.Valid(time.Minute); !ok {
			b.Fatal("no lease")
		}
	}
}

// What a leader does for each request while a version is pending, with its share of the work that visits all daemons
// once a heartbeat.
func BenchmarkGrant(b *testing.B) {
	for _, daemons := range []uint64{50, 300, 1000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			state, m, now := stateWithPendingVersion(b), NewLeaseManager(0, testLeaseConfig), time.Minute
			const requestsPerHeartbeat = 100 // 300 daemons make a thousand requests a second
			for i := uint64(0); b.Loop(); i++ {
				now += time.Millisecond
				if i%requestsPerHeartbeat == 0 {
					m.Refresh(now, state)
				}
				seq := i / daemons
				m.Grant(now, LeaseRequest{Daemon: fmt.Sprint("d", i%daemons), Seq: seq, ReadyVersion: 1, AcceptedSeq: seq}, state)
			}
		})
	}
}

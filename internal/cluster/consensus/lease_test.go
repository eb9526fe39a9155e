package consensus

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testLeaseConfig = LeaseConfig{Lease: 6 * time.Second, Short: 1500 * time.Millisecond, Drift: 0.01}

// stateWithPendingVersion is a state with a version that is active and one that is to come.
func stateWithPendingVersion(t testing.TB) *State {
	t.Helper()
	st := NewState()
	for i, c := range []Command{{ID: "a", Put: &DocumentPut{"x", []byte("1")}}, {Activate: 1}, {ID: "b", Put: &DocumentPut{"x", []byte("2")}}} {
		b, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := st.Apply(b); err != nil {
			t.Fatal(i, err)
		}
	}
	if st.Active != 1 || st.Coming != 2 {
		t.Fatalf("%+v", st)
	}
	return st
}

// The last answer on the version before comes late, and then nothing: the lease counts from the request, else it would last
// beyond what is promised.
func TestLeaseCountsFromItsRequest(t *testing.T) {
	for _, fromAnswer := range []bool{false, true} {
		terms := testLeaseConfig
		terms.CountFromGrant = fromAnswer
		st, start := stateWithPendingVersion(t), 100*time.Second
		s := NewLeaseManager(start-time.Minute, terms)
		h := NewLeaseHolder("d", terms, 0, nil)
		ask := func(now time.Duration) LeaseGrant {
			r, _ := h.NextRequest(now)
			return s.Grant(now, r, st)
		}
		for range 3 { // what others act on, a lease, and what comes: it says so
			h.HandleGrant(start, ask(start))
			completeCheckAndInstall(h)
		}
		late := ask(start)
		if got := s.VersionToActivate(start, st); got != 2 {
			t.Fatalf("activated: %d, lagging %v", got, s.laggingDaemons(start, st))
		}
		h.HandleGrant(start+terms.Short/5, late)
		version, _, acts := h.Valid(start + terms.Overlap() + 1)
		if acts != fromAnswer || version != 1 {
			t.Errorf("from the answer: %v; it acts on version %d: %v", fromAnswer, version, acts)
		}
	}
}

// Whoever may hold a lease is waited for, unless it has what comes and holds short leases only.
func TestActivationWaitsForOutstandingLeases(t *testing.T) {
	st, start := stateWithPendingVersion(t), 100*time.Second
	s := NewLeaseManager(start, testLeaseConfig)
	if s.VersionToActivate(start+testLeaseConfig.Lease, st) != 0 {
		t.Error("a new leader does not wait for what its predecessors granted")
	}
	now := start + time.Minute
	s.Grant(now, LeaseRequest{Daemon: "slow", Seq: 1, ReadyVersion: 1}, st)
	s.Grant(now, LeaseRequest{Daemon: "ready", Seq: 1, ReadyVersion: 2}, st)
	if got := s.laggingDaemons(now+time.Second, st); len(got) != 1 || got[0].Daemon != "slow" || s.VersionToActivate(now+time.Second, st) != 0 {
		t.Errorf("lagging: %v", got)
	}
	if s.VersionToActivate(now+testLeaseConfig.expiryWait(testLeaseConfig.Short), st) != 2 {
		t.Error("one whose lease has run out is waited for")
	}
	quiet := *st
	quiet.Coming = quiet.Active // nothing is to come, and leases are long
	s.Grant(now, LeaseRequest{Daemon: "long", Seq: 1, ReadyVersion: 2}, &quiet)
	s.Grant(now, LeaseRequest{Daemon: "long", Seq: 2, ReadyVersion: 2}, st)
	if s.VersionToActivate(now+2*time.Second, st) != 0 {
		t.Error("the answer that made its lease short may be lost")
	}
	s.Grant(now+2*time.Second, LeaseRequest{Daemon: "long", Seq: 3, ReadyVersion: 2, AcceptedSeq: 2}, st)
	if s.VersionToActivate(now+2*time.Second, st) != 2 {
		t.Errorf("it said that it took it: %v", s.laggingDaemons(now+2*time.Second, st))
	}
}

// Whatever commands come, in whatever order and however often: versions only grow, a repeat is done once, who expects another
// version changes nothing, and two states that applied the same are the same.
func TestCommandsAreDeterministicAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewState(), NewState()
		made := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := Command{ID: fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id"))}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				c = Command{Activate: uint64(rapid.IntRange(1, 20).Draw(t, "version"))}
			case 1:
				c.Remove = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")
			case 2:
				expect := uint64(rapid.IntRange(0, 20).Draw(t, "expect"))
				c.Expect = &expect
				fallthrough
			default:
				c.Put = &DocumentPut{rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name"), []byte(c.ID)}
			}
			entry, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			was := *a
			answer, err := a.Apply(entry)
			again, _ := b.Apply(entry)
			version := answer.Version
			if version != again.Version || a.Version != b.Version || a.Active != b.Active || a.Coming != b.Coming || DigestOf(a.Docs) != DigestOf(b.Docs) || DigestOf(a.ActiveDocs) != DigestOf(b.ActiveDocs) {
				t.Fatalf("%s: two states differ", entry)
			}
			if a.Version < was.Version || a.Active < was.Active || a.Active > a.Coming || a.Coming > a.Version || err != nil && a.Version != was.Version {
				t.Fatalf("%s: %d, %d, %d after %d, %d, %d", entry, a.Version, a.Coming, a.Active, was.Version, was.Coming, was.Active)
			}
			if c.Activate == 0 && err == nil {
				if before, ok := made[c.ID]; ok && before != version {
					t.Fatalf("%s: made version %d, and %d before", entry, version, before)
				}
				made[c.ID] = version
			}
		}
	})
}

// What is asked on each request: no lock, and far under 50 ns.
func BenchmarkLeaseValid(b *testing.B) {
	h := NewLeaseHolder("d", testLeaseConfig, 1, nil)
	h.leased.Until = time.Hour
	for b.Loop() {
		if _, _, ok := h.Valid(time.Minute); !ok {
			b.Fatal("no lease")
		}
	}
}

// Answers get lost for so long that grants are taken for one another: the one that the daemon says it took at last is still
// waited for.
func TestActivationWaitsForAcceptedGrantBeyondBound(t *testing.T) {
	st, now := stateWithPendingVersion(t), 100*time.Second
	s := NewLeaseManager(now-time.Minute, testLeaseConfig)
	quiet := *st
	quiet.Coming = quiet.Active // nothing is to come, and leases are long
	const last = maxOutstandingGrants + 8
	for seq := range uint64(last) {
		s.Grant(now, LeaseRequest{Daemon: "d", Seq: seq + 1, ReadyVersion: 2, InstalledVersion: 1}, &quiet)
	}
	s.Grant(now, LeaseRequest{Daemon: "d", Seq: last + 1, ReadyVersion: 2, InstalledVersion: 1, AcceptedSeq: last}, st) // its answer, which would make the lease short, is lost
	if s.VersionToActivate(now+time.Second, st) != 0 {
		t.Error("the long lease that it took is not waited for")
	}
	if s.VersionToActivate(now+testLeaseConfig.expiryWait(testLeaseConfig.Lease), st) != 2 {
		t.Error("it is waited for though its lease has run out")
	}
}

// What a leader does for each request while a version comes, with its part of what goes through all daemons once a beat.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []uint64{50, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			st, s, now := stateWithPendingVersion(b), NewLeaseManager(0, testLeaseConfig), time.Minute
			const beat = 100 // requests: 300 daemons ask a thousand times a second
			for i := uint64(0); b.Loop(); i++ {
				now += time.Millisecond
				if i%beat == 0 {
					s.Refresh(now, st)
				}
				s.Grant(now, LeaseRequest{Daemon: fmt.Sprint("d", i%n), Seq: i / n, ReadyVersion: 1, AcceptedSeq: i / n}, st)
			}
		})
	}
}

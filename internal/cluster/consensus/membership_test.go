package consensus

import (
	"errors"
	"testing"
	"time"
)

// newSingleVoter is a voter that is the only one, and leads.
func newSingleVoter(t *testing.T) (v *Voter, now time.Duration) {
	t.Helper()
	d, err := NewRecoveredState([]string{"v"})
	if err != nil {
		t.Fatal(err)
	}
	if v, err = NewVoter(0, Config{ID: 1, Beat: 10 * time.Millisecond, Seed: 1, Lease: testLeaseConfig}, d); err != nil {
		t.Fatal(err)
	}
	for now = 0; v.leaseManager == nil && now < time.Minute; now += 10 * time.Millisecond {
		v.Tick(now)
		for v.Output(now) != nil {
		}
	}
	if !v.IsLeader() || v.IsLearner() {
		t.Fatal("it does not lead")
	}
	return v, now
}

// requestGrant is the answer to a request.
func requestGrant(t *testing.T, v *Voter, now time.Duration, r LeaseRequest) LeaseGrant {
	t.Helper()
	v.Grants = nil
	if err := v.RequestLease(r); err != nil {
		t.Fatal(err)
	}
	for v.Output(now) != nil {
	}
	if len(v.Grants) != 1 {
		t.Fatalf("%d answers", len(v.Grants))
	}
	return v.Grants[0].Grant
}

// A seat is taken with the disk whose mark the log has, and with no other; raft hears of nobody before.
func TestVoterSlotIsClaimedByOneDisk(t *testing.T) {
	v, now := newSingleVoter(t)
	seat := func(c VoterChange) error {
		v.Results = nil
		if err := v.Propose(&Command{ID: "s", Seat: &c}); err != nil {
			t.Fatal(err)
		}
		for v.Output(now) != nil {
		}
		return v.Results[0].Err
	}
	ask := func(mark string) LeaseGrant {
		return requestGrant(t, v, now, LeaseRequest{Daemon: "x", Seq: 1, Mark: mark})
	}
	if g := ask("m1"); g.Seat != 0 || g.MayStartVoter || g.DiskLost {
		t.Errorf("who has no seat: %+v", g)
	}
	if err := errors.Join(seat(VoterChange{Name: "x"}), seat(VoterChange{Name: "x"})); err != nil {
		t.Fatal(err)
	}
	v.reconcileVoters()
	for v.Output(now) != nil {
	}
	if len(v.confState.GetLearners()) > 0 {
		t.Error("raft hears of one whose disk nobody knows")
	}
	if g := ask(""); g.Seat != 2 || g.MayStartVoter || g.DiskLost {
		t.Errorf("who has no disk: %+v", g)
	}
	if g := ask("m1"); g.MayStartVoter {
		t.Errorf("before the log has its mark: %+v", g)
	}
	if g := ask("m1"); !g.MayStartVoter || g.Seat != 2 || len(g.First) != 1 {
		t.Errorf("%+v", g)
	}
	if g := ask("m2"); g.MayStartVoter || !g.DiskLost {
		t.Errorf("another disk: %+v", g)
	}
	v.reconcileVoters()
	for v.Output(now) != nil {
	}
	if len(v.confState.GetLearners()) != 1 || v.confState.GetLearners()[0] != 2 || v.State().changeInProgress() == "" {
		t.Errorf("%v", v.confState)
	}
	if err := seat(VoterChange{Name: "y"}); !errors.Is(err, ErrMembershipUnchanged) {
		t.Errorf("a second change: %v", err)
	}
	if err := seat(VoterChange{Name: "x", Out: true}); err != nil {
		t.Errorf("who never voted is taken back: %v", err)
	}
	if err := seat(VoterChange{Name: "v", Out: true}); !errors.Is(err, ErrMembershipUnchanged) {
		t.Errorf("the last one: %v", err)
	}
	if err := seat(VoterChange{Name: "x"}); err != nil {
		t.Fatal(err)
	}
	if g := ask("m2"); g.Seat != 3 || g.MayStartVoter || g.DiskLost {
		t.Errorf("another seat, of which nobody knows the disk yet: %+v", g)
	}
}

// However long the commands are, the log that is held is bounded, by their number and by their bytes.
func TestRetainedLogIsBounded(t *testing.T) {
	for _, size := range []int{10, MaxDocumentBytes / 4} {
		v, now := newSingleVoter(t)
		body := make([]byte, size)
		most, snaps, puts := 0, 0, min(2*snapshotEntries+1, 14<<20/size)
		for range puts {
			if err := v.Propose(&Command{Put: &DocumentPut{"a", body}}); err != nil {
				t.Fatal(err)
			}
			for out := v.Output(now); out != nil; out = v.Output(now) {
				if out.Snapshot != nil {
					snaps++
				}
			}
			first, _ := v.storage.FirstIndex()
			last, _ := v.storage.LastIndex()
			entries, err := v.storage.Entries(first, last+1, 1<<62)
			if err != nil {
				t.Fatal(err)
			}
			held := 0
			for _, e := range entries {
				held += len(e.GetData())
			}
			most = max(most, held)
			if len(entries) > 2*snapshotEntries {
				t.Fatalf("%d entries are held", len(entries))
			}
		}
		if most > snapshotLogBytes+retainedLogBytes+2*MaxDocumentBytes || snaps == 0 {
			t.Errorf("commands of %d bytes: up to %d bytes are held, %d snapshots", size, most, snaps)
		}
		t.Logf("commands of %d bytes: up to %d bytes are held, %d snapshots of %d puts", size, most, snaps, puts)
	}
}

package consensus

import (
	"errors"
	"testing"
	"time"
)

// newSingleVoter returns a voter that is the only one of its fleet, and leads.
func newSingleVoter(t *testing.T) (v *Voter, now time.Duration) {
	t.Helper()
	d, err := NewRecoveredState([]string{"v"})
	if err != nil {
		t.Fatal(err)
	}
	const heartbeat = 10 * time.Millisecond
	if v, err = NewVoter(0, Config{ID: 1, HeartbeatInterval: heartbeat, Seed: 1, Lease: testLeaseConfig}, d); err != nil {
		t.Fatal(err)
	}
	for now = 0; v.leaseManager == nil && now < time.Minute; now += heartbeat {
		v.Tick(now)
		drainOutput(v, now)
	}
	if !v.IsLeader() || v.IsLearner() {
		t.Fatalf("the only voter: leader %v, learner %v", v.IsLeader(), v.IsLearner())
	}
	return v, now
}

// drainOutput takes a voter's output, as if it were carried out, and returns how many snapshots were in it.
func drainOutput(v *Voter, now time.Duration) (snapshots int) {
	for out := v.Output(now); out != nil; out = v.Output(now) {
		if out.Snapshot != nil {
			snapshots++
		}
	}
	return snapshots
}

// requestGrant returns the grant that answers a request.
func requestGrant(t *testing.T, v *Voter, now time.Duration, r LeaseRequest) LeaseGrant {
	t.Helper()
	v.Grants = nil
	if err := v.RequestLease(r); err != nil {
		t.Fatal(err)
	}
	drainOutput(v, now)
	if len(v.Grants) != 1 {
		t.Fatalf("%d grants, want 1", len(v.Grants))
	}
	return v.Grants[0].Grant
}

// A voter slot can be used with the disk whose id is in the log, and with no other. Before that, raft does not learn of
// the new voter.
func TestVoterSlotIsClaimedByOneDisk(t *testing.T) {
	v, now := newSingleVoter(t)
	change := func(c VoterChange) error {
		t.Helper()
		v.Results = nil
		if err := v.Propose(&Command{ID: "s", ChangeVoter: &c}); err != nil {
			t.Fatal(err)
		}
		drainOutput(v, now)
		return v.Results[0].Err
	}
	request := func(diskID string) LeaseGrant {
		t.Helper()
		return requestGrant(t, v, now, LeaseRequest{Daemon: "x", Seq: 1, DiskID: diskID})
	}
	if g := request("m1"); g.VoterID != 0 || g.MayStartVoter || g.DiskLost {
		t.Errorf("daemon without a slot: %+v", g)
	}
	if err := errors.Join(change(VoterChange{Name: "x"}), change(VoterChange{Name: "x"})); err != nil {
		t.Fatal(err)
	}
	v.reconcileVoters()
	drainOutput(v, now)
	if len(v.confState.GetLearners()) > 0 {
		t.Error("raft has a learner whose disk is not known")
	}
	if g := request(""); g.VoterID != 2 || g.MayStartVoter || g.DiskLost {
		t.Errorf("daemon without a disk: %+v", g)
	}
	if g := request("m1"); g.MayStartVoter {
		t.Errorf("before the disk's id is in the log: %+v", g)
	}
	if g := request("m1"); !g.MayStartVoter || g.VoterID != 2 || len(g.InitialVoters) != 1 {
		t.Errorf("with the disk's id in the log: %+v", g)
	}
	if g := request("m2"); g.MayStartVoter || !g.DiskLost {
		t.Errorf("another disk: %+v", g)
	}
	v.reconcileVoters()
	drainOutput(v, now)
	if len(v.confState.GetLearners()) != 1 || v.confState.GetLearners()[0] != 2 || v.State().changeInProgress() == "" {
		t.Errorf("with a new voter: configuration %v, change in progress %q", v.confState, v.State().changeInProgress())
	}
	if err := change(VoterChange{Name: "y"}); !errors.Is(err, ErrVoterChangeRejected) {
		t.Errorf("second change: error %v, want %v", err, ErrVoterChangeRejected)
	}
	if err := change(VoterChange{Name: "x", Remove: true}); err != nil {
		t.Errorf("removal of a voter that never voted: %v", err)
	}
	if err := change(VoterChange{Name: "v", Remove: true}); !errors.Is(err, ErrVoterChangeRejected) {
		t.Errorf("removal of the last voter: error %v, want %v", err, ErrVoterChangeRejected)
	}
	if err := change(VoterChange{Name: "x"}); err != nil {
		t.Fatal(err)
	}
	if g := request("m2"); g.VoterID != 3 || g.MayStartVoter || g.DiskLost {
		t.Errorf("another slot, whose disk is not known yet: %+v", g)
	}
}

// A learner votes only when its voter has been seen to run: one that has not started yet counts as active in raft from when it is
// added, and would be taken for one whose disk is lost.
func TestLearnerThatNeverRespondedIsNotPromoted(t *testing.T) {
	v, now := newSingleVoter(t)
	for _, c := range []Command{{ID: "s", ChangeVoter: &VoterChange{Name: "x"}}, {ClaimSlot: &SlotClaim{VoterID: 2, DiskID: "m"}}} {
		if err := v.Propose(&c); err != nil {
			t.Fatal(err)
		}
		drainOutput(v, now)
	}
	for range 2 {
		v.reconcileVoters()
		drainOutput(v, now)
	}
	if learners := v.confState.GetLearners(); len(learners) != 1 || v.State().ActiveVoters[2] {
		t.Errorf("learners %v, active voters %v", learners, v.State().ActiveVoters)
	}
	if g := requestGrant(t, v, now, LeaseRequest{Daemon: "x", Seq: 1, DiskID: "m"}); !g.MayStartVoter || g.DiskLost {
		t.Errorf("its disk: %+v", g)
	}
}

// Both the number and the size of the commands that the log in memory retains are bounded.
func TestRetainedLogIsBounded(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
	}{
		{"short commands", 10},
		{"long commands", MaxDocumentBytes / 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, now := newSingleVoter(t)
			body := make([]byte, c.size)
			maxHeld, snapshots, puts := 0, 0, min(2*snapshotEntries+1, 14<<20/c.size)
			for range puts {
				if err := v.Propose(&Command{Put: &DocumentPut{"a", body}}); err != nil {
					t.Fatal(err)
				}
				snapshots += drainOutput(v, now)
				first, _ := v.storage.FirstIndex()
				last, _ := v.storage.LastIndex()
				entries, err := v.storage.Entries(first, last+1, 1<<62)
				if err != nil {
					t.Fatal(err)
				}
				held := 0
				for _, entry := range entries {
					held += len(entry.GetData())
				}
				maxHeld = max(maxHeld, held)
				if len(entries) > 2*snapshotEntries {
					t.Fatalf("%d entries are held, want at most %d", len(entries), 2*snapshotEntries)
				}
			}
			if maxHeld > snapshotLogBytes+retainedLogBytes+2*MaxDocumentBytes || snapshots == 0 {
				t.Errorf("up to %d bytes are held, with %d snapshots", maxHeld, snapshots)
			}
			t.Logf("up to %d bytes are held, with %d snapshots of %d puts", maxHeld, snapshots, puts)
		})
	}
}

package consensus

import (
	"errors"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// newSingleVoter returns the leading voter of a cluster that has no other voter, and the present instant.
func newSingleVoter(t *testing.T) (v *Voter, now time.Duration) {
	t.Helper()
	d, err := NewRecoveredState([]string{"v"})
	if err != nil {
		t.Fatal(err)
	}
	const heartbeatInterval = 10 * time.Millisecond
	if v, err = NewVoter(0, Config{ID: 1, HeartbeatInterval: heartbeatInterval, Seed: 1, Lease: testLeaseConfig}, d); err != nil {
		t.Fatal(err)
	}
	for now = 0; v.leaseManager == nil && now < time.Minute; now += heartbeatInterval {
		v.Tick(now)
		drainOutput(v, now)
	}
	if !v.IsLeader() || v.IsLearner() {
		t.Fatalf("the only voter: leader %v, learner %v; want true, false", v.IsLeader(), v.IsLearner())
	}
	return v, now
}

// drainOutput calls Output until it returns nil, does none of the returned work, and returns the number of snapshots in
// the output.
func drainOutput(v *Voter, now time.Duration) (snapshotCount int) {
	for out := v.Output(now); out != nil; out = v.Output(now) {
		if out.Snapshot != nil {
			snapshotCount++
		}
	}
	return snapshotCount
}

// requestGrant returns the grant with which the voter answers a request.
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

// A daemon may start its voter only with the disk whose id the log has for the voter slot. Before the log has an id,
// raft's configuration does not name the new voter.
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
		t.Errorf("a daemon without a slot is granted %+v, want no voter", g)
	}
	if err := errors.Join(change(VoterChange{Name: "x"}), change(VoterChange{Name: "x"})); err != nil {
		t.Fatal(err)
	}
	v.reconcileVoters()
	drainOutput(v, now)
	if len(v.confState.GetLearners()) > 0 {
		t.Errorf("raft's configuration has learners %v, want none before a disk id is known", v.confState.GetLearners())
	}
	if g := request(""); g.VoterID != 2 || g.MayStartVoter || g.DiskLost {
		t.Errorf("a daemon without a disk is granted %+v, want slot 2 and no start", g)
	}
	if g := request("m1"); g.MayStartVoter {
		t.Errorf("before the log has the disk id, the daemon is granted %+v, want no start", g)
	}
	if g := request("m1"); !g.MayStartVoter || g.VoterID != 2 || len(g.InitialVoters) != 1 {
		t.Errorf("with the disk id in the log, the daemon is granted %+v, want the start of voter 2", g)
	}
	if g := request("m2"); g.MayStartVoter || !g.DiskLost {
		t.Errorf("a daemon with another disk is granted %+v, want a lost disk", g)
	}
	v.reconcileVoters()
	drainOutput(v, now)
	if len(v.confState.GetLearners()) != 1 || v.confState.GetLearners()[0] != 2 || v.State().voterChangeInProgress() == "" {
		t.Errorf("with a new voter, the configuration is %v and the change in progress %q; want the learner 2, and a change",
			v.confState, v.State().voterChangeInProgress())
	}
	if err := change(VoterChange{Name: "y"}); !errors.Is(err, ErrVoterChangeRejected) {
		t.Errorf("change while another is in progress: error %v, want %v", err, ErrVoterChangeRejected)
	}
	if err := change(VoterChange{Name: "x", IsRemoval: true}); err != nil {
		t.Errorf("removal of a voter that is not active: error %v, want none", err)
	}
	if err := change(VoterChange{Name: "v", IsRemoval: true}); !errors.Is(err, ErrVoterChangeRejected) {
		t.Errorf("removal of the last voter: error %v, want %v", err, ErrVoterChangeRejected)
	}
	if err := change(VoterChange{Name: "x"}); err != nil {
		t.Fatal(err)
	}
	if g := request("m2"); g.VoterID != 3 || g.MayStartVoter || g.DiskLost {
		t.Errorf("a daemon with a new slot, whose disk is not known yet, is granted %+v, want slot 3 and no start", g)
	}
}

// A learner is promoted only after its voter has responded, since raft counts a learner as active as soon as it is
// added. If a voter that never started were promoted, its daemon would still report that it runs no voter, and the
// leader would answer that the disk of the voter is lost (LeaseGrant.DiskLost).
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
		t.Errorf("learners %v, active voters %v; want one learner, and voter 2 not active", learners, v.State().ActiveVoters)
	}
	if g := requestGrant(t, v, now, LeaseRequest{Daemon: "x", Seq: 1, DiskID: "m"}); !g.MayStartVoter || g.DiskLost {
		t.Errorf("the daemon of the learner is granted %+v, want the start of its voter", g)
	}
}

// However many commands a voter applies, its log in memory stays below a fixed number of entries and of bytes.
func TestRetainedLogIsBounded(t *testing.T) {
	for _, c := range []struct {
		name      string
		bodyBytes int
	}{
		{"short commands", 10},
		{"long commands", MaxDocumentBytes / 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, now := newSingleVoter(t)
			body := make([]byte, c.bodyBytes)
			longestLogBytes, snapshotCount, putCount := 0, 0, min(2*snapshotEntryThreshold+1, 14<<20/c.bodyBytes)
			for range putCount {
				if err := v.Propose(&Command{Put: &DocumentPut{"a", body}}); err != nil {
					t.Fatal(err)
				}
				snapshotCount += drainOutput(v, now)
				first, _ := v.storage.FirstIndex()
				last, _ := v.storage.LastIndex()
				entries, err := v.storage.Entries(first, last+1, 1<<62)
				if err != nil {
					t.Fatal(err)
				}
				logBytes := 0
				for _, entry := range entries {
					logBytes += len(entry.GetData())
				}
				longestLogBytes = max(longestLogBytes, logBytes)
				if len(entries) > 2*snapshotEntryThreshold {
					t.Fatalf("%d entries are in the log in memory, want at most %d", len(entries), 2*snapshotEntryThreshold)
				}
			}
			if longestLogBytes > snapshotByteThreshold+maxRetainedLogBytes+2*MaxDocumentBytes || snapshotCount == 0 {
				t.Errorf("up to %d bytes are in the log in memory, with %d snapshots; want at most %d bytes, and at least one snapshot",
					longestLogBytes, snapshotCount, snapshotByteThreshold+maxRetainedLogBytes+2*MaxDocumentBytes)
			}
			t.Logf("up to %d bytes are in the log in memory, with %d snapshots and %d puts", longestLogBytes, snapshotCount, putCount)
		})
	}
}

// A snapshot whose State can't be decoded, as that of a much later build, must not end the daemon's process: the voter stops, and
// nothing of the snapshot is used.
func TestSnapshotThatCannotBeDecodedStopsTheVoter(t *testing.T) {
	state, err := NewRecoveredState([]string{"a", "b", "c"})
	if err != nil {
		t.Fatal(err)
	}
	v, err := NewVoter(0, Config{ID: 1, HeartbeatInterval: time.Second, Seed: 1, Lease: testLeaseConfig}, state)
	if err != nil {
		t.Fatal(err)
	}
	drainOutput(v, 0)
	kind, to, from, term, index := raftpb.MessageType_MsgSnap, uint64(1), uint64(2), uint64(3), uint64(50)
	v.Receive(0, &raftpb.Message{Type: &kind, To: &to, From: &from, Term: &term, Snapshot: &raftpb.Snapshot{
		Data:     []byte("not a state"),
		Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3}}},
	}})
	if out := v.Output(0); out != nil || !errors.Is(v.StopReason, ErrUnusableSnapshot) {
		t.Errorf("output %+v, stop reason %v; want none, %v", out, v.StopReason, ErrUnusableSnapshot)
	}
	if v.State().VoterName(1) != "a" {
		t.Errorf("the State was replaced: voter 1 is %q, want a", v.State().VoterName(1))
	}
}

// A grant may be delayed, so that it arrives after the daemon was added to the voters and has started its voter. It must not stop that
// voter: its daemon would not start it again, and operators would empty its disk, which the majority counts on.
func TestDelayedGrantDoesNotChangeTheVoter(t *testing.T) {
	h := NewLeaseHolder("d", testLeaseConfig, 0, nil)
	first, _ := h.NextRequest(0)
	second, _ := h.NextRequest(time.Second)
	for _, c := range []struct {
		name    string
		grant   LeaseGrant
		voterID uint64 // raft id of the voter that the daemon runs
		want    VoterAction
	}{
		{"removed from the voters", LeaseGrant{Seq: second.Seq}, 5, StopVoter},
		{"delayed, from before it was added", LeaseGrant{Seq: first.Seq}, 5, KeepVoterRole},
		{"added to the voters", LeaseGrant{Seq: second.Seq, VoterID: 5, MayStartVoter: true}, 0, StartVoter},
		{"delayed, from before it was removed", LeaseGrant{Seq: first.Seq, VoterID: 5, MayStartVoter: true}, 0, KeepVoterRole},
	} {
		if got := h.VoterAction(&c.grant, c.voterID); got != c.want {
			t.Errorf("%s: action %v, want %v", c.name, got, c.want)
		}
	}
}

package consensus

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// initialVoterNames names the three daemons that make up each bootstrapCluster.
var initialVoterNames = []string{"a", "b", "c"}

// bootstrapDisk is the disk of an initial voter: its id, and the vote that the voter has stored on it.
type bootstrapDisk struct {
	id   string        // id of the disk, which no other disk has
	vote BootstrapVote // vote of the voter once it has created its log; until then the zero value
}

// bootstrapCluster is a cluster whose initial voters restart, lose disks and exchange votes in any order.
type bootstrapCluster struct {
	disks             map[string]*bootstrapDisk // disk that each voter has now, by the voter's name
	bootstraps        map[string]*Bootstrap     // bootstrap of each running voter, by the voter's name
	lostAfterMajority map[string]bool           // names of voters that lost their disk after a majority had created logs
	diskIDCount       int                       // number of disk ids drawn so far
}

func newBootstrapCluster() *bootstrapCluster {
	r := &bootstrapCluster{disks: map[string]*bootstrapDisk{}, bootstraps: map[string]*Bootstrap{}, lostAfterMajority: map[string]bool{}}
	for _, name := range initialVoterNames {
		r.replaceDisk(name)
	}
	return r
}

// replaceDisk restarts a voter with an empty disk, which has a new id.
func (r *bootstrapCluster) replaceDisk(name string) {
	r.diskIDCount++
	r.disks[name] = &bootstrapDisk{id: fmt.Sprint("m", r.diskIDCount)}
	r.restart(name)
}

// restart restarts a voter, which keeps its disk.
func (r *bootstrapCluster) restart(name string) {
	r.bootstraps[name] = NewBootstrap(name, r.disks[name].id, initialVoterNames)
}

// voteOf returns the vote that a voter sends when another voter requests it.
func (r *bootstrapCluster) voteOf(name string) BootstrapVote {
	vote := r.disks[name].vote
	if vote.DiskID = r.disks[name].id; !vote.HasBegun {
		vote = r.bootstraps[name].Vote()
	}
	return vote
}

// hasMajority reports whether a majority of the voters has created logs and reports the same BootstrapVote.DiskIDs.
func (r *bootstrapCluster) hasMajority() bool {
	voterCounts := map[string]int{}
	for _, disk := range r.disks {
		if disk.vote.HasBegun {
			diskIDsText := fmt.Sprint(disk.vote.DiskIDs)
			if voterCounts[diskIDsText]++; voterCounts[diskIDsText] > len(initialVoterNames)/2 {
				return true
			}
		}
	}
	return false
}

// Votes arrive and disks are lost in random order. Once a majority has created logs and reports the same disk ids of the
// initial voters, a voter that loses its disk must not create a log again. A simulation ends when a majority has lost its
// disks: the remaining voters can't know any more which of the others had created a log.
func TestBootstrapCreatesNoLogAfterDiskLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, hadMajority := newBootstrapCluster(), false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(initialVoterNames).Draw(t, "voter")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				if hadMajority {
					r.lostAfterMajority[name] = true
				}
				if len(r.lostAfterMajority) > len(initialVoterNames)/2 {
					return
				}
				r.replaceDisk(name)
				for _, b := range r.bootstraps { // a new round for each voter, since Bootstrap assumes that no disk is replaced within a round
					b.StartRound(nil, 0)
				}
				continue
			case 1:
				r.restart(name)
			}
			other := rapid.SampledFrom(initialVoterNames).Draw(t, "other voter")
			disk := r.disks[name]
			if disk.vote.HasBegun || other == name {
				continue
			}
			r.bootstraps[name].ReceiveVote(other, r.bootstraps[name].round, r.voteOf(other))
			diskIDs, isDiskLost := r.bootstraps[name].Decide(true)
			if diskIDs == nil || isDiskLost {
				continue
			}
			if r.lostAfterMajority[name] {
				t.Fatalf("%s may create a log with disk ids %v, though it lost its disk after a majority had created logs", name, diskIDs)
			}
			if diskIDs[name] != disk.id || len(diskIDs) != len(initialVoterNames) {
				t.Fatalf("%s may create a log with disk ids %v, want %d ids, among them its own, %s",
					name, diskIDs, len(initialVoterNames), disk.id)
			}
			disk.vote = BootstrapVote{HasBegun: true, DiskID: disk.id, DiskIDs: diskIDs}
			hadMajority = hadMajority || r.hasMajority()
		}
	})
}

func TestBootstrapIgnoresOtherDaemonsAndDetectsLostDisk(t *testing.T) {
	b := NewBootstrap("a", "1", initialVoterNames)
	b.ReceiveVote("b", 0, BootstrapVote{DiskID: "2"})
	b.ReceiveVote("x", 0, BootstrapVote{HasBegun: true}) // must be dropped: x is not an initial voter
	if diskIDs, isDiskLost := b.Decide(true); diskIDs != nil || isDiskLost || fmt.Sprint(b.MissingVotes()) != "[c]" {
		t.Errorf("without the vote of c: disk ids %v, lost %v, missing votes %v; want none, false, [c]",
			diskIDs, isDiskLost, b.MissingVotes())
	}
	b.ReceiveVote("c", 0, BootstrapVote{HasBegun: true, DiskIDs: map[string]string{"a": "0"}})
	if _, isDiskLost := b.Decide(true); !isDiskLost {
		t.Error("c created its log when a had another disk, but Decide does not report that disk as lost")
	}
}

// An initial voter may have been replaced by daemons that are no initial voters. It must ask them before it creates a log.
func TestBootstrapAsksOtherDaemonsForTheCluster(t *testing.T) {
	const ownDisk = "1"
	for name, c := range map[string]struct {
		members        []string      // daemons that the voter knows, apart from the initial voters
		unreachedCount int           // daemons that it could not contact yet
		reports        []string      // members whose report arrives
		clusterExists  bool          // what these members report
		voteOfB        BootstrapVote // vote of the other initial voter
		isTimedOut     bool          // the voter no longer waits for reports
		mayCreateLog   bool          // want
		isDiskLost     bool          // want, in the round after the reports
	}{
		"alone":                              {mayCreateLog: true},
		"a member has not reported":          {members: []string{"d"}},
		"a member never reports":             {members: []string{"d"}, isTimedOut: true, mayCreateLog: true},
		"a daemon is not reached":            {unreachedCount: 1},
		"a daemon is never reached":          {unreachedCount: 1, isTimedOut: true, mayCreateLog: true},
		"all report that there is none":      {members: []string{"d", "e"}, reports: []string{"d", "e"}, mayCreateLog: true},
		"one reports that it exists":         {members: []string{"d", "e"}, reports: []string{"d"}, clusterExists: true, isDiskLost: true},
		"it exists, after the time":          {members: []string{"d"}, reports: []string{"d"}, clusterExists: true, isTimedOut: true, isDiskLost: true},
		"it began with this disk":            {members: []string{"d"}, voteOfB: BootstrapVote{HasBegun: true, DiskIDs: map[string]string{"a": ownDisk}}, mayCreateLog: true},
		"it exists, and began with the disk": {members: []string{"d"}, reports: []string{"d"}, clusterExists: true, voteOfB: BootstrapVote{HasBegun: true, DiskIDs: map[string]string{"a": ownDisk}}, mayCreateLog: true},
	} {
		t.Run(name, func(t *testing.T) {
			if !c.voteOfB.HasBegun {
				c.voteOfB.DiskID = "2"
			}
			b := NewBootstrap("a", ownDisk, []string{"a", "b"})
			for range 2 {
				round := b.StartRound(c.members, c.unreachedCount)
				b.ReceiveVote("b", round, c.voteOfB)
				for _, member := range c.reports {
					b.ReceiveReport(member, round, ClusterReport{Exists: c.clusterExists})
				}
				if diskIDs, isDiskLost := b.Decide(!c.isTimedOut); (diskIDs != nil) != c.mayCreateLog || isDiskLost && round == 1 {
					t.Errorf("round %d: disk ids %v, lost %v, want that it may create its log: %v", round, diskIDs, isDiskLost, c.mayCreateLog)
				}
			}
			if _, isDiskLost := b.Decide(!c.isTimedOut); isDiskLost != c.isDiskLost {
				t.Errorf("the disk is lost: %v, want %v", isDiskLost, c.isDiskLost)
			}
		})
	}
}

// A report of an earlier round says only then something about now if it says that the cluster exists.
func TestBootstrapKeepsOnlyReportsThatClusterExists(t *testing.T) {
	b := NewBootstrap("a", "1", []string{"a"})
	first := b.StartRound([]string{"d"}, 0)
	b.StartRound([]string{"d"}, 0)
	b.ReceiveReport("d", first, ClusterReport{})
	if diskIDs, _ := b.Decide(true); diskIDs != nil {
		t.Errorf("disk ids %v after a report of an earlier round, want none", diskIDs)
	}
	b.ReceiveReport("d", first, ClusterReport{Exists: true})
	b.StartRound(nil, 0)
	if diskIDs, isDiskLost := b.Decide(true); diskIDs != nil || !isDiskLost {
		t.Errorf("disk ids %v, lost %v after a report that the cluster exists, want none, true", diskIDs, isDiskLost)
	}
}

package consensus

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// bootstrapNames are the names of the initial voters in these tests.
var bootstrapNames = []string{"a", "b", "c"}

// bootstrapDisk is the disk of an initial voter.
type bootstrapDisk struct {
	id   string        // disk id
	vote BootstrapVote // vote of the voter once it has begun; before that the zero value
}

// bootstrapRun is a cluster whose initial voters restart, lose disks and exchange votes in any order.
type bootstrapRun struct {
	disks        map[string]*bootstrapDisk // present disks, by the voter's name
	bootstrap    map[string]*Bootstrap     // running bootstraps, by the voter's name
	lost         map[string]bool           // names of voters that lost their disk after a majority had begun
	drawnDiskIDs int                       // number of disk ids drawn so far
}

func newBootstrapRun() *bootstrapRun {
	r := &bootstrapRun{disks: map[string]*bootstrapDisk{}, bootstrap: map[string]*Bootstrap{}, lost: map[string]bool{}}
	for _, name := range bootstrapNames {
		r.replaceDisk(name)
	}
	return r
}

// replaceDisk restarts a voter with an empty disk, which has a new id.
func (r *bootstrapRun) replaceDisk(name string) {
	r.drawnDiskIDs++
	r.disks[name] = &bootstrapDisk{id: fmt.Sprint("m", r.drawnDiskIDs)}
	r.restart(name)
}

// restart restarts a voter with the disk that it has.
func (r *bootstrapRun) restart(name string) {
	r.bootstrap[name] = NewBootstrap(name, r.disks[name].id, bootstrapNames)
}

// voteOf returns the vote with which a voter answers a request.
func (r *bootstrapRun) voteOf(name string) BootstrapVote {
	vote := r.disks[name].vote
	if vote.DiskID = r.disks[name].id; !vote.HasBegun {
		vote = r.bootstrap[name].Vote()
	}
	return vote
}

// hasMajority reports whether a majority of the voters has begun with the same disk ids.
func (r *bootstrapRun) hasMajority() bool {
	counts := map[string]int{}
	for _, disk := range r.disks {
		if disk.vote.HasBegun {
			key := fmt.Sprint(disk.vote.DiskIDs)
			if counts[key]++; counts[key] > len(bootstrapNames)/2 {
				return true
			}
		}
	}
	return false
}

// Votes arrive and disks are lost in random order. Once a majority has begun with the same disk ids, a voter that loses
// its disk must not begin again. The run ends when a majority has lost its disks, since the others can't know any more
// who had begun.
func TestBootstrapNeverBeginsAfterDiskLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, hadMajority := newBootstrapRun(), false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(bootstrapNames).Draw(t, "voter")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				if hadMajority {
					r.lost[name] = true
				}
				if len(r.lost) > len(bootstrapNames)/2 {
					return
				}
				r.replaceDisk(name)
				for _, b := range r.bootstrap { // Bootstrap assumes that no disk is replaced within one round
					b.StartRound()
				}
				continue
			case 1:
				r.restart(name)
			}
			other := rapid.SampledFrom(bootstrapNames).Draw(t, "other voter")
			disk := r.disks[name]
			if disk.vote.HasBegun || other == name {
				continue
			}
			r.bootstrap[name].ReceiveVote(other, r.bootstrap[name].round, r.voteOf(other))
			diskIDs, isLost := r.bootstrap[name].Decide()
			if diskIDs == nil || isLost {
				continue
			}
			if r.lost[name] {
				t.Fatalf("%s begins with disk ids %v, though its disk was lost after others had begun", name, diskIDs)
			}
			if diskIDs[name] != disk.id || len(diskIDs) != len(bootstrapNames) {
				t.Fatalf("%s begins with disk ids %v, want %d ids with its own, %s", name, diskIDs, len(bootstrapNames), disk.id)
			}
			disk.vote = BootstrapVote{HasBegun: true, DiskID: disk.id, DiskIDs: diskIDs}
			hadMajority = hadMajority || r.hasMajority()
		}
	})
}

func TestBootstrapCountsOnlyInitialVotersAndItsOwnDisk(t *testing.T) {
	b := NewBootstrap("a", "1", bootstrapNames)
	b.ReceiveVote("b", 0, BootstrapVote{DiskID: "2"})
	b.ReceiveVote("x", 0, BootstrapVote{HasBegun: true}) // x is no initial voter
	if diskIDs, isLost := b.Decide(); diskIDs != nil || isLost || fmt.Sprint(b.MissingVotes()) != "[c]" {
		t.Errorf("without the vote of c: disk ids %v, lost %v, missing votes %v; want none, false, [c]",
			diskIDs, isLost, b.MissingVotes())
	}
	b.ReceiveVote("c", 0, BootstrapVote{HasBegun: true, DiskIDs: map[string]string{"a": "0"}})
	if _, isLost := b.Decide(); !isLost {
		t.Error("c began when this voter had another disk, but Decide does not report the disk as lost")
	}
}

package raftnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/testkit/testpeer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Proposals at any daemon are committed, and all daemons act on the resulting versions. A voter that lost power recovers
// its state; a voter whose disk fails stops, and the other voters continue. Without a majority nothing is committed, and
// leases expire.
func TestProposalsAreCommittedThroughVoterFailures(t *testing.T) {
	c := newTestCluster(t, 5)
	firstVersion := c.put(0, "a", "one")
	c.waitUntilAllNodesActOn(firstVersion, "one")
	if duplicateVersion := c.put(4, "a", "one"); duplicateVersion != firstVersion {
		t.Errorf("a duplicate of the command returns version %d, want %d", duplicateVersion, firstVersion)
	}
	secondVersion := c.put(4, "b", "two") // must succeed though s4 does not vote
	c.waitUntilAllNodesActOn(secondVersion, "two")
	outdatedVersion := firstVersion
	removal := consensus.Command{ExpectedVersion: &outdatedVersion, Remove: testDocument}
	if _, err := c.nodes[3].ProposeVersion(t.Context(), removal); err == nil || errors.Is(err, consensus.ErrIndeterminate) {
		t.Errorf("command that expects version %d after %d: error %v, want a rejection", firstVersion, secondVersion, err)
	}

	c.nodes[0].Close()
	c.disks[0].Crash(rand.New(rand.NewPCG(1, 1)))
	c.start(0)
	thirdVersion := c.put(0, "c", "three")
	c.waitUntilAllNodesActOn(thirdVersion, "three")
	if thirdVersion != secondVersion+1 {
		t.Errorf("the next version is %d, want %d", thirdVersion, secondVersion+1)
	}

	c.disks[1].InjectFailure(0)
	fourthVersion := c.put(2, "d", "four")
	c.waitUntilAllNodesActOn(fourthVersion, "four")
	testpeer.Eventually(t, "the voter whose disk has failed stops", func() bool { return !c.nodes[1].Status().IsVoter })

	abort(t, c.transports[2]) // of the three voters s0, s1 and s2, only s0 is left
	testpeer.Eventually(t, "leases expire", func() bool { _, ok := c.nodes[3].Valid(); return !ok })
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	put := consensus.Command{Put: &consensus.DocumentPut{Name: testDocument}}
	if _, err := c.nodes[3].ProposeVersion(ctx, put); !errors.Is(err, consensus.ErrIndeterminate) {
		t.Errorf("proposal without a majority: error %v, want %v", err, consensus.ErrIndeterminate)
	}
}

// BenchmarkCoversVersion measures Node.CoversVersion, which a daemon calls for each client request if it is to reject requests
// while no lease is valid. A call acquires no lock and takes 56 ns, most of which is the time for reading the clock.
func BenchmarkCoversVersion(b *testing.B) {
	start := time.Now()
	n := &Node{options: Options{Now: func() time.Duration { return time.Since(start) }}}
	n.leased.Store(&consensus.LeasedVersion{Version: 3, ExpiresAt: time.Hour})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if !n.CoversVersion(3) {
				b.Error("version 3 is not covered by a lease, want it covered")
			}
		}
	})
}

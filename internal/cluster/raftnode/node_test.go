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

// Proposals at any daemon are committed and acted on by all; a voter that lost power returns with what it had; one
// whose disk fails stops, and the others go on; without a majority nothing is committed, and leases expire.
func TestProposalsAreCommittedThroughVoterFailures(t *testing.T) {
	c := newTestCluster(t, 5)
	first := c.put(0, "a", "one")
	c.waitAllActing(first, "one")
	if repeated := c.put(4, "a", "one"); repeated != first {
		t.Errorf("the same command twice: version %d and %d", first, repeated)
	}
	second := c.put(4, "b", "two") // by a daemon that does not vote
	c.waitAllActing(second, "two")
	expect := first
	unexpected := consensus.Command{ExpectedVersion: &expect, Remove: testDocument}
	if _, err := c.nodes[3].ProposeVersion(t.Context(), unexpected); err == nil || errors.Is(err, consensus.ErrIndeterminate) {
		t.Errorf("another version was expected: %v", err)
	}

	c.nodes[0].Close()
	c.disks[0].Crash(rand.New(rand.NewPCG(1, 1)))
	c.start(0)
	third := c.put(0, "c", "three")
	c.waitAllActing(third, "three")
	if third != second+1 {
		t.Errorf("version %d after %d", third, second)
	}

	c.disks[1].Fail(0)
	fourth := c.put(2, "d", "four")
	c.waitAllActing(fourth, "four")
	testpeer.Until(t, "the voter whose disk failed stops", func() bool { return !c.nodes[1].Status().IsVoter })

	abort(t, c.transports[2]) // one voter of three is left
	testpeer.Until(t, "leases expire", func() bool { _, ok := c.nodes[3].Valid(); return !ok })
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	put := consensus.Command{Put: &consensus.DocumentPut{Name: testDocument}}
	if _, err := c.nodes[3].ProposeVersion(ctx, put); !errors.Is(err, consensus.ErrIndeterminate) {
		t.Errorf("without a majority: %v", err)
	}
}

// CoversVersion is on the way of each request that is rejected while no lease is valid: 56 ns, nearly all of it the
// clock, and no lock.
func BenchmarkCoversVersion(b *testing.B) {
	began := time.Now()
	n := &Node{options: Options{Now: func() time.Duration { return time.Since(began) }}}
	n.leased.Store(&consensus.LeasedVersion{Version: 3, ExpiresAt: time.Hour})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if !n.CoversVersion(3) {
				b.Error("no lease")
			}
		}
	})
}

package raftnode

import (
	"slices"
	"strings"
	"testing"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/testkit/simdisk"
	"tuliprock/internal/testkit/testpeer"
)

func (c *testCluster) changeVoters(by int, name string, out bool) error {
	_, err := c.nodes[by].Propose(c.t.Context(), consensus.Command{Seat: &consensus.VoterChange{Name: name, Out: out}})
	return err
}

// waitVotes waits until a daemon votes, or does not.
func (c *testCluster) waitVotes(i int, votes bool) {
	c.t.Helper()
	testpeer.Until(c.t, "who votes has changed", func() bool { return c.nodes[i].Status().Votes == votes })
}

// changeVotersWhenFree has a change of voters made as soon as the one before it is done.
func (c *testCluster) changeVotersWhenFree(by int, name string, out bool) {
	c.t.Helper()
	testpeer.Until(c.t, "voters change", func() bool { return c.changeVoters(by, name, out) == nil })
}

// One voter after another is replaced, the leader too; one that lost its disk comes back as another; who joined is there after a
// restart; and what was agreed on by those of before is kept by those of after.
func TestVotersAreReplacedOneByOne(t *testing.T) {
	h := newTestCluster(t, 6)
	h.waitAllActing(h.put(0, "a", "doc", "one"), "doc", "one")
	for i := range 3 { // s3, s4, s5 in place of s0, s1, s2
		in, out := []string{"s3", "s4", "s5"}[i], []string{"s0", "s1", "s2"}[i]
		h.changeVotersWhenFree(5, in, false)
		h.waitVotes(3+i, true)
		h.changeVotersWhenFree(4, out, true)
		h.waitVotes(i, false)
	}
	h.waitAllActing(h.put(0, "b", "doc", "two"), "doc", "two")
	h.nodes[4].Close()
	h.start(4)
	h.waitVotes(4, true)
	h.nodes[5].Close()
	h.waitActing(h.nodes[:5], h.put(3, "c", "doc", "three"), "doc", "three")

	h.changeVotersWhenFree(3, "s5", true) // its disk is lost
	h.disks[5] = simdisk.New()
	h.start(5)
	h.changeVotersWhenFree(3, "s5", false)
	h.waitVotes(5, true)
	h.waitAllActing(h.put(5, "d", "doc", "four"), "doc", "four")
	testpeer.Until(t, "all know who votes", func() bool {
		return !slices.ContainsFunc(h.nodes, func(c *Node) bool { return strings.Join(c.Status().Sitting, " ") != "s3 s4 s5" })
	})
}

// A first voter that lost its disk is told so by the others, and does not vote, though all files name it; taken out and put in
// again it does.
func TestFirstVoterWithLostDiskVotesAfterReadmission(t *testing.T) {
	h := newTestCluster(t, 4)
	h.waitAllActing(h.put(0, "a", "doc", "one"), "doc", "one")
	h.nodes[1].Close()
	h.disks[1] = simdisk.New()
	h.start(1)
	testpeer.Until(t, "it is told", func() bool {
		lost := make(chan bool, 1)
		h.nodes[1].submit(t.Context(), func() { lost <- h.nodes[1].isDiskLossLogged && h.nodes[1].bootstrap == nil })
		return <-lost
	})
	h.waitAllActing(h.put(1, "b", "doc", "two"), "doc", "two")
	if h.nodes[1].Status().Votes {
		t.Error("it votes")
	}
	h.changeVotersWhenFree(1, "s1", true)
	h.changeVotersWhenFree(1, "s1", false)
	h.waitVotes(1, true)
	h.nodes[1].Close()
	h.start(1)
	h.waitVotes(1, true)
	h.nodes[2].Close() // without it there is no majority
	h.waitActing(append(h.nodes[:2:2], h.nodes[3]), h.put(3, "c", "doc", "three"), "doc", "three")
}

// What can't be: one that is under way already, the last one's, more than there may be.
func TestInvalidVoterChangesAreRejected(t *testing.T) {
	h := newTestCluster(t, 4)
	h.put(0, "a", "doc", "one")
	if err := h.changeVoters(1, "nobody", false); err != nil { // who never comes
		t.Fatal(err)
	}
	if err := h.changeVoters(1, "s3", false); err == nil || !strings.Contains(err.Error(), "nobody has yet to learn") {
		t.Errorf("a second change: %v", err)
	}
	if err := h.changeVoters(2, "nobody", true); err != nil {
		t.Errorf("who never came can't be taken back: %v", err)
	}
	h.changeVotersWhenFree(2, "s3", false)
	h.waitVotes(3, true)
	h.waitAllActing(h.put(3, "b", "doc", "two"), "doc", "two")
}

package raftnode

import (
	"slices"
	"strings"
	"testing"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/testkit/simdisk"
	"tuliprock/internal/testkit/testpeer"
)

func (h *house) seat(by int, name string, out bool) error {
	_, err := h.rooms[by].Propose(h.t.Context(), consensus.Command{Seat: &consensus.VoterChange{Name: name, Out: out}})
	return err
}

// sits waits until a daemon votes, or does not.
func (h *house) sits(i int, votes bool) {
	h.t.Helper()
	testpeer.Until(h.t, "who votes has changed", func() bool { return h.rooms[i].Status().Votes == votes })
}

// changes has a change of voters made as soon as the one before it is done.
func (h *house) changes(by int, name string, out bool) {
	h.t.Helper()
	testpeer.Until(h.t, "voters change", func() bool { return h.seat(by, name, out) == nil })
}

// One voter after another is replaced, the leader too; one that lost its disk comes back as another; who joined is there after a
// restart; and what was agreed on by those of before is kept by those of after.
func TestVotersChange(t *testing.T) {
	h := newHouse(t, 6)
	h.all(h.put(0, "a", "doc", "one"), "doc", "one")
	for i := range 3 { // s3, s4, s5 in place of s0, s1, s2
		in, out := []string{"s3", "s4", "s5"}[i], []string{"s0", "s1", "s2"}[i]
		h.changes(5, in, false)
		h.sits(3+i, true)
		h.changes(4, out, true)
		h.sits(i, false)
	}
	h.all(h.put(0, "b", "doc", "two"), "doc", "two")
	h.rooms[4].Close()
	h.begin(4)
	h.sits(4, true)
	h.rooms[5].Close()
	h.act(h.rooms[:5], h.put(3, "c", "doc", "three"), "doc", "three")

	h.changes(3, "s5", true) // its disk is lost
	h.disks[5] = simdisk.New()
	h.begin(5)
	h.changes(3, "s5", false)
	h.sits(5, true)
	h.all(h.put(5, "d", "doc", "four"), "doc", "four")
	testpeer.Until(t, "all know who votes", func() bool {
		return !slices.ContainsFunc(h.rooms, func(c *Node) bool { return strings.Join(c.Status().Sitting, " ") != "s3 s4 s5" })
	})
}

// A first voter that lost its disk is told so by the others, and does not vote, though all files name it; taken out and put in
// again it does.
func TestAFirstVoterWithoutItsDisk(t *testing.T) {
	h := newHouse(t, 4)
	h.all(h.put(0, "a", "doc", "one"), "doc", "one")
	h.rooms[1].Close()
	h.disks[1] = simdisk.New()
	h.begin(1)
	testpeer.Until(t, "it is told", func() bool {
		lost := make(chan bool, 1)
		h.rooms[1].call(t.Context(), func() { lost <- h.rooms[1].lost && h.rooms[1].founding == nil })
		return <-lost
	})
	h.all(h.put(1, "b", "doc", "two"), "doc", "two")
	if h.rooms[1].Status().Votes {
		t.Error("it votes")
	}
	h.changes(1, "s1", true)
	h.changes(1, "s1", false)
	h.sits(1, true)
	h.rooms[1].Close()
	h.begin(1)
	h.sits(1, true)
	h.rooms[2].Close() // without it there is no majority
	h.act(append(h.rooms[:2:2], h.rooms[3]), h.put(3, "c", "doc", "three"), "doc", "three")
}

// What can't be: one that is under way already, the last one's, more than there may be.
func TestVotersStay(t *testing.T) {
	h := newHouse(t, 4)
	h.put(0, "a", "doc", "one")
	if err := h.seat(1, "nobody", false); err != nil { // who never comes
		t.Fatal(err)
	}
	if err := h.seat(1, "s3", false); err == nil || !strings.Contains(err.Error(), "nobody has yet to learn") {
		t.Errorf("a second change: %v", err)
	}
	if err := h.seat(2, "nobody", true); err != nil {
		t.Errorf("who never came can't be taken back: %v", err)
	}
	h.changes(2, "s3", false)
	h.sits(3, true)
	h.all(h.put(3, "b", "doc", "two"), "doc", "two")
}

package raftnode

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/simdisk"
	"tuliprock/internal/testkit/testpeer"
)

// Start returns an error on a disk that has the identity of another daemon's voter. On a disk that has a log but no
// identity, the daemon starts but runs no voter. The cases run in order, on one disk.
func TestDiskOfAnotherVoterIsRejected(t *testing.T) {
	d := simdisk.New()
	d.SetBytes("IDENTITY.new", []byte("a o"))
	d.SetBytes("IDENTITY", []byte("a of a b c\n"))
	startOn := func(t *testing.T, name string, voters []string) (*Node, error) {
		t.Helper()
		l := startTestTransport(t, transport.Options{Name: name})
		return Start(Options{Name: name, InitialVoters: voters, Disk: d, Lease: testLeaseConfig, Transport: l, Now: l.Now,
			Log: slog.New(slog.DiscardHandler)})
	}
	for _, c := range []struct {
		name       string
		daemon     string   // name of the daemon that starts on the disk
		voters     []string // Options.InitialVoters of the daemon
		isRejected bool     // whether Start must return an error
	}{
		{"its own voter", "a", []string{"b", "a", "c"}, false},
		{"its own voter, with other initial voters in its options than on its disk", "a", []string{"a", "b", "d"}, false},
		{"another initial voter", "b", []string{"a", "b", "c"}, true},
		{"a daemon that is no initial voter", "x", []string{"a", "b", "c"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, err := startOn(t, c.daemon, c.voters)
			if c.isRejected {
				if err == nil {
					n.Close()
				}
				if err == nil || strings.Contains(err.Error(), "\n") {
					t.Errorf("start of %s: error %v, want an error of one line", c.daemon, err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			testpeer.Eventually(t, c.daemon+" votes", func() bool { return n.Status().IsVoter })
			if err := n.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	t.Run("a log without an identity", func(t *testing.T) {
		if err := d.Remove("IDENTITY"); err != nil {
			t.Fatal(err)
		}
		n, err := startOn(t, "a", []string{"a"})
		if err != nil {
			t.Fatal(err)
		}
		testpeer.Eventually(t, "the daemon gives up starting a voter", func() bool {
			isStartDisabled := make(chan bool, 1)
			n.submit(t.Context(), func() { isStartDisabled <- n.isVoterStartDisabled && n.localVoter == nil })
			return <-isStartDisabled
		})
		if err := n.Close(); err != nil {
			t.Error(err)
		}
	})
}

// A voter starts on an older copy of its disk, and so lacks entries that it had acknowledged. The cluster continues, and
// so does the voter's daemon, even if raft detects that entries are missing and stops the voter.
func TestVoterWithAnOlderDiskDoesNotStopTheCluster(t *testing.T) {
	c := newTestCluster(t, 4)
	c.waitUntilAllNodesActOn(c.put(0, "a", "one"), "one")
	c.nodes[1].Close()
	olderFiles := map[string][]byte{}
	names, err := c.disks[1].List()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if olderFiles[name], err = readFile(c.disks[1], name, 1<<20); err != nil {
			t.Fatal(err)
		}
	}
	c.start(1)
	var lastVersion uint64
	for i := range 5 {
		lastVersion = c.put(1, fmt.Sprint("b", i), fmt.Sprint(i))
	}
	c.waitUntilAllNodesActOn(lastVersion, "4")
	c.nodes[1].Close()
	newerFileNames, _ := c.disks[1].List()
	for _, name := range newerFileNames {
		if olderFiles[name] == nil {
			_ = c.disks[1].Remove(name)
		}
	}
	for name, text := range olderFiles {
		c.disks[1].SetBytes(name, text)
	}
	c.start(1)
	c.waitUntilAllNodesActOn(c.put(2, "c", "five"), "five") // must succeed whether or not raft has stopped the voter on the older disk
}

// The initial voters are replaced one by one, including the leader, and the new voters have everything that the initial
// voters committed. A voter that was added votes again after a restart. A daemon that lost its disk is removed and added
// as a new voter.
func TestVotersAreReplacedOneByOne(t *testing.T) {
	c := newTestCluster(t, 6)
	c.waitUntilAllNodesActOn(c.put(0, "a", "one"), "one")
	for i := range 3 { // s3, s4 and s5 replace s0, s1 and s2
		added, removed := []string{"s3", "s4", "s5"}[i], []string{"s0", "s1", "s2"}[i]
		c.changeVotersWithRetry(5, added, false)
		c.waitIsVoter(3+i, true)
		c.changeVotersWithRetry(4, removed, true)
		c.waitIsVoter(i, false)
	}
	c.waitUntilAllNodesActOn(c.put(0, "b", "two"), "two")
	c.nodes[4].Close()
	c.start(4)
	c.waitIsVoter(4, true)
	c.nodes[5].Close()
	c.waitUntilNodesActOn(c.nodes[:5], c.put(3, "c", "three"), "three")

	c.changeVotersWithRetry(3, "s5", true)
	c.disks[5] = simdisk.New() // the disk of s5 is lost
	c.start(5)
	c.changeVotersWithRetry(3, "s5", false)
	c.waitIsVoter(5, true)
	c.waitUntilAllNodesActOn(c.put(5, "d", "four"), "four")
	testpeer.Eventually(t, "all nodes report s3, s4 and s5 as active voters", func() bool {
		return !slices.ContainsFunc(c.nodes, func(n *Node) bool {
			return strings.Join(n.Status().ActiveVoters, " ") != "s3 s4 s5"
		})
	})
}

// An initial voter that lost its disk learns of the loss from the other voters and does not vote, though the options of
// all daemons name it as a voter. It votes after it was removed from the voters and added again.
func TestInitialVoterWithLostDiskVotesAfterReadmission(t *testing.T) {
	c := newTestCluster(t, 4)
	c.waitUntilAllNodesActOn(c.put(0, "a", "one"), "one")
	c.nodes[1].Close()
	c.disks[1] = simdisk.New()
	c.start(1)
	testpeer.Eventually(t, "s1 learns that its disk is lost", func() bool {
		isDiskLost := make(chan bool, 1)
		c.nodes[1].submit(t.Context(), func() { isDiskLost <- c.nodes[1].isDiskLossLogged && c.nodes[1].bootstrap == nil })
		return <-isDiskLost
	})
	c.waitUntilAllNodesActOn(c.put(1, "b", "two"), "two")
	if c.nodes[1].Status().IsVoter {
		t.Error("s1 votes though its disk was lost")
	}
	c.changeVotersWithRetry(1, "s1", true)
	c.changeVotersWithRetry(1, "s1", false)
	c.waitIsVoter(1, true)
	c.nodes[1].Close()
	c.start(1)
	c.waitIsVoter(1, true)
	c.nodes[2].Close() // s0, s1 and s2 are the voters: only with the vote of s1 is there a majority now
	c.waitUntilNodesActOn(append(c.nodes[:2:2], c.nodes[3]), c.put(3, "c", "three"), "three")
}

// Initial voters that were replaced and return with empty disks must not bootstrap the cluster a second time: it would have two
// leaders. The voters that were added have the log, and the initial voters learn of the cluster from them.
func TestReplacedInitialVotersWithEmptyDisksFoundNoSecondCluster(t *testing.T) {
	for _, initialVoters := range [][]string{{"s0"}, {"s0", "s1", "s2"}} {
		t.Run(fmt.Sprint(len(initialVoters), " initial voters"), func(t *testing.T) {
			c, replacedCount := newTestClusterOf(t, 6, initialVoters...), len(initialVoters)
			c.waitUntilAllNodesActOn(c.put(5, "a", "one"), "one")
			for i := range max(replacedCount, 2) { // at least two voters are added
				added := replacedCount + i
				c.changeVotersWithRetry(5, c.nodes[added].options.Name, false)
				c.waitIsVoter(added, true)
				if i < replacedCount {
					c.changeVotersWithRetry(5, initialVoters[i], true)
					c.waitIsVoter(i, false)
				}
			}
			for i := range replacedCount {
				c.nodes[i].Close()
				c.disks[i] = simdisk.New()
			}
			for i := range replacedCount {
				c.start(i)
			}
			for i := range replacedCount {
				testpeer.Eventually(t, initialVoters[i]+" learns that its disk is lost", func() bool {
					isDiskLost := make(chan bool, 1)
					c.nodes[i].submit(t.Context(), func() { isDiskLost <- c.nodes[i].isDiskLossLogged })
					return <-isDiskLost || c.nodes[i].Status().IsVoter
				})
				if s := c.nodes[i].Status(); s.IsVoter || s.Term > 0 {
					t.Errorf("%s votes, in term %d, though the cluster has replaced it and its disk is empty", initialVoters[i], s.Term)
				}
			}
			c.waitUntilAllNodesActOn(c.put(0, "b", "two"), "two")
		})
	}
}

// A change of the voters is rejected while another change is in progress. A voter whose daemon never starts can be
// removed.
func TestVoterChangeIsRejectedWhileAnotherIsInProgress(t *testing.T) {
	c := newTestCluster(t, 4)
	c.put(0, "a", "one")
	if err := c.changeVoters(1, "nobody", false); err != nil { // accepted though no daemon is called nobody
		t.Fatal(err)
	}
	if err := c.changeVoters(1, "s3", false); err == nil || !strings.Contains(err.Error(), "nobody has yet to learn") {
		t.Errorf("change while another is in progress: error %v, want that nobody has yet to learn", err)
	}
	if err := c.changeVoters(2, "nobody", true); err != nil {
		t.Errorf("removal of a voter whose daemon never started: error %v, want none", err)
	}
	c.changeVotersWithRetry(2, "s3", false)
	c.waitIsVoter(3, true)
	c.waitUntilAllNodesActOn(c.put(3, "b", "two"), "two")
}

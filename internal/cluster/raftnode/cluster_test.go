package raftnode

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/simdisk"
	"tuliprock/internal/testkit/testpeer"
)

// testLeaseConfig is the lease configuration of all nodes in the tests.
var testLeaseConfig = consensus.LeaseConfig{Duration: 2 * time.Second, ShortDuration: 500 * time.Millisecond, MaxClockDrift: 0.01}

// startTestTransport starts a transport on the loopback interface. The transport is aborted when the test ends.
func startTestTransport(t *testing.T, o transport.Options) *transport.Transport {
	t.Helper()
	o.Cluster, o.Listen, o.Log = "c", netip.MustParseAddrPort("127.0.0.1:0"), slog.New(slog.DiscardHandler)
	l, err := transport.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { abort(t, l) })
	return l
}

// discardLog is a log that is not written anywhere.
var discardLog = slog.New(slog.DiscardHandler)

// testTransportOptions returns the options of the transport of a testCluster's daemon with the given name.
func testTransportOptions(name string) transport.Options {
	return transport.Options{
		Name: name,
		Timing: swim.Options{
			ProbeInterval:    100 * time.Millisecond,
			ProbeTimeout:     50 * time.Millisecond,
			SuspicionTimeout: 300 * time.Millisecond,
		},
	}
}

// abort stops a transport without notifying the other members, as if the transport's process had been killed.
func abort(t *testing.T, l *transport.Transport) {
	t.Helper()
	if err := l.Abort(); err != nil {
		t.Logf("abort: %v", err)
	}
}

// testCluster has nodes with the names s0, s1 and so on in one process, connected by real transports.
type testCluster struct {
	t          *testing.T
	transports []*transport.Transport
	nodes      []*Node
	disks      []*simdisk.Disk

	initialVoters []string
}

// testDocument is the name of the only document that tests of a testCluster change.
const testDocument = "doc"

// newTestCluster starts a cluster whose number of nodes is size and whose initial voters are s0, s1 and s2. The nodes are closed
// when the test ends.
func newTestCluster(t *testing.T, size int) *testCluster {
	t.Helper()
	return newTestClusterOf(t, size, "s2", "s0", "s1")
}

// newTestClusterOf starts a cluster whose number of nodes is size. The nodes are closed when the test ends.
func newTestClusterOf(t *testing.T, size int, initialVoters ...string) *testCluster {
	t.Helper()
	c := &testCluster{t: t, initialVoters: initialVoters}
	for i := range size {
		o := testTransportOptions(fmt.Sprint("s", i))
		if i > 0 {
			o.Join = []netip.AddrPort{c.transports[0].Addr()}
		}
		c.transports = append(c.transports, startTestTransport(t, o))
		c.disks = append(c.disks, simdisk.New())
		c.nodes = append(c.nodes, nil)
		c.start(i)
		t.Cleanup(func() {
			if c.nodes[i] != nil {
				c.nodes[i].Close()
			}
		})
	}
	return c
}

// start starts node i on disk i and transport i of the cluster.
func (c *testCluster) start(i int) {
	c.t.Helper()
	node, err := Start(Options{
		Name:          fmt.Sprint("s", i),
		InitialVoters: c.initialVoters,
		Disk:          c.disks[i],
		Lease:         testLeaseConfig,
		Transport:     c.transports[i],
		Now:           c.transports[i].Now,
		Log:           slog.New(slog.NewTextHandler(c.t.Output(), nil)),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[i] = node
}

// put proposes at node i a command with this id that writes the test document, and returns the version that the command
// made.
func (c *testCluster) put(i int, id, body string) uint64 {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), testpeer.Timeout)
	defer cancel()
	put := &consensus.DocumentPut{Name: testDocument, Body: []byte(body)}
	version, err := c.nodes[i].ProposeVersion(ctx, consensus.Command{ID: id, ProposedBy: "test", Put: put})
	if err != nil {
		c.t.Fatal(err)
	}
	return version
}

// waitUntilAllNodesActOn waits until each node of the cluster has a valid lease on the given version or a later one,
// and the test document has the given body in the leased version.
func (c *testCluster) waitUntilAllNodesActOn(version uint64, body string) {
	c.t.Helper()
	c.waitUntilNodesActOn(c.nodes, version, body)
}

// waitUntilNodesActOn waits until each of the given nodes has a valid lease on the given version or a later one, and
// the test document has the given body in the leased version.
func (c *testCluster) waitUntilNodesActOn(nodes []*Node, version uint64, body string) {
	c.t.Helper()
	testpeer.Eventually(c.t, fmt.Sprint("all act on version ", version), func() bool {
		for _, n := range nodes {
			leased, ok := n.Valid()
			if !ok || leased.Version < version || string(leased.Docs[testDocument].Body) != body {
				return false
			}
		}
		return true
	})
}

// changeVoters proposes at node i to add a daemon to the voters, or to remove it.
func (c *testCluster) changeVoters(i int, name string, isRemoval bool) error {
	_, err := c.nodes[i].Propose(c.t.Context(), consensus.Command{ChangeVoter: &consensus.VoterChange{Name: name, IsRemoval: isRemoval}})
	return err
}

// changeVotersWithRetry repeats changeVoters until the change is accepted, which it is once no earlier change is in
// progress.
func (c *testCluster) changeVotersWithRetry(i int, name string, isRemoval bool) {
	c.t.Helper()
	testpeer.Eventually(c.t, "the change of voter "+name+" is accepted", func() bool { return c.changeVoters(i, name, isRemoval) == nil })
}

// waitIsVoter waits until node i is a voter (isVoter is true), or until it is none (isVoter is false).
func (c *testCluster) waitIsVoter(i int, isVoter bool) {
	c.t.Helper()
	testpeer.Eventually(c.t, fmt.Sprintf("s%d votes: %t", i, isVoter), func() bool { return c.nodes[i].Status().IsVoter == isVoter })
}

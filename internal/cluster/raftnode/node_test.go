package raftnode

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/simdisk"
	"tuliprock/internal/testkit/testpeer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testLeaseConfig = consensus.LeaseConfig{Lease: 2 * time.Second, Short: 500 * time.Millisecond, Drift: 0.01}

// testCluster is daemons over real links in one process, three of them voters.
type testCluster struct {
	t          *testing.T
	transports []*transport.Transport
	nodes      []*Node
	disks      []*simdisk.Disk
}

func newTestCluster(t *testing.T, n int) *testCluster {
	h := &testCluster{t: t}
	for i := range n {
		o := transport.Options{Cluster: "c", Name: fmt.Sprint("s", i), Listen: netip.MustParseAddrPort("127.0.0.1:0"), Log: slog.New(slog.DiscardHandler),
			Times: swim.Options{ProbeEvery: 100 * time.Millisecond, ProbeTimeout: 50 * time.Millisecond, Suspicion: 300 * time.Millisecond}}
		if i > 0 {
			o.Join = []netip.AddrPort{h.transports[0].Addr()}
		}
		l, err := transport.Start(o)
		if err != nil {
			t.Fatal(err)
		}
		h.transports = append(h.transports, l)
		h.disks = append(h.disks, simdisk.New())
		h.nodes = append(h.nodes, nil)
		h.start(i)
		t.Cleanup(func() {
			if h.nodes[i] != nil {
				h.nodes[i].Close()
			}
			l.Abort()
		})
	}
	return h
}

func (c *testCluster) start(i int) {
	c.t.Helper()
	o := Options{Name: fmt.Sprint("s", i), Voters: []string{"s2", "s0", "s1"}, Lease: testLeaseConfig, Transport: c.transports[i], Now: c.transports[i].Now, Log: slog.New(slog.NewTextHandler(c.t.Output(), nil))}
	o.Disk = c.disks[i]
	room, err := Start(o)
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[i] = room
}

// A voter's disk is its own; a log of which nobody knows whose it is is nobody's.
func TestDiskOfAnotherVoterIsRejected(t *testing.T) {
	d := simdisk.New()
	d.SetBytes("IDENTITY.new", []byte("a o"))
	d.SetBytes("IDENTITY", []byte("a of a b c\n"))
	start := func(name string, then func(c *Node), voters ...string) error {
		l, err := transport.Start(transport.Options{Cluster: "c", Name: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		defer l.Abort()
		c, err := Start(Options{Name: name, Voters: voters, Disk: d, Lease: testLeaseConfig, Transport: l, Now: l.Now, Log: slog.New(slog.DiscardHandler)})
		if err == nil {
			then(c)
			err = c.Close()
		}
		return err
	}
	votes := func(c *Node) {
		testpeer.Until(t, "it votes", func() bool { return c.Status().Votes })
	}
	for _, voters := range [][]string{{"b", "a", "c"}, {"a", "b", "d"}} { // of others that are told of since its disk knows
		if err := start("a", votes, voters...); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"b", "x"} {
		if err := start(name, votes, "a", "b", "c"); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s starts: %v", name, err)
		}
	}
	if err := d.Remove("IDENTITY"); err != nil {
		t.Fatal(err)
	}
	if err := start("a", func(c *Node) {
		testpeer.Until(t, "it gives up", func() bool {
			gave := make(chan bool, 1)
			c.submit(t.Context(), func() { gave <- c.hasStoppedVoting && c.slot == nil })
			return <-gave
		})
	}, "a"); err != nil {
		t.Error(err)
	}
}

func (c *testCluster) put(by int, id, name, body string) uint64 {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), testpeer.Patience)
	defer cancel()
	v, err := c.nodes[by].ProposeVersion(ctx, consensus.Command{ID: id, By: "test", Put: &consensus.DocumentPut{Name: name, Body: []byte(body)}})
	if err != nil {
		c.t.Fatal(err)
	}
	return v
}

func (c *testCluster) waitAllActing(version uint64, name, body string) {
	c.t.Helper()
	c.waitActing(c.nodes, version, name, body)
}

// waitActing waits until some daemons act on a version.
func (c *testCluster) waitActing(rooms []*Node, version uint64, name, body string) {
	c.t.Helper()
	testpeer.Until(c.t, fmt.Sprint("all act on version ", version), func() bool {
		for _, r := range rooms {
			if a, ok := r.Valid(); !ok || a.Version < version || string(a.Docs[name].Body) != body {
				return false
			}
		}
		return true
	})
}

// Puts by any daemon are agreed on and acted on by all; a voter whose power fails comes back with what it had; one whose disk
// fails steps down, and the others go on; without a majority nothing is agreed on, and leases run out.
func TestProposalsAreCommittedThroughVoterFailures(t *testing.T) {
	h := newTestCluster(t, 5)
	first := h.put(0, "a", "doc", "one")
	h.waitAllActing(first, "doc", "one")
	if again := h.put(4, "a", "doc", "one"); again != first {
		t.Errorf("put twice: version %d and %d", first, again)
	}
	second := h.put(4, "b", "doc", "two") // by one that does not vote
	h.waitAllActing(second, "doc", "two")
	expect := first
	if _, err := h.nodes[3].ProposeVersion(t.Context(), consensus.Command{Expect: &expect, Remove: "doc"}); err == nil || errors.Is(err, consensus.ErrIndeterminate) {
		t.Errorf("another version was expected: %v", err)
	}

	h.nodes[0].Close()
	h.disks[0].Crash(rand.New(rand.NewPCG(1, 1)))
	h.start(0)
	third := h.put(0, "c", "doc", "three")
	h.waitAllActing(third, "doc", "three")
	if third != second+1 {
		t.Errorf("version %d after %d", third, second)
	}

	h.disks[1].Fail(0)
	fourth := h.put(2, "d", "doc", "four")
	h.waitAllActing(fourth, "doc", "four")
	testpeer.Until(t, "the voter whose disk failed steps down", func() bool { return !h.nodes[1].Status().Votes })

	h.transports[2].Abort() // one voter of three is left
	testpeer.Until(t, "leases run out", func() bool { _, ok := h.nodes[3].Valid(); return !ok })
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if _, err := h.nodes[3].ProposeVersion(ctx, consensus.Command{Put: &consensus.DocumentPut{Name: "doc"}}); !errors.Is(err, consensus.ErrIndeterminate) {
		t.Errorf("without a majority: %v", err)
	}
}

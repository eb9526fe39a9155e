package raftnode

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/simdisk"
	"tuliprock/internal/testkit/testpeer"
)

// What a daemon acted on is there after a restart, or nothing is: a file cut or changed at any byte says nothing.
func TestCachedVersionIsLoadedCompleteOrNotAtAll(t *testing.T) {
	d := simdisk.New()
	c := &Node{options: Options{Disk: d, Log: slog.New(slog.DiscardHandler)}}
	c.cacheVersion(LeasedVersion{Version: 7, Docs: map[string]consensus.Document{"a": {Name: "a", Version: 5, Body: []byte("text")}}}, []string{"v"})
	whole, err := readFile(d, cacheFile, maxCacheBytes)
	if err != nil || len(whole) == 0 {
		t.Fatal(err)
	}
	remembered := func(text []byte) (uint64, map[string]consensus.Document) {
		d.SetBytes(cacheFile, text)
		return (&Node{options: c.options}).loadCachedVersion()
	}
	if v, docs := remembered(whole); v != 7 || string(docs["a"].Body) != "text" {
		t.Errorf("%d, %v", v, docs)
	}
	for i := range whole {
		flipped := slices.Clone(whole)
		flipped[i] ^= 1
		for _, bad := range [][]byte{whole[:i], flipped} {
			if v, _ := remembered(bad); v != 0 {
				t.Fatalf("at byte %d: version %d of what is damaged", i, v)
			}
		}
	}
	cant := c.options
	cant.Check = func(map[string]consensus.Document) error { return errors.New("no") }
	d.SetBytes(cacheFile, whole)
	if v, _ := (&Node{options: cant}).loadCachedVersion(); v != 0 {
		t.Error("a daemon goes on with what it can't act on")
	}
	d.Fail(0)
	c.cacheVersion(LeasedVersion{Version: 8}, nil) // and goes on
	if v, _ := (&Node{options: c.options}).loadCachedVersion(); v == 8 {
		t.Error("the disk has failed")
	}
}

// A voter that is handed the disk of an earlier day steps down, where it can be told, and its daemon goes on.
func TestVoterWithAnOlderDiskDoesNotStopTheCluster(t *testing.T) {
	h := newTestCluster(t, 4)
	h.waitAllActing(h.put(0, "a", "doc", "one"), "doc", "one")
	h.nodes[1].Close()
	earlier := map[string][]byte{}
	names, err := h.disks[1].List()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if earlier[name], err = readFile(h.disks[1], name, 1<<20); err != nil {
			t.Fatal(err)
		}
	}
	h.start(1)
	var last uint64
	for i := range 5 {
		last = h.put(1, fmt.Sprint("b", i), "doc", fmt.Sprint(i))
	}
	h.waitAllActing(last, "doc", "4")
	h.nodes[1].Close()
	now, _ := h.disks[1].List()
	for _, name := range now {
		if earlier[name] == nil {
			_ = h.disks[1].Remove(name)
		}
	}
	for name, text := range earlier {
		h.disks[1].SetBytes(name, text)
	}
	h.start(1)
	h.waitAllActing(h.put(2, "c", "doc", "five"), "doc", "five") // with it or without it, and none of the daemons ends
}

// A daemon that can't act on a version says so to who put it, and goes on without a lease where that is forced.
func TestRejectedVersionIsReportedAndForceEndsTheLease(t *testing.T) {
	o := func(name string, check func(map[string]consensus.Document) error, join ...netip.AddrPort) (*Node, *transport.Transport) {
		l, err := transport.Start(transport.Options{Cluster: "c", Name: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Join: join, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		options := Options{Name: name, Voters: []string{"v"}, Lease: testLeaseConfig, Transport: l, Now: l.Now, Log: slog.New(slog.DiscardHandler), Check: check}
		if name == "v" {
			options.Disk = simdisk.New()
		}
		c, err := Start(options)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close(); l.Abort() })
		return c, l
	}
	voter, l := o("v", nil)
	other, _ := o("o", func(docs map[string]consensus.Document) error {
		if strings.Contains(string(docs["a"].Body), "bad") {
			return errors.New("it is bad")
		}
		return nil
	}, l.Addr())
	put := func(body string) uint64 {
		v, err := other.ProposeVersion(t.Context(), consensus.Command{Put: &consensus.DocumentPut{Name: "a", Body: []byte(body)}})
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	acts := func(c *Node, version uint64) {
		t.Helper()
		testpeer.Until(t, fmt.Sprint("version ", version), func() bool { a, ok := c.Valid(); return ok && a.Version == version })
	}
	acts(other, put("good"))
	bad := put("bad")
	testpeer.Until(t, "both know why", func() bool {
		is, here := voter.Status(), other.Status()
		return len(is.Lagging) == 1 && is.Lagging[0].Daemon == "o" && strings.Contains(is.Lagging[0].Why, "it is bad") && here.Declined == bad && here.Why == "it is bad"
	})
	if _, err := other.Propose(t.Context(), consensus.Command{Force: bad}); err != nil {
		t.Fatal(err)
	}
	acts(voter, bad)
	testpeer.Until(t, "no lease", func() bool { _, ok := other.Valid(); return !ok })
	good := put("better")
	acts(other, good)
	testpeer.Until(t, "all act", func() bool { return other.Status().All == good && voter.Status().All == good })
}

// What each request costs that is to be refused where it is not sure: 56 ns, nearly all of it the clock, and no lock.
func BenchmarkCoversVersion(b *testing.B) {
	began := time.Now()
	c := &Node{options: Options{Now: func() time.Duration { return time.Since(began) }}}
	c.leased.Store(&LeasedVersion{Version: 3, Until: time.Hour})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if !c.CoversVersion(3) {
				b.Error("no lease")
			}
		}
	})
}

package raftnode

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"testing"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/simdisk"
	"tuliprock/internal/testkit/testpeer"
)

// A daemon that can't act on a version reports the reason to the leader, and loses its lease if operators force the
// version to be activated.
func TestRejectedVersionIsReportedAndForceEndsTheLease(t *testing.T) {
	start := func(name string, check func(map[string]consensus.Document) error, join ...netip.AddrPort) (*Node, *transport.Transport) {
		t.Helper()
		l := startTestTransport(t, transport.Options{Name: name, Join: join})
		o := Options{Name: name, InitialVoters: []string{"v"}, Lease: testLeaseConfig, Transport: l, Now: l.Now,
			Log: slog.New(slog.DiscardHandler), Check: check}
		if name == "v" {
			o.Disk = simdisk.New()
		}
		n, err := Start(o)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { n.Close() })
		return n, l
	}
	voterNode, l := start("v", nil)
	rejectingNode, _ := start("o", func(docs map[string]consensus.Document) error {
		if strings.Contains(string(docs["a"].Body), "bad") {
			return errors.New("it is bad")
		}
		return nil
	}, l.Addr())
	put := func(body string) uint64 {
		t.Helper()
		v, err := rejectingNode.ProposeVersion(t.Context(), consensus.Command{Put: &consensus.DocumentPut{Name: "a", Body: []byte(body)}})
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	waitUntilNodeActsOn := func(n *Node, version uint64) {
		t.Helper()
		testpeer.Eventually(t, fmt.Sprint("the node acts on version ", version), func() bool {
			leased, ok := n.Valid()
			return ok && leased.Version == version
		})
	}
	waitUntilNodeActsOn(rejectingNode, put("good"))
	badVersion := put("bad")
	testpeer.Eventually(t, "both daemons report why the version is rejected", func() bool {
		leaderStatus, rejectingStatus := voterNode.Status(), rejectingNode.Status()
		return len(leaderStatus.Lagging) == 1 && leaderStatus.Lagging[0].Daemon == "o" &&
			strings.Contains(leaderStatus.Lagging[0].Reason, "it is bad") &&
			rejectingStatus.RejectedVersion == badVersion && rejectingStatus.RejectionReason == "it is bad"
	})
	if _, err := rejectingNode.Propose(t.Context(), consensus.Command{ForceVersion: badVersion}); err != nil {
		t.Fatal(err)
	}
	waitUntilNodeActsOn(voterNode, badVersion)
	testpeer.Eventually(t, "the daemon that rejects the forced version has no lease", func() bool { _, ok := rejectingNode.Valid(); return !ok })
	goodVersion := put("better")
	waitUntilNodeActsOn(rejectingNode, goodVersion)
	testpeer.Eventually(t, "both daemons report that all act on the latest version", func() bool {
		return rejectingNode.Status().OldestActiveVersion == goodVersion && voterNode.Status().OldestActiveVersion == goodVersion
	})
}

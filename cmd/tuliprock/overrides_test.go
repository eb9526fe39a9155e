package main

import (
	"strings"
	"syscall"
	"testing"

	"tuliprock/internal/testkit/faultnet"
	"tuliprock/internal/testkit/testpeer"
)

// An endpoint that operators eject at one of five daemons is ejected on all. A daemon is partitioned, a leader is killed, a leader
// is paused, and all daemons are killed at once: no agreed change is lost, and no request goes to an ejected endpoint.
func TestEjectionHoldsOnAllDaemonsThroughFaults(t *testing.T) {
	c := newTestCluster(t, clusterSpec{daemons: 5, voters: 3})
	firstNode, secondNode := c.nodes[0].Addr, c.nodes[1].Addr
	c.callUntilActiveOnAll(c.daemons[3], "set-down "+firstNode)
	c.awaitEjection(c.daemons, 0, true)
	if n := c.countRequestsAt(c.daemons, 0); n > 0 {
		t.Errorf("an ejected node got %d requests, want none", n)
	}

	code, stdout, stderr := runProgram(t, programCommand("settings", "--at", c.daemons[0].adminAddr, "--json", "-"))
	if code != exitOK || !strings.Contains(stdout, `"format":1,"version":`) || !strings.Contains(stdout, `"name":"out/`+firstNode) {
		t.Errorf("settings: exit code %d, stdout %s, stderr %s, want 0 and the ejection of %s", code, stdout, stderr, firstNode)
	}

	partitioned := c.daemons[4]
	c.network.SetLinksBetween([]string{"s4"}, []string{"s0", "s1", "s2", "s3"}, faultnet.Link{IsCut: true})
	testpeer.Eventually(t, "the partitioned daemon has no lease", func() bool { return strings.Contains(partitioned.callAdmin("settings"), "acting=false") })
	c.callUntilActiveOnAll(c.daemons[0], "set-up "+firstNode)
	c.awaitEjection(c.daemons[:4], 0, false)
	if n := c.countRequestsAt([]*clusterDaemon{partitioned}, 0); n > 0 {
		t.Errorf("a node that is still ejected for the partitioned daemon got %d requests from it, want none", n)
	}
	reply := partitioned.callAdmin("set-down " + secondNode)
	if !strings.HasPrefix(reply, "SUCCESS") || !strings.Contains(reply, "here; for the others: no majority") {
		t.Errorf("set-down at the partitioned daemon: %q, want success there and an error for the others", reply)
	}
	if n := c.countRequestsAt([]*clusterDaemon{partitioned}, 1); n > 0 {
		t.Errorf("a node ejected only at the partitioned daemon got %d requests from it, want none", n)
	}
	c.network.Heal()
	c.awaitEjection(c.daemons, 0, false)
	c.callUntilActiveOnAll(partitioned, "set-up "+secondNode)

	leader := c.findLeader()
	if leader < 0 {
		t.Fatal("no daemon is the leader")
	}
	killed := c.daemons[leader]
	killed.signal(t, syscall.SIGKILL)
	_ = killed.wait()
	c.callUntilActiveOnAll(c.daemons[3], "set-down "+secondNode)
	var survivors []*clusterDaemon
	for _, d := range c.daemons {
		if d != killed {
			survivors = append(survivors, d)
		}
	}
	c.awaitEjection(survivors, 1, true)
	killed.start(t)
	if n := c.countRequestsAt([]*clusterDaemon{killed}, 1); n > 0 {
		t.Errorf("a node that was ejected while a daemon was down got %d requests from that daemon, want none", n)
	}

	if leader = c.findLeader(); leader < 0 {
		t.Fatal("no daemon is the leader")
	}
	paused := c.daemons[leader]
	paused.signal(t, syscall.SIGSTOP)
	otherVoter := c.daemons[(leader+1)%3]
	c.callUntilActiveOnAll(otherVoter, "set-up "+secondNode)
	paused.signal(t, syscall.SIGCONT)
	c.awaitEjection(c.daemons, 1, false)
	c.callUntilActiveOnAll(paused, "set-down "+firstNode)
	c.awaitEjection(c.daemons, 0, true)

	for _, d := range c.daemons {
		d.signal(t, syscall.SIGKILL)
		_ = d.wait()
	}
	for _, d := range c.daemons {
		d.process = startProcess(t, "serve", "--config", d.configPath)
	}
	for _, d := range c.daemons {
		d.awaitText(t, "msg=listening")
	}
	c.awaitEjection(c.daemons, 0, true)
	if n := c.countRequestsAt(c.daemons, 0); n > 0 {
		t.Errorf("a node that was ejected before all daemons were killed got %d requests, want none", n)
	}
}

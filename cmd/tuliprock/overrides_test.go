package main

import (
	"strings"
	"syscall"
	"testing"

	"tuliprock/internal/testkit/faultnet"
	"tuliprock/internal/testkit/testpeer"
)

// Five processes: an endpoint that operators eject at one daemon is ejected on all. Through a partition, a killed leader, a
// stopped leader and all processes killed at once, no agreed change is lost, and no request goes to an ejected endpoint.
func TestEjectionHoldsOnAllDaemonsThroughFaults(t *testing.T) {
	c := newTestCluster(t, clusterSpec{daemons: 5, voters: 3})
	first, second := c.nodes[0].Addr, c.nodes[1].Addr
	c.callUntilOnAll(c.daemons[3], "set-down "+first)
	c.awaitEjection(c.daemons, 0, true)
	if n := c.countRequestsAt(c.daemons, 0); n > 0 {
		t.Errorf("%d requests came to what is out", n)
	}

	code, out, errs := runProgram(t, programCommand("settings", "--at", c.daemons[0].admin, "--json", "-"))
	if code != exitOK || !strings.Contains(out, `"format":1,"version":`) || !strings.Contains(out, `"name":"out/`+first) {
		t.Errorf("settings: %d %s %s", code, out, errs)
	}

	away := c.daemons[4]
	c.net.SetLinksBetween([]string{"s4"}, []string{"s0", "s1", "s2", "s3"}, faultnet.Link{Cut: true})
	testpeer.Eventually(t, "who is cut off has no lease", func() bool { return strings.Contains(away.callAdmin("settings"), "acting=false") })
	c.callUntilOnAll(c.daemons[0], "set-up "+first)
	c.awaitEjection(c.daemons[:4], 0, false)
	if n := c.countRequestsAt([]*clusterDaemon{away}, 0); n > 0 {
		t.Errorf("%d requests by who was cut off came to what is out for it", n)
	}
	said := away.callAdmin("set-down " + second)
	if !strings.HasPrefix(said, "SUCCESS") || !strings.Contains(said, "here; for the others: no majority") {
		t.Errorf("a call at who is cut off: %q", said)
	}
	if n := c.countRequestsAt([]*clusterDaemon{away}, 1); n > 0 {
		t.Errorf("%d requests came to what was taken out here", n)
	}
	c.net.Heal()
	c.awaitEjection(c.daemons, 0, false)
	c.callUntilOnAll(away, "set-up "+second)

	leads := c.leader()
	if leads < 0 {
		t.Fatal("nobody leads")
	}
	killed := c.daemons[leads]
	killed.signal(t, syscall.SIGKILL)
	_ = killed.wait()
	c.callUntilOnAll(c.daemons[3], "set-down "+second)
	var rest []*clusterDaemon
	for _, d := range c.daemons {
		if d != killed {
			rest = append(rest, d)
		}
	}
	c.awaitEjection(rest, 1, true)
	killed.start(t)
	if n := c.countRequestsAt([]*clusterDaemon{killed}, 1); n > 0 {
		t.Errorf("%d requests came to what is out by who was away", n)
	}

	if leads = c.leader(); leads < 0 {
		t.Fatal("nobody leads")
	}
	stopped := c.daemons[leads]
	stopped.signal(t, syscall.SIGSTOP)
	other := c.daemons[(leads+1)%3]
	c.callUntilOnAll(other, "set-up "+second)
	stopped.signal(t, syscall.SIGCONT)
	c.awaitEjection(c.daemons, 1, false)
	c.callUntilOnAll(stopped, "set-down "+first)
	c.awaitEjection(c.daemons, 0, true)

	for _, d := range c.daemons {
		d.signal(t, syscall.SIGKILL)
		_ = d.wait()
	}
	for _, d := range c.daemons {
		d.process = startProcess(t, "serve", "--config", d.path)
	}
	for _, d := range c.daemons {
		d.awaitText(t, "msg=listening")
	}
	c.awaitEjection(c.daemons, 0, true)
	if n := c.countRequestsAt(c.daemons, 0); n > 0 {
		t.Errorf("%d requests came to what was out before all were killed", n)
	}
}

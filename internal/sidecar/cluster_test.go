package sidecar

import (
	"net/http"
	"runtime"
	"strings"
	"testing"

	"tuliprock/internal/testkit/testpeer"
)

// allStacks returns the stack traces of all goroutines as text.
func allStacks() string {
	b := make([]byte, 1<<20)
	return string(b[:runtime.Stack(b, true)])
}

// clusterImportPrefix is the common prefix of the import paths of the cluster's packages.
const clusterImportPrefix = "tuliprock/internal/cluster/"

// On the platform sidecars can't reach one another, so a daemon on the platform's configuration must not open sockets
// or start goroutines for a cluster. A daemon on an operators' file with the section [fleet] does, which shows that the
// test would detect sockets and goroutines. All pools of such a daemon get the number of members, also pools that a
// reload adds.
func TestOnlyOperatorsFileStartsCluster(t *testing.T) {
	a := startEchoEndpoint(t, "A")
	platform := startPlatform(t, a)
	if platform.cluster != nil || strings.Contains(allStacks(), clusterImportPrefix) {
		t.Error("a daemon on the platform's configuration is in a cluster")
	}
	file := "[fleet]\nlisten = \"127.0.0.1:0\"\nname = \"s\"\n" + listenerOne + poolSection("a", a) + lookRoute
	s := startFromFile(t, parseService(t, file))
	if !strings.Contains(allStacks(), clusterImportPrefix+"transport") {
		t.Fatal("a file with the section [fleet] starts no cluster, so the test would not detect a cluster on the platform's configuration either")
	}
	join := "name = \"r\"\njoin = [\"" + s.cluster.transport.Addr().String() + "\"]"
	other := startFromFile(t, parseService(t, strings.Replace(file, "name = \"s\"", join, 1)))
	seesTwoMembers := func(d *fileSidecar) bool {
		d.cluster.mu.Lock()
		defer d.cluster.mu.Unlock()
		return d.cluster.daemons == 2
	}
	testpeer.Eventually(t, "both daemons count two members", func() bool { return seesTwoMembers(s) && seesTwoMembers(other) })
	if resp, _ := sendGet(t, s.addressOf("one"), "h", "/x"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %s, want 200", resp.Status)
	}
	if err := s.Reload(parseService(t, listenerOne+poolSection("a", a)+lookRoute)); err == nil {
		t.Error("a reload without the section [fleet] succeeded, want an error")
	}
	s.reload(t, strings.Replace(file, poolSection("a", a), poolSection("a", a)+poolSection("b", a), 1))
	s.cluster.mu.Lock()
	pools := len(s.cluster.pools)
	s.cluster.mu.Unlock()
	if pools != 2 {
		t.Errorf("%d pools get the number of members, want 2", pools)
	}
}

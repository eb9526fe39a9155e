package sidecar

import (
	"net/http"
	"runtime"
	"strings"
	"testing"

	"tuliprock/internal/testkit/testpeer"
)

// allStacks returns the stacks of all goroutines.
func allStacks() string {
	b := make([]byte, 1<<20)
	return string(b[:runtime.Stack(b, true)])
}

const clusterPackages = "tuliprock/internal/cluster/"

// On the platform sidecars can't reach one another: no socket is opened for that and no goroutine started. Where an
// operators' file has a fleet both are there, so that this test could fail; and all pools get the number of members, also
// those that a reload adds.
func TestOnlyOperatorsFileStartsCluster(t *testing.T) {
	a := echoEndpoint(t, "A")
	p := startPlatform(t, a)
	if p.cluster != nil || strings.Contains(allStacks(), clusterPackages) {
		t.Error("the platform's sidecar is in a cluster")
	}
	file := "[fleet]\nlisten = \"127.0.0.1:0\"\nname = \"s\"\n" + listen1 + poolOf("a", a) + lookRoute
	s := startFromFile(t, parseService(t, file))
	if !strings.Contains(allStacks(), clusterPackages+"transport") {
		t.Fatal("a file with a fleet starts no cluster: the check above proves nothing")
	}
	join := "name = \"r\"\njoin = [\"" + s.cluster.transport.Addr().String() + "\"]"
	other := startFromFile(t, parseService(t, strings.Replace(file, "name = \"s\"", join, 1)))
	shared := func(d *fileSidecar) bool {
		d.cluster.mu.Lock()
		defer d.cluster.mu.Unlock()
		return d.cluster.daemons == 2
	}
	testpeer.Eventually(t, "two share", func() bool { return shared(s) && shared(other) })
	if resp, _ := sendGet(t, s.addressOf("one"), "h", "/x"); resp.StatusCode != http.StatusOK {
		t.Errorf("%s", resp.Status)
	}
	if err := s.Reload(parseService(t, listen1+poolOf("a", a)+lookRoute)); err == nil {
		t.Error("a reload ends the cluster")
	}
	s.reload(t, strings.Replace(file, poolOf("a", a), poolOf("a", a)+poolOf("b", a), 1))
	s.cluster.mu.Lock()
	pools := len(s.cluster.pools)
	s.cluster.mu.Unlock()
	if pools != 2 {
		t.Errorf("%d pools get the number of members", pools)
	}
}

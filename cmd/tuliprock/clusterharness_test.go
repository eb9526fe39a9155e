package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tuliprock/internal/testkit/faultnet"
	"tuliprock/internal/testkit/testpeer"
)

// testCluster is a cluster of daemons on links that can be made faulty, the first of them voters, and two nodes that count
// their requests.
type testCluster struct {
	t         *testing.T
	net       *faultnet.Network
	daemons   []*clusterDaemon
	nodes     [2]*testpeer.Endpoint
	requests  [2]atomic.Int64
	onRequest func(r *http.Request) // called with each request that arrives at a node; may be nil
	dir       string                // of the daemons' data, by name
}

// maxConflict bounds for how long daemons may act on different versions.
const maxConflict = time.Second

// clusterSpec says which daemons a cluster has.
type clusterSpec struct {
	daemons, voters int
	persist         bool   // all have a data_dir
	shared          string // what else their files have
	onRequest       func(r *http.Request)
}

func newTestCluster(t *testing.T, spec clusterSpec) *testCluster {
	t.Helper()
	c := &testCluster{t: t, net: faultnet.New(1, func(text string) { t.Log(text) }), dir: t.TempDir(), onRequest: spec.onRequest}
	t.Cleanup(c.net.Close)
	for i := range c.nodes {
		c.nodes[i] = testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
			if c.requests[i].Add(1); c.onRequest != nil {
				c.onRequest(r)
			}
			_, err := io.WriteString(nc, testpeer.ResponseOK)
			return err == nil
		})
	}
	advertised, listens, voters := map[string]string{}, []string{}, []string{} // the first by name
	for i := range spec.daemons {
		name, listen := fmt.Sprint("s", i), freeClusterAddress(t, 60+i)
		relay, err := c.net.AddRelay(name, netip.MustParseAddrPort(listen))
		if err != nil {
			t.Fatal(err)
		}
		advertised[name] = relay.String()
		listens = append(listens, listen)
		if i < spec.voters {
			voters = append(voters, name)
		}
	}
	key := writeKeyFile(t, 1)
	for i := range spec.daemons {
		name := fmt.Sprint("s", i)
		file := clusterDaemonFile{endpoints: []string{c.nodes[0].Addr, c.nodes[1].Addr}, shared: spec.shared}
		file.fleet = fastProbes + fmt.Sprintf(`, advertise = %q, agreed = true, voters = [%s], conflict_within = %q, lease = "2s"`,
			advertised[name], quotedList(`%q`, voters), maxConflict)
		if spec.persist || slices.Contains(voters, name) {
			file.fleet += fmt.Sprintf(", data_dir = %q", filepath.Join(c.dir, name))
		}
		c.daemons = append(c.daemons, file.startDaemon(t, name, "c", listens[i], key, advertised["s0"], advertised["s1"], advertised["s2"]))
	}
	return c
}

// callAdmin sends a line to the daemon's operators' address and returns the response, or the error's text.
func (d *clusterDaemon) callAdmin(line string) string {
	nc, err := net.DialTimeout("tcp", d.admin, reportTimeout)
	if err != nil {
		return err.Error()
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(reportTimeout))
	_, _ = io.WriteString(nc, line+"\n")
	text, _ := io.ReadAll(nc)
	return string(text)
}

// callUntilOnAll repeats a call until the response says that all daemons act on it: during an election nothing is agreed on.
func (c *testCluster) callUntilOnAll(d *clusterDaemon, line string) {
	c.t.Helper()
	const want = "on all daemons with version"
	testpeer.Eventually(c.t, line+": "+want, func() bool { return strings.Contains(d.callAdmin(line), want) })
}

// awaitEjection waits until the daemons act on a node being manually ejected, or not ejected.
func (c *testCluster) awaitEjection(ds []*clusterDaemon, node int, out bool) {
	c.t.Helper()
	began := time.Now()
	for _, d := range ds {
		testpeer.Eventually(c.t, fmt.Sprintf("%s holds node %d for out: %v", d.listen, node, out), func() bool {
			text := d.callAdmin("settings")
			return strings.Contains(text, "acting=true") && strings.Contains(text, "name=out/"+c.nodes[node].Addr+" ") == out
		})
	}
	c.t.Logf("after %v all hold node %d for out: %v", time.Since(began).Round(time.Millisecond), node, out)
}

// countRequestsAt sends requests through the daemons, and returns how many requests arrived at a node meanwhile.
func (c *testCluster) countRequestsAt(ds []*clusterDaemon, node int) int64 {
	c.t.Helper()
	before := c.requests[node].Load()
	for _, d := range ds {
		for range 20 {
			resp, err := http.Get("http://" + d.http + "/x")
			if err != nil {
				c.t.Fatal(err)
			}
			resp.Body.Close()
		}
	}
	return c.requests[node].Load() - before
}

// leader is the index of the daemon that leads; -1 if none does.
func (c *testCluster) leader() int {
	for i, d := range c.daemons[:3] {
		if strings.Contains(d.callAdmin("settings"), "leads=true") {
			return i
		}
	}
	return -1
}

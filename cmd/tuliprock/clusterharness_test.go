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

// testCluster is a cluster of daemon processes with two nodes that count the requests that they get. Tests can inject faults
// into the network links between the daemons. The daemon with index i is named s<i>, and the voters have the lowest indexes.
type testCluster struct {
	t             *testing.T
	network       *faultnet.Network
	daemons       []*clusterDaemon
	nodes         [2]*testpeer.Endpoint
	requestCounts [2]atomic.Int64       // number of requests that arrived at each node
	onRequest     func(r *http.Request) // called concurrently with each request that arrives at a node; may be nil
	dataDir       string                // directory that holds the data_dir of each daemon, in a subdirectory named after the daemon
}

// maxVersionConflict is the configured upper bound (conflict_within) for how long daemons may act on different versions of
// the settings.
const maxVersionConflict = time.Second

// clusterSpec specifies the daemons of a testCluster.
type clusterSpec struct {
	daemons        int                   // number of daemons in the cluster
	voters         int                   // number of voters among the daemons
	allHaveDataDir bool                  // whether all daemons have a data_dir, not only the voters
	extraConfig    string                // more lines at the end of each daemon's operators' file
	onRequest      func(r *http.Request) // called with each request that arrives at a node; may be nil
}

// newTestCluster starts the nodes and the daemons, and returns when all daemons listen.
func newTestCluster(t *testing.T, spec clusterSpec) *testCluster {
	t.Helper()
	c := &testCluster{t: t, network: faultnet.New(1, func(text string) { t.Log(text) }), dataDir: t.TempDir(), onRequest: spec.onRequest}
	t.Cleanup(c.network.Close)
	for i := range c.nodes {
		c.nodes[i] = testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
			if c.requestCounts[i].Add(1); c.onRequest != nil {
				c.onRequest(r)
			}
			_, err := io.WriteString(nc, testpeer.ResponseOK)
			return err == nil
		})
	}
	// address that each daemon advertises, by the daemon's name; a relay, which can inject network faults, listens there and
	// forwards to the daemon
	relayAddrs := map[string]string{}
	listenAddrs, voters := []string{}, []string{}
	for i := range spec.daemons {
		name, listenAddr := fmt.Sprint("s", i), testpeer.FreeAddressOnHost(t, 60+i)
		relayAddr, err := c.network.AddRelay(name, netip.MustParseAddrPort(listenAddr))
		if err != nil {
			t.Fatal(err)
		}
		relayAddrs[name] = relayAddr.String()
		listenAddrs = append(listenAddrs, listenAddr)
		if i < spec.voters {
			voters = append(voters, name)
		}
	}
	keyFile := writeKeyFile(t, 1)
	for i := range spec.daemons {
		name := fmt.Sprint("s", i)
		config := clusterDaemonConfig{endpoints: []string{c.nodes[0].Addr, c.nodes[1].Addr}, extraConfig: spec.extraConfig}
		config.fleetOptions = fastProbes + fmt.Sprintf(`, advertise = %q, agreed = true, voters = [%s], conflict_within = %q, lease = "2s"`,
			relayAddrs[name], formatList(`%q`, voters), maxVersionConflict)
		if spec.allHaveDataDir || slices.Contains(voters, name) {
			config.fleetOptions += fmt.Sprintf(", data_dir = %q", filepath.Join(c.dataDir, name))
		}
		c.daemons = append(c.daemons, config.startDaemon(t, name, "c", listenAddrs[i], keyFile, relayAddrs["s0"], relayAddrs["s1"], relayAddrs["s2"]))
	}
	return c
}

// callAdmin sends a command line to the daemon's admin address and returns the response, or the text of the error.
func (d *clusterDaemon) callAdmin(line string) string {
	nc, err := net.DialTimeout("tcp", d.adminAddr, reportTimeout)
	if err != nil {
		return err.Error()
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(reportTimeout))
	_, _ = io.WriteString(nc, line+"\n")
	text, _ := io.ReadAll(nc)
	return string(text)
}

// callUntilActiveOnAll repeats a command until the response says that all daemons act on the change. The command may fail at
// first, since nothing can be agreed on during an election.
func (c *testCluster) callUntilActiveOnAll(d *clusterDaemon, line string) {
	c.t.Helper()
	const want = "on all daemons with version"
	testpeer.Eventually(c.t, line+": "+want, func() bool { return strings.Contains(d.callAdmin(line), want) })
}

// awaitEjection waits until each of the daemons acts on settings that eject a node manually if isEjected is true, and on settings
// that do not eject the node if isEjected is false.
func (c *testCluster) awaitEjection(ds []*clusterDaemon, node int, isEjected bool) {
	c.t.Helper()
	start := time.Now()
	for _, d := range ds {
		testpeer.Eventually(c.t, fmt.Sprintf("%s has node %d ejected: %v", d.clusterAddr, node, isEjected), func() bool {
			text := d.callAdmin("settings")
			return strings.Contains(text, "acting=true") && strings.Contains(text, "name=out/"+c.nodes[node].Addr+" ") == isEjected
		})
	}
	c.t.Logf("after %v all daemons have node %d ejected: %v", time.Since(start).Round(time.Millisecond), node, isEjected)
}

// countRequestsAt sends 20 requests through each of the daemons, and returns how many requests arrived at a node meanwhile.
func (c *testCluster) countRequestsAt(ds []*clusterDaemon, node int) int64 {
	c.t.Helper()
	before := c.requestCounts[node].Load()
	for _, d := range ds {
		for range 20 {
			resp, err := http.Get("http://" + d.httpAddr + "/x")
			if err != nil {
				c.t.Fatal(err)
			}
			resp.Body.Close()
		}
	}
	return c.requestCounts[node].Load() - before
}

// findLeader returns the index of the voter that is the leader, or -1 if there is none. It expects three voters.
func (c *testCluster) findLeader() int {
	for i, d := range c.daemons[:3] {
		if strings.Contains(d.callAdmin("settings"), "leads=true") {
			return i
		}
	}
	return -1
}

package main

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strconv"
	"testing"
	"time"

	"tuliprock/internal/cluster/status"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/testpeer"
)

// This test measures the throughput and the p99 latency of a daemon in a cluster of seven, relative to a daemon without peers.
// The two daemons are measured alternately, TULIPROCK_TEST_CLUSTER_COST_TURNS times each; if that variable is not set, the test
// is skipped. See docs/design/026.
func TestThroughputInClusterAgainstDaemonWithoutPeers(t *testing.T) {
	turns, _ := strconv.Atoi(os.Getenv("TULIPROCK_TEST_CLUSTER_COST_TURNS"))
	if turns == 0 {
		t.Skip("TULIPROCK_TEST_CLUSTER_COST_TURNS is not set: this is a measurement, for an idle machine")
	}
	node := testpeer.FreeAddress(t)
	startServerProcess(t, "node", node)
	config := clusterDaemonConfig{endpoints: []string{node}} // without fleetOptions, so the default probe intervals apply
	keyFile := writeKeyFile(t, 1)
	member := config.startDaemon(t, "m0", "c", testpeer.FreeAddressOnHost(t, 20), keyFile)
	for i := range 6 {
		config.startDaemon(t, fmt.Sprint("m", i+1), "c", testpeer.FreeAddressOnHost(t, 21+i), keyFile, member.clusterAddr)
	}
	member.awaitPeersReport(t, "the member sees seven daemons", func(f *status.Fleet) bool { return f.DaemonCount == 7 })
	withoutPeers := config.startDaemon(t, "alone", "other", testpeer.FreeAddressOnHost(t, 30), keyFile)
	for _, connections := range []int{1, 16, 64} {
		var rates, p99s []float64
		for i := range turns {
			var rate [2]float64
			var p99 [2]time.Duration
			for k := range 2 {
				variant := (i + k) % 2
				rate[variant], _, p99[variant] = runClosedLoop(t, []string{member.httpAddr, withoutPeers.httpAddr}[variant], connections, 3*time.Second)
			}
			rates, p99s = append(rates, rate[0]/rate[1]), append(p99s, float64(p99[0])/float64(p99[1]))
		}
		t.Logf("%d connections, member of seven relative to a daemon without peers: request rate %s, p99 latency %s", connections, formatRatios(rates), formatRatios(p99s))
	}
}

// This test measures the memory and the processor time of an idle daemon, first without peers and then with
// TULIPROCK_TEST_IDLE_PEERS peers; if that variable is not set, the test is skipped. See docs/design/026.
func TestIdleDaemonCostAmongManyPeers(t *testing.T) {
	peerCount, _ := strconv.Atoi(os.Getenv("TULIPROCK_TEST_IDLE_PEERS"))
	if peerCount == 0 {
		t.Skip("TULIPROCK_TEST_IDLE_PEERS is not set: this is a measurement, for an idle machine")
	}
	config := clusterDaemonConfig{endpoints: []string{unreachableEndpoint}} // without fleetOptions, so the default probe intervals apply
	keyFile := writeKeyFile(t, 1)
	d := config.startDaemon(t, "d", "c", testpeer.FreeAddressOnHost(t, 40), keyFile)
	measure := func(situation string) {
		timeBefore := readProcessorTime(d.cmd.Process.Pid)
		time.Sleep(30 * time.Second)
		f, err := status.FetchFleet(d.adminAddr, reportTimeout)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d KiB resident, %.4f of a core, %s, %d daemons",
			situation, readProcessMemoryKiB(d.cmd.Process.Pid, "VmRSS"), (readProcessorTime(d.cmd.Process.Pid)-timeBefore).Seconds()/30, f.Connectivity, f.DaemonCount)
	}
	measure("without peers")
	keys, err := transport.ReadKeys(keyFile)
	if err != nil {
		t.Fatal(err)
	}
	joinAddr := netip.MustParseAddrPort(d.clusterAddr)
	for i := range peerCount {
		peer, err := transport.Start(transport.Options{Cluster: "c", Name: fmt.Sprint("p", i), Listen: netip.MustParseAddrPort(fmt.Sprintf("127.%d.8.%d:0", 30+i/250, 1+i%250)), Keys: keys,
			Join: []netip.AddrPort{joinAddr}, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = peer.Abort() }() // closes the peer's sockets without an announcement to the other daemons
	}
	for end := time.Now().Add(3 * time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		if f, err := status.FetchFleet(d.adminAddr, reportTimeout); err == nil && f.DaemonCount == peerCount+1 {
			break
		}
	}
	measure(fmt.Sprintf("with %d peers", peerCount))
}

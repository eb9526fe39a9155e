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

// The measurement: requests through a daemon in a cluster of seven beside one without peers, in turns; and the memory and
// processor time of an idle daemon among many peers. FLEET=turns and PEERS=number run them; see docs/design/026.
func TestClusterCostInTurns(t *testing.T) {
	turns, _ := strconv.Atoi(os.Getenv("FLEET"))
	if turns == 0 {
		t.Skip("FLEET is not set: a measurement, for a quiet machine")
	}
	node := testpeer.FreeAddress(t)
	startPeer(t, "node", node)
	file := clusterDaemonFile{endpoints: []string{node}} // with the intervals that the daemon has by default
	key := writeKeyFile(t, 1)
	in := file.startDaemon(t, "m0", "c", freeClusterAddress(t, 20), key)
	for i := range 6 {
		file.startDaemon(t, fmt.Sprint("m", i+1), "c", freeClusterAddress(t, 21+i), key, in.listen)
	}
	in.awaitReport(t, "seven are there", func(f *status.Fleet) bool { return f.Daemons == 7 })
	alone := file.startDaemon(t, "alone", "other", freeClusterAddress(t, 30), key)
	for _, connections := range []int{1, 16, 64} {
		var rates, p99s []float64
		for i := range turns {
			var rate [2]float64
			var p99 [2]time.Duration
			for k := range 2 {
				which := (i + k) % 2
				rate[which], _, p99[which] = closedLoop(t, []string{in.http, alone.http}[which], connections, 3*time.Second)
			}
			rates, p99s = append(rates, rate[0]/rate[1]), append(p99s, float64(p99[0])/float64(p99[1]))
		}
		t.Logf("%d connections, in a fleet of seven beside alone: rate %s, p99 %s", connections, formatRatios(rates), formatRatios(p99s))
	}
}

func TestIdleDaemonCostAmongManyPeers(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("PEERS"))
	if n == 0 {
		t.Skip("PEERS is not set: a measurement, for a quiet machine")
	}
	file := clusterDaemonFile{endpoints: []string{unreachableEndpoint}} // with the intervals that the daemon has by default
	key := writeKeyFile(t, 1)
	d := file.startDaemon(t, "d", "c", freeClusterAddress(t, 40), key)
	measure := func(what string) {
		before := processorTime(d.cmd.Process.Pid)
		time.Sleep(30 * time.Second)
		f, err := status.FetchFleet(d.admin, reportTimeout)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d KiB resident, %.4f of a core, %s, %d daemons",
			what, processMemoryKiB(d.cmd.Process.Pid, "VmRSS"), (processorTime(d.cmd.Process.Pid)-before).Seconds()/30, f.Connectivity, f.Daemons)
	}
	measure("alone")
	keys, err := transport.ReadKeys(key)
	if err != nil {
		t.Fatal(err)
	}
	join := netip.MustParseAddrPort(d.listen)
	for i := range n {
		l, err := transport.Start(transport.Options{Cluster: "c", Name: fmt.Sprint("p", i), Listen: netip.MustParseAddrPort(fmt.Sprintf("127.%d.8.%d:0", 30+i/250, 1+i%250)), Keys: keys,
			Join: []netip.AddrPort{join}, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Abort() }() // what it says at its end is no part of the measurement
	}
	for end := time.Now().Add(3 * time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		if f, err := status.FetchFleet(d.admin, reportTimeout); err == nil && f.Daemons == n+1 {
			break
		}
	}
	measure(fmt.Sprintf("among %d", n))
}

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"tuliprock/internal/cluster/status"
	"tuliprock/internal/testkit/testpeer"
)

// A daemon whose name another one has already, a daemon of another cluster and a daemon with another key do not disturb a
// cluster of three daemons, and all six serve requests. When the older of the two daemons with one name is killed, the younger
// one joins under the name. Then a daemon leaves by a graceful shutdown, and a second key is added to the key file.
func TestClusterExcludesDuplicateNamesOtherClustersAndOtherKeys(t *testing.T) {
	keyFile := writeKeyFile(t, 1)
	a := startClusterDaemon(t, "a", "c", testpeer.FreeAddressOnHost(t, 1), keyFile)
	b := startClusterDaemon(t, "b", "c", testpeer.FreeAddressOnHost(t, 2), keyFile, a.clusterAddr)
	older := startClusterDaemon(t, "x", "c", testpeer.FreeAddressOnHost(t, 3), keyFile, a.clusterAddr)
	a.awaitPeersReport(t, "a sees three daemons", func(f *status.Fleet) bool { return f.DaemonCount == 3 && f.Ordinal == 0 && f.Connectivity == "whole" })
	younger := startClusterDaemon(t, "x", "c", testpeer.FreeAddressOnHost(t, 4), keyFile, b.clusterAddr)
	inOtherCluster := startClusterDaemon(t, "s", "other", testpeer.FreeAddressOnHost(t, 5), keyFile, a.clusterAddr)
	withOtherKey := startClusterDaemon(t, "f", "c", testpeer.FreeAddressOnHost(t, 6), writeKeyFile(t, 2), a.clusterAddr)
	younger.awaitPeersReport(t, "the younger daemon is not admitted", func(f *status.Fleet) bool { return f.ElderAddr == older.clusterAddr && f.Connectivity == "cut-off" })
	younger.awaitText(t, "a daemon of this name that started earlier is in the fleet")
	older.awaitText(t, "a daemon of this name that started later tried to join the fleet")
	for name, d := range map[string]*clusterDaemon{"a": a, "b": b, "older": older, "younger": younger, "other cluster": inOtherCluster, "other key": withOtherKey} {
		resp, err := http.Get("http://" + d.httpAddr + "/_health")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("daemon %s: health check response %v, error %v, want status 200", name, resp, err)
		}
		resp.Body.Close()
	}
	for _, d := range []*clusterDaemon{a, b, older} {
		d.awaitPeersReport(t, "each of the three daemons sees all three", func(f *status.Fleet) bool {
			return f.DaemonCount == 3 && len(f.Peers) == 3 && peerOf(f, "x").Address == older.clusterAddr && f.Connectivity == "whole"
		})
	}
	older.signal(t, syscall.SIGKILL)
	a.awaitPeersReport(t, "the younger daemon has joined under the name", func(f *status.Fleet) bool {
		return peerOf(f, "x").Address == younger.clusterAddr && peerOf(f, "x").State == "alive"
	})
	b.signal(t, syscall.SIGTERM)
	if err := b.wait(); err != nil {
		t.Errorf("b exited with %v, want no error: %s", err, b)
	}
	a.awaitPeersReport(t, "b has left", func(f *status.Fleet) bool { return peerOf(f, "b").State == "left" && f.DaemonCount == 2 })

	// A second key is added to the key file. A change of the cluster's name, which needs a restart, is logged and ignored.
	if err := os.WriteFile(keyFile, fmt.Appendf(nil, "%x\n%x\n", bytes.Repeat([]byte{1}, 32), bytes.Repeat([]byte{2}, 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	a.writeConfig(t, strings.Replace(a.configText, `cluster = "c"`, `cluster = "d"`, 1))
	a.signal(t, syscall.SIGHUP)
	a.awaitText(t, "change with a restart only")
	a.awaitPeersReport(t, "a is still in its cluster", func(f *status.Fleet) bool { return peerOf(f, "x").State == "alive" })
	a.writeConfig(t, strings.Replace(a.configText, keyFile, "/nowhere", 1))
	a.signal(t, syscall.SIGHUP)
	a.awaitText(t, "fleet.key_file")
	younger.awaitPeersReport(t, "the younger daemon still sees a", func(f *status.Fleet) bool { return peerOf(f, "a").State == "alive" && f.ElderAddr == "" })
	if code, stdout, _ := runProgram(t, programCommand("peers", "--at", a.adminAddr)); code != exitOK || !strings.Contains(stdout, "a is ") {
		t.Errorf("peers: exit code %d, stdout %s, want 0 and the state of a", code, stdout)
	}
	withOtherKey.awaitPeersReport(t, "a accepts messages of the daemon with the other key, after both keys are in its file", func(f *status.Fleet) bool {
		return peerOf(f, "a").State == "" || peerOf(f, "a").State == "alive"
	})
}

// The command peers exits with exitUsage if the daemon is not in a cluster.
func TestPeersCommandFailsWithoutCluster(t *testing.T) {
	d := &clusterDaemon{adminAddr: testpeer.FreeAddress(t), configPath: filepath.Join(t.TempDir(), "ops.toml")}
	d.writeConfig(t, fmt.Sprintf("format = 1\ndaemon = { admin_addr = %q }\nlistener = [{ name = \"in\", address = \"127.0.0.1:0\" }]\nclass = [{ name = \"look\", effect = \"safe\" }]\n"+
		"pool = [{ name = \"p\", member = [{ address = \"127.0.0.1:9\" }] }]\nroute = [{ pool = \"p\", class = \"look\" }]\n", d.adminAddr))
	d.process = startProcess(t, "serve", "--config", d.configPath)
	d.awaitText(t, "msg=listening")
	start := time.Now()
	code, stdout, stderr := runProgram(t, programCommand("peers", "--at", d.adminAddr, "--json", "-"))
	if code != exitUsage || stdout != "" || !strings.Contains(stderr, "in no fleet") {
		t.Errorf("exit code %d, stdout %q, stderr %q after %v, want %d and that the daemon is in no fleet", code, stdout, stderr, time.Since(start), exitUsage)
	}
}

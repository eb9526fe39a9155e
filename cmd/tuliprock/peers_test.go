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

// Two processes with one name, one of another cluster and one with another key: each reports that, and the others serve on.
// Then the elder is killed and the younger takes its name, one leaves gracefully, and keys are rotated.
func TestClusterSeparatesDuplicateNamesClustersAndKeys(t *testing.T) {
	key := writeKeyFile(t, 1)
	a := startClusterDaemon(t, "a", "c", freeClusterAddress(t, 1), key)
	b := startClusterDaemon(t, "b", "c", freeClusterAddress(t, 2), key, a.listen)
	elder := startClusterDaemon(t, "x", "c", freeClusterAddress(t, 3), key, a.listen)
	a.awaitReport(t, "three are there", func(f *status.Fleet) bool { return f.Daemons == 3 && f.Ordinal == 0 && f.Connectivity == "whole" })
	younger := startClusterDaemon(t, "x", "c", freeClusterAddress(t, 4), key, b.listen)
	stranger := startClusterDaemon(t, "s", "other", freeClusterAddress(t, 5), key, a.listen)
	forger := startClusterDaemon(t, "f", "c", freeClusterAddress(t, 6), writeKeyFile(t, 2), a.listen)
	younger.awaitReport(t, "the younger stays out", func(f *status.Fleet) bool { return f.Elder == elder.listen && f.Connectivity == "cut-off" })
	younger.awaitText(t, "an elder daemon of this name is in the fleet")
	elder.awaitText(t, "a younger daemon of this name is about")
	for name, d := range map[string]*clusterDaemon{"a": a, "b": b, "elder": elder, "younger": younger, "stranger": stranger, "forger": forger} {
		resp, err := http.Get("http://" + d.http + "/_health")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%s does not serve: %v", name, err)
		}
		resp.Body.Close()
	}
	for _, d := range []*clusterDaemon{a, b, elder} {
		d.awaitReport(t, "the three hold one another", func(f *status.Fleet) bool {
			return f.Daemons == 3 && len(f.Peers) == 3 && peerOf(f, "x").Address == elder.listen && f.Connectivity == "whole"
		})
	}
	elder.signal(t, syscall.SIGKILL)
	a.awaitReport(t, "the younger has the name", func(f *status.Fleet) bool {
		return peerOf(f, "x").Address == younger.listen && peerOf(f, "x").State == "alive"
	})
	b.signal(t, syscall.SIGTERM)
	if err := b.wait(); err != nil {
		t.Errorf("b ended with %v: %s", err, b)
	}
	a.awaitReport(t, "b has left", func(f *status.Fleet) bool { return peerOf(f, "b").State == "left" && f.Daemons == 2 })

	// A second key is added to the key file; what cannot change without a restart is logged.
	if err := os.WriteFile(key, fmt.Appendf(nil, "%x\n%x\n", bytes.Repeat([]byte{1}, 32), bytes.Repeat([]byte{2}, 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	a.write(t, strings.Replace(a.text, `cluster = "c"`, `cluster = "d"`, 1))
	a.signal(t, syscall.SIGHUP)
	a.awaitText(t, "change with a restart only")
	a.awaitReport(t, "it still is in its fleet", func(f *status.Fleet) bool { return peerOf(f, "x").State == "alive" })
	a.write(t, strings.Replace(a.text, key, "/nowhere", 1))
	a.signal(t, syscall.SIGHUP)
	a.awaitText(t, "fleet.key_file")
	younger.awaitReport(t, "they still hear one another", func(f *status.Fleet) bool { return peerOf(f, "a").State == "alive" && f.Elder == "" })
	if code, out, _ := runProgram(t, programCommand("peers", "--at", a.admin)); code != exitOK || !strings.Contains(out, "a is ") {
		t.Errorf("peers: %d %s", code, out)
	}
	forger.awaitReport(t, "with both keys the forger is heard", func(f *status.Fleet) bool {
		return peerOf(f, "a").State == "" || peerOf(f, "a").State == "alive"
	})
}

// The command ends with exitUsage where the daemon is in no cluster.
func TestPeersOfADaemonWithoutClusterFails(t *testing.T) {
	d := &clusterDaemon{admin: testpeer.FreeAddress(t), path: filepath.Join(t.TempDir(), "ops.toml")}
	d.write(t, fmt.Sprintf("format = 1\ndaemon = { admin_addr = %q }\nlistener = [{ name = \"in\", address = \"127.0.0.1:0\" }]\nclass = [{ name = \"look\", effect = \"safe\" }]\n"+
		"pool = [{ name = \"p\", member = [{ address = \"127.0.0.1:9\" }] }]\nroute = [{ pool = \"p\", class = \"look\" }]\n", d.admin))
	d.process = startProcess(t, "serve", "--config", d.path)
	d.awaitText(t, "msg=listening")
	began := time.Now()
	code, out, errs := runProgram(t, programCommand("peers", "--at", d.admin, "--json", "-"))
	if code != exitUsage || out != "" || !strings.Contains(errs, "in no fleet") {
		t.Errorf("%d %q %q after %v", code, out, errs, time.Since(began))
	}
}

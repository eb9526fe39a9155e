package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tuliprock/internal/cluster/status"
	"tuliprock/internal/testkit/testpeer"
)

// clusterDaemon is a daemon of a test's cluster, with its current or last process.
type clusterDaemon struct {
	*process
	configPath  string // path of the daemon's operators' file
	configText  string // contents with which the file at configPath was first written
	adminAddr   string // address at which the daemon takes operators' commands
	httpAddr    string // address at which the daemon takes clients' requests
	clusterAddr string // address at which other daemons reach this one, unless it advertises another
}

// fastProbes is a part of the table fleet in an operators' file. It sets intervals of the failure detector that are short enough
// to detect a daemon's failure within a second after it happens.
const fastProbes = `, probe_every = "100ms", probe_timeout = "50ms", suspicion = "300ms"`

const unreachableEndpoint = "127.0.0.1:9" // address that refuses connections

// clusterDaemonConfig is the part of the operators' files that all daemons of a test have in common.
type clusterDaemonConfig struct {
	endpoints    []string // addresses of the members of the pool
	fleetOptions string   // more keys of the inline table fleet, starting with a comma
	extraConfig  string   // more lines at the end of the operators' file
}

// startClusterDaemon starts a daemon of a cluster with fast probes and an unreachable endpoint. The daemon listens for other
// daemons at listenAddr, reads its keys from keyFile, and joins the cluster through the daemons at joinAddrs.
func startClusterDaemon(t *testing.T, name, cluster, listenAddr, keyFile string, joinAddrs ...string) *clusterDaemon {
	t.Helper()
	config := clusterDaemonConfig{endpoints: []string{unreachableEndpoint}, fleetOptions: fastProbes}
	return config.startDaemon(t, name, cluster, listenAddr, keyFile, joinAddrs...)
}

// startDaemon writes an operators' file for a daemon, starts the daemon and waits until it listens. The daemon listens for
// other daemons at listenAddr, reads its keys from keyFile, and joins the cluster through the daemons at joinAddrs.
func (c clusterDaemonConfig) startDaemon(t *testing.T, name, cluster, listenAddr, keyFile string, joinAddrs ...string) *clusterDaemon {
	t.Helper()
	d := &clusterDaemon{
		adminAddr:   testpeer.FreeAddress(t),
		httpAddr:    testpeer.FreeAddress(t),
		clusterAddr: listenAddr,
		configPath:  filepath.Join(t.TempDir(), "ops.toml"),
	}
	d.configText = fmt.Sprintf(`format = 1
daemon = { name = "d", admin_addr = %q, drain_timeout = "1s" }
fleet = { name = %q, cluster = %q, listen = %q, key_file = %q, join = [%s]%s }
listener = [{ name = "in", address = %q }]
class = [{ name = "look", effect = "safe" }]
pool = [{ name = "p", member = [%s] }]
route = [{ pool = "p", class = "look" }]
%s`, d.adminAddr, name, cluster, listenAddr, keyFile, formatList(`%q`, joinAddrs), c.fleetOptions, d.httpAddr, formatList(`{ address = %q }`, c.endpoints), c.extraConfig)
	d.writeConfig(t, d.configText)
	d.start(t)
	return d
}

// formatList formats each value by the format and joins the results with commas, as the elements of a TOML array.
func formatList(format string, values []string) string {
	var elements []string
	for _, v := range values {
		elements = append(elements, fmt.Sprintf(format, v))
	}
	return strings.Join(elements, ", ")
}

// start starts the daemon's process, also after an earlier one has exited, and waits until the daemon listens.
func (d *clusterDaemon) start(t *testing.T) {
	t.Helper()
	d.process = startProcess(t, "serve", "--config", d.configPath)
	d.awaitText(t, "msg=listening")
}

// writeConfig replaces the contents of the operators' file. A running daemon reads it after SIGHUP.
func (d *clusterDaemon) writeConfig(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(d.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// awaitPeersReport polls the daemon until isMet returns true for its view of the cluster. condition describes, for the log, what
// isMet checks.
func (d *clusterDaemon) awaitPeersReport(t *testing.T, condition string, isMet func(f *status.Fleet) bool) {
	t.Helper()
	var lastReport *status.Fleet
	testpeer.Eventually(t, condition, func() bool {
		f, err := status.FetchFleet(d.adminAddr, reportTimeout)
		if err == nil {
			lastReport = f
		}
		return err == nil && isMet(f)
	})
	t.Logf("%s: %+v", condition, lastReport)
}

// peerOf returns the entry of a member in a daemon's view of the cluster, or the zero value if there is none.
func peerOf(f *status.Fleet, name string) (p status.Peer) {
	for _, p := range f.Peers {
		if p.Name == name {
			return p
		}
	}
	return p
}

// writeKeyFile writes a key file with a key of 32 equal bytes for each argument, and returns its path.
func writeKeyFile(t *testing.T, keys ...byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "key")
	var text strings.Builder
	for _, k := range keys {
		fmt.Fprintf(&text, "%x\n", bytes.Repeat([]byte{k}, 32))
	}
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

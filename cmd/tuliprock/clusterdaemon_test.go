package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tuliprock/internal/cluster/status"
	"tuliprock/internal/testkit/testpeer"
)

// clusterDaemon is a process of the daemon in a cluster, with its file and its addresses.
type clusterDaemon struct {
	*process
	path, text, admin, http, listen string
}

// fastProbes are intervals of the failure detector that let a test see a failure within a second.
const fastProbes = `, probe_every = "100ms", probe_timeout = "50ms", suspicion = "300ms"`

const unreachableEndpoint = "127.0.0.1:9" // an endpoint that refuses connections

// clusterDaemonFile is what the operators' files of a test's daemons have beyond their own names and addresses.
type clusterDaemonFile struct {
	endpoints []string // the members of the pool
	fleet     string   // more of [fleet], after a comma
	shared    string   // more of the file
}

// startClusterDaemon starts a daemon that is named name on a loopback address of its own. Its only endpoint is unreachable.
func startClusterDaemon(t *testing.T, name, cluster, listen, key string, join ...string) *clusterDaemon {
	t.Helper()
	file := clusterDaemonFile{endpoints: []string{unreachableEndpoint}, fleet: fastProbes}
	return file.startDaemon(t, name, cluster, listen, key, join...)
}

func (f clusterDaemonFile) startDaemon(t *testing.T, name, cluster, listen, key string, join ...string) *clusterDaemon {
	t.Helper()
	d := &clusterDaemon{
		admin:  testpeer.FreeAddress(t),
		http:   testpeer.FreeAddress(t),
		listen: listen,
		path:   filepath.Join(t.TempDir(), "ops.toml"),
	}
	d.text = fmt.Sprintf(`format = 1
daemon = { name = "d", admin_addr = %q, drain_timeout = "1s" }
fleet = { name = %q, cluster = %q, listen = %q, key_file = %q, join = [%s]%s }
listener = [{ name = "in", address = %q }]
class = [{ name = "look", effect = "safe" }]
pool = [{ name = "p", member = [%s] }]
route = [{ pool = "p", class = "look" }]
%s`, d.admin, name, cluster, listen, key, quotedList(`%q`, join), f.fleet, d.http, quotedList(`{ address = %q }`, f.endpoints), f.shared)
	d.write(t, d.text)
	d.start(t)
	return d
}

// quotedList formats each value and joins them as the elements of a TOML array.
func quotedList(format string, values []string) string {
	var elements []string
	for _, v := range values {
		elements = append(elements, fmt.Sprintf(format, v))
	}
	return strings.Join(elements, ", ")
}

// start starts the process, or starts it again after it has ended.
func (d *clusterDaemon) start(t *testing.T) {
	t.Helper()
	d.process = startProcess(t, "serve", "--config", d.path)
	d.awaitText(t, "msg=listening")
}

func (d *clusterDaemon) write(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(d.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// awaitReport waits until the daemon's report of its peers satisfies ok.
func (d *clusterDaemon) awaitReport(t *testing.T, what string, ok func(f *status.Fleet) bool) {
	t.Helper()
	var last *status.Fleet
	testpeer.Eventually(t, what, func() bool {
		f, err := status.FetchFleet(d.admin, reportTimeout)
		if err == nil {
			last = f
		}
		return err == nil && ok(f)
	})
	t.Logf("%s: %+v", what, last)
}

// peerOf is what a report says of a member; the zero value if that is not in it.
func peerOf(f *status.Fleet, name string) (p status.Peer) {
	for _, p := range f.Peers {
		if p.Name == name {
			return p
		}
	}
	return p
}

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

// freeClusterAddress is an address with a port that is free for TCP and UDP, at a loopback IP of this process's own: a port
// that is free at 127.0.0.1 may be that of a connection that another daemon has dialed from there.
func freeClusterAddress(t *testing.T, i int) string {
	t.Helper()
	ip := fmt.Sprintf("127.%d.9.%d", 100+os.Getpid()%100, i)
	for range 100 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		at := l.Addr().String()
		u, err := net.ListenPacket("udp", at)
		l.Close()
		if err == nil {
			u.Close()
			return at
		}
	}
	t.Fatalf("%s has no port that is free", ip)
	return ""
}

package main

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"tuliprock/internal/cluster/status"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/testpeer"
)

// fleetDaemon is a process of the daemon in a fleet.
type fleetDaemon struct {
	*daemonRun
	path, text, admin, http, listen string
}

const quickTimes = `, probe_every = "100ms", probe_timeout = "50ms", suspicion = "300ms"`

// What the daemons of these tests are told; a measurement tells others.
var fleetNode, fleetTimes = nobody, quickTimes

// fleetMore is what else a daemon's [fleet] has, by its name; fleetShared is what else its file has.
var (
	fleetMore   = func(string) string { return "" }
	fleetShared = ""
)

const nobody = "127.0.0.1:9" // an endpoint that is not there

// inFleet starts a daemon of a name, on a loopback address of its own.
func inFleet(t *testing.T, name, cluster, listen, key string, join ...string) *fleetDaemon {
	t.Helper()
	d := &fleetDaemon{admin: testpeer.FreePort(t), http: testpeer.FreePort(t), listen: listen, path: filepath.Join(t.TempDir(), "ops.toml")}
	d.text = fmt.Sprintf(`format = 1
daemon = { name = "d", admin_addr = %q, drain_timeout = "1s" }
fleet = { name = %q, cluster = %q, listen = %q, key_file = %q, join = [%s]%s }
listener = [{ name = "in", address = %q }]
class = [{ name = "look", effect = "safe" }]
pool = [{ name = "p", member = [{ address = "%s" }] }]
route = [{ pool = "p", class = "look" }]
%s`, d.admin, name, cluster, listen, key, strings.ReplaceAll(strings.Trim(fmt.Sprintf("%q", join), "[]"), "\" \"", "\", \""), fleetTimes+fleetMore(name), d.http, fleetNode, fleetShared)
	d.write(t, d.text)
	d.begin(t)
	return d
}

// begin starts the process, again where it has ended.
func (d *fleetDaemon) begin(t *testing.T) {
	t.Helper()
	d.daemonRun = start(t, "serve", "--config", d.path)
	d.await(t, "msg=listening")
}

func (d *fleetDaemon) write(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(d.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// holds waits until a daemon's report is as it should be.
func (d *fleetDaemon) holds(t *testing.T, what string, ok func(f *status.Fleet) bool) {
	t.Helper()
	var last *status.Fleet
	testpeer.Until(t, what, func() bool {
		f, err := status.FetchFleet(d.admin, reportTimeout)
		if err == nil {
			last = f
		}
		return err == nil && ok(f)
	})
	t.Logf("%s: %+v", what, last)
}

// peer is what a report says of a member.
func peerOf(f *status.Fleet, name string) (p status.Peer) {
	for _, p := range f.Peers {
		if p.Name == name {
			return p
		}
	}
	return p
}

func keyFile(t *testing.T, keys ...byte) string {
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

// own is a loopback address of this process's own, with a port that is free there for TCP and UDP: one that is free at 127.0.0.1 may
// be that of a connection which a daemon before has dialed from here.
func own(t *testing.T, i int) string {
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

// Two processes of one name, one of another cluster, one with another key: each says so, and none harms the others. Then the
// elder is killed, and the younger takes its name; one that ends says goodbye; keys change under way.
func TestWhoIsWhoInAFleet(t *testing.T) {
	key := keyFile(t, 1)
	a := inFleet(t, "a", "c", own(t, 1), key)
	b := inFleet(t, "b", "c", own(t, 2), key, a.listen)
	elder := inFleet(t, "x", "c", own(t, 3), key, a.listen)
	a.holds(t, "three are there", func(f *status.Fleet) bool { return f.Daemons == 3 && f.Index == 0 && f.Standing == "whole" })
	younger := inFleet(t, "x", "c", own(t, 4), key, b.listen)
	stranger := inFleet(t, "s", "other", own(t, 5), key, a.listen)
	forger := inFleet(t, "f", "c", own(t, 6), keyFile(t, 2), a.listen)
	younger.holds(t, "the younger stays out", func(f *status.Fleet) bool { return f.Elder == elder.listen && f.Standing == "cut-off" })
	younger.await(t, "an elder daemon of this name is in the fleet")
	elder.await(t, "a younger daemon of this name is about")
	for name, d := range map[string]*fleetDaemon{"a": a, "b": b, "elder": elder, "younger": younger, "stranger": stranger, "forger": forger} {
		resp, err := http.Get("http://" + d.http + "/_health")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%s does not serve: %v", name, err)
		}
		resp.Body.Close()
	}
	for _, d := range []*fleetDaemon{a, b, elder} {
		d.holds(t, "the three hold one another", func(f *status.Fleet) bool {
			return f.Daemons == 3 && len(f.Peers) == 3 && peerOf(f, "x").Address == elder.listen && f.Standing == "whole"
		})
	}
	elder.signal(t, syscall.SIGKILL)
	a.holds(t, "the younger has the name", func(f *status.Fleet) bool {
		return peerOf(f, "x").Address == younger.listen && peerOf(f, "x").State == "alive"
	})
	b.signal(t, syscall.SIGTERM)
	if err := b.ended(); err != nil {
		t.Errorf("b ended with %v: %s", err, b)
	}
	a.holds(t, "b has left", func(f *status.Fleet) bool { return peerOf(f, "b").State == "left" && f.Daemons == 2 })

	// The key file gets a second key, and what can't change without a restart is said.
	if err := os.WriteFile(key, fmt.Appendf(nil, "%x\n%x\n", bytes.Repeat([]byte{1}, 32), bytes.Repeat([]byte{2}, 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	a.write(t, strings.Replace(a.text, `cluster = "c"`, `cluster = "d"`, 1))
	a.signal(t, syscall.SIGHUP)
	a.await(t, "change with a restart only")
	a.holds(t, "it still is in its fleet", func(f *status.Fleet) bool { return peerOf(f, "x").State == "alive" })
	a.write(t, strings.Replace(a.text, key, "/nowhere", 1))
	a.signal(t, syscall.SIGHUP)
	a.await(t, "fleet.key_file")
	younger.holds(t, "they still hear one another", func(f *status.Fleet) bool { return peerOf(f, "a").State == "alive" && f.Elder == "" })
	if code, out, _ := run(t, program("peers", "--at", a.admin)); code != exitOK || !strings.Contains(out, "a is ") {
		t.Errorf("peers: %d %s", code, out)
	}
	forger.holds(t, "with both keys the forger is heard", func(f *status.Fleet) bool { return peerOf(f, "a").State == "" || peerOf(f, "a").State == "alive" })
}

// A daemon of which nobody has told that there is a fleet says so, and the command ends with 2.
func TestNoFleet(t *testing.T) {
	d := &fleetDaemon{admin: testpeer.FreePort(t), path: filepath.Join(t.TempDir(), "ops.toml")}
	d.write(t, fmt.Sprintf("format = 1\ndaemon = { admin_addr = %q }\nlistener = [{ name = \"in\", address = \"127.0.0.1:0\" }]\nclass = [{ name = \"look\", effect = \"safe\" }]\n"+
		"pool = [{ name = \"p\", member = [{ address = \"127.0.0.1:9\" }] }]\nroute = [{ pool = \"p\", class = \"look\" }]\n", d.admin))
	d.daemonRun = start(t, "serve", "--config", d.path)
	d.await(t, "msg=listening")
	began := time.Now()
	if code, out, errs := run(t, program("peers", "--at", d.admin, "--json", "-")); code != exitUsage || out != "" || !strings.Contains(errs, "in no fleet") {
		t.Errorf("%d %q %q after %v", code, out, errs, time.Since(began))
	}
}

// The measurement: requests through a daemon in a fleet of seven beside one that knows of no other, in turns; and what an
// idle daemon takes among many peers. FLEET=turns and PEERS=number run it; see docs/design/026.
func TestFleetCost(t *testing.T) {
	turns, _ := strconv.Atoi(os.Getenv("FLEET"))
	if turns == 0 {
		t.Skip("FLEET is not set: a measurement, for a quiet machine")
	}
	node := testpeer.FreePort(t)
	startPeer(t, "node", node)
	fleetNode, fleetTimes = node, ""
	defer func() { fleetNode, fleetTimes = nobody, quickTimes }()
	key := keyFile(t, 1)
	in := inFleet(t, "m0", "c", own(t, 20), key)
	for i := range 6 {
		inFleet(t, fmt.Sprint("m", i+1), "c", own(t, 21+i), key, in.listen)
	}
	in.holds(t, "seven are there", func(f *status.Fleet) bool { return f.Daemons == 7 })
	alone := inFleet(t, "alone", "other", own(t, 30), key)
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
		t.Logf("%d connections, in a fleet of seven beside alone: rate %s, p99 %s", connections, ratios(rates), ratios(p99s))
	}
}

func TestIdleAmongManyPeers(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("PEERS"))
	if n == 0 {
		t.Skip("PEERS is not set: a measurement, for a quiet machine")
	}
	fleetTimes = ""
	defer func() { fleetTimes = quickTimes }()
	key := keyFile(t, 1)
	d := inFleet(t, "d", "c", own(t, 40), key)
	measure := func(what string) {
		before := cpu(d.cmd.Process.Pid)
		time.Sleep(30 * time.Second)
		f, err := status.FetchFleet(d.admin, reportTimeout)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d KiB resident, %.4f of a core, %s, %d daemons", what, memory(d.cmd.Process.Pid, "VmRSS"), (cpu(d.cmd.Process.Pid)-before).Seconds()/30, f.Standing, f.Daemons)
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

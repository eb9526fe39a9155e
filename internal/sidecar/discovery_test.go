package sidecar

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"tuliprock/internal/testkit/fake"

	"tuliprock/internal/testkit/testpeer"
)

func TestDrainingOrRemovedEndpointGetsNoNewRequests(t *testing.T) {
	a := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	b := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatform(t, a.Addr, b.Addr)
	n := 0
	calls := func() (int32, int32) {
		for range 8 {
			n++
			if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", fmt.Sprint("r", n), 60000)); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		}
		return a.Requests.Swap(0), b.Requests.Swap(0)
	}
	if x, y := calls(); x == 0 || y == 0 {
		t.Errorf("at first %d and %d", x, y)
	}
	s.updateList(t, testpeer.Members(2, false, testpeer.Member("a", a.Addr, "Terminating")))
	if x, y := calls(); x != 0 || y != 8 {
		t.Errorf("with a draining, %d and %d", x, y)
	}
	s.updateList(t, testpeer.Members(3, true, testpeer.Member("b", a.Addr, "Ready"))) // a gone, b moved
	if x, y := calls(); x != 8 || y != 0 {
		t.Errorf("with b moved, %d to its new address and %d to the old", x, y)
	}
}

// A regression test: SIGHUP ended the program. Endpoints from the new discovery serve, the request in flight is answered,
// and further reloads, also during the shutdown, do no harm.
func TestReloadMigratesDiscoveryWithoutDisturbingRequests(t *testing.T) {
	old, came, release := newHeldEndpoint(t)
	s := startPlatform(t, old.Addr)
	first := make(chan int)
	go func() {
		status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "r1", 60000))
		first <- status
	}()
	<-came
	fresh := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	c := s.platformConfig
	var calls chan string
	c.Discovery, calls = startDiscovery(t, testpeer.Members(1, true, testpeer.Member("new", fresh.Addr, "Ready")), "SILENT")
	reload := func() error {
		t.Helper()
		service, err := c.Service()
		if err != nil {
			t.Fatal(err)
		}
		return s.Reload(service)
	}
	if err := reload(); err != nil {
		t.Fatal(err)
	}
	<-calls
	<-calls // the second call is the watch: the list is in force
	status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "r2", 60000))
	if status != http.StatusOK || fresh.Requests.Load() != 1 {
		t.Errorf("after the move: %d, %d requests at the new endpoint", status, fresh.Requests.Load())
	}
	if err := reload(); err != nil {
		t.Error(err)
	}
	s.terminate()
	c.Discovery, _ = startDiscovery(t)
	testpeer.Eventually(t, "the end begins", func() bool { return errors.Is(reload(), errShuttingDown) })
	close(release)
	if status := <-first; status != http.StatusOK {
		t.Errorf("in flight: %d", status)
	}
	if err := <-s.serveResult; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// The same address in two pools, and a member that keeps its ID at another address.
func TestSameAddressInTwoPoolsAndMemberWithNewAddress(t *testing.T) {
	a, b := echoEndpoint(t, "A"), echoEndpoint(t, "B")
	member := func(addr string) string {
		return fmt.Sprintf("[[pool]]\nname = \"a\"\n[[pool.member]]\nid = \"m\"\naddress = %q\n", addr)
	}
	routes := "[[route]]\nhosts = [\"b\"]\npool = \"b\"\nclass = \"look\"\n" + lookRoute
	s := startFromFile(t, parseService(t, listen1+member(a)+poolOf("b", a)+routes))
	for _, host := range []string{"a", "b"} {
		if _, text := sendGet(t, s.addressOf("one"), host, "/"); !strings.HasPrefix(text, "A ") {
			t.Errorf("%s: %q", host, text)
		}
	}
	s.reload(t, listen1+member(b)+poolOf("b", a)+routes)
	if _, text := sendGet(t, s.addressOf("one"), "a", "/"); !strings.HasPrefix(text, "B ") {
		t.Errorf("moved: %q", text)
	}
	if _, text := sendGet(t, s.addressOf("one"), "b", "/"); !strings.HasPrefix(text, "A ") {
		t.Errorf("the other pool: %q", text)
	}
}

// Members from DNS and from a file: a changed list is used, and a source that fails leaves the last list in force.
func TestPoolMembersFromDNSAndFiles(t *testing.T) {
	a, b := echoEndpoint(t, "A"), echoEndpoint(t, "B")
	names, err := fake.NewDNS()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(names.Close)
	list := filepath.Join(t.TempDir(), "members.json")
	write := func(addr string) {
		if err := os.WriteFile(list+".new", fmt.Appendf(nil, `{"format":1,"members":[{"address":%q}]}`, addr), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(list+".new", list); err != nil {
			t.Fatal(err)
		}
	}
	point := func(addr string) {
		_, port, _ := net.SplitHostPort(addr)
		n, _ := strconv.Atoi(port)
		names.Set("host.example", fake.DNSRecord{Address: netip.MustParseAddr("127.0.0.1")})
		names.Set("_web._tcp.example", fake.DNSRecord{Service: "host.example", Port: uint16(n)})
	}
	write(a)
	point(a)
	s := startFromFile(t, parseService(t, listen1+fmt.Sprintf(`
		[[pool]]
		name = "file"
		file = %q
		cold_for = "0s"
		[[pool]]
		name = "dns"
		cold_for = "0s"
		dns = { name = "_web._tcp.example", type = "srv", server = %q, ttl_least = "100ms", ttl_most = "100ms" }
		[[route]]
		path = "/file"
		pool = "file"
		class = "look"
		[[route]]
		path = "/dns"
		pool = "dns"
		class = "look"
		`, list, names.Addr)))
	served := func(path, name string) bool {
		_, text := sendGet(t, s.addressOf("one"), "h", path)
		return strings.HasPrefix(text, name+" ")
	}
	for _, path := range []string{"/file", "/dns"} {
		if !served(path, "A") {
			t.Errorf("%s is not served by A", path)
		}
	}
	names.SetFault(fake.DNSServfail, 0)
	if err := os.Remove(list); err != nil {
		t.Fatal(err)
	}
	asked := names.Queries.Load()
	testpeer.Eventually(t, "DNS fails", func() bool { return names.Queries.Load() > asked+1 })
	for _, path := range []string{"/file", "/dns"} {
		if !served(path, "A") {
			t.Errorf("%s is not served by A any more", path)
		}
	}
	names.SetFault(fake.DNSHealthy, 0)
	write(b)
	point(b)
	for _, path := range []string{"/file", "/dns"} {
		testpeer.Eventually(t, path+" is served by B", func() bool { return served(path, "B") })
	}
}

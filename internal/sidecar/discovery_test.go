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
	sendEightRequests := func() (atA, atB int32) {
		for range 8 {
			n++
			if status, _, _ := send(t, s.newRequest(t, http.MethodGet, "/look", fmt.Sprint("r", n), 60000)); status != http.StatusOK {
				t.Errorf("request %d: status %d, want 200", n, status)
			}
		}
		return a.Requests.Swap(0), b.Requests.Swap(0)
	}
	if atA, atB := sendEightRequests(); atA == 0 || atB == 0 {
		t.Errorf("with both endpoints ready: %d requests at a and %d at b, want some at each", atA, atB)
	}
	s.updateList(t, testpeer.EncodeMembers(2, false, testpeer.EncodeMember("a", a.Addr, "Terminating")))
	if atA, atB := sendEightRequests(); atA != 0 || atB != 8 {
		t.Errorf("with a draining: %d requests at a and %d at b, want 0 and 8", atA, atB)
	}
	// The endpoint a is removed, and the endpoint b gets the address that a had.
	s.updateList(t, testpeer.EncodeMembers(3, true, testpeer.EncodeMember("b", a.Addr, "Ready")))
	if atNew, atOld := sendEightRequests(); atNew != 8 || atOld != 0 {
		t.Errorf("with b at a new address: %d requests there and %d at the old one, want 8 and 0", atNew, atOld)
	}
}

// SIGHUP must reload the configuration. A daemon that caught only SIGTERM and SIGINT was killed by SIGHUP. After a reload
// with another discovery agent, that agent's endpoints serve new requests, and the request in flight gets its response from
// the old endpoint. A second reload succeeds, and one during the shutdown fails without an effect on the request in flight.
func TestReloadMigratesDiscoveryWithoutDisturbingRequests(t *testing.T) {
	oldEndpoint, arrived, release := newBlockingEndpoint(t)
	s := startPlatform(t, oldEndpoint.Addr)
	firstStatus := make(chan int)
	go func() {
		status, _, _ := send(t, s.newRequest(t, http.MethodGet, "/look", "r1", 60000))
		firstStatus <- status
	}()
	<-arrived
	newEndpoint := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	c := s.platformConfig
	var calls chan string
	c.Discovery, calls = startDiscovery(t, testpeer.EncodeMembers(1, true, testpeer.EncodeMember("new", newEndpoint.Addr, "Ready")), "SILENT")
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
	<-calls // the second call to the agent is the watch, which begins once the first list is applied
	status, _, _ := send(t, s.newRequest(t, http.MethodGet, "/look", "r2", 60000))
	if status != http.StatusOK || newEndpoint.Requests.Load() != 1 {
		t.Errorf("after the reload: status %d, %d requests at the new endpoint, want 200 and 1", status, newEndpoint.Requests.Load())
	}
	if err := reload(); err != nil {
		t.Error(err)
	}
	s.terminate()
	c.Discovery, _ = startDiscovery(t)
	testpeer.Eventually(t, "the shutdown begins", func() bool { return errors.Is(reload(), errShuttingDown) })
	close(release)
	if status := <-firstStatus; status != http.StatusOK {
		t.Errorf("the request in flight: status %d, want 200", status)
	}
	if err := <-s.serveResult; err != nil {
		t.Errorf("Serve: %v", err)
	}
}

// Two pools may list the same address, and a reload may give a member of one pool another address under the same ID
// without an effect on the other pool.
func TestNewMemberAddressAffectsOnlyItsPool(t *testing.T) {
	a, b := startEchoEndpoint(t, "A"), startEchoEndpoint(t, "B")
	member := func(addr string) string {
		return fmt.Sprintf("[[pool]]\nname = \"a\"\n[[pool.member]]\nid = \"m\"\naddress = %q\n", addr)
	}
	routes := "[[route]]\nhosts = [\"b\"]\npool = \"b\"\nclass = \"look\"\n" + lookRoute
	s := startFromFile(t, parseService(t, listenerOne+member(a)+poolSection("b", a)+routes))
	for _, host := range []string{"a", "b"} {
		if _, text := sendGet(t, s.addressOf("one"), host, "/"); !strings.HasPrefix(text, "A ") {
			t.Errorf("host %s: response %q, want one from A", host, text)
		}
	}
	s.reload(t, listenerOne+member(b)+poolSection("b", a)+routes)
	if _, text := sendGet(t, s.addressOf("one"), "a", "/"); !strings.HasPrefix(text, "B ") {
		t.Errorf("the pool with the changed member: response %q, want one from B", text)
	}
	if _, text := sendGet(t, s.addressOf("one"), "b", "/"); !strings.HasPrefix(text, "A ") {
		t.Errorf("the unchanged pool: response %q, want one from A", text)
	}
}

// Pools take their members from DNS and from a file. A changed list is applied; while a source fails, the last list stays
// in use.
func TestPoolsFollowMemberListsFromDNSAndFiles(t *testing.T) {
	a, b := startEchoEndpoint(t, "A"), startEchoEndpoint(t, "B")
	dns, err := fake.NewDNS()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(dns.Close)
	membersFile := filepath.Join(t.TempDir(), "members.json")
	writeMembersFile := func(addr string) {
		if err := os.WriteFile(membersFile+".new", fmt.Appendf(nil, `{"format":1,"members":[{"address":%q}]}`, addr), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(membersFile+".new", membersFile); err != nil {
			t.Fatal(err)
		}
	}
	setDNSRecords := func(addr string) {
		_, port, _ := net.SplitHostPort(addr)
		n, _ := strconv.Atoi(port)
		dns.SetRecords("host.example", fake.DNSRecord{Address: netip.MustParseAddr("127.0.0.1")})
		dns.SetRecords("_web._tcp.example", fake.DNSRecord{Service: "host.example", Port: uint16(n)})
	}
	writeMembersFile(a)
	setDNSRecords(a)
	s := startFromFile(t, parseService(t, listenerOne+fmt.Sprintf(`
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
		`, membersFile, dns.Addr)))
	isServedBy := func(path, name string) bool {
		_, text := sendGet(t, s.addressOf("one"), "h", path)
		return strings.HasPrefix(text, name+" ")
	}
	for _, path := range []string{"/file", "/dns"} {
		if !isServedBy(path, "A") {
			t.Errorf("%s is not served by A", path)
		}
	}
	dns.SetFault(fake.DNSServfail, 0)
	if err := os.Remove(membersFile); err != nil {
		t.Fatal(err)
	}
	queriesBefore := dns.Queries.Load()
	testpeer.Eventually(t, "DNS queries fail", func() bool { return dns.Queries.Load() > queriesBefore+1 })
	for _, path := range []string{"/file", "/dns"} {
		if !isServedBy(path, "A") {
			t.Errorf("%s is not served by A while the sources fail", path)
		}
	}
	dns.SetFault(fake.DNSHealthy, 0)
	writeMembersFile(b)
	setDNSRecords(b)
	for _, path := range []string{"/file", "/dns"} {
		testpeer.Eventually(t, path+" is served by B", func() bool { return isServedBy(path, "B") })
	}
}

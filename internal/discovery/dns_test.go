package discovery

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tuliprock/internal/testkit/fake"
	"tuliprock/internal/testkit/testpeer"
)

func newDNSServer(t *testing.T) *fake.DNS {
	t.Helper()
	server, err := fake.NewDNS()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

func addressRecord(ip string, ttl uint32) fake.DNSRecord {
	return fake.DNSRecord{Address: netip.MustParseAddr(ip), TTL: ttl}
}

// quickDNSOptions returns options with 10 to 20 ms between polls.
func quickDNSOptions(server *fake.DNS) DNSOptions {
	return DNSOptions{Name: "web.example", Port: 80, Server: server.Addr, MinTTL: 10 * time.Millisecond, MaxTTL: 20 * time.Millisecond}
}

func startDNSSource(t *testing.T, o DNSOptions) *sourceFixture {
	t.Helper()
	return startSource(t, holdOptions, func(cache *MemberCache, deliver func(ListUpdate), onFailure func(), log *slog.Logger) *PollingSource {
		return NewDNSSource(o, cache, deliver, onFailure, log)
	})
}

// newDNSSourceWithoutUpdates returns a source that has not been started. It fails the test if the source ever delivers an update.
func newDNSSourceWithoutUpdates(t *testing.T, o DNSOptions) *PollingSource {
	t.Helper()
	deliver := func(update ListUpdate) { t.Errorf("the source delivered %+v, want no update", update) }
	return NewDNSSource(o, NewMemberCache(holdOptions), deliver, func() {}, slog.New(slog.DiscardHandler))
}

func TestDNSSourceFollowsAddressRecords(t *testing.T) {
	server := newDNSServer(t)
	server.SetRecords("web.example", addressRecord("127.0.0.1", 0), addressRecord("127.0.0.2", 60), addressRecord("::1", 60))
	server.SetFault(fake.DNSHealthy, 100*time.Millisecond) // responses are correct but delayed
	f := startDNSSource(t, quickDNSOptions(server))
	f.expectList(t, "127.0.0.1:80", "127.0.0.2:80", "[::1]:80")
	server.SetRecords("web.example", addressRecord("127.0.0.2", 60))
	f.expectList(t, "127.0.0.2:80")
}

func TestDNSSourceFollowsSRVRecords(t *testing.T) {
	server := newDNSServer(t)
	server.SetRecords("one.example", addressRecord("127.0.0.1", 60))
	server.SetRecords("alias.example", fake.DNSRecord{Alias: "one.example", TTL: 60})
	srv := func(host string, port, priority uint16) fake.DNSRecord {
		return fake.DNSRecord{Service: host, Port: port, Priority: priority, TTL: 60}
	}
	server.SetRecords("_http._tcp.example", srv("one.example", 81, 1), srv("alias.example", 81, 1), srv("one.example", 82, 1),
		srv("none.example", 83, 1), srv("one.example", 99, 2))
	o := quickDNSOptions(server)
	o.Name, o.UsesSRV, o.Port = "_http._tcp.example", true, 0
	f := startDNSSource(t, o)
	f.expectList(t, "127.0.0.1:81", "127.0.0.1:82")
}

func TestThousandAddressesAreReadOverTCP(t *testing.T) {
	server := newDNSServer(t)
	var records []fake.DNSRecord
	var want []string
	for i := range 1000 {
		ip := netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)})
		records, want = append(records, fake.DNSRecord{Address: ip, TTL: 60}), append(want, ip.String()+":80")
	}
	slices.Sort(want)
	server.SetRecords("web.example", records...)
	f := startDNSSource(t, quickDNSOptions(server))
	f.expectList(t, want...)
	if server.TCPQueries.Load() == 0 {
		t.Error("the server received no query over TCP")
	}
}

// During each kind of fault the source delivers nothing, so that the last list is kept. After the server's recovery it delivers the
// server's new list.
func TestDNSFaultKeepsLastList(t *testing.T) {
	for name, fault := range map[string]fake.DNSFault{
		"servfail": fake.DNSServfail, "garbage": fake.DNSGarbage, "half a message": fake.DNSHalfMessage, "truncated": fake.DNSTruncated,
		"empty": fake.DNSEmpty,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newDNSServer(t)
			server.SetRecords("web.example", addressRecord("127.0.0.1", 0))
			f := startDNSSource(t, quickDNSOptions(server))
			f.expectList(t, "127.0.0.1:80")
			server.SetFault(fault, 0)
			if fault == fake.DNSEmpty { // an empty response is valid, and not reported as a failure
				queriesBefore := server.Queries.Load()
				testpeer.Eventually(t, "further queries arrive", func() bool { return server.Queries.Load() > queriesBefore+4 })
			} else {
				f.expectFailure(t)
			}
			f.expectNoUpdate(t)
			server.SetRecords("web.example", addressRecord("127.0.0.2", 0))
			server.SetFault(fake.DNSHealthy, 0)
			f.source.Subscribe()
			f.expectList(t, "127.0.0.2:80")
		})
	}
}

func TestPollOfDNSAliasLoopEndsWithoutUpdate(t *testing.T) {
	server := newDNSServer(t)
	server.SetRecords("web.example", fake.DNSRecord{Alias: "b.example"})
	server.SetRecords("b.example", fake.DNSRecord{Alias: "web.example"})
	source := newDNSSourceWithoutUpdates(t, quickDNSOptions(server))
	if nextPollIn := source.PollOnce(t.Context()); nextPollIn <= 0 {
		t.Errorf("the next poll is due in %v, want a positive time", nextPollIn)
	}
}

// When its context ends, Run returns even if the server has not responded to the current query.
func TestRunEndsWhileDNSServerIsSilent(t *testing.T) {
	server := newDNSServer(t)
	server.SetFault(fake.DNSSilent, 0)
	source := newDNSSourceWithoutUpdates(t, quickDNSOptions(server))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() { source.Run(ctx); close(ended) }()
	testpeer.Eventually(t, "a query arrives", func() bool { return server.Queries.Load() > 0 })
	cancel()
	select {
	case <-ended:
	case <-time.After(testpeer.Timeout):
		t.Error("Run has not ended")
	}
	testpeer.Eventually(t, "the resolver's own goroutines end", func() bool { return goleak.Find(goleak.IgnoreCurrent()) == nil })
}

func TestIsDNSNameAcceptsOnlyValidNames(t *testing.T) {
	for name, want := range map[string]bool{
		"a": true, "_http._tcp.a-b.example.": true, "": false, ".": false, "a..b": false, "a b": false,
		strings.Repeat("x", 64): false, strings.Repeat("x.", 130): false, "caf\u00e9": false,
	} {
		if IsDNSName(name) != want {
			t.Errorf("IsDNSName(%q) is %v, want %v", name, !want, want)
		}
	}
}

// FuzzDNSResponses feeds arbitrary responses to the standard resolver through the connection that records times to live.
func FuzzDNSResponses(f *testing.F) {
	f.Add([]byte("\x81\x80\x00\x01\x00\x01\x00\x00\x00\x00"), uint8(3))
	f.Fuzz(func(t *testing.T, tail []byte, step uint8) {
		server, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		go respondToQueries(server, tail)
		o := DNSOptions{
			Name: "a.example", Port: 1, Server: server.LocalAddr().String(), UsesSRV: step%2 == 0, MinTTL: time.Second, MaxTTL: time.Minute,
		}
		p := &dnsPoller{options: o, retryDelay: time.Second}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if result, err := p.poll(ctx); err == nil && (result.nextPollIn < time.Second || result.nextPollIn > time.Minute) {
			t.Errorf("the next poll is due in %v, want from 1s to 1m", result.nextPollIn)
		}
	})
}

// respondToQueries responds to each query until the server is closed. A response repeats the ID and the question of the query, since the
// resolver drops it otherwise. The first 10 bytes of tail replace the other header fields, and the rest of tail follows the question.
func respondToQueries(server net.PacketConn, tail []byte) {
	b := make([]byte, 2048)
	for {
		n, from, err := server.ReadFrom(b)
		if err != nil {
			return
		}
		out := append([]byte{}, b[:n]...)
		if n > 12 && len(tail) >= 10 {
			copy(out[2:12], tail[:10])
			out = append(out, tail[10:]...)
		}
		_, _ = server.WriteTo(out, from) // a lost response makes the poll fail, which the test accepts
	}
}

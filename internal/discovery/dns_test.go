package discovery

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/net/dns/dnsmessage"

	"tuliprock/balance"
	"tuliprock/internal/endpointset"
	"tuliprock/internal/testkit/fake"
	"tuliprock/internal/testkit/testpeer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// heard is a source that runs, and what it says.
type heard struct {
	lists  chan ListUpdate
	failed chan bool
	source *PollingSource
}

func (h *heard) deliver(m ListUpdate) { h.lists <- m }
func (h *heard) fail()                { h.failed <- true }

func listen(t *testing.T, o endpointset.Options, make_ func(*MemberCache, func(ListUpdate), func(), *slog.Logger) *PollingSource) *heard {
	t.Helper()
	h := &heard{lists: make(chan ListUpdate, 1000), failed: make(chan bool, 1000)}
	h.source = make_(NewMemberCache(o), h.deliver, h.fail, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() { h.source.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return h
}

// expect waits for a whole list with the addresses given. What is between is passed over, if asked for.
func (h *heard) expect(t *testing.T, want ...string) {
	t.Helper()
	for {
		select {
		case m := <-h.lists:
			var got []string
			for _, s := range m.Servers {
				name := s.Addr
				if s.State == balance.Draining {
					name += " drains"
				}
				got = append(got, name)
			}
			if !m.Full || !slices.Equal(got, want) {
				t.Fatalf("heard %v, want %v", got, want)
			}
			return
		case <-time.After(testpeer.Patience):
			t.Fatalf("never heard %v", want)
		}
	}
}

func (h *heard) expectFailure(t *testing.T) {
	t.Helper()
	select {
	case <-h.failed:
	case m := <-h.lists:
		t.Fatalf("heard %+v, want a failure", m)
	case <-time.After(testpeer.Patience):
		t.Fatal("never failed")
	}
}

func (h *heard) expectNothing(t *testing.T) {
	t.Helper()
	select {
	case m := <-h.lists:
		t.Errorf("heard %+v", m)
	default:
	}
}

var holding = endpointset.Options{Hold: time.Hour, Damp: time.Millisecond}

// replace puts a file in another's place at once.
func replace(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

func TestFileSourceFollowsReplacedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "members.json")
	h := listen(t, holding, func(k *MemberCache, d func(ListUpdate), f func(), l *slog.Logger) *PollingSource {
		return FileSource(path, k, d, f, l)
	})
	h.expectFailure(t) // there is none yet
	replace(t, path, `{"format":1,"members":[{"address":"10.0.0.1:80"},{"id":"b","address":"10.0.0.2:80","zone":"z","cell":2}]}`)
	h.expect(t, "10.0.0.1:80", "10.0.0.2:80")
	replace(t, path, `{"format":1,"members":[{"address":"10.0.0.1:80","state":"draining"},{"id":"b","address":"10.0.0.2:80"}]}`)
	h.expect(t, "10.0.0.1:80 drains", "10.0.0.2:80")
	for _, bad := range []string{`{"format":1,"members":[{"address":"10.0.0.`, `{"format":1,"members":[]}`, ""} {
		replace(t, path, bad)
		if bad != "" && strings.HasSuffix(bad, "[]}") {
			continue // told as a list of nobody, which is no failure
		}
		h.expectFailure(t)
	}
	h.expectNothing(t)
	replace(t, path, `{"format":1,"members":[{"id":"b","address":"10.0.0.3:80"}]}`) // the same id at a new address
	h.expect(t, "10.0.0.3:80")
}

// A file that is written over in place, twice within one tick of its time stamp and to the same length.
func TestFileRewrittenWithinMtimeGranularityIsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "members.json")
	at := time.Now()
	write := func(n int) {
		if err := os.WriteFile(path, fmt.Appendf(nil, `{"format":1,"members":[{"address":"10.0.0.%d:80"}]}`, n), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
	w := filePoller{path: path}
	write(1)
	if a, err := w.poll(t.Context()); err != nil || a.members[0].Addr != "10.0.0.1:80" {
		t.Fatal(a, err)
	}
	write(2)
	if a, err := w.poll(t.Context()); err != nil || a.isUnchanged || a.members[0].Addr != "10.0.0.2:80" {
		t.Errorf("the second writing went unseen: %+v, %v", a, err)
	}
	at = at.Add(-time.Minute)
	write(3)
	w.poll(t.Context())
	if a, err := w.poll(t.Context()); err != nil || !a.isUnchanged {
		t.Errorf("a file that stands is read again and again: %+v, %v", a, err)
	}
}

func TestParseMemberFileRejectsBadFiles(t *testing.T) {
	entry := func(i int) string { return fmt.Sprintf(`{"address":"10.%d.%d.%d:80"}`, i>>16, i>>8&255, i&255) }
	var many []string
	for i := range 100_000 {
		many = append(many, entry(i))
	}
	whole := func(entries ...string) string { return `{"format":1,"members":[` + strings.Join(entries, ",") + `]}` }
	if m, err := ParseMemberFile([]byte(whole(many...))); err != nil || len(m) != 100_000 {
		t.Errorf("100,000 members: %d, %v", len(m), err)
	}
	good := whole(entry(1), entry(2))
	for cut := range len(good) {
		if _, err := ParseMemberFile([]byte(good[:cut])); err == nil {
			t.Fatalf("cut at %d passes for whole: %s", cut, good[:cut])
		}
	}
	for text, want := range map[string]string{
		whole(append(many, entry(100_000))...): "members: over 100000",
		whole(entry(1), entry(1)):              `members[1].id: "10.0.0.1:80" is listed twice`,
		whole(`{"address":"here"}`):            "members[0].address",
		whole(`{"address":"h:1","state":"x"}`): `members[0].state: "x"`,
		whole(`{"addres":"h:1"}`):              "unknown field",
		good + "{}":                            "behind the list",
		`{"members":[]}`:                       "format: 0 is not 1",
	} {
		if _, err := ParseMemberFile([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60s: %v, want %s", text, err, want)
		}
	}
	path := filepath.Join(t.TempDir(), "huge.json")
	if err := os.WriteFile(path, make([]byte, 50<<20), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := (&filePoller{path: path}).poll(t.Context()); err == nil || !strings.Contains(err.Error(), "longer than") {
		t.Errorf("50 MB: %v", err)
	}
}

func newDNS(t *testing.T) *fake.DNS {
	t.Helper()
	d, err := fake.NewDNS()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func a(ip string, ttl uint32) fake.DNSRecord {
	return fake.DNSRecord{Address: netip.MustParseAddr(ip), TTL: ttl}
}

// quick are options whose asks follow one another fast.
func quick(d *fake.DNS) DNSOptions {
	return DNSOptions{Name: "web.example", Port: 80, Server: d.Addr, MinTTL: 10 * time.Millisecond, MaxTTL: 20 * time.Millisecond}
}

func askDNS(t *testing.T, o DNSOptions) *heard {
	t.Helper()
	return listen(t, holding, func(k *MemberCache, d func(ListUpdate), f func(), l *slog.Logger) *PollingSource {
		return DNSSource(o, k, d, f, l)
	})
}

func TestDNSSourceFollowsAddressRecords(t *testing.T) {
	d := newDNS(t)
	d.Set("web.example", a("127.0.0.1", 0), a("127.0.0.2", 60), a("::1", 60))
	d.Go(fake.DNSWell, 100*time.Millisecond) // slow
	h := askDNS(t, quick(d))
	h.expect(t, "127.0.0.1:80", "127.0.0.2:80", "[::1]:80")
	d.Set("web.example", a("127.0.0.2", 60))
	h.expect(t, "127.0.0.2:80")
}

func TestDNSSourceFollowsSRVRecords(t *testing.T) {
	d := newDNS(t)
	d.Set("one.example", a("127.0.0.1", 60))
	d.Set("alias.example", fake.DNSRecord{Alias: "one.example", TTL: 60})
	srv := func(host string, port, priority uint16) fake.DNSRecord {
		return fake.DNSRecord{Service: host, Port: port, Priority: priority, TTL: 60}
	}
	d.Set("_http._tcp.example", srv("one.example", 81, 1), srv("alias.example", 81, 1), srv("one.example", 82, 1), srv("none.example", 83, 1), srv("one.example", 99, 2))
	o := quick(d)
	o.Name, o.Service, o.Port = "_http._tcp.example", true, 0
	h := askDNS(t, o)
	h.expect(t, "127.0.0.1:81", "127.0.0.1:82")
}

func TestThousandAddressesAreReadOverTCP(t *testing.T) {
	d := newDNS(t)
	var records []fake.DNSRecord
	var want []string
	for i := range 1000 {
		ip := netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)})
		records, want = append(records, fake.DNSRecord{Address: ip, TTL: 60}), append(want, ip.String()+":80")
	}
	slices.Sort(want)
	d.Set("web.example", records...)
	h := askDNS(t, quick(d))
	h.expect(t, want...)
	if d.TCP.Load() == 0 {
		t.Error("nothing came over TCP")
	}
}

// Whatever goes wrong, the list stands, and is followed again once the server is well.
func TestDNSFaultKeepsLastList(t *testing.T) {
	for name, fault := range map[string]fake.DNSFault{"servfail": fake.DNSServfail, "garbage": fake.DNSGarbage,
		"cut": fake.DNSCut, "truncated": fake.DNSTruncated, "empty": fake.DNSEmpty} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDNS(t)
			d.Set("web.example", a("127.0.0.1", 0))
			h := askDNS(t, quick(d))
			h.expect(t, "127.0.0.1:80")
			d.Go(fault, 0)
			if fault == fake.DNSEmpty { // an answer, and no failure
				was := d.Asked.Load()
				testpeer.Until(t, "it is asked again", func() bool { return d.Asked.Load() > was+4 })
			} else {
				h.expectFailure(t)
			}
			h.expectNothing(t)
			d.Set("web.example", a("127.0.0.2", 0))
			d.Go(fake.DNSWell, 0)
			h.source.Subscribe()
			h.expect(t, "127.0.0.2:80")
		})
	}
}

// Names that lead in a circle, or nowhere, end.
func TestAliasLoopEnds(t *testing.T) {
	d := newDNS(t)
	d.Set("web.example", fake.DNSRecord{Alias: "b.example"})
	d.Set("b.example", fake.DNSRecord{Alias: "web.example"})
	s := DNSSource(quick(d), NewMemberCache(holding), func(m ListUpdate) { t.Errorf("heard %+v", m) }, func() {}, slog.New(slog.DiscardHandler))
	if next := s.PollOnce(t.Context()); next <= 0 {
		t.Error("it would not be asked again")
	}
}

// A server that says nothing is given up, and a source that is left does not wait for it.
func TestRunEndsWhileDNSServerIsSilent(t *testing.T) {
	d := newDNS(t)
	d.Go(fake.DNSSilent, 0)
	s := DNSSource(quick(d), NewMemberCache(holding), func(m ListUpdate) { t.Errorf("heard %+v", m) }, func() {}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() { s.Run(ctx); close(ended) }()
	testpeer.Until(t, "it is asked", func() bool { return d.Asked.Load() > 0 })
	cancel()
	select {
	case <-ended:
	case <-time.After(testpeer.Patience):
		t.Error("it goes on")
	}
	testpeer.Until(t, "the resolver's own goroutines end", func() bool { return goleak.Find(goleak.IgnoreCurrent()) == nil })
}

func TestShortestTTLOfResponseCounts(t *testing.T) {
	message := func(ttls ...uint32) []byte {
		m := dnsmessage.Message{Header: dnsmessage.Header{Response: true}}
		for _, ttl := range ttls {
			m.Answers = append(m.Answers, dnsmessage.Resource{Header: dnsmessage.ResourceHeader{Name: dnsmessage.MustNewName("a."), Class: dnsmessage.ClassINET, TTL: ttl},
				Body: &dnsmessage.AResource{}})
		}
		text, err := m.Pack()
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	for _, c := range []struct {
		text []byte
		want time.Duration
		ok   bool
	}{
		{message(60, 5, 30), 5 * time.Second, true},
		{message(60, 0), 0, true},
		{message(1 << 31), 0, true}, // RFC 2181, 8
		{message(), 0, false},
		{message(60)[:25], 0, false},
		{nil, 0, false},
	} {
		if got, ok := shortestTTL(c.text); ok != c.ok || ok && got != c.want {
			t.Errorf("%v, %v; want %v, %v", got, ok, c.want, c.ok)
		}
	}
	// Over TCP the message comes in pieces behind its length.
	d := &dnsPoller{shortestTTL: -1}
	ours, theirs := net.Pipe()
	defer ours.Close()
	framed := append(binary.BigEndian.AppendUint16(nil, uint16(len(message(60, 7)))), message(60, 7)...)
	go func() {
		for _, b := range framed {
			theirs.Write([]byte{b})
		}
		theirs.Close()
	}()
	tap := &tcpTTLConn{Conn: ours, poller: d}
	b := make([]byte, 100)
	for {
		if _, err := tap.Read(b); err != nil {
			break
		}
	}
	if d.shortestTTL != 7*time.Second {
		t.Errorf("over TCP: %v", d.shortestTTL)
	}
}

func TestIsDNSName(t *testing.T) {
	for name, want := range map[string]bool{"a": true, "_http._tcp.a-b.example.": true, "": false, ".": false, "a..b": false, "a b": false,
		strings.Repeat("x", 64): false, strings.Repeat("x.", 130): false, "caf\u00e9": false} {
		if IsDNSName(name) != want {
			t.Errorf("%q: %v", name, !want)
		}
	}
}

func FuzzShortestTTL(f *testing.F) {
	m := dnsmessage.Message{Header: dnsmessage.Header{Response: true}, Answers: []dnsmessage.Resource{{
		Header: dnsmessage.ResourceHeader{Name: dnsmessage.MustNewName("a."), Class: dnsmessage.ClassINET, TTL: 9}, Body: &dnsmessage.AResource{}}}}
	text, _ := m.Pack()
	f.Add(text)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, text []byte) {
		if ttl, ok := shortestTTL(text); ok && (ttl < 0 || ttl > (1<<31-1)*time.Second) {
			t.Errorf("%v", ttl)
		}
	})
}

// FuzzDNSResponses has the standard resolver read whatever a server may say, through the tap.
func FuzzDNSResponses(f *testing.F) {
	f.Add([]byte("\x81\x80\x00\x01\x00\x01\x00\x00\x00\x00"), uint8(3))
	f.Fuzz(func(t *testing.T, tail []byte, step uint8) {
		server, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		go func() {
			b := make([]byte, 2048)
			for {
				n, from, err := server.ReadFrom(b)
				if err != nil {
					return
				}
				// The resolver wants its own id and question back; what follows is the fuzzer's.
				out := append([]byte{}, b[:n]...)
				if n > 12 && len(tail) >= 10 {
					copy(out[2:12], tail[:10])
					out = append(out, tail[10:]...)
				}
				server.WriteTo(out, from)
			}
		}()
		o := DNSOptions{Name: "a.example", Port: 1, Server: server.LocalAddr().String(), Service: step%2 == 0, MinTTL: time.Second, MaxTTL: time.Minute}
		d := &dnsPoller{options: o, retryDelay: time.Second}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if a, err := d.poll(ctx); err == nil && (a.nextPollIn < time.Second || a.nextPollIn > time.Minute) {
			t.Errorf("asks again after %v", a.nextPollIn)
		}
	})
}

func FuzzMemberFile(f *testing.F) {
	f.Add([]byte(`{"format":1,"members":[{"id":"a","address":"h:1","zone":"","kind":"","cell":0,"state":"ready"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		members, err := ParseMemberFile(text)
		ids := map[string]bool{}
		for _, m := range members {
			if err != nil || m.ID == "" || ids[m.ID] || CheckAddress("", m.Addr) != nil {
				t.Errorf("%v beside %+v", err, m)
			}
			ids[m.ID] = true
		}
	})
}

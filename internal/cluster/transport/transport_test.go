package transport

import (
	"bytes"
	"errors"
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

	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/testkit/testpeer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var secret = bytes.Repeat([]byte{7}, 32)

func options(name string, join ...netip.AddrPort) Options {
	return Options{Cluster: "c", Name: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: Keys{newKey(secret)}, Join: join,
		Times: swim.Options{ProbeEvery: 100 * time.Millisecond, ProbeTimeout: 50 * time.Millisecond, Suspicion: 200 * time.Millisecond}, Log: slog.New(slog.DiscardHandler)}
}

func begin(t *testing.T, o Options) *Transport {
	t.Helper()
	l, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Abort() })
	return l
}

// state is what a link holds of a member.
func state(l *Transport, name string) string {
	for _, m := range l.View().Members {
		if m.Name == name {
			return m.State.String()
		}
	}
	return "unknown"
}

func TestLinksFindOneAnotherAndPart(t *testing.T) {
	a := begin(t, options("a"))
	b := begin(t, options("b", a.Addr()))
	c := begin(t, options("c", a.Addr()))
	testpeer.Until(t, "all know all", func() bool {
		return len(a.View().Members) == 3 && len(b.View().Members) == 3 && len(c.View().Members) == 3 && b.View().Connectivity == swim.FullyConnected
	})
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	testpeer.Until(t, "c has left", func() bool { return state(a, "c") == "left" && state(b, "c") == "left" })
	b.Abort()
	testpeer.Until(t, "b has failed", func() bool { return state(a, "b") == "failed" })
}

// Parcels go by datagram where they fit, and by stream where not.
func TestParcels(t *testing.T) {
	a := begin(t, options("a"))
	b := begin(t, options("b", a.Addr()))
	testpeer.Until(t, "they know one another", func() bool { return state(a, "b") == "alive" && state(b, "a") == "alive" })
	for _, size := range []int{0, 500, 5000, 1 << 20} {
		body := bytes.Repeat([]byte{byte(size)}, size)
		if err := a.Send("b", 'x', body); err != nil {
			t.Fatal(err)
		}
		if p := <-b.Messages(); p.From != "a" || p.Kind != 'x' || !bytes.Equal(p.Body, body) {
			t.Errorf("%d bytes: %s %c %d", size, p.From, p.Kind, len(p.Body))
		}
	}
	// Another process of the same name says something, too: it is not heard.
	foreign := b.Metrics().Foreign
	nc, err := net.Dial("udp", b.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.Write(appendPacket(nil, Keys{newKey(secret)}, "c", 1, packetFieldMessage, (&Message{From: "a", Run: 5, Kind: 'x'}).marshal()))
	testpeer.Until(t, "it is counted", func() bool { return b.Metrics().Foreign == foreign+1 })
	select {
	case p := <-b.Messages():
		t.Errorf("it is heard: %+v", p)
	default:
	}
	if err := a.Send("nobody", 'x', nil); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("to nobody: %v", err)
	}
	if err := a.Send("b", 'x', make([]byte, maxStreamBytes+1)); err == nil {
		t.Error("one over the bound goes out")
	}
}

// Keys are changed under way: both are believed meanwhile.
func TestKeysAreChangedUnderWay(t *testing.T) {
	old, next := newKey(secret), newKey(bytes.Repeat([]byte{8}, 32))
	a := begin(t, options("a"))
	b := begin(t, options("b", a.Addr()))
	for _, step := range []struct{ a, b Keys }{{Keys{old, next}, Keys{old}}, {Keys{old, next}, Keys{next, old}}, {Keys{next}, Keys{next, old}}, {Keys{next}, Keys{next}}} {
		for l, k := range map[*Transport]Keys{a: step.a, b: step.b} {
			o := *l.options.Load()
			o.Keys = k
			l.Reconfigure(o)
		}
		was := a.Metrics().Received
		testpeer.Until(t, "they still hear one another", func() bool {
			return a.Metrics().Received > was+3 && state(a, "b") == "alive" && state(b, "a") == "alive"
		})
	}
}

// What is damaged, of another cluster, version or key, or came before, is counted and has no effect; who floods is not heard,
// and the others are.
func TestWhatIsNotTakenIsCounted(t *testing.T) {
	a := begin(t, options("a"))
	b := begin(t, options("b", a.Addr()))
	testpeer.Until(t, "they know one another", func() bool { return len(a.View().Members) == 2 })
	nc, err := net.DialUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2)}, net.UDPAddrFromAddrPort(a.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	m := &swim.Message{Kind: swim.Gossip, From: swim.Update{Peer: swim.Peer{Name: "x", Addr: b.Addr(), Run: 5}, Incarnation: 1}}
	keys := Keys{newKey(secret)}
	good := appendSwimPacket(nil, keys, "c", 1, m)
	flip := slices.Clone(good)
	flip[len(flip)-1] ^= 1
	later := slices.Clone(good)
	later[2]++
	send := func(what []byte) { nc.Write(what) }
	for name, c := range map[string]struct {
		datagram []byte
		count    func(Metrics) uint64
	}{
		"nothing":         {nil, func(f Metrics) uint64 { return f.Damaged }},
		"cut off":         {good[:20], func(f Metrics) uint64 { return f.Forged }},
		"a bit flipped":   {flip, func(f Metrics) uint64 { return f.Forged }},
		"huge":            {make([]byte, 9000), func(f Metrics) uint64 { return f.Damaged }},
		"another version": {later, func(f Metrics) uint64 { return f.Foreign }},
		"another cluster": {appendSwimPacket(nil, keys, "d", 1, m), func(f Metrics) uint64 { return f.Foreign }},
		"another key":     {appendSwimPacket(nil, Keys{newKey(secret[:20])}, "c", 1, m), func(f Metrics) uint64 { return f.Forged }},
		"no key":          {appendSwimPacket(nil, nil, "c", 1, m), func(f Metrics) uint64 { return f.Forged }},
	} {
		was := c.count(a.Metrics())
		send(c.datagram)
		testpeer.Until(t, name+" is counted", func() bool { return c.count(a.Metrics()) == was+1 })
	}
	if state(a, "x") != "unknown" {
		t.Error("something had an effect")
	}
	send(good)
	testpeer.Until(t, "the good one has", func() bool { return state(a, "x") != "unknown" })
	send(good)
	testpeer.Until(t, "a replay is counted", func() bool { return a.Metrics().Replayed == 1 })
	testpeer.Until(t, "a flood is seen", func() bool {
		for range 500 {
			send(flip)
		}
		return a.Metrics().Flooded > 1000
	})
	was := a.Metrics().Received
	testpeer.Until(t, "b is heard meanwhile", func() bool { send(flip); return a.Metrics().Received > was+5 && state(a, "b") == "alive" })
	stream, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	damaged := a.Metrics().Damaged
	stream.Write([]byte{0xff, 0xff, 0xff, 0xff, 1})
	testpeer.Until(t, "a stream that is too long is counted", func() bool { return a.Metrics().Damaged > damaged })
}

func TestStartIsRefused(t *testing.T) {
	o := options("a")
	o.Keys, o.Listen = nil, netip.MustParseAddrPort("0.0.0.0:0")
	if _, err := Start(o); err == nil || !strings.Contains(err.Error(), "fleet.listen") {
		t.Errorf("without a key beyond loopback: %v", err)
	}
	o = options("a")
	o.Listen = begin(t, options("b")).Addr()
	if _, err := Start(o); err == nil || !strings.Contains(err.Error(), "fleet.listen") {
		t.Errorf("an address in use: %v", err)
	}
}

func TestKeyFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	line := strings.Repeat("0a", 32) + "\n"
	for text, keys := range map[string]int{line: 1, "# old\n" + line + "\n" + line: 2, line + line + line: 0, "": 0, "zz\n": 0, "0a0b\n": 0} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if k, err := ReadKeys(path); len(k) != keys || (err == nil) != (keys > 0) || err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %d keys, %v", text, len(k), err)
		}
	}
	if err := os.Chmod(path, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadKeys(path); err == nil || !strings.Contains(err.Error(), "others") {
		t.Errorf("read by all: %v", err)
	}
}

// The longest message that a detector makes for a datagram fits in one.
func TestTheLongestMessageFits(t *testing.T) {
	long := strings.Repeat("n", swim.MaxNameBytes)
	addr := netip.MustParseAddrPort("[2001:db8:1:2:3:4:5:6]:65535")
	worst := swim.Update{Peer: swim.Peer{Name: long, Addr: addr, Run: 1<<64 - 1}, State: swim.Suspect, Incarnation: 1<<62 - 1, By: long}
	n := swim.New(0, swim.Options{Self: worst.Peer, Seed: 1})
	var updates []swim.Update
	for i := range 100 {
		u := worst
		u.Name, u.By = fmt.Sprintf("%s%02d", long[2:], i), long
		updates = append(updates, u)
	}
	other := worst
	other.Name, other.State = "o"+long[1:], swim.Alive
	n.Receive(0, &swim.Message{Kind: swim.Sync, From: other, Updates: updates})
	longest := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		n.Tick(now)
		n.NextTick()
		for _, e := range n.TakeMessages() {
			if size := len(appendSwimPacket(nil, Keys{newKey(secret)}, long, 1<<63, e.Message)); !e.Stream {
				longest = max(longest, size)
			}
		}
	}
	if longest > MaxDatagramBytes || longest < MaxDatagramBytes/2 {
		t.Errorf("the longest has %d bytes", longest)
	}
}

func TestAReplayIsKnownFarBack(t *testing.T) {
	var r replayFilter
	for n := uint64(1); n <= 5000; n += 2 {
		if !r.accept(1, n) || r.accept(1, n) {
			t.Fatalf("%d: first, or again", n)
		}
		if n > replayWindowBits+2 && r.accept(1, n-replayWindowBits-2) {
			t.Fatalf("one as old as %d is taken", n-replayWindowBits-2)
		}
	}
	if !r.accept(1, 4999-501) || r.accept(1, 4999-501) {
		t.Error("one that was overtaken")
	}
	for run := uint64(2); run < 3*maxTrackedRuns; run++ {
		r.accept(run, 1)
	}
	if len(r.current)+len(r.previous) > 2*maxTrackedRuns {
		t.Errorf("%d runs are kept", len(r.current)+len(r.previous))
	}
}

// Whatever comes is read or refused; what is read is written as it was.
func FuzzOpen(f *testing.F) {
	keys := Keys{newKey(secret)}
	m := &swim.Message{Kind: swim.Ping, From: swim.Update{Peer: swim.Peer{Name: "a", Addr: netip.MustParseAddrPort("127.0.0.1:7"), Run: 5}, Incarnation: 1}, Seq: 3,
		Target: swim.Peer{Name: "b", Addr: netip.MustParseAddrPort("[::1]:9"), Run: 6}, Digest: 9, Quiet: true,
		Updates: []swim.Update{{Peer: swim.Peer{Name: "c", Addr: netip.MustParseAddrPort("10.0.0.1:7"), Run: 7}, State: swim.Suspect, Incarnation: 4, By: "a"}}}
	f.Add(appendSwimPacket(nil, nil, "c", 1, m)[headerBytes:])
	f.Add(appendPacket(nil, nil, "c", 2, packetFieldMessage, (&Message{From: "a", Run: 5, Kind: 'r', Body: []byte("body")}).marshal())[headerBytes:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := openPacket(append([]byte{'T', 'R', packetVersion, 0, 0, 0, 0}, body...), nil, "c", swim.MaxPiggyback)
		if err != nil {
			return
		}
		if got.message != nil {
			again, err := openPacket(appendPacket(nil, keys, "c", got.sequence, packetFieldMessage, got.message.marshal()), keys, "c", 0)
			if err != nil || again.sequence != got.sequence || fmt.Sprintf("%+v", *got.message) != fmt.Sprintf("%+v", *again.message) {
				t.Errorf("%+v was read, and then %+v: %v", got.message, again.message, err)
			}
			return
		}
		again, err := openPacket(appendSwimPacket(nil, keys, "c", got.sequence, got.swimMessage), keys, "c", swim.MaxPiggyback)
		if err != nil || again.sequence != got.sequence || fmt.Sprintf("%+v", got.swimMessage) != fmt.Sprintf("%+v", again.swimMessage) {
			t.Errorf("%+v was read, and then %+v: %v", got.swimMessage, again.swimMessage, err)
		}
		swim.New(0, swim.Options{Self: swim.Peer{Name: "z", Addr: netip.MustParseAddrPort("127.0.0.1:8"), Run: 1}}).Receive(time.Second, got.swimMessage)
	})
}

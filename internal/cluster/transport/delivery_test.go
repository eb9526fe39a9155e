package transport

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"

	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/testkit/testpeer"
)

func TestSendDeliversByDatagramAndByStream(t *testing.T) {
	a, b := startPair(t)
	for _, size := range []int{0, 500, 5000, 1 << 20} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			body := bytes.Repeat([]byte{byte(size)}, size)
			if err := a.Send("b", 'x', body); err != nil {
				t.Fatal(err)
			}
			if m := <-b.Messages(); m.From != "a" || m.Kind != 'x' || !bytes.Equal(m.Body, body) {
				t.Errorf("received kind %c with %d bytes from %s, want kind x with the %d bytes sent from a", m.Kind, len(m.Body), m.From, size)
			}
		})
	}
}

// A second process with the name of a member must not be able to send messages in the member's place.
func TestMessageOfAnotherProcessWithAMembersNameIsDropped(t *testing.T) {
	_, b := startPair(t)
	foreignBefore := b.Metrics().Foreign
	conn, err := net.Dial("udp", b.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	options := testOptions("a")
	conn.Write(appendMessagePacket(nil, &options, 1, &Message{From: "a", Generation: 5, Kind: 'x'}))
	testpeer.Eventually(t, "the message is counted as foreign", func() bool { return b.Metrics().Foreign == foreignBefore+1 })
	select {
	case m := <-b.Messages():
		t.Errorf("delivered %+v, want no message", m)
	default:
	}
}

func TestSendReturnsAnErrorForAnUnknownMemberAndATooLongMessage(t *testing.T) {
	a, _ := startPair(t)
	if err := a.Send("nobody", 'x', nil); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("Send to an unknown member: error %v, want ErrUnknownMember", err)
	}
	if err := a.Send("b", 'x', make([]byte, maxStreamBytes+1)); err == nil {
		t.Error("Send of more than maxStreamBytes: no error, want one")
	}
}

func TestDroppedPacketsAreCountedByReasonAndHaveNoEffect(t *testing.T) {
	a := startTransport(t, testOptions("a"))
	b := startTransport(t, testOptions("b", a.Addr()))
	testpeer.Eventually(t, "a and b are members", func() bool { return len(a.View().Members) == 2 })
	conn, err := net.DialUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2)}, net.UDPAddrFromAddrPort(a.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	send := func(datagram []byte) { conn.Write(datagram) }

	m := &swim.Message{Kind: swim.Gossip, From: swim.Update{Peer: swim.Peer{Name: "x", Addr: b.Addr(), Generation: 5}, Incarnation: 1}}
	encodePacket := func(cluster string, keys ...Key) []byte {
		return appendSwimPacket(nil, &Options{Cluster: cluster, Keys: keys}, 1, m)
	}
	key := newKey(secret)
	validPacket := encodePacket("c", key)
	alteredPacket := slices.Clone(validPacket)
	alteredPacket[len(alteredPacket)-1] ^= 1
	laterVersionPacket := slices.Clone(validPacket)
	laterVersionPacket[versionOffset]++
	for name, row := range map[string]struct {
		datagram []byte
		count    func(Metrics) uint64
	}{
		"empty":                           {nil, func(m Metrics) uint64 { return m.Malformed }},
		"truncated":                       {validPacket[:20], func(m Metrics) uint64 { return m.Unauthenticated }},
		"one bit flipped":                 {alteredPacket, func(m Metrics) uint64 { return m.Unauthenticated }},
		"longer than MaxDatagramBytes":    {make([]byte, 9000), func(m Metrics) uint64 { return m.Malformed }},
		"later format version":            {laterVersionPacket, func(m Metrics) uint64 { return m.Foreign }},
		"packet of another cluster":       {encodePacket("d", key), func(m Metrics) uint64 { return m.Foreign }},
		"signed with an unknown key":      {encodePacket("c", newKey(secret[:20])), func(m Metrics) uint64 { return m.Unauthenticated }},
		"unsigned though keys are in use": {encodePacket("c"), func(m Metrics) uint64 { return m.Unauthenticated }},
	} {
		t.Run(name, func(t *testing.T) {
			countBefore := row.count(a.Metrics())
			send(row.datagram)
			testpeer.Eventually(t, "the packet is counted", func() bool { return row.count(a.Metrics()) == countBefore+1 })
		})
	}
	if state := stateOf(a, "x"); state != "unknown" {
		t.Errorf("after dropped packets about x its state is %s, want unknown", state)
	}

	send(validPacket)
	testpeer.Eventually(t, "a valid packet makes x a member", func() bool { return stateOf(a, "x") != "unknown" })
	send(validPacket)
	testpeer.Eventually(t, "the replay of the valid packet is counted", func() bool { return a.Metrics().Replayed == 1 })
	testpeer.Eventually(t, "packets over the rate limit of their source are dropped", func() bool {
		for range 500 {
			send(alteredPacket)
		}
		return a.Metrics().RateLimited > 1000
	})
	receivedBefore := a.Metrics().Received
	testpeer.Eventually(t, "packets of b are still received", func() bool {
		send(alteredPacket)
		return a.Metrics().Received > receivedBefore+5 && stateOf(a, "b") == "alive"
	})
}

// A stream whose header announces more than maxStreamBytes must be dropped, so that it can't exhaust the memory.
func TestStreamWithATooLargeLengthIsDropped(t *testing.T) {
	a := startTransport(t, testOptions("a"))
	conn, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	before := a.Metrics().Malformed
	conn.Write([]byte{0xff, 0xff, 0xff, 0xff, 1})
	testpeer.Eventually(t, "the stream is counted as malformed", func() bool { return a.Metrics().Malformed > before })
}

// An address in Options.Join counts as reached once a member has it, also if that member has failed since.
func TestContactsCountUnreachedAddresses(t *testing.T) {
	a := startTransport(t, testOptions("a"))
	nobody := testpeer.FreeAddress(t)
	b := startTransport(t, testOptions("b", a.Addr(), netip.MustParseAddrPort(nobody)))
	for _, c := range []struct {
		when           string
		names          string
		unreachedCount int
		prepare        func()
	}{
		{"while a is alive", "[a]", 1, func() {}},
		{"after the end of a", "[]", 1, func() { _ = a.Abort() }},
	} {
		c.prepare()
		testpeer.Eventually(t, fmt.Sprintf("contacts %s: %s, unreached %d", c.when, c.names, c.unreachedCount), func() bool {
			names, unreachedCount := b.Contacts()
			return fmt.Sprint(names) == c.names && unreachedCount == c.unreachedCount
		})
	}
	if _, unreachedCount := startTransport(t, testOptions("c", a.Addr())).Contacts(); unreachedCount != 1 {
		t.Errorf("%d addresses are unreached at the start, want 1", unreachedCount)
	}
}

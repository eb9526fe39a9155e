package transport

import (
	"bytes"
	"errors"
	"fmt"
	"net"
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
				t.Errorf("received from %s, kind %c, %d bytes", m.From, m.Kind, len(m.Body))
			}
		})
	}
}

func TestMessageOfAnotherProcessOfTheNameIsDropped(t *testing.T) {
	_, b := startPair(t)
	before := b.Metrics().Foreign
	conn, err := net.Dial("udp", b.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	options := testOptions("a")
	conn.Write(appendMessagePacket(nil, &options, 1, &Message{From: "a", RunID: 5, Kind: 'x'}))
	testpeer.Eventually(t, "it is counted", func() bool { return b.Metrics().Foreign == before+1 })
	select {
	case m := <-b.Messages():
		t.Errorf("delivered: %+v", m)
	default:
	}
}

func TestSendReportsWhatIsNotSent(t *testing.T) {
	a, _ := startPair(t)
	if err := a.Send("nobody", 'x', nil); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("to an unknown member: %v", err)
	}
	if err := a.Send("b", 'x', make([]byte, maxStreamBytes+1)); err == nil {
		t.Error("a message over maxStreamBytes is sent")
	}
}

func TestDroppedPacketsAreCountedByReasonAndHaveNoEffect(t *testing.T) {
	a := start(t, testOptions("a"))
	b := start(t, testOptions("b", a.Addr()))
	testpeer.Eventually(t, "a and b are members", func() bool { return len(a.View().Members) == 2 })
	conn, err := net.DialUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2)}, net.UDPAddrFromAddrPort(a.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	send := func(datagram []byte) { conn.Write(datagram) }

	m := &swim.Message{Kind: swim.Gossip, From: swim.Update{Peer: swim.Peer{Name: "x", Addr: b.Addr(), Generation: 5}, Incarnation: 1}}
	signed := func(cluster string, keys ...Key) []byte {
		return appendSwimPacket(nil, &Options{Cluster: cluster, Keys: keys}, 1, m)
	}
	key := newKey(secret)
	valid := signed("c", key)
	altered := slices.Clone(valid)
	altered[len(altered)-1] ^= 1
	laterVersion := slices.Clone(valid)
	laterVersion[versionOffset]++
	for name, row := range map[string]struct {
		datagram []byte
		count    func(Metrics) uint64
	}{
		"empty":           {nil, func(m Metrics) uint64 { return m.Malformed }},
		"cut off":         {valid[:20], func(m Metrics) uint64 { return m.Unauthenticated }},
		"a bit flipped":   {altered, func(m Metrics) uint64 { return m.Unauthenticated }},
		"too long":        {make([]byte, 9000), func(m Metrics) uint64 { return m.Malformed }},
		"another version": {laterVersion, func(m Metrics) uint64 { return m.Foreign }},
		"another cluster": {signed("d", key), func(m Metrics) uint64 { return m.Foreign }},
		"another key":     {signed("c", newKey(secret[:20])), func(m Metrics) uint64 { return m.Unauthenticated }},
		"no key":          {signed("c"), func(m Metrics) uint64 { return m.Unauthenticated }},
	} {
		t.Run(name, func(t *testing.T) {
			before := row.count(a.Metrics())
			send(row.datagram)
			testpeer.Eventually(t, "it is counted", func() bool { return row.count(a.Metrics()) == before+1 })
		})
	}
	if stateOf(a, "x") != "unknown" {
		t.Error("a dropped packet had an effect")
	}

	send(valid)
	testpeer.Eventually(t, "the valid one has an effect", func() bool { return stateOf(a, "x") != "unknown" })
	send(valid)
	testpeer.Eventually(t, "its replay is counted", func() bool { return a.Metrics().Replayed == 1 })
	testpeer.Eventually(t, "a source over its rate is dropped", func() bool {
		for range 500 {
			send(altered)
		}
		return a.Metrics().RateLimited > 1000
	})
	before := a.Metrics().Received
	testpeer.Eventually(t, "b is received meanwhile", func() bool {
		send(altered)
		return a.Metrics().Received > before+5 && stateOf(a, "b") == "alive"
	})
}

func TestStreamThatAnnouncesTooMuchIsDropped(t *testing.T) {
	a := start(t, testOptions("a"))
	conn, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	before := a.Metrics().Malformed
	conn.Write([]byte{0xff, 0xff, 0xff, 0xff, 1})
	testpeer.Eventually(t, "it is counted", func() bool { return a.Metrics().Malformed > before })
}

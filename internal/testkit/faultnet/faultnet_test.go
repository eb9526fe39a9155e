package faultnet

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tuliprock/internal/testkit/testpeer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Each fault of a link takes effect in the direction in which it is set, and no fault takes effect after Heal.
func TestLinkFaultsTakeEffectUntilHeal(t *testing.T) {
	n := New(1, nil)
	defer n.Close()
	listen := func(ip string) (*net.UDPConn, net.Listener, netip.AddrPort) {
		tcp, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { tcp.Close() })
		addr := tcp.Addr().(*net.TCPAddr).AddrPort()
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { udp.Close() })
		return udp, tcp, addr
	}
	udpA, _, addrA := listen("127.0.3.1")
	udpB, tcpB, addrB := listen("127.0.3.2")
	if _, err := n.AddRelay("a", addrA); err != nil {
		t.Fatal(err)
	}
	relayToB, err := n.AddRelay("b", addrB)
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 1000) // content of the datagrams that reach process b
	go func() {
		buf := make([]byte, 100)
		for {
			size, _, err := udpB.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			received <- string(buf[:size])
		}
	}()
	// An end marker is sent from an address that no link is set for, through the same socket of the relay. When it arrives, every
	// datagram that was sent before it without a delay has been delivered or dropped.
	markerConn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(relayToB))
	if err != nil {
		t.Fatal(err)
	}
	defer markerConn.Close()
	// sendAndCount sends datagrams from a to b over a link and returns how many are delivered. It waits for minDelivered of them
	// before it sends the end marker, since the marker overtakes delayed datagrams.
	sendAndCount := func(l Link, count, minDelivered int) (delivered int) {
		t.Helper()
		n.SetLink("a", "b", l)
		for range count {
			if _, err := udpA.WriteToUDPAddrPort([]byte("x"), relayToB); err != nil {
				t.Fatal(err)
			}
		}
		for ; delivered < minDelivered; delivered++ {
			<-received
		}
		markerConn.Write([]byte("end"))
		for text := <-received; text != "end"; text = <-received {
			delivered++
		}
		return delivered
	}
	for name, c := range map[string]struct {
		link                         Link
		minDeliveries, maxDeliveries int // bounds of the number of deliveries if 100 datagrams are sent
	}{
		"no faults":        {Link{}, 100, 100},
		"cut":              {Link{IsCut: true}, 0, 0},
		"loss":             {Link{LossProbability: 0.3}, 50, 90},
		"duplicates":       {Link{DuplicateProbability: 1}, 200, 200},
		"delay and jitter": {Link{Delay: 20 * time.Millisecond, Jitter: 10 * time.Millisecond}, 100, 100},
	} {
		if delivered := sendAndCount(c.link, 100, c.minDeliveries); delivered < c.minDeliveries || delivered > c.maxDeliveries {
			t.Errorf("%s: %d deliveries of 100 datagrams, want %d to %d", name, delivered, c.minDeliveries, c.maxDeliveries)
		}
	}
	n.SetLink("b", "a", Link{IsCut: true})
	if delivered := sendAndCount(Link{}, 10, 10); delivered != 10 {
		t.Errorf("with only the opposite direction cut, %d of 10 datagrams were delivered, want all", delivered)
	}
	n.Heal()

	go func() {
		for {
			nc, err := tcpB.Accept()
			if err != nil {
				return
			}
			go func() { defer nc.Close(); io.Copy(nc, nc) }()
		}
	}()
	dial := func() (net.Conn, error) {
		nc, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 3, 1)}}).Dial("tcp", relayToB.String())
		if err != nil {
			return nil, err
		}
		return nc, nc.SetDeadline(time.Now().Add(testpeer.Timeout))
	}
	echo := func(nc net.Conn) error {
		if _, err := io.WriteString(nc, "x"); err != nil {
			return err
		}
		_, err := io.ReadFull(nc, make([]byte, 1))
		return err
	}
	nc, err := dial()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if err := echo(nc); err != nil {
		t.Errorf("echo over a connection without faults: %v", err)
	}
	n.SetLink("a", "b", Link{IsCut: true})
	nc.SetDeadline(time.Now().Add(100 * time.Millisecond))
	if err := echo(nc); err == nil {
		t.Error("echo over a cut link succeeded, want a timeout")
	}
	nc.SetDeadline(time.Now().Add(testpeer.Timeout))
	n.Heal()
	if _, err := io.ReadFull(nc, make([]byte, 1)); err != nil {
		t.Errorf("echo of the byte that was sent while the link was cut, after it was healed: %v", err)
	}
	n.SetLink("a", "b", Link{ResetsConnections: true})
	if err := echo(nc); err == nil {
		t.Error("echo over a connection that was reset succeeded, want an error")
	}
	newConn, err := dial()
	if err == nil {
		defer newConn.Close()
		err = echo(newConn)
	}
	// The relay resets a connection right after accepting the connection, so the error is returned by the dial, the write or the read.
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("new connection over a link with Reset: error %v, want ECONNRESET", err)
	}
}

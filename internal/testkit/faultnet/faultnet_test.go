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

// Each fault does what it says, in the direction in which it is set, and no more when the links are healed.
func TestFaults(t *testing.T) {
	n := New(1, nil)
	defer n.Close()
	listen := func(ip string) (*net.UDPConn, net.Listener, netip.AddrPort) {
		tcp, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { tcp.Close() })
		at := tcp.Addr().(*net.TCPAddr).AddrPort()
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { udp.Close() })
		return udp, tcp, at
	}
	a, _, atA := listen("127.0.3.1")
	b, tcpB, atB := listen("127.0.3.2")
	if _, err := n.AddRelay("a", atA); err != nil {
		t.Fatal(err)
	}
	toB, err := n.AddRelay("b", atB)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan string, 1000)
	go func() {
		buf := make([]byte, 100)
		for {
			size, _, err := b.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			got <- string(buf[:size])
		}
	}()
	// A mark comes from an address that no link is set for, through the same socket of the relay: what was sent before it, and
	// was not delayed, has come or gone by when it comes.
	mark, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(toB))
	if err != nil {
		t.Fatal(err)
	}
	defer mark.Close()
	arrive := func(l Link, count, least int) (came int) {
		t.Helper()
		n.Set("a", "b", l)
		for range count {
			if _, err := a.WriteToUDPAddrPort([]byte("x"), toB); err != nil {
				t.Fatal(err)
			}
		}
		for ; came < least; came++ {
			<-got
		}
		mark.Write([]byte("end"))
		for text := <-got; text != "end"; text = <-got {
			came++
		}
		return came
	}
	for what, c := range map[string]struct {
		l           Link
		least, most int
	}{"well": {Link{}, 100, 100}, "cut": {Link{Cut: true}, 0, 0}, "loss": {Link{Loss: 0.3}, 50, 90}, "twice": {Link{Duplicate: 1}, 200, 200},
		"late": {Link{Delay: 20 * time.Millisecond, Jitter: 10 * time.Millisecond}, 100, 100}} {
		if came := arrive(c.l, 100, c.least); came < c.least || came > c.most {
			t.Errorf("%s: %d of 100 came", what, came)
		}
	}
	n.Set("b", "a", Link{Cut: true})
	if came := arrive(Link{}, 10, 10); came != 10 {
		t.Errorf("cut the other way: %d of 10 came", came)
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
		nc, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 3, 1)}}).Dial("tcp", toB.String())
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
		t.Errorf("a stream: %v", err)
	}
	n.Set("a", "b", Link{Cut: true})
	nc.SetDeadline(time.Now().Add(100 * time.Millisecond))
	if err := echo(nc); err == nil {
		t.Error("a stream goes on through a cut")
	}
	nc.SetDeadline(time.Now().Add(testpeer.Timeout))
	n.Heal()
	if _, err := io.ReadFull(nc, make([]byte, 1)); err != nil {
		t.Errorf("what was on its way when the link was cut: %v", err)
	}
	n.Set("a", "b", Link{Reset: true})
	if err := echo(nc); err == nil {
		t.Error("a stream outlives a reset")
	}
	again, err := dial()
	if err == nil {
		defer again.Close()
		err = echo(again)
	}
	// The relay resets as soon as it has accepted: that is seen by the dial itself, or else by the write or the read.
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a new stream is not reset: %v", err)
	}
}

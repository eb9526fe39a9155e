// Package faultnet injects network faults between real processes on loopback. Each process has a relay for UDP and TCP, and
// the other processes are given the relay's address in place of the process's own. A relay tells the senders apart by the
// loopback IP address that they send from, so each ordered pair of processes has a link with faults of its own.
//
// Bounds: a relay has one goroutine that forwards datagrams, one that accepts connections, and three for each connection, of
// which there are up to maxConnections. Up to maxDelayedDatagrams datagrams of a network are delayed at once; further ones
// are lost.
package faultnet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link holds the faults of the datagrams and TCP streams that one process sends to another. The zero value has no faults.
type Link struct {
	IsCut                bool          // datagrams are lost and TCP connections stall without an error, as if a cable were unplugged
	ResetsConnections    bool          // open and new TCP connections are reset; datagrams are forwarded
	LossProbability      float64       // probability that a datagram is lost, or that a piece of a TCP stream is delayed by a retransmission
	DuplicateProbability float64       // probability that a datagram is delivered twice
	Delay                time.Duration // delay of each datagram and of each piece of a TCP stream
	Jitter               time.Duration // upper bound of a random delay that is added to Delay; datagrams may overtake one another
	Rate                 int           // throughput of a TCP stream in bytes per second; 0: unlimited
}

const (
	maxConnections      = 64                     // highest number of open TCP connections of one relay; further ones are closed
	maxDelayedDatagrams = 4096                   // highest number of datagrams of a Network that are delayed at the same time; further ones are lost
	retransmissionDelay = 200 * time.Millisecond // delay of a lost piece of a TCP stream: the minimum retransmission timeout of Linux
	maxPieceSize        = 16 << 10               // highest number of bytes of a TCP stream that are forwarded, and delayed, together
	cutPollInterval     = 5 * time.Millisecond   // time between two checks whether a link is still cut
)

// Network consists of one relay for each process, and of the links between the processes. It is safe for concurrent use.
type Network struct {
	ctx        context.Context // done when Close is called
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu               sync.Mutex // guards rng and all fields after it
	rng              *rand.Rand
	links            map[linkKey]Link         // links that were set since the latest Heal; all others have no faults
	processNames     map[netip.Addr]string    // name of the process that sends from each IP address
	conns            map[net.Conn]linkKey     // open TCP connections of all relays; the value is the link from the client's process to the server's process
	delayedDatagrams int                      // number of datagrams that are delayed now, at most maxDelayedDatagrams
	onLinkChange     func(description string) // called with mu held at each change of a link; never nil
}

// linkKey identifies a link by the names of the sending and the receiving process.
type linkKey struct{ from, to string }

// randStream is the second half of the seed of a Network's random generator; the first half is New's parameter seed. Generators for other
// purposes that are given the same seed draw other numbers if their second half differs.
const randStream = 2

// New returns a Network without relays. Random faults are drawn from the seed. onLinkChange, which may be nil, is called with
// a description of each change of a link; it must not call the Network.
func New(seed uint64, onLinkChange func(description string)) *Network {
	if onLinkChange == nil {
		onLinkChange = func(string) {}
	}
	n := &Network{rng: rand.New(rand.NewPCG(seed, randStream)), links: map[linkKey]Link{}, processNames: map[netip.Addr]string{},
		conns: map[net.Conn]linkKey{}, onLinkChange: onLinkChange}
	n.ctx, n.stop = context.WithCancel(context.Background())
	return n
}

// Close closes all relays and their connections, and returns when their goroutines have ended.
func (n *Network) Close() {
	n.stop()
	n.mu.Lock()
	for nc := range n.conns {
		nc.Close()
	}
	n.mu.Unlock()
	n.goroutines.Wait()
}

// AddRelay starts a relay to the process of the given name, which listens on processAddr for UDP and TCP and sends from the
// same IP address. It returns the address of the relay, to which other processes are to send.
func (n *Network) AddRelay(name string, processAddr netip.AddrPort) (relayAddr netip.AddrPort, err error) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	relayAddr = tcp.Addr().(*net.TCPAddr).AddrPort()
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(relayAddr))
	if err != nil {
		tcp.Close()
		return netip.AddrPort{}, err
	}
	n.mu.Lock()
	n.processNames[processAddr.Addr()] = name
	n.mu.Unlock()
	context.AfterFunc(n.ctx, func() {
		tcp.Close()
		_ = udp.Close() // the Network is being closed, and nothing is left to do if closing this socket fails
	})
	n.goroutines.Go(func() { n.relayDatagrams(udp, name, processAddr) })
	n.goroutines.Go(func() { n.acceptConnections(tcp, name, processAddr) })
	return relayAddr, nil
}

// SetLink replaces the faults of the link from one process to another. If l.ResetsConnections is set, SetLink also resets the
// connections that are open between the two processes, whichever of them opened the connection.
func (n *Network) SetLink(from, to string, l Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[linkKey{from, to}] = l
	if l.ResetsConnections {
		for nc, key := range n.conns {
			if key == (linkKey{from, to}) || key == (linkKey{to, from}) {
				resetConn(nc)
			}
		}
	}
	n.onLinkChange(fmt.Sprintf("link from %s to %s: %+v", from, to, l))
}

// SetLinksBetween replaces the faults of all links between a process of group and a process of others by l, in both directions.
func (n *Network) SetLinksBetween(group, others []string, l Link) {
	n.SetLinksOneWay(group, others, l)
	n.SetLinksOneWay(others, group, l)
}

// SetLinksOneWay replaces the faults of the link from each process of senders to each other process of receivers by l.
func (n *Network) SetLinksOneWay(senders, receivers []string, l Link) {
	for _, from := range senders {
		for _, to := range receivers {
			if from != to {
				n.SetLink(from, to, l)
			}
		}
	}
}

// Heal removes the faults of all links.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.links)
	n.onLinkChange("all links: no faults")
}

// resetConn closes a TCP connection with a reset instead of a regular end of the stream.
func resetConn(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	nc.Close()
}

// faults holds what a link does to one datagram, or to one piece of a TCP stream.
type faults struct {
	Link
	lost, duplicated bool
	delay            time.Duration
}

// drawFaults draws the faults of one datagram or piece of a TCP stream from the probabilities of its link.
func (n *Network) drawFaults(key linkKey) faults {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := faults{Link: n.links[key]}
	f.lost = n.rng.Float64() < f.LossProbability
	f.duplicated = n.rng.Float64() < f.DuplicateProbability
	if f.delay = f.Delay; f.Jitter > 0 {
		f.delay += time.Duration(n.rng.Int64N(int64(f.Jitter)))
	}
	return f
}

// processName returns the name of the process that sends from an IP address, or "" if AddRelay was given no process with the address.
func (n *Network) processName(a netip.Addr) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processNames[a.Unmap()]
}

// relayDatagrams forwards the datagrams that reach a relay to its process. They are sent from the relay's own socket, so the
// process sees the relay as their source: a datagram's content has to name its sender.
func (n *Network) relayDatagrams(udp *net.UDPConn, process string, processAddr netip.AddrPort) {
	b := make([]byte, 64<<10)
	for {
		size, sender, err := udp.ReadFromUDPAddrPort(b)
		if n.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		f := n.drawFaults(linkKey{n.processName(sender.Addr()), process})
		if f.IsCut || f.lost {
			continue
		}
		n.forwardDatagram(udp, processAddr, append([]byte(nil), b[:size]...), f.delay)
		if f.duplicated {
			n.forwardDatagram(udp, processAddr, append([]byte(nil), b[:size]...), f.delay+f.Jitter)
		}
	}
}

// forwardDatagram sends a datagram to a process after a delay, or drops it if too many datagrams are delayed.
func (n *Network) forwardDatagram(udp *net.UDPConn, to netip.AddrPort, b []byte, delay time.Duration) {
	if delay <= 0 {
		_, _ = udp.WriteToUDPAddrPort(b, to) // a datagram whose write fails, for example since the process has ended, is lost
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delayedDatagrams >= maxDelayedDatagrams {
		return
	}
	n.delayedDatagrams++
	time.AfterFunc(delay, func() {
		_, _ = udp.WriteToUDPAddrPort(b, to)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.delayedDatagrams--
	})
}

// acceptConnections accepts the TCP connections that reach a relay and forwards each one to the relay's process. Connections
// beyond maxConnections are closed.
func (n *Network) acceptConnections(l net.Listener, process string, processAddr netip.AddrPort) {
	slots := make(chan struct{}, maxConnections)
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			client.Close()
			continue
		}
		from := n.processName(client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		n.goroutines.Go(func() {
			defer func() { <-slots }()
			n.relayConnection(client, linkKey{from, process}, processAddr)
		})
	}
}

// relayConnection forwards a client's connection to a process until both directions have ended. key is the link from the
// client's process to that process.
func (n *Network) relayConnection(client net.Conn, key linkKey, processAddr netip.AddrPort) {
	defer client.Close()
	n.track(client, key)
	defer n.untrack(client)
	if n.drawFaults(key).ResetsConnections {
		resetConn(client)
		return
	}
	n.waitWhileCut(key)
	server, err := (&net.Dialer{}).DialContext(n.ctx, "tcp", processAddr.String())
	if err != nil {
		resetConn(client)
		return
	}
	defer server.Close()
	n.track(server, key)
	defer n.untrack(server)
	var directions sync.WaitGroup
	directions.Go(func() { n.relayStream(server, client, key) })
	directions.Go(func() { n.relayStream(client, server, linkKey{key.to, key.from}) })
	directions.Wait()
}

// track registers a connection so that SetLink can reset it and Close can close it. It closes the connection if the Network is
// closed already.
func (n *Network) track(nc net.Conn, key linkKey) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[nc] = key
	if n.ctx.Err() != nil {
		nc.Close()
	}
}

// untrack removes a connection that has ended from those that track has registered.
func (n *Network) untrack(nc net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, nc)
}

// relayStream forwards one direction of a connection until its end. The end of the stream is forwarded as a half-close, and a
// read error as a reset.
func (n *Network) relayStream(to, from net.Conn, key linkKey) {
	b := make([]byte, maxPieceSize)
	for {
		size, err := from.Read(b)
		f := n.drawFaults(key)
		if f.lost {
			f.delay += retransmissionDelay
		}
		if f.Rate > 0 {
			f.delay += time.Duration(size) * time.Second / time.Duration(f.Rate)
		}
		n.sleep(f.delay)
		n.waitWhileCut(key)
		if size > 0 {
			if _, writeErr := to.Write(b[:size]); writeErr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = tcp.CloseWrite()
			} else {
				resetConn(to)
			}
			return
		}
	}
}

// sleep returns after a duration, or when the Network is closed.
func (n *Network) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-n.ctx.Done():
	}
}

// waitWhileCut returns when a link is not cut, or when the Network is closed. Of the faults that drawFaults returns, it
// uses only IsCut; the random ones are drawn without effect.
func (n *Network) waitWhileCut(key linkKey) {
	for n.ctx.Err() == nil && n.drawFaults(key).IsCut {
		n.sleep(cutPollInterval)
	}
}

// Package faultnet puts links that break between real processes on loopback: for each process a relay for UDP and TCP, at
// the address that the others are told. A process is known by the loopback address that it sends from, so each pair of
// processes and each direction has a link of its own.
//
// Bounds: a relay has one goroutine for datagrams, one that accepts, and three for each connection, mostConns at most;
// mostDelayed datagrams wait at once, what is beyond is lost.
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

// Link says what becomes of what goes from one process to another. The zero value passes all on at once.
type Link struct {
	Cut       bool          // datagrams vanish, streams stall: half-open, as a cable that was pulled
	Reset     bool          // streams are reset, those that are open and those that come; datagrams pass
	Loss      float64       // of datagrams; a stream waits for what TCP would send again
	Duplicate float64       // of datagrams, which come twice
	Delay     time.Duration // of each datagram, and of each piece of a stream
	Jitter    time.Duration // on top, drawn for each datagram: later ones may overtake
	Rate      int           // bytes a second of a stream; 0: any
}

const (
	mostConns   = 64
	mostDelayed = 4096
	resend      = 200 * time.Millisecond // TCP's least time to send again (Linux)
	piece       = 16 << 10
	stall       = 5 * time.Millisecond // between two looks at a link that is cut
)

// Network is relays and the links between them.
type Network struct {
	ctx   context.Context
	stop  context.CancelFunc
	parts sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	links   map[pair]Link
	names   map[netip.Addr]string // of processes, by the address that they send from
	conns   map[net.Conn]pair
	delayed int
	note    func(text string)
}

type pair struct{ from, to string }

// New makes a Network without relays. What chance decides is drawn from the seed; note is told of each change of a link and
// may be nil.
func New(seed uint64, note func(text string)) *Network {
	if note == nil {
		note = func(string) {}
	}
	n := &Network{rng: rand.New(rand.NewPCG(seed, 2)), links: map[pair]Link{}, names: map[netip.Addr]string{}, conns: map[net.Conn]pair{}, note: note}
	n.ctx, n.stop = context.WithCancel(context.Background())
	return n
}

// Close ends all relays and returns when nothing of them runs any more.
func (n *Network) Close() {
	n.stop()
	n.mu.Lock()
	for nc := range n.conns {
		nc.Close()
	}
	n.mu.Unlock()
	n.parts.Wait()
}

// AddRelay makes a relay for the process of a name, which sends from the address of at and is heard there. What others
// are to be told is given back.
func (n *Network) AddRelay(name string, at netip.AddrPort) (netip.AddrPort, error) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	addr := tcp.Addr().(*net.TCPAddr).AddrPort()
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		tcp.Close()
		return netip.AddrPort{}, err
	}
	n.mu.Lock()
	n.names[at.Addr()] = name
	n.mu.Unlock()
	context.AfterFunc(n.ctx, func() {
		tcp.Close()
		_ = udp.Close() // a socket that is given up
	})
	n.parts.Go(func() { n.datagrams(udp, name, at) })
	n.parts.Go(func() { n.streams(tcp, name, at) })
	return addr, nil
}

// Set makes the link from one process to another what it is from now on.
func (n *Network) Set(from, to string, l Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[pair{from, to}] = l
	if l.Reset {
		for nc, p := range n.conns {
			if p == (pair{from, to}) || p == (pair{to, from}) {
				abort(nc)
			}
		}
	}
	n.note(fmt.Sprintf("%s to %s: %+v", from, to, l))
}

// Between sets the links between all of one group and all of the other, both ways.
func (n *Network) Between(some, others []string, l Link) {
	n.OneWay(some, others, l)
	n.OneWay(others, some, l)
}

// OneWay sets the links from all of one group to all of the other.
func (n *Network) OneWay(some, others []string, l Link) {
	for _, a := range some {
		for _, b := range others {
			if a != b {
				n.Set(a, b, l)
			}
		}
	}
}

// Heal makes all links pass everything on at once.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.links)
	n.note("all links pass")
}

func abort(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	nc.Close()
}

// way is a link as it is now, and chance for one datagram or piece.
type way struct {
	Link
	lost, twice bool
	delay       time.Duration
}

func (n *Network) draw(p pair) way {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := way{Link: n.links[p]}
	w.lost = n.rng.Float64() < w.Loss
	w.twice = n.rng.Float64() < w.Duplicate
	if w.delay = w.Delay; w.Jitter > 0 {
		w.delay += time.Duration(n.rng.Int64N(int64(w.Jitter)))
	}
	return w
}

func (n *Network) nameOf(a netip.Addr) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[a.Unmap()]
}

// datagrams passes on what comes for a process. It goes on from the relay's own socket: who sent it stands in it.
func (n *Network) datagrams(udp *net.UDPConn, to string, at netip.AddrPort) {
	b := make([]byte, 64<<10)
	for {
		size, from, err := udp.ReadFromUDPAddrPort(b)
		if n.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		w := n.draw(pair{n.nameOf(from.Addr()), to})
		if w.Cut || w.lost {
			continue
		}
		n.pass(udp, at, append([]byte(nil), b[:size]...), w.delay)
		if w.twice {
			n.pass(udp, at, append([]byte(nil), b[:size]...), w.delay+w.Jitter)
		}
	}
}

func (n *Network) pass(udp *net.UDPConn, to netip.AddrPort, b []byte, delay time.Duration) {
	if delay <= 0 {
		_, _ = udp.WriteToUDPAddrPort(b, to) // a process that is gone is a loss
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delayed >= mostDelayed {
		return
	}
	n.delayed++
	time.AfterFunc(delay, func() {
		_, _ = udp.WriteToUDPAddrPort(b, to)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.delayed--
	})
}

// streams passes connections on to a process.
func (n *Network) streams(l net.Listener, to string, at netip.AddrPort) {
	room := make(chan struct{}, mostConns)
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case room <- struct{}{}:
		default:
			in.Close()
			continue
		}
		from := n.nameOf(in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		n.parts.Go(func() {
			defer func() { <-room }()
			n.connection(in, pair{from, to}, at)
		})
	}
}

func (n *Network) connection(in net.Conn, p pair, at netip.AddrPort) {
	defer in.Close()
	n.hold(in, p)
	defer n.let(in)
	if n.draw(p).Reset {
		abort(in)
		return
	}
	n.waitWhileCut(p)
	out, err := (&net.Dialer{}).DialContext(n.ctx, "tcp", at.String())
	if err != nil {
		abort(in)
		return
	}
	defer out.Close()
	n.hold(out, p)
	defer n.let(out)
	var both sync.WaitGroup
	both.Go(func() { n.copy(out, in, p) })
	both.Go(func() { n.copy(in, out, pair{p.to, p.from}) })
	both.Wait()
}

func (n *Network) hold(nc net.Conn, p pair) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[nc] = p
	if n.ctx.Err() != nil {
		nc.Close()
	}
}

func (n *Network) let(nc net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, nc)
}

// copy passes one direction of a connection on, to its end.
func (n *Network) copy(to, from net.Conn, p pair) {
	b := make([]byte, piece)
	for {
		size, err := from.Read(b)
		w := n.draw(p)
		if w.lost {
			w.delay += resend
		}
		if w.Rate > 0 {
			w.delay += time.Duration(size) * time.Second / time.Duration(w.Rate)
		}
		n.wait(w.delay)
		n.waitWhileCut(p)
		if size > 0 {
			if _, werr := to.Write(b[:size]); werr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = half.CloseWrite()
			} else {
				abort(to)
			}
			return
		}
	}
}

func (n *Network) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-n.ctx.Done():
	}
}

func (n *Network) waitWhileCut(p pair) {
	for n.ctx.Err() == nil && n.draw(p).Cut {
		n.wait(stall)
	}
}

// Package transport carries the messages of a cluster's daemons to one another and derives from them a view of who is a
// member. It sends and receives signed packets, in UDP datagrams where they fit and else in TCP streams, both on one
// port.
//
// A Transport owns its sockets and the failure detector (swim.Node). Its goroutines are: the owner, which alone uses the
// detector; one reader of datagrams; one acceptor of streams; and for streams at most maxStreams goroutines in each
// direction, each of which lives for streamTimeout at most. All of them end before Abort or Close returns. Nothing of this
// is on a request's path, and no request waits for it.
//
// The methods of a Transport may be called concurrently, but Reconfigure only by one goroutine at a time, and Close and Abort
// once. View, Now, Metrics, Changed, Messages and Addr never block. Delivery is not guaranteed: packets are dropped, and
// counted by reason, when they can't be authenticated, are replayed, exceed their source's rate or find a full queue.
package transport

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/cluster/swim"
)

const (
	// inboxCapacity is how many messages may wait for the detector: a tick's worth in a cluster that changes as a whole.
	inboxCapacity = 512
	// messageQueueCapacity is how many messages may wait in Messages.
	messageQueueCapacity = 256
	// leaveGossipTime is for how long Close keeps running after it has announced the departure, so that it spreads.
	leaveGossipTime = 300 * time.Millisecond
	// receiveBufferBytes is the size of the UDP socket's buffer. It holds what arrives while the process is stopped for a
	// moment.
	receiveBufferBytes = 1 << 20
)

// Transport is a daemon's membership in a cluster. Start creates it; it must be ended with Close or Abort.
type Transport struct {
	options     atomic.Pointer[Options]
	udpConn     *net.UDPConn
	tcpListener *net.TCPListener
	generation  uint64    // of this process; see newRunID
	clockStart  time.Time // origin of the failure detector's clock

	ctx        context.Context // ends with Abort
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	inbox          chan *swim.Message // from the readers to the owner
	eventLoopCalls chan func(now time.Duration, node *swim.Node)
	messages       chan Message // for the users of Messages
	view           atomic.Pointer[swim.View]
	changed        chan struct{}

	sequence        atomic.Uint64 // of the latest packet that was signed
	outboundStreams chan struct{} // holds a value for each stream being sent
	replaysMu       sync.Mutex    // guards replays
	replays         replayFilter

	received  atomic.Uint64
	sent      atomic.Uint64
	bytesSent atomic.Uint64
	dropped   dropCounters
}

// Start opens the sockets and joins the cluster. An error names the field at fault.
func Start(options Options) (*Transport, error) {
	if len(options.Keys) == 0 && !options.Listen.Addr().IsLoopback() {
		return nil, fmt.Errorf("fleet.listen: %v is no loopback address, and there is no key_file", options.Listen)
	}
	tcpListener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(options.Listen))
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	options.Listen = tcpListener.Addr().(*net.TCPAddr).AddrPort() // the port may have been left to the system
	udpConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Listen))
	if err != nil {
		tcpListener.Close()
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	_ = udpConn.SetReadBuffer(receiveBufferBytes) // as much as the system grants
	if !options.Advertise.IsValid() {
		options.Advertise = options.Listen
	}
	t := &Transport{
		udpConn:         udpConn,
		tcpListener:     tcpListener,
		generation:      newGeneration(),
		clockStart:      time.Now(),
		inbox:           make(chan *swim.Message, inboxCapacity),
		eventLoopCalls:  make(chan func(time.Duration, *swim.Node)),
		messages:        make(chan Message, messageQueueCapacity),
		changed:         make(chan struct{}, 1),
		outboundStreams: make(chan struct{}, maxStreams),
	}
	t.options.Store(&options)
	t.ctx, t.stop = context.WithCancel(context.Background())
	node := swim.New(t.Now(), t.swimOptions(&options))
	t.publish(node)
	t.goroutines.Go(t.readDatagrams)
	t.goroutines.Go(t.acceptStreams)
	t.goroutines.Go(func() { t.runEventLoop(node) })
	return t, nil
}

// newGeneration returns the identifier of this run of the daemon. A process that is started later has a greater one, as far as
// the clocks of the machines agree; the random part distinguishes processes that start in the same millisecond.
func newGeneration() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never returns an error
	return uint64(time.Now().UnixMilli())<<16 | uint64(binary.LittleEndian.Uint16(b[:]))
}

// Addr returns the address that the sockets are bound to.
func (t *Transport) Addr() netip.AddrPort { return t.options.Load().Listen }

// View returns the latest view. It is shared and must not be modified.
func (t *Transport) View() *swim.View { return t.view.Load() }

// Changed returns a channel that holds a value when the view has changed since the last receive from it.
func (t *Transport) Changed() <-chan struct{} { return t.changed }

// Reconfigure replaces Keys, Join, Voters and Times. The other options stay as they were given to Start.
func (t *Transport) Reconfigure(options Options) {
	next := *t.options.Load()
	next.Keys, next.Join, next.Voters, next.Timing = options.Keys, options.Join, options.Voters, options.Timing
	t.options.Store(&next)
	t.callOnEventLoop(func(now time.Duration, node *swim.Node) { node.Reconfigure(now, t.swimOptions(&next)) })
}

// Close announces to the cluster that this daemon leaves, and then does what Abort does. It takes leaveSpreadTime.
func (t *Transport) Close() error {
	t.callOnEventLoop(func(now time.Duration, node *swim.Node) { node.Leave(now) })
	select {
	case <-time.After(leaveGossipTime):
	case <-t.ctx.Done():
	}
	return t.Abort()
}

// Abort closes the sockets without an announcement, so that the other members take this daemon for failed. It returns when
// all goroutines have ended.
func (t *Transport) Abort() error {
	t.stop()
	err := errors.Join(t.udpConn.Close(), t.tcpListener.Close())
	t.goroutines.Wait()
	return err
}

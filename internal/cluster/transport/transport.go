// Package transport exchanges messages between the daemons of a cluster and maintains the view of which daemons are
// members. It sends and receives signed packets, in UDP datagrams if they fit and in TCP streams otherwise, both on the
// same port number.
//
// A Transport owns its sockets and the failure detector (swim.Node). Its goroutines are: the event loop, which alone uses
// the detector; one that receives datagrams; one that accepts streams; and at most maxStreams goroutines for streams in
// each direction, each of which runs for at most streamTimeout. All of them end before Abort or Close returns. No client
// request waits for any of them.
//
// The methods of a Transport may be called concurrently, but Reconfigure by only one goroutine at a time, and Close and Abort
// only once. View, Now, Metrics, ViewChanged, Messages and Addr never block. Delivery is not guaranteed: packets that can't be
// authenticated, are replayed, exceed the rate limit of their source or meet a full queue are dropped, and counted by reason.
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
	// inboxCapacity is the number of messages that may wait for the failure detector: as many as arrive between two calls of
	// its Tick while all members of a cluster change their state.
	inboxCapacity = 512
	// messageQueueCapacity is the number of messages that may wait in the channel of Messages.
	messageQueueCapacity = 256
	// leaveGossipTime is how long Close keeps the transport running after it has announced that the daemon leaves, so that
	// the announcement reaches the other members by gossip.
	leaveGossipTime = 300 * time.Millisecond
	// receiveBufferBytes is the size of the UDP socket's receive buffer, which holds the datagrams that arrive during a short
	// pause of the process.
	receiveBufferBytes = 1 << 20
)

// Transport is a daemon's connection to its cluster. Start creates it, and Close or Abort must end it.
type Transport struct {
	options     atomic.Pointer[Options] // current options; Reconfigure replaces them
	udpConn     *net.UDPConn            // socket on which datagrams are sent and received
	tcpListener *net.TCPListener        // socket on which streams of other daemons are accepted
	generation  uint64                  // identifier of this process (newGeneration)
	clockStart  time.Time               // instant at which the failure detector's clock read clockOrigin

	ctx        context.Context    // context of all goroutines of the transport, which end when Abort cancels it
	stop       context.CancelFunc // cancels ctx
	goroutines sync.WaitGroup     // all goroutines of the transport, for which Abort waits

	inbox          chan *swim.Message                            // received messages of the failure detector, for the event loop
	eventLoopCalls chan func(now time.Duration, node *swim.Node) // functions that the event loop is to call
	messages       chan Message                                  // received messages that other daemons sent with Send; the channel that Messages returns
	view           atomic.Pointer[swim.View]                     // latest view of the cluster, which View returns
	viewChanged    chan struct{}                                 // holds a value while the view has changed since the last receive from this channel

	lastSequence    atomic.Uint64 // sequence number of the latest packet that this process has prepared for sending
	outboundStreams chan struct{} // holds a value for each outgoing stream that is open, at most maxStreams
	replayFilterMu  sync.Mutex    // guards replayFilter
	replayFilter    replayFilter  // recognizes packets that were received before

	received  atomic.Uint64 // number of packets received and not dropped
	sent      atomic.Uint64 // number of packets sent
	bytesSent atomic.Uint64 // total length of the packets sent, in bytes
	dropped   dropCounters  // numbers of dropped packets, by the reason for dropping them
}

// Start opens the sockets and starts goroutines that join the cluster. An error names the field of the daemon's configuration
// that caused it.
func Start(options Options) (*Transport, error) {
	if len(options.Keys) == 0 && !options.Listen.Addr().IsLoopback() {
		return nil, fmt.Errorf("fleet.listen: %v is not a loopback address, so key_file must be set", options.Listen)
	}
	tcpListener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(options.Listen))
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	// If the configured port is 0, Listen now has the port that the system chose.
	options.Listen = tcpListener.Addr().(*net.TCPAddr).AddrPort()
	udpConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Listen))
	if err != nil {
		tcpListener.Close()
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	_ = udpConn.SetReadBuffer(receiveBufferBytes) // the system may grant a smaller buffer
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
		viewChanged:     make(chan struct{}, 1),
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

// newGeneration returns an identifier for this process. A process that starts later gets a greater identifier, as far as
// the clocks of the machines agree; the random part distinguishes processes that start in the same millisecond.
func newGeneration() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return uint64(time.Now().UnixMilli())<<16 | uint64(binary.LittleEndian.Uint16(b[:]))
}

// Addr returns the address to which the sockets are bound.
func (t *Transport) Addr() netip.AddrPort { return t.options.Load().Listen }

// View returns this daemon's latest view of the cluster. The caller must not modify the view, which all callers share.
func (t *Transport) View() *swim.View { return t.view.Load() }

// ViewChanged returns a channel that holds a value if the view has changed since the last receive from the channel.
func (t *Transport) ViewChanged() <-chan struct{} { return t.viewChanged }

// Reconfigure replaces the options Keys, Join, Voters and Timing. The other options stay as they were passed to Start.
func (t *Transport) Reconfigure(options Options) {
	next := *t.options.Load()
	next.Keys, next.Join, next.Voters, next.Timing = options.Keys, options.Join, options.Voters, options.Timing
	t.options.Store(&next)
	t.callOnEventLoop(func(now time.Duration, node *swim.Node) { node.Reconfigure(now, t.swimOptions(&next)) })
}

// Close announces to the cluster that this daemon leaves, waits for leaveGossipTime, and then calls Abort.
func (t *Transport) Close() error {
	t.callOnEventLoop(func(now time.Duration, node *swim.Node) { node.Leave(now) })
	select {
	case <-time.After(leaveGossipTime):
	case <-t.ctx.Done():
	}
	return t.Abort()
}

// Abort closes the sockets without an announcement, so that the other members detect this daemon as failed. It returns
// when all goroutines have ended.
func (t *Transport) Abort() error {
	t.stop()
	err := errors.Join(t.udpConn.Close(), t.tcpListener.Close())
	t.goroutines.Wait()
	return err
}

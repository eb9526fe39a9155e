// Package transport carries messages between the daemons of a fleet and gives what follows from them: a view. Datagrams and
// streams go over one port, UDP and TCP; each message is signed where there is a key. One goroutine owns the detector
// (swim.Node); nothing of this runs on a request's way, and no request waits for it.
//
// Bounds: one owner, one reader, one acceptor, and mostStreams goroutines for streams each way, each for streamTime at
// most; inboxSize messages wait for the owner, what is beyond is dropped as a network would; a source is heard
// mostFromOne times a second.
package transport

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/cluster/swim"
)

const (
	inboxCapacity         = 512              // messages: a tick's worth in a fleet that changes as a whole
	messageQueueCapacity  = 256              // that wait for the part that they are for
	maxStreams            = 8                // each way
	streamTimeout         = 2 * time.Second  // for a stream, from the dial to the last byte
	maxStreamBytes        = 8 << 20          // bytes: a snapshot of what is agreed has 7 MiB at most, swim.MostMembers updates 1.9 MB
	maxDatagramsPerSource = 1000             // datagrams a second from one address; a member sends some tens
	maxTrackedSources     = 4096             // addresses that are counted apart; what is beyond counts together
	minViewInterval       = time.Second / 10 // between two views, in a fleet of fewMembers and more: each is a copy of all members
	smallFleetMembers     = 100
	leaveSpreadTime       = 300 * time.Millisecond // after Leave, for the word to go round
	noContactWarningDelay = 10 * time.Second       // without an answer, before that is said in the log
	changeLogInterval     = time.Second
	maxChangeLogLines     = 20 // lines a logEvery
	acceptRetryDelay      = 5 * time.Millisecond
	clockOrigin           = 24 * time.Hour // instants lie well above zero
	maxOwnerSleep         = time.Hour
	receiveBufferBytes    = 1 << 20 // of the socket's buffer: what comes while the process is stopped for a moment
)

// Options of a Link. Cluster, Name and Listen must be given.
type Options struct {
	Cluster   string
	Name      string
	Listen    netip.AddrPort
	Advertise netip.AddrPort // what others send to; zero: where it listens
	Keys      Keys           // none: loopback only
	Join      []netip.AddrPort
	Voters    []string
	Times     swim.Options // ProbeEvery, ProbeTimeout and Suspicion are taken
	Log       *slog.Logger
}

// dropCounters counts messages that were not taken, by why.
type dropCounters struct {
	malformed, foreign, unauthenticated, replayed, rateLimited, queueFull atomic.Uint64
}

// Transport is a daemon's part in a fleet.
type Transport struct {
	options   atomic.Pointer[Options]
	dropped   dropCounters
	received  atomic.Uint64
	sent      atomic.Uint64
	bytesSent atomic.Uint64 // sent

	udpConn     *net.UDPConn
	tcpListener net.Listener
	runID       uint64
	startedAt   time.Time
	sequence    atomic.Uint64 // of messages sealed
	inbox       chan *swim.Message
	messages    chan Message
	calls       chan func(now time.Duration, n *swim.Node)
	view        atomic.Pointer[swim.View]
	changed     chan struct{}

	ctx             context.Context
	stop            context.CancelFunc
	goroutines      sync.WaitGroup
	outboundStreams chan struct{} // room for streams out
	replaysMu       sync.Mutex    // of who
	replays         replayFilter
}

// Start opens the sockets and joins the fleet. An error names the field.
func Start(o Options) (*Transport, error) {
	if len(o.Keys) == 0 && !o.Listen.Addr().IsLoopback() {
		return nil, fmt.Errorf("fleet.listen: %v is no loopback address, and there is no key_file", o.Listen)
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	at := tcp.Addr().(*net.TCPAddr).AddrPort() // the port may have been left to the system
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		tcp.Close()
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	_ = udp.SetReadBuffer(receiveBufferBytes) // as much as the system grants
	o.Listen = at
	if !o.Advertise.IsValid() {
		o.Advertise = at
	}
	l := &Transport{udpConn: udp, tcpListener: tcp, runID: newRunID(), startedAt: time.Now(), inbox: make(chan *swim.Message, inboxCapacity), messages: make(chan Message, messageQueueCapacity), calls: make(chan func(time.Duration, *swim.Node)),
		changed: make(chan struct{}, 1), outboundStreams: make(chan struct{}, maxStreams)}
	l.options.Store(&o)
	l.ctx, l.stop = context.WithCancel(context.Background())
	node := swim.New(l.now(), l.swimOptions(&o))
	l.publish(node)
	l.goroutines.Go(l.readDatagrams)
	l.goroutines.Go(l.acceptStreams)
	l.goroutines.Go(func() { l.runOwner(node) })
	return l, nil
}

// newRunID is greater in a process that was started later, as far as the clocks of machines agree.
func newRunID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return uint64(time.Now().UnixMilli())<<16 | uint64(binary.LittleEndian.Uint16(b[:]))
}

func (l *Transport) swimOptions(o *Options) swim.Options {
	n := o.Times
	n.Self = swim.Peer{Name: o.Name, Addr: o.Advertise, Run: l.runID}
	n.Join, n.Voters, n.Seed = o.Join, o.Voters, l.runID
	return n
}

// now is an instant of the detector's clock.
func (l *Transport) now() time.Duration {
	return clockOrigin + scaledByClockRate(time.Since(l.startedAt))
}

// Addr is where others are heard.
func (l *Transport) Addr() netip.AddrPort { return l.options.Load().Listen }

// View is the latest one; it must not be changed.
func (l *Transport) View() *swim.View { return l.view.Load() }

// Now is an instant to compare Since in a View with.
func (l *Transport) Now() time.Duration { return l.now() }

// Changed has a value when the view is another than before.
func (l *Transport) Changed() <-chan struct{} { return l.changed }

// Metrics are counts since the start.
type Metrics struct{ Received, Sent, Bytes, Damaged, Foreign, Forged, Replayed, Flooded, Full uint64 }

// Metrics gives the counts.
func (l *Transport) Metrics() Metrics {
	d := &l.dropped
	return Metrics{l.received.Load(), l.sent.Load(), l.bytesSent.Load(), d.malformed.Load(), d.foreign.Load(), d.unauthenticated.Load(), d.replayed.Load(),
		d.rateLimited.Load(), d.queueFull.Load()}
}

// Reconfigure takes up other keys, times, voters and addresses to join. The rest must be as before.
func (l *Transport) Reconfigure(o Options) {
	was := *l.options.Load()
	was.Keys, was.Join, was.Voters, was.Times = o.Keys, o.Join, o.Voters, o.Times
	l.options.Store(&was)
	l.callOwner(func(now time.Duration, n *swim.Node) { n.Reconfigure(now, l.swimOptions(&was)) })
}

// callOwner has the owner do something, and returns when it is done or the link has ended.
func (l *Transport) callOwner(do func(now time.Duration, n *swim.Node)) {
	done := make(chan struct{})
	select {
	case l.calls <- func(now time.Duration, n *swim.Node) { do(now, n); close(done) }:
		<-done
	case <-l.ctx.Done():
	}
}

// Close says goodbye to the fleet, ends the link and returns when nothing of it runs any more.
func (l *Transport) Close() error {
	l.callOwner(func(now time.Duration, n *swim.Node) { n.Leave(now) })
	select {
	case <-time.After(leaveSpreadTime):
	case <-l.ctx.Done():
	}
	return l.Abort()
}

// Abort ends the link without a word.
func (l *Transport) Abort() error {
	l.stop()
	err := errors.Join(l.udpConn.Close(), l.tcpListener.Close())
	l.goroutines.Wait()
	return err
}

// owner is what the goroutine that owns the detector keeps.
type owner struct {
	transport          *Transport
	node               *swim.Node
	publishedAt        time.Duration // instant of the last view that was given
	loggedChanges      int           // in the log, since
	logWindowStart     time.Duration
	hasWarnedNoContact bool // that nobody answers was said
	reportedConflict   swim.Peer
	packetBuffer       []byte
}

// runOwner feeds the detector what comes and what is due, until the link ends.
func (l *Transport) runOwner(n *swim.Node) {
	o := &owner{transport: l, node: n, packetBuffer: make([]byte, 0, MaxDatagramBytes)}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case m := <-l.inbox:
			n.Receive(l.now(), m)
		case do := <-l.calls:
			do(l.now(), n)
		case <-timer.C:
			if now := l.now(); now >= n.NextTick() {
				n.Tick(now)
			}
		}
		o.applyEffects(l.now())
		timer.Reset(o.sleepTime(l.now()))
	}
}

// sleepTime is how long the owner may sleep.
func (o *owner) sleepTime(now time.Duration) time.Duration {
	next := o.node.NextTick()
	if o.node.ViewNumber() != o.transport.view.Load().Number {
		next = min(next, o.publishedAt+minViewInterval)
	}
	return min(max(next-now, 0), maxOwnerSleep)
}

// applyEffects carries out what the detector wants, and tells what has changed.
func (o *owner) applyEffects(now time.Duration) {
	for _, e := range o.node.TakeMessages() {
		o.send(&e)
	}
	for _, c := range o.node.TakeChanges() {
		o.logChange(now, c)
	}
	if view := o.transport.view.Load(); o.node.ViewNumber() != view.Number && (now-o.publishedAt >= minViewInterval || len(view.Members) < smallFleetMembers) {
		o.publishedAt = now
		o.transport.publish(o.node)
	}
	o.logNameConflict()
	if options := o.transport.options.Load(); !o.hasWarnedNoContact && !o.node.HasContact() && len(options.Join) > 0 && now-clockOrigin >= noContactWarningDelay {
		o.hasWarnedNoContact = true
		options.Log.Warn("nobody of the fleet answers", "join", options.Join)
	}
}

func (l *Transport) publish(n *swim.Node) {
	view := n.View()
	l.view.Store(&view)
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// logChange writes a line for a change, within bounds.
func (o *owner) logChange(now time.Duration, c swim.Change) {
	if now-o.logWindowStart >= changeLogInterval {
		if o.loggedChanges > maxChangeLogLines {
			o.transport.options.Load().Log.Warn("more members changed than are written down", "left_out", o.loggedChanges-maxChangeLogLines)
		}
		o.logWindowStart, o.loggedChanges = now, 0
	}
	if o.loggedChanges++; o.loggedChanges > maxChangeLogLines {
		return
	}
	was := c.Was.String()
	if c.New {
		was = "unknown"
	}
	o.transport.options.Load().Log.Info("member", "peer", c.Name, "address", c.Addr, "was", was, "is", c.Is.String(), "incarnation", c.Incarnation)
}

// logNameConflict says that another process has this one's name, once for each.
func (o *owner) logNameConflict() {
	other, answers, yields := o.node.NameConflict()
	if !answers || other == o.reportedConflict {
		return
	}
	o.reportedConflict = other
	log := o.transport.options.Load().Log.With("address", other.Addr)
	if yields {
		log.Error("an elder daemon of this name is in the fleet: this one stays out of it until that one has gone")
	} else {
		log.Error("a younger daemon of this name is about: it is to stay out of the fleet")
	}
}

// send seals a message and sends it: in a datagram where it fits.
func (o *owner) send(e *swim.Envelope) {
	l, options := o.transport, o.transport.options.Load()
	if !e.Stream || len(e.Message.Updates) <= swim.MaxPiggyback {
		o.packetBuffer = appendSwimPacket(o.packetBuffer[:0], options.Keys, options.Cluster, l.sequence.Add(1), e.Message)
		if len(o.packetBuffer) <= MaxDatagramBytes {
			_, err := l.udpConn.WriteToUDPAddrPort(o.packetBuffer, e.To)
			l.countSent(len(o.packetBuffer), err)
			return
		}
	}
	_ = l.startStream(options, e.To, appendSwimPacket(make([]byte, 4, 4096), options.Keys, options.Cluster, l.sequence.Add(1), e.Message))
}

// countSent counts a message that was sent. One that was not is for the detector to miss.
func (l *Transport) countSent(n int, err error) {
	if err == nil {
		l.sent.Add(1)
		l.bytesSent.Add(uint64(n))
	}
}

// writeStream sends one message on a connection of its own: its length in four bytes, and the message.
func (l *Transport) writeStream(o *Options, to netip.AddrPort, b []byte) (int, error) {
	ctx, cancel := context.WithTimeout(l.ctx, streamTimeout)
	defer cancel()
	dialer := net.Dialer{}
	if ip := o.Listen.Addr(); !ip.IsUnspecified() { // so that the other can tell who calls
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))
	}
	nc, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return 0, err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })()
	return nc.Write(b)
}

// readDatagrams takes what comes by UDP.
func (l *Transport) readDatagrams() {
	b := make([]byte, MaxDatagramBytes+1)
	flood := sourceLimiter{counts: map[netip.Addr]int{}}
	for {
		n, from, err := l.udpConn.ReadFromUDPAddrPort(b)
		switch {
		case l.ctx.Err() != nil:
			return
		case err != nil: // an ICMP error of a datagram that was sent; a truncated one is no error here
			continue
		case flood.isExceeded(time.Now(), from.Addr()):
			l.dropped.rateLimited.Add(1)
		case n > MaxDatagramBytes:
			l.dropped.malformed.Add(1)
		default:
			l.receive(b[:n], swim.MaxPiggyback+1)
		}
	}
}

// receive opens a message and hands it to the owner.
func (l *Transport) receive(b []byte, most int) {
	o := l.options.Load()
	c, err := openPacket(b, o.Keys, o.Cluster, most)
	if err == nil {
		l.replaysMu.Lock()
		if !l.replays.accept(c.runID, c.sequence) {
			err = errReplayed
		}
		l.replaysMu.Unlock()
	}
	if err != nil {
		l.dropped.count(err)
		return
	}
	taken := false
	if c.message != nil {
		if m, ok := l.member(c.message.From); !ok || m.Run != c.message.Run {
			l.dropped.foreign.Add(1)
			return
		}
		select {
		case l.messages <- *c.message:
			taken = true
		default:
		}
	} else {
		select {
		case l.inbox <- c.swimMessage:
			taken = true
		default:
		}
	}
	if taken {
		l.received.Add(1)
	} else {
		l.dropped.queueFull.Add(1)
	}
}

// Messages are what other parts of other daemons have sent; parcelsSize wait at most, what is beyond is dropped. They come from
// the process alone that this daemon's view has under its name: a second one of that name is not heard.
func (l *Transport) Messages() <-chan Message { return l.messages }

// Send sends a parcel to a daemon that is here, by its name; an error says that it did not go out. That it arrives is not
// said: whoever needs to know must be answered. It does not wait for the other.
func (l *Transport) Send(name string, kind byte, body []byte) error {
	o := l.options.Load()
	m, ok := l.member(name)
	if !ok {
		return fmt.Errorf("%s: %w", name, ErrUnknownMember)
	}
	to := m.Addr
	p := Message{From: o.Name, Run: l.runID, Kind: kind, Body: body}
	b := appendPacket(make([]byte, 4, MaxDatagramBytes), o.Keys, o.Cluster, l.sequence.Add(1), packetFieldMessage, p.marshal())
	if len(b)-4 <= MaxDatagramBytes {
		_, err := l.udpConn.WriteToUDPAddrPort(b[4:], to)
		l.countSent(len(b)-4, err)
		return err
	}
	if len(b)-4 > maxStreamBytes {
		return fmt.Errorf("a parcel of %d bytes, %d are the most", len(body), maxStreamBytes)
	}
	return l.startStream(o, to, b)
}

// member is what the latest view has of a name.
func (l *Transport) member(name string) (swim.Member, bool) {
	members := l.View().Members
	i, ok := slices.BinarySearchFunc(members, name, func(m swim.Member, name string) int { return strings.Compare(m.Name, name) })
	if !ok {
		return swim.Member{}, false
	}
	return members[i], true
}

// ErrUnknownMember is why a parcel does not go out: no daemon of that name has been heard of.
var ErrUnknownMember = errors.New("no daemon of this name is known")

// errTooManyStreams is why one does not: as many streams as there may be are under way.
var errTooManyStreams = errors.New("too many streams are under way")

// startStream sends sealed bytes, behind four for their length, on a connection of its own, on a goroutine of its own.
func (l *Transport) startStream(o *Options, to netip.AddrPort, b []byte) error {
	select {
	case l.outboundStreams <- struct{}{}:
	default:
		l.dropped.queueFull.Add(1)
		return errTooManyStreams
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	l.goroutines.Go(func() {
		defer func() { <-l.outboundStreams }()
		n, err := l.writeStream(o, to, b)
		l.countSent(n, err)
	})
	return nil
}

func (d *dropCounters) count(err error) {
	switch {
	case errors.Is(err, errForeign):
		d.foreign.Add(1)
	case errors.Is(err, errUnauthenticated):
		d.unauthenticated.Add(1)
	case errors.Is(err, errReplayed):
		d.replayed.Add(1)
	default:
		d.malformed.Add(1)
	}
}

// acceptStreams takes what comes by TCP, mostStreams at a time; others wait in the system's queue.
func (l *Transport) acceptStreams() {
	room := make(chan struct{}, maxStreams)
	for {
		select {
		case room <- struct{}{}:
		case <-l.ctx.Done():
			return
		}
		nc, err := l.tcpListener.Accept()
		if err != nil {
			<-room
			if l.ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryDelay) // out of descriptors
			continue
		}
		l.goroutines.Go(func() {
			defer func() { <-room }()
			defer nc.Close()
			defer context.AfterFunc(l.ctx, func() { nc.Close() })()
			_ = nc.SetDeadline(time.Now().Add(streamTimeout))
			if b, err := readStream(nc); err == nil {
				l.receive(b, swim.MaxMembers)
			} else {
				l.dropped.malformed.Add(1)
			}
		})
	}
}

// readStream reads what stream sends. Memory is taken as bytes come, not as they are promised.
func readStream(r io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxStreamBytes {
		return nil, errMalformed
	}
	b, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err == nil && uint32(len(b)) < size {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

// sourceLimiter counts datagrams by source, in the second that runs.
type sourceLimiter struct {
	windowStart time.Time
	counts      map[netip.Addr]int
}

// isExceeded tells whether a source has sent more than it may.
func (f *sourceLimiter) isExceeded(now time.Time, from netip.Addr) bool {
	if now.Sub(f.windowStart) >= time.Second {
		f.windowStart = now
		clear(f.counts)
	}
	if _, known := f.counts[from]; !known && len(f.counts) >= maxTrackedSources {
		from = netip.Addr{}
	}
	f.counts[from]++
	return f.counts[from] > maxDatagramsPerSource
}

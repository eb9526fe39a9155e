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
	inboxSize    = 512              // messages: a tick's worth in a fleet that changes as a whole
	parcelsSize  = 256              // that wait for the part that they are for
	mostStreams  = 8                // each way
	streamTime   = 2 * time.Second  // for a stream, from the dial to the last byte
	mostStream   = 8 << 20          // bytes: a snapshot of what is agreed has 7 MiB at most, swim.MostMembers updates 1.9 MB
	mostFromOne  = 1000             // datagrams a second from one address; a member sends some tens
	mostSources  = 4096             // addresses that are counted apart; what is beyond counts together
	spread       = time.Second / 10 // between two views, in a fleet of fewMembers and more: each is a copy of all members
	fewMembers   = 100
	goodbye      = 300 * time.Millisecond // after Leave, for the word to go round
	aloneAfter   = 10 * time.Second       // without an answer, before that is said in the log
	logEvery     = time.Second
	logMost      = 20 // lines a logEvery
	acceptRest   = 5 * time.Millisecond
	clockStart   = 24 * time.Hour // instants lie well above zero
	keepAsleep   = time.Hour
	receiveBytes = 1 << 20 // of the socket's buffer: what comes while the process is stopped for a moment
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

// Dropped counts messages that were not taken, by why.
type Dropped struct {
	Damaged, Foreign, Forged, Replayed, Flooded, Full atomic.Uint64
}

// Transport is a daemon's part in a fleet.
type Transport struct {
	o        atomic.Pointer[Options]
	dropped  Dropped
	received atomic.Uint64
	sent     atomic.Uint64
	bytes    atomic.Uint64 // sent

	udp     *net.UDPConn
	tcp     net.Listener
	run     uint64
	began   time.Time
	count   atomic.Uint64 // of messages sealed
	inbox   chan *swim.Message
	parcels chan Message
	calls   chan func(now time.Duration, n *swim.Node)
	view    atomic.Pointer[swim.View]
	changed chan struct{}

	ctx     context.Context
	stop    context.CancelFunc
	parts   sync.WaitGroup
	streams chan struct{} // room for streams out
	mu      sync.Mutex    // of who
	who     runs
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
	_ = udp.SetReadBuffer(receiveBytes) // as much as the system grants
	o.Listen = at
	if !o.Advertise.IsValid() {
		o.Advertise = at
	}
	l := &Transport{udp: udp, tcp: tcp, run: newRun(), began: time.Now(), inbox: make(chan *swim.Message, inboxSize), parcels: make(chan Message, parcelsSize), calls: make(chan func(time.Duration, *swim.Node)),
		changed: make(chan struct{}, 1), streams: make(chan struct{}, mostStreams)}
	l.o.Store(&o)
	l.ctx, l.stop = context.WithCancel(context.Background())
	node := swim.New(l.now(), l.node(&o))
	l.publish(node)
	l.parts.Go(l.readDatagrams)
	l.parts.Go(l.acceptStreams)
	l.parts.Go(func() { l.own(node) })
	return l, nil
}

// newRun is greater in a process that was started later, as far as the clocks of machines agree.
func newRun() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return uint64(time.Now().UnixMilli())<<16 | uint64(binary.LittleEndian.Uint16(b[:]))
}

func (l *Transport) node(o *Options) swim.Options {
	n := o.Times
	n.Self = swim.Peer{Name: o.Name, Addr: o.Advertise, Run: l.run}
	n.Join, n.Voters, n.Seed = o.Join, o.Voters, l.run
	return n
}

// now is an instant of the detector's clock.
func (l *Transport) now() time.Duration { return clockStart + rated(time.Since(l.began)) }

// Addr is where others are heard.
func (l *Transport) Addr() netip.AddrPort { return l.o.Load().Listen }

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
	return Metrics{l.received.Load(), l.sent.Load(), l.bytes.Load(), d.Damaged.Load(), d.Foreign.Load(), d.Forged.Load(), d.Replayed.Load(),
		d.Flooded.Load(), d.Full.Load()}
}

// Reconfigure takes up other keys, times, voters and addresses to join. The rest must be as before.
func (l *Transport) Reconfigure(o Options) {
	was := *l.o.Load()
	was.Keys, was.Join, was.Voters, was.Times = o.Keys, o.Join, o.Voters, o.Times
	l.o.Store(&was)
	l.call(func(now time.Duration, n *swim.Node) { n.Reconfigure(now, l.node(&was)) })
}

// call has the owner do something, and returns when it is done or the link has ended.
func (l *Transport) call(do func(now time.Duration, n *swim.Node)) {
	done := make(chan struct{})
	select {
	case l.calls <- func(now time.Duration, n *swim.Node) { do(now, n); close(done) }:
		<-done
	case <-l.ctx.Done():
	}
}

// Close says goodbye to the fleet, ends the link and returns when nothing of it runs any more.
func (l *Transport) Close() error {
	l.call(func(now time.Duration, n *swim.Node) { n.Leave(now) })
	select {
	case <-time.After(goodbye):
	case <-l.ctx.Done():
	}
	return l.Abort()
}

// Abort ends the link without a word.
func (l *Transport) Abort() error {
	l.stop()
	err := errors.Join(l.udp.Close(), l.tcp.Close())
	l.parts.Wait()
	return err
}

// owner is what the goroutine that owns the detector keeps.
type owner struct {
	l         *Transport
	n         *swim.Node
	published time.Duration // instant of the last view that was given
	lines     int           // in the log, since
	since     time.Duration
	alone     bool // that nobody answers was said
	rival     swim.Peer
	room      []byte
}

// own feeds the detector what comes and what is due, until the link ends.
func (l *Transport) own(n *swim.Node) {
	o := &owner{l: l, n: n, room: make([]byte, 0, MaxDatagramBytes)}
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
		o.after(l.now())
		timer.Reset(o.wait(l.now()))
	}
}

// wait is how long the owner may sleep.
func (o *owner) wait(now time.Duration) time.Duration {
	next := o.n.NextTick()
	if o.n.ViewNumber() != o.l.view.Load().Number {
		next = min(next, o.published+spread)
	}
	return min(max(next-now, 0), keepAsleep)
}

// after carries out what the detector wants, and tells what has changed.
func (o *owner) after(now time.Duration) {
	for _, e := range o.n.TakeMessages() {
		o.send(&e)
	}
	for _, c := range o.n.TakeChanges() {
		o.tell(now, c)
	}
	if view := o.l.view.Load(); o.n.ViewNumber() != view.Number && (now-o.published >= spread || len(view.Members) < fewMembers) {
		o.published = now
		o.l.publish(o.n)
	}
	o.tellOfNames()
	if options := o.l.o.Load(); !o.alone && !o.n.HasContact() && len(options.Join) > 0 && now-clockStart >= aloneAfter {
		o.alone = true
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

// tell writes a line for a change, within bounds.
func (o *owner) tell(now time.Duration, c swim.Change) {
	if now-o.since >= logEvery {
		if o.lines > logMost {
			o.l.o.Load().Log.Warn("more members changed than are written down", "left_out", o.lines-logMost)
		}
		o.since, o.lines = now, 0
	}
	if o.lines++; o.lines > logMost {
		return
	}
	was := c.Was.String()
	if c.New {
		was = "unknown"
	}
	o.l.o.Load().Log.Info("member", "peer", c.Name, "address", c.Addr, "was", was, "is", c.Is.String(), "incarnation", c.Incarnation)
}

// tellOfNames says that another process has this one's name, once for each.
func (o *owner) tellOfNames() {
	other, answers, yields := o.n.NameConflict()
	if !answers || other == o.rival {
		return
	}
	o.rival = other
	log := o.l.o.Load().Log.With("address", other.Addr)
	if yields {
		log.Error("an elder daemon of this name is in the fleet: this one stays out of it until that one has gone")
	} else {
		log.Error("a younger daemon of this name is about: it is to stay out of the fleet")
	}
}

// send seals a message and sends it: in a datagram where it fits.
func (o *owner) send(e *swim.Envelope) {
	l, options := o.l, o.l.o.Load()
	if !e.Stream || len(e.Message.Updates) <= swim.MaxPiggyback {
		o.room = seal(o.room[:0], options.Keys, options.Cluster, l.count.Add(1), e.Message)
		if len(o.room) <= MaxDatagramBytes {
			_, err := l.udp.WriteToUDPAddrPort(o.room, e.To)
			l.counted(len(o.room), err)
			return
		}
	}
	_ = l.streamOut(options, e.To, seal(make([]byte, 4, 4096), options.Keys, options.Cluster, l.count.Add(1), e.Message))
}

// counted counts a message that was sent. One that was not is for the detector to miss.
func (l *Transport) counted(n int, err error) {
	if err == nil {
		l.sent.Add(1)
		l.bytes.Add(uint64(n))
	}
}

// stream sends one message on a connection of its own: its length in four bytes, and the message.
func (l *Transport) stream(o *Options, to netip.AddrPort, b []byte) (int, error) {
	ctx, cancel := context.WithTimeout(l.ctx, streamTime)
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
	flood := flood{from: map[netip.Addr]int{}}
	for {
		n, from, err := l.udp.ReadFromUDPAddrPort(b)
		switch {
		case l.ctx.Err() != nil:
			return
		case err != nil: // an ICMP error of a datagram that was sent; a truncated one is no error here
			continue
		case flood.over(time.Now(), from.Addr()):
			l.dropped.Flooded.Add(1)
		case n > MaxDatagramBytes:
			l.dropped.Damaged.Add(1)
		default:
			l.take(b[:n], swim.MaxPiggyback+1)
		}
	}
}

// take opens a message and hands it to the owner.
func (l *Transport) take(b []byte, most int) {
	o := l.o.Load()
	c, err := open(b, o.Keys, o.Cluster, most)
	if err == nil {
		l.mu.Lock()
		if !l.who.take(c.run, c.count) {
			err = errReplay
		}
		l.mu.Unlock()
	}
	if err != nil {
		l.dropped.count(err)
		return
	}
	taken := false
	if c.parcel != nil {
		if m, ok := l.member(c.parcel.From); !ok || m.Run != c.parcel.Run {
			l.dropped.Foreign.Add(1)
			return
		}
		select {
		case l.parcels <- *c.parcel:
			taken = true
		default:
		}
	} else {
		select {
		case l.inbox <- c.message:
			taken = true
		default:
		}
	}
	if taken {
		l.received.Add(1)
	} else {
		l.dropped.Full.Add(1)
	}
}

// Messages are what other parts of other daemons have sent; parcelsSize wait at most, what is beyond is dropped. They come from
// the process alone that this daemon's view has under its name: a second one of that name is not heard.
func (l *Transport) Messages() <-chan Message { return l.parcels }

// Send sends a parcel to a daemon that is here, by its name; an error says that it did not go out. That it arrives is not
// said: whoever needs to know must be answered. It does not wait for the other.
func (l *Transport) Send(name string, kind byte, body []byte) error {
	o := l.o.Load()
	m, ok := l.member(name)
	if !ok {
		return fmt.Errorf("%s: %w", name, ErrUnknownMember)
	}
	to := m.Addr
	p := Message{From: o.Name, Run: l.run, Kind: kind, Body: body}
	b := sealed(make([]byte, 4, MaxDatagramBytes), o.Keys, o.Cluster, l.count.Add(1), sealParcel, p.marshal())
	if len(b)-4 <= MaxDatagramBytes {
		_, err := l.udp.WriteToUDPAddrPort(b[4:], to)
		l.counted(len(b)-4, err)
		return err
	}
	if len(b)-4 > mostStream {
		return fmt.Errorf("a parcel of %d bytes, %d are the most", len(body), mostStream)
	}
	return l.streamOut(o, to, b)
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

// errBusy is why one does not: as many streams as there may be are under way.
var errBusy = errors.New("too many streams are under way")

// streamOut sends sealed bytes, behind four for their length, on a connection of its own, on a goroutine of its own.
func (l *Transport) streamOut(o *Options, to netip.AddrPort, b []byte) error {
	select {
	case l.streams <- struct{}{}:
	default:
		l.dropped.Full.Add(1)
		return errBusy
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	l.parts.Go(func() {
		defer func() { <-l.streams }()
		n, err := l.stream(o, to, b)
		l.counted(n, err)
	})
	return nil
}

func (d *Dropped) count(err error) {
	switch {
	case errors.Is(err, errForeign):
		d.Foreign.Add(1)
	case errors.Is(err, errForged):
		d.Forged.Add(1)
	case errors.Is(err, errReplay):
		d.Replayed.Add(1)
	default:
		d.Damaged.Add(1)
	}
}

// acceptStreams takes what comes by TCP, mostStreams at a time; others wait in the system's queue.
func (l *Transport) acceptStreams() {
	room := make(chan struct{}, mostStreams)
	for {
		select {
		case room <- struct{}{}:
		case <-l.ctx.Done():
			return
		}
		nc, err := l.tcp.Accept()
		if err != nil {
			<-room
			if l.ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRest) // out of descriptors
			continue
		}
		l.parts.Go(func() {
			defer func() { <-room }()
			defer nc.Close()
			defer context.AfterFunc(l.ctx, func() { nc.Close() })()
			_ = nc.SetDeadline(time.Now().Add(streamTime))
			if b, err := readStream(nc); err == nil {
				l.take(b, swim.MaxMembers)
			} else {
				l.dropped.Damaged.Add(1)
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
	if size > mostStream {
		return nil, errDamaged
	}
	b, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err == nil && uint32(len(b)) < size {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

// flood counts datagrams by source, in the second that runs.
type flood struct {
	began time.Time
	from  map[netip.Addr]int
}

// over tells whether a source has sent more than it may.
func (f *flood) over(now time.Time, from netip.Addr) bool {
	if now.Sub(f.began) >= time.Second {
		f.began = now
		clear(f.from)
	}
	if _, known := f.from[from]; !known && len(f.from) >= mostSources {
		from = netip.Addr{}
	}
	f.from[from]++
	return f.from[from] > mostFromOne
}

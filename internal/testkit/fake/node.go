package fake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// NodeSpec is what a node is. Its work is modelled: it takes time on a core that exists only as a count.
type NodeSpec struct {
	ID, Zone, Kind     string
	Tier, Cell         int
	Cores              int
	Speed              float64       // of a core, in yardsticks
	Slots              int           // requests in work
	QueueLimit         int           `json:"Room"`         // waiting for a slot; beyond that they are turned away
	ColdCapacityShare  float64       `json:"ColdFrom"`     // share of its capacity right after a start
	WarmUpDuration     time.Duration `json:"ColdFor"`      // over which that rises evenly
	ColdOverloadFactor float64       `json:"FallMultiple"` // sent more than this times what it can do,
	ColdOverloadWindow time.Duration `json:"FallAfter"`    // over this time, a cold node falls over and stays down
	HandshakeWork      time.Duration `json:"Handshake"`    // work for a new connection
	IdleTimeout        time.Duration `json:"IdleFor"`      // it closes a connection that is idle for so long
	MaxConnections     int           `json:"Conns"`        // connections that it holds; requests on further ones are turned away
	ErrorRate          float64       // share of requests that it answers with 500
	Overload           *OverloadSpec `json:"Choke"`
}

// OverloadSpec is the slow state after overload.
type OverloadSpec struct {
	Threshold    float64       `json:"At"`     // requests that run or wait here beyond the cores, times the root of the cores,
	AveragedOver time.Duration `json:"Over"`   // on average over this time, bring it on;
	Slowdown     float64       `json:"Slower"` // it makes a node so many times slower
	RecoverAfter time.Duration `json:"Rest"`   // until it has been mostly idle for so long,
	IdleBelow    float64       `json:"Below"`  // that is, its cores were busy under this share,
	MaxDuration  time.Duration `json:"Most"`   // or until this time is up
}

// Cell is a set of nodes that drop repeats of keyed work together.
type Cell struct {
	window  time.Duration
	mu      sync.Mutex
	seen    map[string]time.Time
	sweptAt time.Time
}

// NewCell makes a cell that remembers keys for the window.
func NewCell(window time.Duration) *Cell { return &Cell{window: window, seen: map[string]time.Time{}} }

// isDuplicate tells whether the key was seen within the window, and notes it.
func (c *Cell) isDuplicate(key string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.sweptAt) > c.window { // so that the map holds two windows at most
		for k, at := range c.seen {
			if now.Sub(at) > c.window {
				delete(c.seen, k)
			}
		}
		c.sweptAt = now
	}
	if at, ok := c.seen[key]; ok && now.Sub(at) <= c.window {
		return true
	}
	c.seen[key] = now
	return false
}

// NextTier makes a node's calls to the tier behind it.
type NextTier interface {
	// Call makes one call for a request and tells whether it was served.
	Call(class int, key string, job *Job) bool
}

// Node is a stand-in node. It listens on loopback at an address of its own, the same after a restart.
type Node struct {
	NodeSpec
	Addr     string
	NextTier NextTier // nil: the last tier
	classes  []Class
	cell     *Cell
	registry *Registry
	recorder *Recorder
	random   func() float64

	openedConnections atomic.Int64 // connections, in all lives
	wasOverloaded     atomic.Bool  // was slow by overload at least once

	slowdown, hangShare, resetShare atomic.Uint64 // faults: math.Float64bits of how much slower, and of the share of requests

	mu           sync.Mutex
	incarnation  *incarnation // nil: down
	isDraining   bool
	hasCollapsed bool
}

// incarnation is one run of a node's process.
type incarnation struct {
	startedAt    time.Time
	startedSince time.Duration // the same on the recorder's clock
	isCold       bool
	done         chan struct{}
	listener     net.Listener
	slots        *semaphore
	cores        *semaphore
	inFlight     atomic.Int64 // requests taken and not answered
	runnable     atomic.Int64 // those of them that run or wait here, not on others
	busyCores    atomic.Int64 // cores at work
	isOverloaded atomic.Bool

	mu          sync.Mutex
	connections map[net.Conn]bool
	recentWork  []workArrival // while cold
}

type workArrival struct {
	at   time.Duration
	work float64
}

// NewNode makes a node that is down. seed feeds what it draws by itself.
func NewNode(spec NodeSpec, classes []Class, cell *Cell, desk *Registry, rec *Recorder, seed uint64) *Node {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0x6e6f6465))
	return &Node{NodeSpec: spec, classes: classes, cell: cell, registry: desk, recorder: rec, random: func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}}
}

// ErrCollapsed is the error of a start after the node, cold, was pushed over.
var ErrCollapsed = errors.New("it has fallen over and stays down")

// Start brings the node up, at its former address if it had one, and tells when.
func (n *Node) Start(cold bool) (began time.Time, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation != nil {
		return n.incarnation.startedAt, nil
	}
	if n.hasCollapsed {
		return time.Time{}, fmt.Errorf("node %s: %w", n.ID, ErrCollapsed)
	}
	addr := n.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return time.Time{}, fmt.Errorf("node %s: %w", n.ID, err)
	}
	n.Addr, n.isDraining = listener.Addr().String(), false
	l := &incarnation{startedAt: time.Now(), startedSince: n.recorder.Now(), isCold: cold, done: make(chan struct{}), listener: listener,
		slots: &semaphore{free: n.Slots, maxWaiting: n.QueueLimit}, cores: &semaphore{free: n.Cores, maxWaiting: math.MaxInt}, connections: map[net.Conn]bool{}}
	n.incarnation = l
	e := invariant.Event{Kind: invariant.Started, Node: n.ID, Capacity: float64(n.Cores) * n.Speed}
	if cold {
		e.ColdFrom, e.ColdFor = n.ColdCapacityShare, n.WarmUpDuration
	}
	e.At = max(l.startedSince, 1)
	n.recorder.Add(e)
	go n.acceptConnections(l)
	if n.Overload != nil {
		go n.monitorOverload(l)
	}
	return l.startedAt, nil
}

// Stop ends the node's process as a crash does: connections are reset, new ones refused.
func (n *Node) Stop() {
	n.mu.Lock()
	l := n.incarnation
	n.incarnation = nil
	n.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n.recorder.Add(invariant.Event{Kind: invariant.Stopped, Node: n.ID})
	close(l.done)
	l.listener.Close()
	for nc := range l.connections {
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset, as when a process dies
		}
		nc.Close()
	}
}

// Drain makes the node turn new requests away and finish what it has.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isDraining = true
}

// IsUp tells whether the node runs.
func (n *Node) IsUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation != nil
}

// InFlight is how many requests run or wait here.
func (n *Node) InFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation == nil {
		return 0
	}
	return int(n.incarnation.inFlight.Load())
}

// OpenedConnections is how many connections have been opened to the node.
func (n *Node) OpenedConnections() int { return int(n.openedConnections.Load()) }

// WasOverloaded tells whether overload has made the node slow at least once.
func (n *Node) WasOverloaded() bool { return n.wasOverloaded.Load() }

// SetSlowdown makes the node's cores so many times slower; 1 is as usual.
func (n *Node) SetSlowdown(factor float64) { n.slowdown.Store(math.Float64bits(factor)) }

// SetHangShare makes the node take this share of the requests and never answer them.
func (n *Node) SetHangShare(share float64) { n.hangShare.Store(math.Float64bits(share)) }

// SetResetShare makes the node break the connection of this share of the requests after it has run them.
func (n *Node) SetResetShare(share float64) { n.resetShare.Store(math.Float64bits(share)) }

func loadFloat(v *atomic.Uint64) float64 { return math.Float64frombits(v.Load()) }

func (n *Node) acceptConnections(l *incarnation) {
	for {
		nc, err := l.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if !sleep(10*time.Millisecond, l.done) { // out of descriptors: Accept fails at once, and would spin
				return
			}
			continue
		}
		l.mu.Lock()
		n.openedConnections.Add(1)
		over := n.MaxConnections > 0 && len(l.connections) >= n.MaxConnections
		l.connections[nc] = true
		l.mu.Unlock()
		go n.serveConnection(l, nc, over)
	}
}

// serveConnection reads requests from a connection, one at a time, and notices when the other side ends it.
func (n *Node) serveConnection(l *incarnation, nc net.Conn, over bool) {
	defer func() {
		l.mu.Lock()
		delete(l.connections, nc)
		l.mu.Unlock()
		nc.Close()
	}()
	in := bufio.NewReader(nc)
	var answered chan bool // of the request at work; its value says whether the connection goes on
	var id string
	n.startIdleTimeout(nc)
	for fresh := true; ; fresh = false {
		if _, err := in.Peek(1); err != nil {
			if answered != nil && len(answered) == 0 && !isClosed(l.done) {
				n.recorder.Add(invariant.Event{Kind: invariant.Dropped, Node: n.ID, Request: id})
			}
			return
		}
		first := n.recorder.Now()
		if answered != nil {
			select {
			case stays := <-answered:
				if !stays {
					return
				}
			case <-l.done:
				return
			}
		}
		_ = nc.SetReadDeadline(time.Now().Add(headTimeout))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
			return
		}
		id = r.Header.Get("Req-Id")
		_ = nc.SetReadDeadline(time.Time{})
		answered = make(chan bool, 1)
		if !n.handle(l, nc, id, first, fresh, over, answered) {
			return
		}
	}
}

// startIdleTimeout bounds the wait for the next request.
func (n *Node) startIdleTimeout(nc net.Conn) {
	if n.IdleTimeout > 0 {
		_ = nc.SetReadDeadline(time.Now().Add(n.IdleTimeout))
	}
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

const (
	headTimeout  = 5 * time.Second // for the rest of a request that has begun
	maxBodyBytes = 64 << 10
)

// recordArrival notes that a request has come whole, unless the node has stopped: what a process had not read when it died never
// came, and would stay out for good in the timeline.
func (n *Node) recordArrival(l *incarnation, e invariant.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isClosed(l.done) {
		return false
	}
	n.recorder.Add(e)
	return true
}

// handle receives one whole request and sees to its answer in a goroutine of its own, so that serve can watch the
// connection meanwhile.
func (n *Node) handle(l *incarnation, nc net.Conn, id string, first time.Duration, fresh, over bool, answered chan<- bool) bool {
	t, ok := n.registry.lookup(id)
	if !ok {
		if n.recordArrival(l, invariant.Event{Kind: invariant.Sent, Node: n.ID, Request: id, First: first}) {
			writeResponse(nc, http.StatusBadRequest, "", "")
		}
		return false
	}
	if !n.recordArrival(l, invariant.Event{Kind: invariant.Sent, Node: n.ID, Request: id, First: first, Work: t.job.Work.Seconds(), Cell: n.Cell}) {
		return false
	}
	n.recordColdWork(l, t.job.Work.Seconds())
	if n.drawFault(&n.hangShare) {
		return true // taken, and never answered
	}
	n.mu.Lock()
	declines := over || n.isDraining
	n.mu.Unlock()
	l.inFlight.Add(1)
	go func() {
		defer func() {
			n.startIdleTimeout(nc)
			answered <- !over
			if over {
				nc.Close()
			}
		}()
		defer l.inFlight.Add(-1)
		l.runnable.Add(1)
		in := !declines && l.slots.acquire(l.done)
		l.runnable.Add(-1)
		if !in {
			if isClosed(l.done) {
				return
			}
			n.recorder.Add(invariant.Event{Kind: invariant.Declined, Node: n.ID, Request: id})
			writeResponse(nc, http.StatusServiceUnavailable, "Srv-Declined: 1\r\n", "turned away\n")
			return
		}
		defer l.slots.release()
		n.execute(l, nc, id, t, fresh)
	}()
	return true
}

// drawFault tells whether a fault with a share strikes.
func (n *Node) drawFault(fault *atomic.Uint64) bool {
	share := loadFloat(fault)
	return share > 0 && n.random() < share
}

// execute does a request's work and answers it. Nothing stops it but the node's death: a caller that leaves does not.
func (n *Node) execute(l *incarnation, nc net.Conn, id string, t registeredRequest, fresh bool) {
	work := t.job.Work
	repeat := t.key != "" && n.classes[t.class].Effect == invariant.Keyed && n.cell.isDuplicate(t.key, time.Now())
	n.recorder.Add(invariant.Event{Kind: invariant.Began, Node: n.ID, Request: id, Repeat: repeat})
	calls := t.job.Calls
	if repeat {
		work, calls = work/duplicateWorkDivisor, nil
	}
	if fresh {
		work += n.HandshakeWork
	}
	served := n.useCore(l, work/2) && sleep(t.job.Wait, l.done)
	if !served {
		return
	}
	for _, c := range calls {
		if served = n.NextTier == nil || n.NextTier.Call(t.class, t.key, c); !served {
			break
		}
	}
	if !n.useCore(l, work-work/2) {
		return
	}
	if served && n.ErrorRate > 0 && n.random() < n.ErrorRate {
		served = false
	}
	if n.drawFault(&n.resetShare) {
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		n.recorder.Add(invariant.Event{Kind: invariant.Done, Node: n.ID, Request: id})
		nc.Close()
		return
	}
	n.recorder.Add(invariant.Event{Kind: invariant.Done, Node: n.ID, Request: id}) // before the write: what comes of it comes later
	if served {
		writeResponse(nc, http.StatusOK, "", id+" "+n.ID+"\n")
	} else {
		writeResponse(nc, http.StatusInternalServerError, "", "failed\n")
	}
}

// duplicateWorkDivisor is the part of a request's work that a repeat takes which is dropped: it is looked up only.
const duplicateWorkDivisor = 20

// useCore takes time on a core.
func (n *Node) useCore(l *incarnation, work time.Duration) bool {
	l.runnable.Add(1)
	defer l.runnable.Add(-1)
	if !l.cores.acquire(l.done) {
		return false
	}
	l.busyCores.Add(1)
	defer func() {
		l.busyCores.Add(-1)
		l.cores.release()
	}()
	return sleep(time.Duration(float64(work)/n.coreSpeed(l)), l.done)
}

// coreSpeed is how fast a core works just now, in yardsticks.
func (n *Node) coreSpeed(l *incarnation) float64 {
	speed := n.Speed
	if l.isCold {
		speed *= warmShare(n.ColdCapacityShare, n.WarmUpDuration, time.Since(l.startedAt))
	}
	if f := loadFloat(&n.slowdown); f > 0 {
		speed /= f
	}
	if l.isOverloaded.Load() {
		speed /= n.Overload.Slowdown
	}
	return speed
}

// warmShare is the share of its capacity that a node has some time after its start.
func warmShare(from float64, over, since time.Duration) float64 {
	if over <= 0 || since >= over {
		return 1
	}
	return from + (1-from)*float64(since)/float64(over)
}

// recordColdWork counts what is sent to a cold node, also what it turns away, and lets it fall when that is too much.
func (n *Node) recordColdWork(l *incarnation, work float64) {
	now := n.recorder.Now()
	if !l.isCold || n.ColdOverloadFactor <= 0 || now >= l.startedSince+n.WarmUpDuration {
		return
	}
	l.mu.Lock()
	l.recentWork = append(l.recentWork, workArrival{now, work})
	for len(l.recentWork) > 0 && l.recentWork[0].at <= now-n.ColdOverloadWindow {
		l.recentWork = l.recentWork[1:]
	}
	sum := 0.0
	for _, p := range l.recentWork {
		sum += p.work
	}
	l.mu.Unlock()
	can := warmShare(n.ColdCapacityShare, n.WarmUpDuration, now-l.startedSince) * float64(n.Cores) * n.Speed * n.ColdOverloadWindow.Seconds()
	if sum <= n.ColdOverloadFactor*can*(1+ColdOverloadTolerance) {
		return
	}
	n.mu.Lock()
	first := !n.hasCollapsed
	n.hasCollapsed = true
	n.mu.Unlock()
	if first {
		n.recorder.Add(invariant.Event{Kind: invariant.Fell, Node: n.ID})
		go n.Stop()
	}
}

// ColdOverloadTolerance is what chance may add to the work that a cold node bears.
const ColdOverloadTolerance = 0.1

const overloadCheckInterval = 100 * time.Millisecond

// monitorOverload brings the slow state on and ends it, once in a life.
func (n *Node) monitorOverload(l *incarnation) {
	limit := float64(n.Cores) + n.Overload.Threshold*math.Sqrt(float64(n.Cores))
	limit = min(limit, 0.7*float64(n.Slots+n.QueueLimit))
	mean, rested := 0.0, time.Duration(0)
	var since time.Time
	for over := false; sleep(overloadCheckInterval, l.done); {
		switch {
		case l.isOverloaded.Load():
			if float64(l.busyCores.Load()) < n.Overload.IdleBelow*float64(n.Cores) {
				rested += overloadCheckInterval
			} else {
				rested = 0
			}
			if rested >= n.Overload.RecoverAfter || time.Since(since) >= n.Overload.MaxDuration {
				l.isOverloaded.Store(false)
				over = true
			}
		case !over:
			mean += (float64(l.runnable.Load()) - mean) * float64(overloadCheckInterval) / float64(n.Overload.AveragedOver)
			if mean > limit {
				since = time.Now()
				l.isOverloaded.Store(true)
				n.wasOverloaded.Store(true)
			}
		}
	}
}

// writeResponse writes a whole answer at once.
func writeResponse(nc net.Conn, status int, fields, body string) {
	_ = nc.SetWriteDeadline(time.Now().Add(headTimeout))
	_, _ = io.WriteString(nc, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"+fields+
		"Content-Type: text/plain\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

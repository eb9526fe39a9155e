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
	ID, Zone, Kind string
	Tier, Cell     int
	Cores          int
	Speed          float64       // of a core, in yardsticks
	Slots          int           // requests in work
	Room           int           `json:"Room"`         // waiting for a slot; beyond that they are turned away
	ColdFrom       float64       `json:"ColdFrom"`     // share of its capacity right after a start
	ColdFor        time.Duration `json:"ColdFor"`      // over which that rises evenly
	FallMultiple   float64       `json:"FallMultiple"` // sent more than this times what it can do,
	FallAfter      time.Duration `json:"FallAfter"`    // over this time, a cold node falls over and stays down
	Handshake      time.Duration `json:"Handshake"`    // work for a new connection
	IdleFor        time.Duration `json:"IdleFor"`      // it closes a connection that is idle for so long
	Conns          int           `json:"Conns"`        // connections that it holds; requests on further ones are turned away
	ErrorRate      float64       // share of requests that it answers with 500
	Choke          *Choke        `json:"Choke"`
}

// Choke is the slow state after overload.
type Choke struct {
	At     float64       `json:"At"`     // requests that run or wait here beyond the cores, times the root of the cores,
	Over   time.Duration `json:"Over"`   // on average over this time, bring it on;
	Slower float64       `json:"Slower"` // it makes a node so many times slower
	Rest   time.Duration `json:"Rest"`   // until it has been mostly idle for so long,
	Below  float64       `json:"Below"`  // that is, its cores were busy under this share,
	Most   time.Duration `json:"Most"`   // or until this time is up
}

// Cell is a set of nodes that drop repeats of keyed work together.
type Cell struct {
	window time.Duration
	mu     sync.Mutex
	seen   map[string]time.Time
	swept  time.Time
}

// NewCell makes a cell that remembers keys for the window.
func NewCell(window time.Duration) *Cell { return &Cell{window: window, seen: map[string]time.Time{}} }

// repeat tells whether the key was seen within the window, and notes it.
func (c *Cell) repeat(key string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.swept) > c.window { // so that the map holds two windows at most
		for k, at := range c.seen {
			if now.Sub(at) > c.window {
				delete(c.seen, k)
			}
		}
		c.swept = now
	}
	if at, ok := c.seen[key]; ok && now.Sub(at) <= c.window {
		return true
	}
	c.seen[key] = now
	return false
}

// Next makes a node's calls to the tier behind it.
type Next interface {
	// Call makes one call for a request and tells whether it was served.
	Call(class int, key string, job *Job) bool
}

// Node is a stand-in node. It listens on loopback at an address of its own, the same after a restart.
type Node struct {
	NodeSpec
	Addr    string
	Next    Next // nil: the last tier
	classes []Class
	cell    *Cell
	desk    *Desk
	rec     *Recorder
	rng     func() float64

	opened atomic.Int64 // connections, in all lives
	choked atomic.Bool  // was slow by overload at least once

	slow, hang, reset atomic.Uint64 // faults: math.Float64bits of how much slower, and of the share of requests

	mu       sync.Mutex
	life     *life // nil: down
	draining bool
	fallen   bool
}

// life is one run of a node's process.
type life struct {
	began    time.Time
	at       time.Duration // the same on the recorder's clock
	cold     bool
	done     chan struct{}
	listener net.Listener
	slots    *fifo
	cores    *fifo
	hand     atomic.Int64 // requests taken and not answered
	wants    atomic.Int64 // those of them that run or wait here, not on others
	busy     atomic.Int64 // cores at work
	choked   atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
	sent  []pressure // while cold
}

type pressure struct {
	at   time.Duration
	work float64
}

// NewNode makes a node that is down. seed feeds what it draws by itself.
func NewNode(spec NodeSpec, classes []Class, cell *Cell, desk *Desk, rec *Recorder, seed uint64) *Node {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0x6e6f6465))
	return &Node{NodeSpec: spec, classes: classes, cell: cell, desk: desk, rec: rec, rng: func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}}
}

// ErrFallen is the error of a start after the node, cold, was pushed over.
var ErrFallen = errors.New("it has fallen over and stays down")

// Start brings the node up, at its former address if it had one, and tells when.
func (n *Node) Start(cold bool) (began time.Time, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life != nil {
		return n.life.began, nil
	}
	if n.fallen {
		return time.Time{}, fmt.Errorf("node %s: %w", n.ID, ErrFallen)
	}
	addr := n.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return time.Time{}, fmt.Errorf("node %s: %w", n.ID, err)
	}
	n.Addr, n.draining = listener.Addr().String(), false
	l := &life{began: time.Now(), at: n.rec.Now(), cold: cold, done: make(chan struct{}), listener: listener,
		slots: &fifo{free: n.Slots, most: n.Room}, cores: &fifo{free: n.Cores, most: math.MaxInt}, conns: map[net.Conn]bool{}}
	n.life = l
	e := invariant.Event{Kind: invariant.Started, Node: n.ID, Capacity: float64(n.Cores) * n.Speed}
	if cold {
		e.ColdFrom, e.ColdFor = n.ColdFrom, n.ColdFor
	}
	e.At = max(l.at, 1)
	n.rec.Add(e)
	go n.accept(l)
	if n.Choke != nil {
		go n.watchLoad(l)
	}
	return l.began, nil
}

// Stop ends the node's process as a crash does: connections are reset, new ones refused.
func (n *Node) Stop() {
	n.mu.Lock()
	l := n.life
	n.life = nil
	n.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n.rec.Add(invariant.Event{Kind: invariant.Stopped, Node: n.ID})
	close(l.done)
	l.listener.Close()
	for nc := range l.conns {
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
	n.draining = true
}

// Up tells whether the node runs.
func (n *Node) Up() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life != nil
}

// InHand is how many requests run or wait here.
func (n *Node) InHand() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life == nil {
		return 0
	}
	return int(n.life.hand.Load())
}

// Opened is how many connections have been opened to the node.
func (n *Node) Opened() int { return int(n.opened.Load()) }

// Choked tells whether overload has made the node slow at least once.
func (n *Node) Choked() bool { return n.choked.Load() }

// Slow makes the node's cores so many times slower; 1 is as usual.
func (n *Node) Slow(factor float64) { n.slow.Store(math.Float64bits(factor)) }

// Hang makes the node take this share of the requests and never answer them.
func (n *Node) Hang(share float64) { n.hang.Store(math.Float64bits(share)) }

// Reset makes the node break the connection of this share of the requests after it has run them.
func (n *Node) Reset(share float64) { n.reset.Store(math.Float64bits(share)) }

func load(v *atomic.Uint64) float64 { return math.Float64frombits(v.Load()) }

func (n *Node) accept(l *life) {
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
		n.opened.Add(1)
		over := n.Conns > 0 && len(l.conns) >= n.Conns
		l.conns[nc] = true
		l.mu.Unlock()
		go n.serve(l, nc, over)
	}
}

// serve reads requests from a connection, one at a time, and notices when the other side ends it.
func (n *Node) serve(l *life, nc net.Conn, over bool) {
	defer func() {
		l.mu.Lock()
		delete(l.conns, nc)
		l.mu.Unlock()
		nc.Close()
	}()
	in := bufio.NewReader(nc)
	var answered chan bool // of the request at work; its value says whether the connection goes on
	var id string
	n.idle(nc)
	for fresh := true; ; fresh = false {
		if _, err := in.Peek(1); err != nil {
			if answered != nil && len(answered) == 0 && !closed(l.done) {
				n.rec.Add(invariant.Event{Kind: invariant.Dropped, Node: n.ID, Request: id})
			}
			return
		}
		first := n.rec.Now()
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
		_ = nc.SetReadDeadline(time.Now().Add(headWait))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, bodyMost)); err != nil {
			return
		}
		id = r.Header.Get("Req-Id")
		_ = nc.SetReadDeadline(time.Time{})
		answered = make(chan bool, 1)
		if !n.take(l, nc, id, first, fresh, over, answered) {
			return
		}
	}
}

// idle bounds the wait for the next request.
func (n *Node) idle(nc net.Conn) {
	if n.IdleFor > 0 {
		_ = nc.SetReadDeadline(time.Now().Add(n.IdleFor))
	}
}

func closed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

const (
	headWait = 5 * time.Second // for the rest of a request that has begun
	bodyMost = 64 << 10
)

// arrived notes that a request has come whole, unless the node has stopped: what a process had not read when it died never
// came, and would stay out for good in the timeline.
func (n *Node) arrived(l *life, e invariant.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if closed(l.done) {
		return false
	}
	n.rec.Add(e)
	return true
}

// take receives one whole request and sees to its answer in a goroutine of its own, so that serve can watch the
// connection meanwhile.
func (n *Node) take(l *life, nc net.Conn, id string, first time.Duration, fresh, over bool, answered chan<- bool) bool {
	t, ok := n.desk.get(id)
	if !ok {
		if n.arrived(l, invariant.Event{Kind: invariant.Sent, Node: n.ID, Request: id, First: first}) {
			answer(nc, http.StatusBadRequest, "", "")
		}
		return false
	}
	if !n.arrived(l, invariant.Event{Kind: invariant.Sent, Node: n.ID, Request: id, First: first, Work: t.job.Work.Seconds(), Cell: n.Cell}) {
		return false
	}
	n.press(l, t.job.Work.Seconds())
	if n.draws(&n.hang) {
		return true // taken, and never answered
	}
	n.mu.Lock()
	declines := over || n.draining
	n.mu.Unlock()
	l.hand.Add(1)
	go func() {
		defer func() {
			n.idle(nc)
			answered <- !over
			if over {
				nc.Close()
			}
		}()
		defer l.hand.Add(-1)
		l.wants.Add(1)
		in := !declines && l.slots.acquire(l.done)
		l.wants.Add(-1)
		if !in {
			if closed(l.done) {
				return
			}
			n.rec.Add(invariant.Event{Kind: invariant.Declined, Node: n.ID, Request: id})
			answer(nc, http.StatusServiceUnavailable, "Srv-Declined: 1\r\n", "turned away\n")
			return
		}
		defer l.slots.release()
		n.run(l, nc, id, t, fresh)
	}()
	return true
}

// draws tells whether a fault with a share strikes.
func (n *Node) draws(fault *atomic.Uint64) bool {
	share := load(fault)
	return share > 0 && n.rng() < share
}

// run does a request's work and answers it. Nothing stops it but the node's death: a caller that leaves does not.
func (n *Node) run(l *life, nc net.Conn, id string, t ticket, fresh bool) {
	work := t.job.Work
	repeat := t.key != "" && n.classes[t.class].Effect == invariant.Keyed && n.cell.repeat(t.key, time.Now())
	n.rec.Add(invariant.Event{Kind: invariant.Began, Node: n.ID, Request: id, Repeat: repeat})
	calls := t.job.Calls
	if repeat {
		work, calls = work/repeatShare, nil
	}
	if fresh {
		work += n.Handshake
	}
	served := n.spend(l, work/2) && sleep(t.job.Wait, l.done)
	if !served {
		return
	}
	for _, c := range calls {
		if served = n.Next == nil || n.Next.Call(t.class, t.key, c); !served {
			break
		}
	}
	if !n.spend(l, work-work/2) {
		return
	}
	if served && n.ErrorRate > 0 && n.rng() < n.ErrorRate {
		served = false
	}
	if n.draws(&n.reset) {
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		n.rec.Add(invariant.Event{Kind: invariant.Done, Node: n.ID, Request: id})
		nc.Close()
		return
	}
	n.rec.Add(invariant.Event{Kind: invariant.Done, Node: n.ID, Request: id}) // before the write: what comes of it comes later
	if served {
		answer(nc, http.StatusOK, "", id+" "+n.ID+"\n")
	} else {
		answer(nc, http.StatusInternalServerError, "", "failed\n")
	}
}

// repeatShare is the part of a request's work that a repeat takes which is dropped: it is looked up only.
const repeatShare = 20

// spend takes time on a core.
func (n *Node) spend(l *life, work time.Duration) bool {
	l.wants.Add(1)
	defer l.wants.Add(-1)
	if !l.cores.acquire(l.done) {
		return false
	}
	l.busy.Add(1)
	defer func() {
		l.busy.Add(-1)
		l.cores.release()
	}()
	return sleep(time.Duration(float64(work)/n.pace(l)), l.done)
}

// pace is how fast a core works just now, in yardsticks.
func (n *Node) pace(l *life) float64 {
	speed := n.Speed
	if l.cold {
		speed *= warmth(n.ColdFrom, n.ColdFor, time.Since(l.began))
	}
	if f := load(&n.slow); f > 0 {
		speed /= f
	}
	if l.choked.Load() {
		speed /= n.Choke.Slower
	}
	return speed
}

// warmth is the share of its capacity that a node has some time after its start.
func warmth(from float64, over, since time.Duration) float64 {
	if over <= 0 || since >= over {
		return 1
	}
	return from + (1-from)*float64(since)/float64(over)
}

// press counts what is sent to a cold node, also what it turns away, and lets it fall when that is too much.
func (n *Node) press(l *life, work float64) {
	now := n.rec.Now()
	if !l.cold || n.FallMultiple <= 0 || now >= l.at+n.ColdFor {
		return
	}
	l.mu.Lock()
	l.sent = append(l.sent, pressure{now, work})
	for len(l.sent) > 0 && l.sent[0].at <= now-n.FallAfter {
		l.sent = l.sent[1:]
	}
	sum := 0.0
	for _, p := range l.sent {
		sum += p.work
	}
	l.mu.Unlock()
	can := warmth(n.ColdFrom, n.ColdFor, now-l.at) * float64(n.Cores) * n.Speed * n.FallAfter.Seconds()
	if sum <= n.FallMultiple*can*(1+FallSlack) {
		return
	}
	n.mu.Lock()
	first := !n.fallen
	n.fallen = true
	n.mu.Unlock()
	if first {
		n.rec.Add(invariant.Event{Kind: invariant.Fell, Node: n.ID})
		go n.Stop()
	}
}

// FallSlack is what chance may add to the work that a cold node bears.
const FallSlack = 0.1

const chokeLook = 100 * time.Millisecond

// watchLoad brings the slow state on and ends it, once in a life.
func (n *Node) watchLoad(l *life) {
	limit := float64(n.Cores) + n.Choke.At*math.Sqrt(float64(n.Cores))
	limit = min(limit, 0.7*float64(n.Slots+n.Room))
	mean, rested := 0.0, time.Duration(0)
	var since time.Time
	for over := false; sleep(chokeLook, l.done); {
		switch {
		case l.choked.Load():
			if float64(l.busy.Load()) < n.Choke.Below*float64(n.Cores) {
				rested += chokeLook
			} else {
				rested = 0
			}
			if rested >= n.Choke.Rest || time.Since(since) >= n.Choke.Most {
				l.choked.Store(false)
				over = true
			}
		case !over:
			mean += (float64(l.wants.Load()) - mean) * float64(chokeLook) / float64(n.Choke.Over)
			if mean > limit {
				since = time.Now()
				l.choked.Store(true)
				n.choked.Store(true)
			}
		}
	}
}

// answer writes a whole answer at once.
func answer(nc net.Conn, status int, fields, body string) {
	_ = nc.SetWriteDeadline(time.Now().Add(headWait))
	_, _ = io.WriteString(nc, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"+fields+
		"Content-Type: text/plain\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

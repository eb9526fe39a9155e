package fake

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// NodeSpec describes a node. Its work is modelled: it takes time on a core that exists only as a count. The tags are the
// names of printed plans.
type NodeSpec struct {
	ID, Zone, Kind       string
	Tier, Cell           int
	Cores                int
	Speed                float64       // of a core; work is stated for a core of speed 1
	Slots                int           // requests that are executed at a time
	QueueLimit           int           `json:"Room"`         // requests that wait for a slot; further ones are rejected
	ColdCapacityFraction float64       `json:"ColdFrom"`     // share of the capacity right after a start
	WarmUpDuration       time.Duration `json:"ColdFor"`      // over which the share rises linearly to 1
	ColdOverloadFactor   float64       `json:"FallMultiple"` // a warming node collapses under this multiple of what it can do
	ColdOverloadWindow   time.Duration `json:"FallAfter"`    // within a window of this length
	HandshakeWork        time.Duration `json:"Handshake"`    // work for a new connection
	IdleTimeout          time.Duration `json:"IdleFor"`      // after which an idle connection is closed; 0: none
	MaxConnections       int           `json:"Conns"`        // requests on further connections are rejected; 0: no limit
	ErrorRate            float64       // share of requests that it answers with 500
	Overload             *OverloadSpec `json:"Choke"` // nil: overload does not slow the node
}

// Node is a fake node. It listens on loopback at an address of its own, the same after a restart. Its methods are safe for
// concurrent use; the fields must not be written to after the first Start.
//
// A running node has a goroutine that accepts connections, one for each connection and for each request, and one that
// monitors overload. Stop makes all of them end.
type Node struct {
	NodeSpec
	Addr     string   // set by the first Start
	NextTier NextTier // nil: the node is of the last tier
	classes  []Class
	cell     *Cell
	registry *Registry
	recorder *Recorder
	random   func() float64 // in [0, 1)

	openedConnections atomic.Int64 // in all incarnations
	wasOverloaded     atomic.Bool

	faults nodeFaults

	mu           sync.Mutex
	incarnation  *incarnation // nil: down
	isDraining   bool
	hasCollapsed bool
}

// incarnation is one run of a node's process.
type incarnation struct {
	startedAt    time.Time
	startOffset  time.Duration // startedAt on the recorder's clock
	startedCold  bool          // started without its caches and so warming up
	done         chan struct{} // closed by Stop
	listener     net.Listener
	slots        *semaphore
	cores        *semaphore
	inFlight     atomic.Int64 // requests received and not answered
	runnable     atomic.Int64 // of those, the ones that run or wait on this node, not on the next tier
	busyCores    atomic.Int64
	isOverloaded atomic.Bool

	mu             sync.Mutex
	connections    map[net.Conn]bool
	recentColdWork []coldWork // while warming up
}

// NewNode makes a node that is down. seed feeds the node's own random draws.
func NewNode(spec NodeSpec, classes []Class, cell *Cell, registry *Registry, recorder *Recorder, seed uint64) *Node {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0x6e6f6465))
	random := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}
	return &Node{NodeSpec: spec, classes: classes, cell: cell, registry: registry, recorder: recorder, random: random}
}

// ErrCollapsed is the error of a start after the node collapsed under overload while warming up.
var ErrCollapsed = errors.New("it has fallen over and stays down")

// Start starts the node, at its former address if it had one, and returns the instant of the start. It does nothing where
// the node runs already. The error names the node; it is ErrCollapsed for a node that has collapsed.
func (n *Node) Start(cold bool) (startedAt time.Time, err error) {
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
	inc := &incarnation{
		startedAt:   time.Now(),
		startOffset: n.recorder.Now(),
		startedCold: cold,
		done:        make(chan struct{}),
		listener:    listener,
		slots:       &semaphore{free: n.Slots, maxWaiting: n.QueueLimit},
		cores:       &semaphore{free: n.Cores, maxWaiting: math.MaxInt},
		connections: map[net.Conn]bool{},
	}
	n.incarnation = inc
	e := invariant.Event{Kind: invariant.NodeStarted, Node: n.ID, Capacity: float64(n.Cores) * n.Speed}
	if cold {
		e.ColdCapacityFraction, e.WarmUpDuration = n.ColdCapacityFraction, n.WarmUpDuration
	}
	e.At = max(inc.startOffset, 1) // 0 would stand for the instant of Add
	n.recorder.Add(e)
	go n.acceptConnections(inc)
	if n.Overload != nil {
		go n.monitorOverload(inc)
	}
	return inc.startedAt, nil
}

// Stop ends the node's process as a crash does: connections are reset and new ones refused.
func (n *Node) Stop() {
	n.mu.Lock()
	inc := n.incarnation
	n.incarnation = nil
	n.mu.Unlock()
	if inc == nil {
		return
	}
	inc.mu.Lock()
	defer inc.mu.Unlock()
	n.recorder.Add(invariant.Event{Kind: invariant.NodeStopped, Node: n.ID})
	close(inc.done)
	inc.listener.Close()
	for conn := range inc.connections {
		resetConnection(conn)
	}
}

// resetConnection closes a connection by a reset, as the death of a process does.
func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
	conn.Close()
}

// Drain makes the node reject new requests and finish those in flight, until its next start.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isDraining = true
}

// IsUp reports whether the node runs.
func (n *Node) IsUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation != nil
}

// InFlight is the number of requests that run or wait on the node.
func (n *Node) InFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation == nil {
		return 0
	}
	return int(n.incarnation.inFlight.Load())
}

// OpenedConnections is the number of connections opened to the node in all its incarnations.
func (n *Node) OpenedConnections() int { return int(n.openedConnections.Load()) }

// WasOverloaded reports whether overload has made the node slow at least once.
func (n *Node) WasOverloaded() bool { return n.wasOverloaded.Load() }

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

// NodeSpec describes a node. Work is simulated: a request occupies one of the node's cores for the time that its work
// takes. The JSON tags give the names that some fields have in printed plans.
type NodeSpec struct {
	ID                   string // unique ID of the node
	Zone                 string
	Kind                 string        // name of the node's kind; nodes of a kind have similar properties
	Tier                 int           // index of the node's tier; requests enter at tier 0, and each tier calls the next one
	Cell                 int           // index of the node's cell in its tier
	Cores                int           // number of simulated cores
	Speed                float64       // speed of each core; work is stated in seconds on a core of speed 1
	Slots                int           // largest number of requests that are executed at once
	QueueLimit           int           `json:"Room"`         // number of requests that may wait for a slot; further ones are rejected
	ColdCapacityFraction float64       `json:"ColdFrom"`     // fraction of the full speed that the node has right after a cold start
	WarmUpDuration       time.Duration `json:"ColdFor"`      // time from a cold start in which the speed rises linearly to the full speed
	ColdOverloadFactor   float64       `json:"FallMultiple"` // a warming node collapses if the work sent to it within ColdOverloadWindow exceeds this multiple of what it can do in that time; 0: never
	ColdOverloadWindow   time.Duration `json:"FallAfter"`    // length of the window over which the work sent to a warming node is summed
	HandshakeWork        time.Duration `json:"Handshake"`    // extra work of the first request on a connection, on a core of speed 1
	IdleTimeout          time.Duration `json:"IdleFor"`      // time after which an idle connection is closed; 0: never
	MaxConnections       int           `json:"Conns"`        // number of connections beyond which requests on a new one are rejected; 0: unlimited
	ErrorRate            float64       // fraction of the requests that the node answers with status 500
	Overload             *OverloadSpec `json:"Choke"` // how overload slows the node; nil: not at all
}

// Node is a fake node. It listens on loopback at an address of its own, which stays the same after a restart. Its methods
// are safe for concurrent use; its exported fields must not be written to after the first Start.
//
// A running node has one goroutine that accepts connections, one for each connection, one for each request in flight, and
// one that monitors overload if NodeSpec.Overload is set. Stop ends all of them.
type Node struct {
	NodeSpec
	Addr     string   // address that the node listens on; set by the first Start
	NextTier NextTier // makes the node's calls to the next tier; nil: the node is of the last tier
	classes  []Class
	cell     *Cell
	registry *Registry
	recorder *Recorder
	random   func() float64 // draws a number in [0, 1), evenly distributed; safe for concurrent use

	openedConnections atomic.Int64 // number of connections accepted since NewNode, by all incarnations
	wasOverloaded     atomic.Bool  // whether overload has slowed the node at least once, in any incarnation

	faults nodeFaults

	mu           sync.Mutex
	incarnation  *incarnation // the running process of the node; nil: the node is down
	isDraining   bool         // whether the node rejects new requests until its next start
	hasCollapsed bool         // whether the node collapsed under overload, so that it cannot be started again
}

// incarnation is one process of a node, from its start to its stop.
type incarnation struct {
	startedAt    time.Time
	startOffset  time.Duration // time from the start of the recorder to the start of the process
	startedCold  bool          // whether the process started without its caches and so warms up
	done         chan struct{} // closed by Node.Stop, which ends the process
	listener     net.Listener
	slots        *semaphore
	cores        *semaphore
	inFlight     atomic.Int64 // number of requests received and not answered yet, without those that the hang fault hit
	runnable     atomic.Int64 // number of requests that wait for a slot, wait for a core or use a core
	busyCores    atomic.Int64 // number of cores that execute a request
	isOverloaded atomic.Bool  // whether overload slows the process at present

	mu             sync.Mutex
	connections    map[net.Conn]bool // open connections of the process; all values are true
	recentColdWork []coldWork        // work received within the latest ColdOverloadWindow during the warm-up
}

// NewNode returns a node that is down. The seed determines the node's random errors and faults.
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

// ErrCollapsed is returned by Start for a node that has collapsed under overload while warming up.
var ErrCollapsed = errors.New("collapsed under overload and cannot be started again")

// Start starts the node and returns the time of the start. The node listens at the address of its previous start, if there
// was one, and warms up if isCold is set. If the node runs already, Start does nothing and returns the time of its start. The
// error names the node and wraps ErrCollapsed if the node has collapsed.
func (n *Node) Start(isCold bool) (startedAt time.Time, err error) {
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
		startedCold: isCold,
		done:        make(chan struct{}),
		listener:    listener,
		slots:       &semaphore{freeSlots: n.Slots, maxWaiting: n.QueueLimit},
		cores:       &semaphore{freeSlots: n.Cores, maxWaiting: math.MaxInt},
		connections: map[net.Conn]bool{},
	}
	n.incarnation = inc
	e := invariant.Event{Kind: invariant.NodeStarted, Node: n.ID, Capacity: float64(n.Cores) * n.Speed}
	if isCold {
		e.ColdCapacityFraction, e.WarmUpDuration = n.ColdCapacityFraction, n.WarmUpDuration
	}
	e.At = max(inc.startOffset, 1) // at least 1, since Recorder.Add takes an instant of 0 as not set
	n.recorder.Add(e)
	go n.acceptConnections(inc)
	if n.Overload != nil {
		go n.monitorOverload(inc)
	}
	return inc.startedAt, nil
}

// Stop ends the node's process as a crash does: open connections are reset, and new ones are refused. If the node is down, Stop
// does nothing.
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

// resetConnection closes a connection with a TCP reset, as the kernel does when a process dies.
func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the error is ignored: SetLinger fails only if the connection is closed already
	}
	conn.Close()
}

// Drain makes the node reject new requests until its next start. Requests in flight are completed.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isDraining = true
}

// IsUp reports whether the node is running.
func (n *Node) IsUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation != nil
}

// InFlight returns the number of requests that the node has received and not answered yet. Requests that the hang fault hit do
// not count.
func (n *Node) InFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation == nil {
		return 0
	}
	return int(n.incarnation.inFlight.Load())
}

// OpenedConnections returns the number of connections that the node has accepted since NewNode, by all incarnations.
func (n *Node) OpenedConnections() int { return int(n.openedConnections.Load()) }

// WasOverloaded reports whether overload has slowed the node at least once.
func (n *Node) WasOverloaded() bool { return n.wasOverloaded.Load() }

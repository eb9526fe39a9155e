package swim

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// noDeadline is later than every instant.
const noDeadline = time.Duration(math.MaxInt64)

// Node is one daemon's failure detector. The instants that a caller passes in never go back. A Node is not safe for
// concurrent use.
type Node struct {
	options      Options
	rng          *rand.Rand
	self         Update
	startedAt    time.Duration
	hasLeft      bool          // Leave was called
	hasContact   bool          // a message of another node has been received since the start
	expectedTick time.Duration // what NextTick returned last

	// The membership table: see membership.go.
	members      map[string]*member     // all other members by name
	present      []*member              // those that are present, in the shuffled order of the probe round
	failed       []*member              // those that have failed
	suspects     map[string]*member     // those that are suspect, by name
	presentAddrs map[netip.AddrPort]int // how many present members have an address
	digest       uint64                 // of all present members and this node
	nextReap     time.Duration

	// Probing: see probe.go and indirectprobe.go.
	lastSeq        uint64            // the latest sequence number of a Ping
	probes         map[uint64]*probe // by sequence number; see startProbe for their bound
	indirectProbes map[uint64]*indirectProbe
	probeIndex     int       // next place in present to be probed
	urgentTargets  []*member // suspects of other members that are probed next; maxLocalHealth at most
	healthScore    int       // 0: healthy; up to maxLocalHealth
	nextProbe      time.Duration

	nextSuspicionEnd time.Duration // no suspicion ends before; noDeadline: there is none

	// Gossip and full state exchange: see gossip.go and sync.go.
	broadcasts broadcastQueue
	nextGossip time.Duration
	nextRejoin time.Duration
	lastSync   time.Duration // instant at which this node last began an exchange; 0: never
	outbox     []Envelope

	conflict *nameConflict // another process with this node's name; nil: none

	// The view: see view.go.
	connectivity         Connectivity
	improvedSince        time.Duration // instant since which a better connectivity has lasted; negative: it does not
	improvedConnectivity Connectivity  // the lowest one since improvedSince
	viewNumber           uint64
	changes              []Change
}

// New returns a Node that starts at now. It contacts the addresses in Options.Join with its first Tick.
func New(now time.Duration, o Options) *Node {
	o.setDefaults()
	n := &Node{
		options:          o,
		rng:              rand.New(rand.NewPCG(o.Seed, o.Self.Generation)),
		self:             Update{Peer: o.Self, Incarnation: 1},
		startedAt:        now,
		expectedTick:     now,
		members:          map[string]*member{},
		suspects:         map[string]*member{},
		presentAddrs:     map[netip.AddrPort]int{},
		nextReap:         now + reapAfter,
		probes:           map[uint64]*probe{},
		indirectProbes:   map[uint64]*indirectProbe{},
		nextSuspicionEnd: noDeadline,
		nextGossip:       now,
		nextRejoin:       now,
		improvedSince:    -1,
		viewNumber:       1,
	}
	n.broadcasts.reset()
	n.digest = n.self.digest()
	n.lastSeq = n.rng.Uint64() >> 16 // so that a response to an earlier process does not count for this one
	n.nextProbe = now + time.Duration(n.rng.Int64N(int64(o.ProbeInterval)))
	n.broadcasts.enqueue(n.self)
	for _, u := range o.InitialMembers {
		if n.members[u.Name] == nil && u.Name != n.self.Name {
			n.addMember(now, u)
		}
	}
	if len(o.InitialMembers) > 0 { // the known members need no gossip of one another, and have this node already
		n.broadcasts.reset()
		n.changes, n.options.InitialMembers = nil, nil
	}
	n.updateConnectivity(now)
	return n
}

// NextTick returns the instant at which Tick is due, if no message is received before.
func (n *Node) NextTick() time.Duration {
	next := min(n.nextProbe, n.nextRejoin, n.nextReap, n.nextSuspicionEnd)
	if n.canGossip() {
		next = min(next, n.nextGossip)
	}
	for _, p := range n.probes {
		if !p.hasSentIndirect {
			next = min(next, p.indirectAt)
		}
		next = min(next, p.deadline)
	}
	for _, p := range n.indirectProbes {
		next = min(next, p.nackAt)
	}
	if n.conflict != nil {
		next = min(next, n.conflict.nextProbe)
	}
	if n.improvedSince >= 0 {
		next = min(next, n.improvedSince+connectivityHoldIntervals*n.options.ProbeInterval)
	}
	n.expectedTick = next
	return next
}

// Tick does what is due at now.
func (n *Node) Tick(now time.Duration) {
	n.detectPause(now)
	n.sendNacks(now)
	n.tickProbes(now)
	n.expireSuspicions(now)
	n.tickNameConflict(now)
	if now >= n.nextGossip && n.canGossip() {
		n.nextGossip = now + n.options.ProbeInterval/gossipsPerProbeInterval
		n.gossip(gossipFanout)
	}
	if now >= n.nextRejoin {
		n.nextRejoin = now + n.options.ProbeInterval
		n.rejoin()
	}
	if now >= n.nextReap {
		n.nextReap = now + reapAfter/10
		n.reap(now)
	}
	n.updateConnectivity(now)
}

// Receive takes in a message. The caller has verified that it was sent by a member of this cluster. A message that is not
// valid is ignored.
func (n *Node) Receive(now time.Duration, m *Message) {
	n.detectPause(now)
	if !m.isValid() {
		return
	}
	if m.From.Name == n.self.Name && m.From.Generation == n.self.Generation {
		return // this node's own message, reflected
	}
	n.hasContact = true
	sender := n.members[m.From.Name]
	wasAbsent := sender == nil || !sender.State.IsPresent()
	n.applyUpdate(now, m.From, false)
	isExchange := m.Kind == Sync || m.Kind == SyncReply
	for _, u := range m.Updates {
		n.applyUpdate(now, u, isExchange)
	}
	switch m.Kind {
	case Ping:
		n.receivePing(m)
	case PingReq:
		n.receivePingReq(now, m)
	case Ack:
		n.receiveAck(now, m)
		n.syncIfViewsDiffer(now, m, wasAbsent)
	case Nack:
		if p := n.probes[m.Seq]; p != nil {
			p.receivedNacks = min(p.receivedNacks+1, p.expectedNacks)
		}
	case Sync:
		n.sendFullState(m.From, SyncReply)
	}
	n.updateConnectivity(now)
}

// TakeMessages returns the messages to be sent, and forgets them.
func (n *Node) TakeMessages() []Envelope {
	out := n.outbox
	n.outbox = nil
	return out
}

// HasContact reports whether a message of another member has been received since the start.
func (n *Node) HasContact() bool { return n.hasContact }

// Leave announces that this node leaves the cluster. The caller should send what TakeMessages returns then. From now on
// the node probes nobody, and only responds.
func (n *Node) Leave(_ time.Duration) {
	n.hasLeft = true
	clear(n.probes)
	n.self.State = Left
	n.viewNumber++
	if n.isYielding() {
		return
	}
	n.broadcasts.enqueue(n.self)
	n.gossip(2 * gossipFanout)
}

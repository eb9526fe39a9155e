package swim

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// noDeadline is the latest possible instant, which stands for an event that is not scheduled.
const noDeadline = time.Duration(math.MaxInt64)

// Node is the failure detector of one daemon. The instants that a caller passes to its methods must never decrease. A Node
// is not safe for concurrent use.
type Node struct {
	options      Options       // options of the node, with defaults for those not set; Reconfigure replaces them
	rng          *rand.Rand    // source of all random decisions, from Options.Seed
	self         Update        // address, generation, state and incarnation of this node, as it gossips them
	startedAt    time.Duration // instant at which the node was created
	hasLeft      bool          // whether Leave was called
	hasContact   bool          // whether the node has received a message of another node since it was created
	expectedTick time.Duration // instant at which Tick is expected: the latest result of NextTick

	// Fields of the membership table (membership.go).
	members      map[string]*member     // all other known members, in any state, by name
	present      []*member              // other members that are alive or suspect, in the shuffled order of the probe round
	failed       []*member              // members in the state Failed, in any order
	suspects     map[string]*member     // members in the state Suspect, by name
	presentAddrs map[netip.AddrPort]int // number of members that are alive or suspect, by address
	digest       uint64                 // hash of this node and all members that are alive or suspect, which Digest returns
	nextReap     time.Duration          // instant at which members that failed or left long ago are next removed

	// Fields of the probes of members (probe.go and indirectprobe.go).
	lastSeq        uint64                    // sequence number of the latest Ping that this node sent
	probes         map[uint64]*probe         // probes without a response, by sequence number; at most maxHealthScore+1
	indirectProbes map[uint64]*indirectProbe // probes on behalf of other members, by sequence number; at most maxIndirectProbes
	probeIndex     int                       // index in the list present of the member to probe next
	urgentTargets  []*member                 // members that another node suspects, and that this node probes before any others; at most maxHealthScore
	healthScore    int                       // local health of this node: 0 is healthy, maxHealthScore is worst
	nextProbe      time.Duration             // instant at which this node starts its next probe of a member

	nextSuspicionEnd time.Duration // instant before which the timeout of no suspicion ends; noDeadline: no member is suspect

	// Fields of gossip and of the full state exchange (gossip.go and sync.go).
	broadcasts broadcastQueue // updates to be gossiped
	nextGossip time.Duration  // instant before which this node starts no round of gossip
	nextRejoin time.Duration  // instant at which this node next pings the address of a failed member, or an address in Options.Join that no alive or suspect member has
	lastSync   time.Duration  // instant at which this node last started a full state exchange; 0: never
	outbox     []Envelope     // messages that the next call of TakeMessages returns

	conflict *nameConflict // another process with this node's name; nil: none is known

	// Fields of the view of the cluster that the method View returns (view.go).
	connectivity       Connectivity  // how much of the cluster the node can reach, as View reports it; an improvement is reported only after it has lasted
	improvedSince      time.Duration // instant since which the current connectivity has been at least worstSinceImproved; negative: it is not better than what View reports
	worstSinceImproved Connectivity  // worst connectivity since the connectivity became better than what View reports; View reports this one once it has lasted
	viewNumber         uint64        // Number of the current View, which grows with each change
	changes            []Change      // member state changes that the next call of TakeChanges returns; at most maxPendingChanges
}

// New returns a Node that starts at the instant now. Its first Tick pings one of the addresses in Options.Join.
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
	n.lastSeq = n.rng.Uint64() >> 16 // random, so that a response to a Ping of an earlier process of this daemon matches no Ping of this process
	n.nextProbe = now + time.Duration(n.rng.Int64N(int64(o.ProbeInterval)))
	n.broadcasts.enqueue(n.self)
	for _, u := range o.InitialMembers {
		if n.members[u.Name] == nil && u.Name != n.self.Name {
			n.addMember(now, u)
		}
	}
	if len(o.InitialMembers) > 0 { // no join is needed: the initial members already know one another and this node
		n.broadcasts.reset()
		n.changes, n.options.InitialMembers = nil, nil
	}
	n.updateConnectivity(now)
	return n
}

// NextTick returns the instant at which Tick must be called, unless a message is received first. Then the instant may change.
func (n *Node) NextTick() time.Duration {
	next := min(n.nextProbe, n.nextRejoin, n.nextReap, n.nextSuspicionEnd)
	if n.canGossip() {
		next = min(next, n.nextGossip)
	}
	for _, p := range n.probes {
		if !p.hasSentPingReqs {
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

// Tick does all work of the node that is due at the instant now, such as probes, gossip, and the failure of suspects whose
// timeout has passed.
func (n *Node) Tick(now time.Duration) {
	n.detectPause(now)
	n.sendNacks(now)
	n.tickProbes(now)
	n.expireSuspicions(now)
	n.tickNameConflict(now)
	if now >= n.nextGossip && n.canGossip() {
		n.nextGossip = now + n.options.ProbeInterval/gossipRoundsPerProbeInterval
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

// Receive handles a message. The caller must have verified that a daemon of this cluster sent it. An invalid message is
// ignored.
func (n *Node) Receive(now time.Duration, m *Message) {
	n.detectPause(now)
	if !m.isValid() {
		return
	}
	if m.From.Name == n.self.Name && m.From.Generation == n.self.Generation {
		return // ignored: this process sent the message itself
	}
	n.hasContact = true
	sender := n.members[m.From.Name]
	senderWasAbsent := sender == nil || !sender.State.IsPresent()
	n.applyUpdate(now, m.From, false)
	isFullState := m.Kind == Sync || m.Kind == SyncReply
	for _, u := range m.Updates {
		n.applyUpdate(now, u, isFullState)
	}
	switch m.Kind {
	case Ping:
		n.receivePing(m)
	case PingReq:
		n.receivePingReq(now, m)
	case Ack:
		n.receiveAck(now, m)
		n.syncIfViewsDiffer(now, m, senderWasAbsent)
	case Nack:
		if p := n.probes[m.Seq]; p != nil {
			p.receivedNacks = min(p.receivedNacks+1, p.expectedNacks)
		}
	case Sync:
		n.sendFullState(m.From, SyncReply)
	}
	n.updateConnectivity(now)
}

// TakeMessages returns the messages to be sent and removes them from the Node.
func (n *Node) TakeMessages() []Envelope {
	messages := n.outbox
	n.outbox = nil
	return messages
}

// HasContact reports whether this node has received a message of another node since it was created.
func (n *Node) HasContact() bool { return n.hasContact }

// Leave announces that this node leaves the cluster. The caller should then send what TakeMessages returns. After Leave the
// node sends no probes and only responds to messages.
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

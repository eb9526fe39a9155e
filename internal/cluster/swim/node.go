package swim

import (
	"maps"
	"math"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// member is what a node holds of another.
type member struct {
	Update
	since      time.Duration
	index      int // in Node.round while it is here, in Node.away while it is failed
	suspicion  *suspicion
	lastHelper *member // who reached it last when this node could not; nil: nobody
}

// probe is a question that is out.
type probe struct {
	target        *member
	indirectAt    time.Duration // instant at which others are to be asked
	deadline      time.Duration
	expectedNacks int // that were asked and can say Nack
	nacks         int
	indirectSent  bool
}

// indirectProbe is a question that is carried on for another.
type indirectProbe struct {
	requester    netip.AddrPort
	requesterSeq uint64 // of the one who asked
	target       string // who is meant
	nackAt       time.Duration
}

// Node is one daemon's detector. Instants that are handed in never go back. It is not safe for concurrent use.
type Node struct {
	options Options
	rng     *rand.Rand

	self          Update
	startedAt     time.Duration // instant of New
	hasLeft       bool          // Leave was called
	members       map[string]*member
	present       []*member              // who is probed, shuffled: others that are here
	probeIndex    int                    // in round
	urgentTargets []*member              // suspects of others that are to be probed next; healthMost at most
	failed        []*member              // others that are failed
	presentAddrs  map[netip.AddrPort]int // members that are here, by address
	digest        uint64                 // of all that are here, this node included
	broadcasts    broadcastQueue

	seq            uint64
	probes         map[uint64]*probe // by Seq; a member is asked again only when its answer is overdue for good, so that healthMost+1 are out at most
	indirectProbes map[uint64]*indirectProbe
	suspects       map[string]*member
	localHealth    int // 0: well; up to healthMost

	nextProbe, nextGossip, nextRejoin, nextReap time.Duration
	nextSuspicionEnd                            time.Duration // no suspicion ends before; never: there is none
	lastSync                                    time.Duration // instant of the last full exchange that was begun; 0: none
	expectedTick                                time.Duration // when Tick was last wanted
	hasContact                                  bool          // somebody else has been heard since the start
	conflict                                    *nameConflict

	connectivity  Connectivity
	improvedSince time.Duration // instant since which a better standing has lasted; negative: none
	improvedTo    Connectivity
	viewNumber    uint64
	changes       []Change
	outbox        []Envelope
}

const noDeadline = time.Duration(math.MaxInt64)

// New makes a Node that begins at an instant. It goes to the addresses of Join with its first Tick.
func New(now time.Duration, o Options) *Node {
	o.setDefaults()
	n := &Node{options: o, startedAt: now, rng: rand.New(rand.NewPCG(o.Seed, o.Self.Run)), self: Update{Peer: o.Self, Incarnation: 1}, members: map[string]*member{},
		probes: map[uint64]*probe{}, indirectProbes: map[uint64]*indirectProbe{}, suspects: map[string]*member{}, presentAddrs: map[netip.AddrPort]int{}, nextSuspicionEnd: noDeadline, improvedSince: -1, viewNumber: 1}
	n.broadcasts.reset()
	n.digest = updateDigest(&n.self)
	n.seq = n.rng.Uint64() >> 16 // an answer to an earlier life is none to this one
	n.nextProbe = now + time.Duration(n.rng.Int64N(int64(o.ProbeEvery)))
	n.nextGossip, n.nextRejoin, n.nextReap = now, now, now+reapAfter
	n.expectedTick = now
	n.spread(n.self)
	for _, u := range o.Known {
		if n.members[u.Name] == nil && u.Name != n.self.Name {
			n.addMember(now, u)
		}
	}
	if len(o.Known) > 0 { // that is no news, and the fleet has this node already
		n.broadcasts.reset()
		n.changes, n.options.Known = nil, nil
	}
	n.updateConnectivity(now)
	return n
}

func (o *Options) setDefaults() {
	for _, d := range []struct {
		is        *time.Duration
		otherwise time.Duration
	}{{&o.ProbeEvery, DefaultProbeEvery}, {&o.ProbeTimeout, DefaultProbeTimeout}, {&o.Suspicion, DefaultSuspicion}} {
		if *d.is <= 0 {
			*d.is = d.otherwise
		}
	}
	o.ProbeTimeout = min(o.ProbeTimeout, o.ProbeEvery/2)
}

// Reconfigure takes up other times, addresses to join and voters. The node's name and address stay.
func (n *Node) Reconfigure(now time.Duration, o Options) {
	o.Self, o.Seed = n.options.Self, n.options.Seed
	o.setDefaults()
	n.options = o
	n.nextProbe = min(n.nextProbe, now+o.ProbeEvery)
	n.updateConnectivity(now)
}

// NextTick is the instant at which Tick is wanted.
func (n *Node) NextTick() time.Duration {
	next := min(n.nextProbe, n.nextRejoin, n.nextReap, n.nextSuspicionEnd)
	if n.broadcasts.hasPending() && !n.isYielding() {
		next = min(next, n.nextGossip)
	}
	for _, p := range n.probes {
		if !p.indirectSent {
			next = min(next, p.indirectAt)
		}
		next = min(next, p.deadline)
	}
	for _, r := range n.indirectProbes {
		next = min(next, r.nackAt)
	}
	if n.conflict != nil {
		next = min(next, n.conflict.nextProbe)
	}
	if n.improvedSince >= 0 {
		next = min(next, n.improvedSince+connectivityHoldIntervals*n.options.ProbeEvery)
	}
	n.expectedTick = next
	return next
}

// TakeMessages gives the messages that are to go, and forgets them.
func (n *Node) TakeMessages() []Envelope {
	out := n.outbox
	n.outbox = nil
	return out
}

// TakeChanges gives the changes of state since the last call, for the log; where there were very many, the first of them.
func (n *Node) TakeChanges() []Change {
	c := n.changes
	n.changes = nil
	return c
}

// ViewNumber is the View's.
func (n *Node) ViewNumber() uint64 { return n.viewNumber }

// View is what the node holds now.
func (n *Node) View() View {
	v := View{Number: n.viewNumber, Self: n.self.Name, Connectivity: n.connectivity, Members: make([]Member, 0, len(n.members)+1)}
	if n.conflict != nil && n.conflict.isYielding {
		v.Rival = n.conflict.Addr.String()
	}
	v.Members = append(v.Members, Member{n.self, n.startedAt})
	for _, m := range n.members {
		v.Members = append(v.Members, Member{m.Update, m.since})
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// HealthScore is how slow the node holds itself for, from 0 (well) up.
func (n *Node) HealthScore() int { return n.localHealth }

// Tick does what is due.
func (n *Node) Tick(now time.Duration) {
	n.detectPause(now)
	for _, seq := range slices.Sorted(maps.Keys(n.indirectProbes)) {
		if r := n.indirectProbes[seq]; now >= r.nackAt {
			delete(n.indirectProbes, seq)
			n.send(r.requester, &Message{Kind: Nack, Seq: r.requesterSeq})
		}
	}
	n.tickProbes(now)
	n.expireSuspicions(now)
	n.tickNameConflict(now)
	if now >= n.nextGossip && n.broadcasts.hasPending() && !n.isYielding() {
		n.nextGossip = now + n.options.ProbeEvery/gossipsPerProbeInterval
		for _, m := range n.randomPresent(gossipFanout, nil) {
			n.send(m.Addr, &Message{Kind: Gossip})
		}
	}
	if now >= n.nextRejoin {
		n.nextRejoin = now + n.options.ProbeEvery
		n.rejoin()
	}
	if now >= n.nextReap {
		n.nextReap = now + reapAfter/10
		n.reap(now)
	}
	n.updateConnectivity(now)
}

// detectPause notices that the process did not run when it should have: what did not come meanwhile says nothing of others.
func (n *Node) detectPause(now time.Duration) {
	late := now - n.expectedTick
	if late <= n.options.ProbeTimeout || n.options.DisableLocalHealth {
		return
	}
	n.expectedTick = now
	n.adjustLocalHealth(1)
	if len(n.probes) > 0 {
		clear(n.probes)
		n.nextProbe = now
	}
	for _, m := range n.suspects {
		m.suspicion.start += late
	}
	if n.nextSuspicionEnd != noDeadline {
		n.nextSuspicionEnd += late
	}
}

// adjustLocalHealth counts what shows that this node is slow, or not (below 0).
func (n *Node) adjustLocalHealth(by int) {
	if !n.options.DisableLocalHealth {
		n.localHealth = max(0, min(n.localHealth+by, maxLocalHealth))
	}
}

// scaleByLocalHealth is a time-out as the node's own health makes it.
func (n *Node) scaleByLocalHealth(d time.Duration) time.Duration {
	return d * time.Duration(n.localHealth+1)
}

// isYielding tells whether the node says nothing of its own: it gives way to an elder of its name.
func (n *Node) isYielding() bool { return n.conflict != nil && n.conflict.isYielding }

func (n *Node) tickProbes(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(n.probes)) { // in order, so that a seed gives the same play
		p := n.probes[seq]
		if now >= p.deadline {
			delete(n.probes, seq)
			n.probeFailed(now, p)
		} else if !p.indirectSent && now >= p.indirectAt {
			n.sendIndirectProbes(seq, p)
		}
	}
	if now < n.nextProbe {
		return
	}
	n.nextProbe = now + n.options.ProbeEvery // a slow node waits longer for answers, but asks as often
	if n.isYielding() || n.hasLeft || len(n.probes) > maxLocalHealth {
		return
	}
	m := n.nextProbeTarget()
	if m == nil {
		return
	}
	n.seq++
	n.probes[n.seq] = &probe{target: m, indirectAt: now + n.scaleByLocalHealth(n.options.ProbeTimeout), deadline: now + n.scaleByLocalHealth(n.options.ProbeEvery)}
	n.send(m.Addr, &Message{Kind: Ping, Seq: n.seq, Target: m.Peer})
}

// nextProbeTarget is the next member of the round, which is shuffled anew when it has been gone through.
func (n *Node) nextProbeTarget() *member {
	for len(n.urgentTargets) > 0 {
		m := n.urgentTargets[0]
		n.urgentTargets = n.urgentTargets[1:]
		if m.State == Suspect && n.members[m.Name] == m {
			return m
		}
	}
	if len(n.present) == 0 {
		return nil
	}
	if n.probeIndex >= len(n.present) {
		n.probeIndex = 0
		n.rng.Shuffle(len(n.present), func(i, j int) {
			n.present[i], n.present[j] = n.present[j], n.present[i]
			n.present[i].index, n.present[j].index = i, j
		})
	}
	m := n.present[n.probeIndex]
	n.probeIndex++
	return m
}

// sendIndirectProbes has others probe a member that has not answered in time.
func (n *Node) sendIndirectProbes(seq uint64, p *probe) {
	p.indirectSent = true
	helpers := n.randomPresent(indirectProbers, p.target)
	if via := p.target.lastHelper; via != nil && via.State.IsPresent() && via != p.target && len(helpers) > 0 && !slices.Contains(helpers, via) {
		helpers[0] = via
	}
	for _, m := range helpers {
		p.expectedNacks++
		n.send(m.Addr, &Message{Kind: PingReq, Seq: seq, Target: p.target.Peer})
	}
}

// probeFailed ends a probe without an answer. Helpers that said nothing speak against this node's own link.
func (n *Node) probeFailed(now time.Duration, p *probe) {
	if p.expectedNacks > 0 {
		n.adjustLocalHealth(p.expectedNacks - p.nacks)
	} else {
		n.adjustLocalHealth(1)
	}
	if n.members[p.target.Name] != p.target || !p.target.State.IsPresent() {
		return
	}
	u := p.target.Update
	u.State, u.By = Suspect, n.self.Name
	n.applyUpdate(now, u, false) // where others suspect it already, this node agrees
}

// randomPresent gives up to k members that are here, at random, without one.
func (n *Node) randomPresent(k int, but *member) []*member {
	out := make([]*member, 0, k)
	for tries := 0; len(out) < k && tries < 4*k && len(n.present) > 0; tries++ {
		if m := n.present[n.rng.IntN(len(n.present))]; m != but && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// send puts a message on its way, with news on its back.
func (n *Node) send(to netip.AddrPort, m *Message) {
	m.From, m.Digest, m.Quiet = n.self, n.digest, !n.broadcasts.hasPending()
	if m.Updates == nil && !n.isYielding() {
		m.Updates = n.broadcasts.collect(n.retransmitLimit(), n.buddyUpdates(m, to))
	}
	n.outbox = append(n.outbox, Envelope{To: to, Message: m})
}

// buddyUpdates is what the one who gets a message must hear of itself: that it is suspected, or called failed.
func (n *Node) buddyUpdates(m *Message, to netip.AddrPort) []Update {
	if n.options.DisableBuddySystem || m.Target.Name == "" || m.Kind != Ping {
		return nil
	}
	if held := n.members[m.Target.Name]; held != nil && held.State != Alive && held.Addr == to {
		return []Update{held.Update}
	}
	return nil
}

// HasContact tells whether anybody else of the fleet has been heard since the start.
func (n *Node) HasContact() bool { return n.hasContact }

// retransmitLimit is how often an update goes out from one node.
func (n *Node) retransmitLimit() int { return retransmitFactor * bits.Len(uint(len(n.present)+1)) / 2 }

// suspicionScale stretches suspicion with the fleet's size: the decimal logarithm, 1 at least.
func (n *Node) suspicionScale() float64 { return max(1, math.Log10(float64(len(n.present)+1))) }

// Leave says goodbye. What Out gives then should be sent; the node only answers from now on.
func (n *Node) Leave(now time.Duration) {
	n.hasLeft = true
	clear(n.probes)
	n.self.State = Left
	n.viewNumber++
	if n.isYielding() {
		return
	}
	n.spread(n.self)
	for _, m := range n.randomPresent(2*gossipFanout, nil) {
		n.send(m.Addr, &Message{Kind: Gossip})
	}
}

// rejoin calls at an address at which somebody of the fleet has been or should be and nobody is known to be: so cuts heal.
func (n *Node) rejoin() {
	if n.hasLeft || n.isYielding() {
		return
	}
	var at []netip.AddrPort
	if len(n.failed) > 0 {
		at = append(at, n.failed[n.rng.IntN(len(n.failed))].Addr)
	}
	for _, a := range n.options.Join {
		if a != n.self.Addr && n.presentAddrs[a] == 0 {
			at = append(at, a)
		}
	}
	if len(at) > 0 {
		n.seq++
		n.send(at[n.rng.IntN(len(at))], &Message{Kind: Ping, Seq: n.seq})
	}
}

// reap drops members that have been gone for long.
func (n *Node) reap(now time.Duration) {
	for name, m := range n.members {
		if m.State.IsPresent() || now-m.since < reapAfter {
			continue
		}
		if m.State == Failed {
			n.failed = removeMember(n.failed, m)
		}
		delete(n.members, name)
		n.viewNumber++
	}
}

// PresentCount is how many others are here, suspects among them; Suspects how many these are; Digest a number that is the same
// for all who hold the same members for here, in the same lives and incarnations.
func (n *Node) PresentCount() int { return len(n.present) }

// SuspectCount is told beside Others.
func (n *Node) SuspectCount() int { return len(n.suspects) }

// Digest is told beside Others.
func (n *Node) Digest() uint64 { return n.digest }

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
	since     time.Duration
	place     int // in Node.round while it is here, in Node.away while it is failed
	suspicion *suspicion
	via       *member // who reached it last when this node could not; nil: nobody
}

// probe is a question that is out.
type probe struct {
	target  *member
	asked   time.Duration // instant at which others are to be asked
	ends    time.Duration
	helpers int // that were asked and can say Nack
	nacks   int
	relayed bool
}

// relay is a question that is carried on for another.
type relay struct {
	to   netip.AddrPort
	seq  uint64 // of the one who asked
	name string // who is meant
	nack time.Duration
}

// Node is one daemon's detector. Instants that are handed in never go back. It is not safe for concurrent use.
type Node struct {
	o   Options
	rng *rand.Rand

	self    Update
	began   time.Duration // instant of New
	gone    bool          // Leave was called
	members map[string]*member
	round   []*member              // who is probed, shuffled: others that are here
	at      int                    // in round
	urgent  []*member              // suspects of others that are to be probed next; healthMost at most
	away    []*member              // others that are failed
	addrs   map[netip.AddrPort]int // members that are here, by address
	digest  uint64                 // of all that are here, this node included
	news    news

	seq      uint64
	probes   map[uint64]*probe // by Seq; a member is asked again only when its answer is overdue for good, so that healthMost+1 are out at most
	relays   map[uint64]*relay
	suspects map[string]*member
	health   int // 0: well; up to healthMost

	nextProbe, nextGossip, nextReturn, nextForget time.Duration
	nextSuspect                                   time.Duration // no suspicion ends before; never: there is none
	synced                                        time.Duration // instant of the last full exchange that was begun; 0: none
	due                                           time.Duration // when Tick was last wanted
	heard                                         bool          // somebody else has been heard since the start
	rival                                         *rival

	standing Connectivity
	better   time.Duration // instant since which a better standing has lasted; negative: none
	betterIs Connectivity
	number   uint64
	changes  []Change
	out      []Envelope
}

const never = time.Duration(math.MaxInt64)

// New makes a Node that begins at an instant. It goes to the addresses of Join with its first Tick.
func New(now time.Duration, o Options) *Node {
	o.fill()
	n := &Node{o: o, began: now, rng: rand.New(rand.NewPCG(o.Seed, o.Self.Run)), self: Update{Peer: o.Self, Incarnation: 1}, members: map[string]*member{},
		probes: map[uint64]*probe{}, relays: map[uint64]*relay{}, suspects: map[string]*member{}, addrs: map[netip.AddrPort]int{}, nextSuspect: never, better: -1, number: 1}
	n.news.init()
	n.digest = hash(&n.self)
	n.seq = n.rng.Uint64() >> 16 // an answer to an earlier life is none to this one
	n.nextProbe = now + time.Duration(n.rng.Int64N(int64(o.ProbeEvery)))
	n.nextGossip, n.nextReturn, n.nextForget = now, now, now+forgetAfter
	n.due = now
	n.tell(n.self)
	for _, u := range o.Known {
		if n.members[u.Name] == nil && u.Name != n.self.Name {
			n.add(now, u)
		}
	}
	if len(o.Known) > 0 { // that is no news, and the fleet has this node already
		n.news.init()
		n.changes, n.o.Known = nil, nil
	}
	n.stand(now)
	return n
}

func (o *Options) fill() {
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
	o.Self, o.Seed = n.o.Self, n.o.Seed
	o.fill()
	n.o = o
	n.nextProbe = min(n.nextProbe, now+o.ProbeEvery)
	n.stand(now)
}

// NextTick is the instant at which Tick is wanted.
func (n *Node) NextTick() time.Duration {
	next := min(n.nextProbe, n.nextReturn, n.nextForget, n.nextSuspect)
	if n.news.any() && !n.silent() {
		next = min(next, n.nextGossip)
	}
	for _, p := range n.probes {
		if !p.relayed {
			next = min(next, p.asked)
		}
		next = min(next, p.ends)
	}
	for _, r := range n.relays {
		next = min(next, r.nack)
	}
	if n.rival != nil {
		next = min(next, n.rival.next)
	}
	if n.better >= 0 {
		next = min(next, n.better+standingHold*n.o.ProbeEvery)
	}
	n.due = next
	return next
}

// TakeMessages gives the messages that are to go, and forgets them.
func (n *Node) TakeMessages() []Envelope {
	out := n.out
	n.out = nil
	return out
}

// TakeChanges gives the changes of state since the last call, for the log; where there were very many, the first of them.
func (n *Node) TakeChanges() []Change {
	c := n.changes
	n.changes = nil
	return c
}

// ViewNumber is the View's.
func (n *Node) ViewNumber() uint64 { return n.number }

// View is what the node holds now.
func (n *Node) View() View {
	v := View{Number: n.number, Self: n.self.Name, Connectivity: n.standing, Members: make([]Member, 0, len(n.members)+1)}
	if n.rival != nil && n.rival.yield {
		v.Rival = n.rival.Addr.String()
	}
	v.Members = append(v.Members, Member{n.self, n.began})
	for _, m := range n.members {
		v.Members = append(v.Members, Member{m.Update, m.since})
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// HealthScore is how slow the node holds itself for, from 0 (well) up.
func (n *Node) HealthScore() int { return n.health }

// Tick does what is due.
func (n *Node) Tick(now time.Duration) {
	n.awake(now)
	for _, seq := range slices.Sorted(maps.Keys(n.relays)) {
		if r := n.relays[seq]; now >= r.nack {
			delete(n.relays, seq)
			n.send(r.to, &Message{Kind: Nack, Seq: r.seq})
		}
	}
	n.tickProbe(now)
	n.tickSuspects(now)
	n.tickRival(now)
	if now >= n.nextGossip && n.news.any() && !n.silent() {
		n.nextGossip = now + n.o.ProbeEvery/gossipPart
		for _, m := range n.some(fanOut, nil) {
			n.send(m.Addr, &Message{Kind: Gossip})
		}
	}
	if now >= n.nextReturn {
		n.nextReturn = now + n.o.ProbeEvery
		n.goBack()
	}
	if now >= n.nextForget {
		n.nextForget = now + forgetAfter/10
		n.forget(now)
	}
	n.stand(now)
}

// awake notices that the process did not run when it should have: what did not come meanwhile says nothing of others.
func (n *Node) awake(now time.Duration) {
	late := now - n.due
	if late <= n.o.ProbeTimeout || n.o.DisableLocalHealth {
		return
	}
	n.due = now
	n.unwell(1)
	if len(n.probes) > 0 {
		clear(n.probes)
		n.nextProbe = now
	}
	for _, m := range n.suspects {
		m.suspicion.began += late
	}
	if n.nextSuspect != never {
		n.nextSuspect += late
	}
}

// unwell counts what shows that this node is slow, or not (below 0).
func (n *Node) unwell(by int) {
	if !n.o.DisableLocalHealth {
		n.health = max(0, min(n.health+by, healthMost))
	}
}

// stretched is a time-out as the node's own health makes it.
func (n *Node) stretched(d time.Duration) time.Duration { return d * time.Duration(n.health+1) }

// silent tells whether the node says nothing of its own: it gives way to an elder of its name.
func (n *Node) silent() bool { return n.rival != nil && n.rival.yield }

func (n *Node) tickProbe(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(n.probes)) { // in order, so that a seed gives the same play
		p := n.probes[seq]
		if now >= p.ends {
			delete(n.probes, seq)
			n.unanswered(now, p)
		} else if !p.relayed && now >= p.asked {
			n.askOthers(seq, p)
		}
	}
	if now < n.nextProbe {
		return
	}
	n.nextProbe = now + n.o.ProbeEvery // a slow node waits longer for answers, but asks as often
	if n.silent() || n.gone || len(n.probes) > healthMost {
		return
	}
	m := n.nextTarget()
	if m == nil {
		return
	}
	n.seq++
	n.probes[n.seq] = &probe{target: m, asked: now + n.stretched(n.o.ProbeTimeout), ends: now + n.stretched(n.o.ProbeEvery)}
	n.send(m.Addr, &Message{Kind: Ping, Seq: n.seq, Target: m.Peer})
}

// nextTarget is the next member of the round, which is shuffled anew when it has been gone through.
func (n *Node) nextTarget() *member {
	for len(n.urgent) > 0 {
		m := n.urgent[0]
		n.urgent = n.urgent[1:]
		if m.State == Suspect && n.members[m.Name] == m {
			return m
		}
	}
	if len(n.round) == 0 {
		return nil
	}
	if n.at >= len(n.round) {
		n.at = 0
		n.rng.Shuffle(len(n.round), func(i, j int) {
			n.round[i], n.round[j] = n.round[j], n.round[i]
			n.round[i].place, n.round[j].place = i, j
		})
	}
	m := n.round[n.at]
	n.at++
	return m
}

// askOthers has others probe a member that has not answered in time.
func (n *Node) askOthers(seq uint64, p *probe) {
	p.relayed = true
	helpers := n.some(indirect, p.target)
	if via := p.target.via; via != nil && via.State.IsPresent() && via != p.target && len(helpers) > 0 && !slices.Contains(helpers, via) {
		helpers[0] = via
	}
	for _, m := range helpers {
		p.helpers++
		n.send(m.Addr, &Message{Kind: PingReq, Seq: seq, Target: p.target.Peer})
	}
}

// unanswered ends a probe without an answer. Helpers that said nothing speak against this node's own link.
func (n *Node) unanswered(now time.Duration, p *probe) {
	if p.helpers > 0 {
		n.unwell(p.helpers - p.nacks)
	} else {
		n.unwell(1)
	}
	if n.members[p.target.Name] != p.target || !p.target.State.IsPresent() {
		return
	}
	u := p.target.Update
	u.State, u.By = Suspect, n.self.Name
	n.learn(now, u, false) // where others suspect it already, this node agrees
}

// some gives up to k members that are here, at random, without one.
func (n *Node) some(k int, but *member) []*member {
	out := make([]*member, 0, k)
	for tries := 0; len(out) < k && tries < 4*k && len(n.round) > 0; tries++ {
		if m := n.round[n.rng.IntN(len(n.round))]; m != but && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// send puts a message on its way, with news on its back.
func (n *Node) send(to netip.AddrPort, m *Message) {
	m.From, m.Digest, m.Quiet = n.self, n.digest, !n.news.any()
	if m.Updates == nil && !n.silent() {
		m.Updates = n.news.take(n.sends(), n.about(m, to))
	}
	n.out = append(n.out, Envelope{To: to, Message: m})
}

// about is what the one who gets a message must hear of itself: that it is suspected, or called failed.
func (n *Node) about(m *Message, to netip.AddrPort) []Update {
	if n.o.DisableBuddySystem || m.Target.Name == "" || m.Kind != Ping {
		return nil
	}
	if held := n.members[m.Target.Name]; held != nil && held.State != Alive && held.Addr == to {
		return []Update{held.Update}
	}
	return nil
}

// HasContact tells whether anybody else of the fleet has been heard since the start.
func (n *Node) HasContact() bool { return n.heard }

// sends is how often an update goes out from one node.
func (n *Node) sends() int { return sendsFactor * bits.Len(uint(len(n.round)+1)) / 2 }

// logSize stretches suspicion with the fleet's size: the decimal logarithm, 1 at least.
func (n *Node) logSize() float64 { return max(1, math.Log10(float64(len(n.round)+1))) }

// Leave says goodbye. What Out gives then should be sent; the node only answers from now on.
func (n *Node) Leave(now time.Duration) {
	n.gone = true
	clear(n.probes)
	n.self.State = Left
	n.number++
	if n.silent() {
		return
	}
	n.tell(n.self)
	for _, m := range n.some(2*fanOut, nil) {
		n.send(m.Addr, &Message{Kind: Gossip})
	}
}

// goBack calls at an address at which somebody of the fleet has been or should be and nobody is known to be: so cuts heal.
func (n *Node) goBack() {
	if n.gone || n.silent() {
		return
	}
	var at []netip.AddrPort
	if len(n.away) > 0 {
		at = append(at, n.away[n.rng.IntN(len(n.away))].Addr)
	}
	for _, a := range n.o.Join {
		if a != n.self.Addr && n.addrs[a] == 0 {
			at = append(at, a)
		}
	}
	if len(at) > 0 {
		n.seq++
		n.send(at[n.rng.IntN(len(at))], &Message{Kind: Ping, Seq: n.seq})
	}
}

// forget drops members that have been gone for long.
func (n *Node) forget(now time.Duration) {
	for name, m := range n.members {
		if m.State.IsPresent() || now-m.since < forgetAfter {
			continue
		}
		if m.State == Failed {
			n.away = takeOut(n.away, m)
		}
		delete(n.members, name)
		n.number++
	}
}

// PresentCount is how many others are here, suspects among them; Suspects how many these are; Digest a number that is the same
// for all who hold the same members for here, in the same lives and incarnations.
func (n *Node) PresentCount() int { return len(n.round) }

// SuspectCount is told beside Others.
func (n *Node) SuspectCount() int { return len(n.suspects) }

// Digest is told beside Others.
func (n *Node) Digest() uint64 { return n.digest }

package swim

import (
	"encoding/binary"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Receive takes a message. Whoever hands it in has made sure that it is of this fleet.
func (n *Node) Receive(now time.Duration, m *Message) {
	n.awake(now)
	if !m.valid() {
		return
	}
	if m.From.Name == n.self.Name && m.From.Run == n.self.Run {
		return // an echo
	}
	n.heard = true
	held := n.members[m.From.Name]
	apart := held == nil || !held.State.IsPresent()
	n.learn(now, m.From, false)
	exchange := m.Kind == Sync || m.Kind == SyncReply
	for _, u := range m.Updates {
		n.learn(now, u, exchange)
	}
	switch m.Kind {
	case Ping:
		n.receivePing(m)
	case PingReq:
		n.receivePingReq(now, m)
	case Ack:
		n.receiveAck(now, m)
		n.compare(now, m, apart)
	case Nack:
		if p := n.probes[m.Seq]; p != nil {
			p.nacks = min(p.nacks+1, p.helpers)
		}
	case Sync:
		n.stream(m.From, SyncReply)
	}
	n.stand(now)
}

// valid tells whether a message can be acted on.
func (m *Message) valid() bool {
	if !m.Kind.Valid() || !m.From.valid() || m.From.Name == "" {
		return false
	}
	for i := range m.Updates {
		if u := &m.Updates[i]; !u.valid() || u.Name == "" {
			return false
		}
	}
	return m.Target.Name == "" || len(m.Target.Name) <= MaxNameBytes
}

func (u *Update) valid() bool {
	return u.State.Valid() && len(u.Name) <= MaxNameBytes && len(u.By) <= MaxNameBytes && u.Addr.IsValid() && u.Incarnation > 0 && u.Incarnation < 1<<62
}

// receivePing answers, unless another is meant who had this address before.
func (n *Node) receivePing(m *Message) {
	if m.Target.Name != "" && m.Target.Name != n.self.Name {
		n.send(m.From.Addr, &Message{Kind: Gossip}) // so that the other hears who is here
		return
	}
	answer := &Message{Kind: Ack, Seq: m.Seq}
	if held := n.members[m.From.Name]; held != nil && held.State != Alive && !n.silent() { // it must hear of that to refute
		answer.Updates = n.news.take(n.sends(), []Update{held.Update})
	}
	n.send(m.From.Addr, answer)
}

// receivePingReq probes for another, who hears soon that there is no answer yet: this node is well.
func (n *Node) receivePingReq(now time.Duration, m *Message) {
	if m.Target.Name == "" || !m.Target.Addr.IsValid() || len(n.relays) >= mostRelays {
		return
	}
	n.seq++
	n.relays[n.seq] = &relay{to: m.From.Addr, seq: m.Seq, name: m.Target.Name, nack: now + n.o.ProbeTimeout}
	n.send(m.Target.Addr, &Message{Kind: Ping, Seq: n.seq, Target: m.Target})
}

func (n *Node) receiveAck(now time.Duration, m *Message) {
	if r := n.rival; r != nil && m.Seq == r.seq && m.From.Run == r.Run {
		n.rivalAnswers(now)
		return
	}
	if r := n.relays[m.Seq]; r != nil && m.From.Name == r.name {
		delete(n.relays, m.Seq)
		n.send(r.to, &Message{Kind: Ack, Seq: r.seq, Target: m.From.Peer})
		return
	}
	if p := n.probes[m.Seq]; p != nil && (m.From.Name == p.target.Name || m.Target.Name == p.target.Name) {
		delete(n.probes, m.Seq)
		n.unwell(-1)
		if m.From.Name != p.target.Name {
			p.target.via = n.members[m.From.Name]
		}
	}
}

// compare begins a full exchange where two views that have settled differ, at most so often that what a node sends does
// not grow with the fleet. apart: the other was not counted on before this message.
func (n *Node) compare(now time.Duration, m *Message, apart bool) {
	if m.Digest == n.digest || n.silent() || n.gone || !apart && (!m.Quiet || n.news.any()) {
		return
	}
	every := n.o.ProbeEvery
	if size := len(n.round) / syncSize; size > 0 {
		every *= time.Duration(size)
	}
	if n.synced != 0 && now-n.synced < every {
		return
	}
	n.synced = now
	n.stream(m.From, Sync)
}

// stream sends all that the node holds.
func (n *Node) stream(to Update, k Kind) {
	all := make([]Update, 0, len(n.members)+1)
	if !n.silent() {
		for _, name := range slices.Sorted(maps.Keys(n.members)) {
			all = append(all, n.members[name].Update)
		}
	}
	n.out = append(n.out, Envelope{To: to.Addr, Stream: true, Message: &Message{Kind: k, From: n.self, Digest: n.digest, Quiet: !n.news.any(), Updates: all}})
}

// learn takes up what somebody says of a member. In an exchange of views that one has failed is old news, perhaps from
// the other side of a cut: it is suspected, and can say otherwise.
func (n *Node) learn(now time.Duration, u Update, exchange bool) {
	if u.Name == n.self.Name {
		n.ofSelf(now, u)
		return
	}
	m := n.members[u.Name]
	if m == nil {
		if u.State.IsPresent() && len(n.members) < MaxMembers-1 {
			n.add(now, u)
		}
		return
	}
	if u.State == Suspect && m.State == Suspect && u.Run == m.Run && u.Incarnation == m.Incarnation {
		if m.suspicion.confirm(u.By) {
			n.nextSuspect = min(n.nextSuspect, m.suspicion.ends())
			n.tell(u)
		}
		return
	}
	if exchange && u.State == Failed && m.State.IsPresent() {
		u.State, u.By = Suspect, n.self.Name
	}
	if !u.overrides(&m.Update) {
		return
	}
	if u.State == Suspect {
		n.suspect(now, u)
		return
	}
	n.become(now, m, u)
}

// add takes up a member that was not known.
func (n *Node) add(now time.Duration, u Update) {
	was := u
	was.State, was.By = Alive, ""
	m := &member{Update: was, since: now}
	n.members[u.Name] = m
	n.count(m)
	n.enter(m)
	n.number++
	n.note(Change{Name: u.Name, Addr: u.Addr, Is: Alive, New: true, Incarnation: u.Incarnation})
	n.tell(was)
	if u.State == Suspect {
		n.suspect(now, u)
	}
}

// suspect begins a suspicion of a member that is here.
func (n *Node) suspect(now time.Duration, u Update) {
	m := n.members[u.Name]
	if !m.State.IsPresent() || m.State == Suspect && m.Incarnation == u.Incarnation {
		return
	}
	n.become(now, m, u)
	least := time.Duration(float64(n.o.Suspicion) * n.logSize())
	s := &suspicion{began: now, least: least, most: suspicionMost * least, expected: min(confirmations, max(len(n.round)-2, 0)), by: []string{u.By}}
	if n.o.DisableSuspicionShrink {
		s.most = least
	}
	m.suspicion = s
	n.suspects[m.Name] = m
	// Some look for themselves, at once: else a member of a large fleet is probed by about one other in a ProbeEvery, and
	// agreement takes as many of these as there must be who agree.
	if !n.o.DisableSuspicionShrink && u.By != n.self.Name && len(n.urgent) < healthMost && n.rng.Float64()*float64(len(n.round)) < verifiers {
		n.urgent = append(n.urgent, m)
		n.nextProbe = now
	}
	n.nextSuspect = min(n.nextSuspect, s.ends())
}

// become takes a member to a state that overrides the one it has.
func (n *Node) become(now time.Duration, m *member, u Update) {
	was := m.Update
	m.suspicion = nil
	delete(n.suspects, m.Name)
	if was.State.IsPresent() {
		n.uncount(m)
	}
	if u.State != was.State || u.Run != was.Run {
		m.since = now
	}
	m.Update = u
	if u.State.IsPresent() {
		n.count(m)
	}
	n.place(m, was.State)
	if u.State != was.State {
		n.note(Change{Name: u.Name, Addr: u.Addr, Was: was.State, Is: u.State, Incarnation: u.Incarnation})
	}
	n.number++
	n.tell(u)
}

// place moves a member between the lists, where its state wants it.
func (n *Node) place(m *member, was State) {
	switch {
	case was.IsPresent() == m.State.IsPresent() && was.IsPresent():
		return
	case was.IsPresent():
		n.exit(m)
	case was == Failed:
		n.away = takeOut(n.away, m)
	}
	switch {
	case m.State.IsPresent():
		n.enter(m)
	case m.State == Failed:
		m.place = len(n.away)
		n.away = append(n.away, m)
	}
}

// count takes a member that is here into what is known of all of them.
func (n *Node) count(m *member) {
	n.digest ^= hash(&m.Update)
	n.addrs[m.Addr]++
}

func (n *Node) uncount(m *member) {
	n.digest ^= hash(&m.Update)
	if n.addrs[m.Addr]--; n.addrs[m.Addr] == 0 {
		delete(n.addrs, m.Addr)
	}
}

// enter puts a member at a random place of what is left of the round.
func (n *Node) enter(m *member) {
	m.place = len(n.round)
	n.round = append(n.round, m)
	from := min(n.at, m.place)
	swap(n.round, from+n.rng.IntN(len(n.round)-from), m.place)
}

// exit undoes enter. What was probed in this round stays in front.
func (n *Node) exit(m *member) {
	if m.place < n.at {
		n.at--
		swap(n.round, m.place, n.at)
	}
	n.round = takeOut(n.round, m)
}

// takeOut takes a member out of a list in which its place is m.place.
func takeOut(list []*member, m *member) []*member {
	last := len(list) - 1
	swap(list, m.place, last)
	list[last] = nil
	return list[:last]
}

func swap(list []*member, i, j int) {
	list[i], list[j] = list[j], list[i]
	list[i].place, list[j].place = i, j
}

func (n *Node) tell(u Update) { n.news.put(u) }

func (n *Node) note(c Change) {
	if len(n.changes) < mostChanges {
		n.changes = append(n.changes, c)
	}
}

// hash is a member's part in the digest of who is here. Suspicion is left out: it passes.
func hash(u *Update) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], u.Run)
	binary.LittleEndian.PutUint64(b[8:], u.Incarnation)
	return xxhash.Sum64String(u.Name) ^ bits.RotateLeft64(xxhash.Sum64(b[:]), 17)
}

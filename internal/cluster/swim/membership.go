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
	n.detectPause(now)
	if !m.isValid() {
		return
	}
	if m.From.Name == n.self.Name && m.From.Run == n.self.Run {
		return // an echo
	}
	n.hasContact = true
	held := n.members[m.From.Name]
	apart := held == nil || !held.State.IsPresent()
	n.applyUpdate(now, m.From, false)
	exchange := m.Kind == Sync || m.Kind == SyncReply
	for _, u := range m.Updates {
		n.applyUpdate(now, u, exchange)
	}
	switch m.Kind {
	case Ping:
		n.receivePing(m)
	case PingReq:
		n.receivePingReq(now, m)
	case Ack:
		n.receiveAck(now, m)
		n.syncIfViewsDiffer(now, m, apart)
	case Nack:
		if p := n.probes[m.Seq]; p != nil {
			p.nacks = min(p.nacks+1, p.expectedNacks)
		}
	case Sync:
		n.sendFullState(m.From, SyncReply)
	}
	n.updateConnectivity(now)
}

// isValid tells whether a message can be acted on.
func (m *Message) isValid() bool {
	if !m.Kind.Valid() || !m.From.isValid() || m.From.Name == "" {
		return false
	}
	for i := range m.Updates {
		if u := &m.Updates[i]; !u.isValid() || u.Name == "" {
			return false
		}
	}
	return m.Target.Name == "" || len(m.Target.Name) <= MaxNameBytes
}

func (u *Update) isValid() bool {
	return u.State.Valid() && len(u.Name) <= MaxNameBytes && len(u.By) <= MaxNameBytes && u.Addr.IsValid() && u.Incarnation > 0 && u.Incarnation < 1<<62
}

// receivePing answers, unless another is meant who had this address before.
func (n *Node) receivePing(m *Message) {
	if m.Target.Name != "" && m.Target.Name != n.self.Name {
		n.send(m.From.Addr, &Message{Kind: Gossip}) // so that the other hears who is here
		return
	}
	answer := &Message{Kind: Ack, Seq: m.Seq}
	if held := n.members[m.From.Name]; held != nil && held.State != Alive && !n.isYielding() { // it must hear of that to refute
		answer.Updates = n.broadcasts.collect(n.retransmitLimit(), []Update{held.Update})
	}
	n.send(m.From.Addr, answer)
}

// receivePingReq probes for another, who hears soon that there is no answer yet: this node is well.
func (n *Node) receivePingReq(now time.Duration, m *Message) {
	if m.Target.Name == "" || !m.Target.Addr.IsValid() || len(n.indirectProbes) >= maxIndirectProbes {
		return
	}
	n.seq++
	n.indirectProbes[n.seq] = &indirectProbe{requester: m.From.Addr, requesterSeq: m.Seq, target: m.Target.Name, nackAt: now + n.options.ProbeTimeout}
	n.send(m.Target.Addr, &Message{Kind: Ping, Seq: n.seq, Target: m.Target})
}

func (n *Node) receiveAck(now time.Duration, m *Message) {
	if r := n.conflict; r != nil && m.Seq == r.seq && m.From.Run == r.Run {
		n.receiveConflictAck(now)
		return
	}
	if r := n.indirectProbes[m.Seq]; r != nil && m.From.Name == r.target {
		delete(n.indirectProbes, m.Seq)
		n.send(r.requester, &Message{Kind: Ack, Seq: r.requesterSeq, Target: m.From.Peer})
		return
	}
	if p := n.probes[m.Seq]; p != nil && (m.From.Name == p.target.Name || m.Target.Name == p.target.Name) {
		delete(n.probes, m.Seq)
		n.adjustLocalHealth(-1)
		if m.From.Name != p.target.Name {
			p.target.lastHelper = n.members[m.From.Name]
		}
	}
}

// syncIfViewsDiffer begins a full exchange where two views that have settled differ, at most so often that what a node sends does
// not grow with the fleet. apart: the other was not counted on before this message.
func (n *Node) syncIfViewsDiffer(now time.Duration, m *Message, apart bool) {
	if m.Digest == n.digest || n.isYielding() || n.hasLeft || !apart && (!m.Quiet || n.broadcasts.hasPending()) {
		return
	}
	every := n.options.ProbeEvery
	if size := len(n.present) / membersPerSyncInterval; size > 0 {
		every *= time.Duration(size)
	}
	if n.lastSync != 0 && now-n.lastSync < every {
		return
	}
	n.lastSync = now
	n.sendFullState(m.From, Sync)
}

// sendFullState sends all that the node holds.
func (n *Node) sendFullState(to Update, k Kind) {
	all := make([]Update, 0, len(n.members)+1)
	if !n.isYielding() {
		for _, name := range slices.Sorted(maps.Keys(n.members)) {
			all = append(all, n.members[name].Update)
		}
	}
	n.outbox = append(n.outbox, Envelope{To: to.Addr, Stream: true, Message: &Message{Kind: k, From: n.self, Digest: n.digest, Quiet: !n.broadcasts.hasPending(), Updates: all}})
}

// applyUpdate takes up what somebody says of a member. In an exchange of views that one has failed is old news, perhaps from
// the other side of a cut: it is suspected, and can say otherwise.
func (n *Node) applyUpdate(now time.Duration, u Update, exchange bool) {
	if u.Name == n.self.Name {
		n.applyUpdateOfSelf(now, u)
		return
	}
	m := n.members[u.Name]
	if m == nil {
		if u.State.IsPresent() && len(n.members) < MaxMembers-1 {
			n.addMember(now, u)
		}
		return
	}
	if u.State == Suspect && m.State == Suspect && u.Run == m.Run && u.Incarnation == m.Incarnation {
		if m.suspicion.confirm(u.By) {
			n.nextSuspicionEnd = min(n.nextSuspicionEnd, m.suspicion.deadline())
			n.spread(u)
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
		n.startSuspicion(now, u)
		return
	}
	n.changeState(now, m, u)
}

// addMember takes up a member that was not known.
func (n *Node) addMember(now time.Duration, u Update) {
	was := u
	was.State, was.By = Alive, ""
	m := &member{Update: was, since: now}
	n.members[u.Name] = m
	n.addToDigest(m)
	n.insertPresent(m)
	n.viewNumber++
	n.recordChange(Change{Name: u.Name, Addr: u.Addr, Is: Alive, New: true, Incarnation: u.Incarnation})
	n.spread(was)
	if u.State == Suspect {
		n.startSuspicion(now, u)
	}
}

// startSuspicion begins a suspicion of a member that is here.
func (n *Node) startSuspicion(now time.Duration, u Update) {
	m := n.members[u.Name]
	if !m.State.IsPresent() || m.State == Suspect && m.Incarnation == u.Incarnation {
		return
	}
	n.changeState(now, m, u)
	least := time.Duration(float64(n.options.Suspicion) * n.suspicionScale())
	s := &suspicion{start: now, minTimeout: least, maxTimeout: maxSuspicionMultiplier * least, expectedConfirmations: min(neededConfirmations, max(len(n.present)-2, 0)), suspectedBy: []string{u.By}}
	if n.options.DisableSuspicionShrink {
		s.maxTimeout = least
	}
	m.suspicion = s
	n.suspects[m.Name] = m
	// Some look for themselves, at once: else a member of a large fleet is probed by about one other in a ProbeEvery, and
	// agreement takes as many of these as there must be who agree.
	if !n.options.DisableSuspicionShrink && u.By != n.self.Name && len(n.urgentTargets) < maxLocalHealth && n.rng.Float64()*float64(len(n.present)) < expectedVerifiers {
		n.urgentTargets = append(n.urgentTargets, m)
		n.nextProbe = now
	}
	n.nextSuspicionEnd = min(n.nextSuspicionEnd, s.deadline())
}

// changeState takes a member to a state that overrides the one it has.
func (n *Node) changeState(now time.Duration, m *member, u Update) {
	was := m.Update
	m.suspicion = nil
	delete(n.suspects, m.Name)
	if was.State.IsPresent() {
		n.removeFromDigest(m)
	}
	if u.State != was.State || u.Run != was.Run {
		m.since = now
	}
	m.Update = u
	if u.State.IsPresent() {
		n.addToDigest(m)
	}
	n.moveBetweenLists(m, was.State)
	if u.State != was.State {
		n.recordChange(Change{Name: u.Name, Addr: u.Addr, Was: was.State, Is: u.State, Incarnation: u.Incarnation})
	}
	n.viewNumber++
	n.spread(u)
}

// moveBetweenLists moves a member between the lists, where its state wants it.
func (n *Node) moveBetweenLists(m *member, was State) {
	switch {
	case was.IsPresent() == m.State.IsPresent() && was.IsPresent():
		return
	case was.IsPresent():
		n.removePresent(m)
	case was == Failed:
		n.failed = removeMember(n.failed, m)
	}
	switch {
	case m.State.IsPresent():
		n.insertPresent(m)
	case m.State == Failed:
		m.index = len(n.failed)
		n.failed = append(n.failed, m)
	}
}

// addToDigest takes a member that is here into what is known of all of them.
func (n *Node) addToDigest(m *member) {
	n.digest ^= updateDigest(&m.Update)
	n.presentAddrs[m.Addr]++
}

func (n *Node) removeFromDigest(m *member) {
	n.digest ^= updateDigest(&m.Update)
	if n.presentAddrs[m.Addr]--; n.presentAddrs[m.Addr] == 0 {
		delete(n.presentAddrs, m.Addr)
	}
}

// insertPresent puts a member at a random place of what is left of the round.
func (n *Node) insertPresent(m *member) {
	m.index = len(n.present)
	n.present = append(n.present, m)
	from := min(n.probeIndex, m.index)
	swapMembers(n.present, from+n.rng.IntN(len(n.present)-from), m.index)
}

// removePresent undoes enter. What was probed in this round stays in front.
func (n *Node) removePresent(m *member) {
	if m.index < n.probeIndex {
		n.probeIndex--
		swapMembers(n.present, m.index, n.probeIndex)
	}
	n.present = removeMember(n.present, m)
}

// removeMember takes a member out of a list in which its place is m.place.
func removeMember(list []*member, m *member) []*member {
	last := len(list) - 1
	swapMembers(list, m.index, last)
	list[last] = nil
	return list[:last]
}

func swapMembers(list []*member, i, j int) {
	list[i], list[j] = list[j], list[i]
	list[i].index, list[j].index = i, j
}

func (n *Node) spread(u Update) { n.broadcasts.enqueue(u) }

func (n *Node) recordChange(c Change) {
	if len(n.changes) < maxPendingChanges {
		n.changes = append(n.changes, c)
	}
}

// updateDigest is a member's part in the digest of who is here. Suspicion is left out: it passes.
func updateDigest(u *Update) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], u.Run)
	binary.LittleEndian.PutUint64(b[8:], u.Incarnation)
	return xxhash.Sum64String(u.Name) ^ bits.RotateLeft64(xxhash.Sum64(b[:]), 17)
}

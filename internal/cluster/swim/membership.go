package swim

import (
	"slices"
	"time"
)

const (
	// MaxMembers is the maximum number of members that a node knows, itself included.
	MaxMembers = 10_000

	// reapAfter is the time after which a member that failed or left is removed from the membership table.
	reapAfter = 10 * time.Minute
)

// member is an entry of the membership table: the latest update about another member, and this node's own state for it.
type member struct {
	Update
	stateSince         time.Duration // instant, by the clock of this node's caller, at which this node learned that the member had entered its state
	index              int           // the member's index in the list Node.present or Node.failed that contains it; unused if neither does
	suspicion          *suspicion    // pending suspicion of the member; nil unless its state is Suspect
	lastIndirectProber *member       // member that, at this node's request, last got a response from this member; nil: none
}

// PresentCount returns the number of other members that are alive or suspect.
func (n *Node) PresentCount() int { return len(n.present) }

// SuspectCount returns the number of members that are suspect.
func (n *Node) SuspectCount() int { return len(n.suspects) }

// Digest returns a hash of the names, generations and incarnations of this node and of all members that are alive or suspect.
// Nodes that know the same such members have the same digest.
func (n *Node) Digest() uint64 { return n.digest }

// applyUpdate applies an update about a member, if the update overrides the latest one that this node knows about that member.
// isFullState means that the update comes from a full state exchange. A failure that such an update reports may be old or from
// the other side of a network partition. Therefore the member becomes suspect instead of failed, and can refute the suspicion.
func (n *Node) applyUpdate(now time.Duration, u Update, isFullState bool) {
	if u.Name == n.self.Name {
		n.applyUpdateAboutSelf(now, u)
		return
	}
	m := n.members[u.Name]
	if m == nil {
		if u.State.IsPresent() && len(n.members) < MaxMembers-1 {
			n.addMember(now, u)
		}
		return
	}
	if u.State == Suspect && m.State == Suspect && u.Generation == m.Generation && u.Incarnation == m.Incarnation {
		n.confirmSuspicion(m, u)
		return
	}
	if isFullState && u.State == Failed && m.State.IsPresent() {
		u.State, u.SuspectedBy = Suspect, n.self.Name
	}
	if !u.overrides(&m.Update) {
		return
	}
	if u.State == Suspect {
		n.startSuspicion(now, m, u)
		return
	}
	n.changeState(now, m, u)
}

// addMember adds the member of the update u, which was unknown so far. The member is added as alive, and its state is then
// changed to suspect if u asserts that it is suspect.
func (n *Node) addMember(now time.Duration, u Update) {
	alive := u
	alive.State, alive.SuspectedBy = Alive, ""
	m := &member{Update: alive, stateSince: now}
	n.members[u.Name] = m
	n.addToDigestAndAddrs(m)
	n.insertPresent(m)
	n.viewNumber++
	n.recordChange(Change{Name: u.Name, Addr: u.Addr, To: Alive, IsNew: true, Incarnation: u.Incarnation})
	n.broadcasts.enqueue(alive)
	if u.State == Suspect {
		n.startSuspicion(now, m, u)
	}
}

// changeState replaces the latest update about a member by u, which must override it, and gossips u.
func (n *Node) changeState(now time.Duration, m *member, u Update) {
	previous := m.Update
	m.suspicion = nil
	delete(n.suspects, m.Name)
	if previous.State.IsPresent() {
		n.removeFromDigestAndAddrs(m)
	}
	if u.State != previous.State || u.Generation != previous.Generation {
		m.stateSince = now
	}
	m.Update = u
	if u.State.IsPresent() {
		n.addToDigestAndAddrs(m)
	}
	n.moveBetweenLists(m, previous.State)
	if u.State != previous.State {
		n.recordChange(Change{Name: u.Name, Addr: u.Addr, From: previous.State, To: u.State, Incarnation: u.Incarnation})
	}
	n.viewNumber++
	n.broadcasts.enqueue(u)
}

// reap removes the members that failed or left at least reapAfter ago.
func (n *Node) reap(now time.Duration) {
	for name, m := range n.members {
		if m.State.IsPresent() || now-m.stateSince < reapAfter {
			continue
		}
		if m.State == Failed {
			n.failed = removeMember(n.failed, m)
		}
		delete(n.members, name)
		n.viewNumber++
	}
}

// addToDigestAndAddrs adds a present member to Node.digest and to Node.presentAddrs.
func (n *Node) addToDigestAndAddrs(m *member) {
	n.digest ^= m.digest()
	n.presentAddrs[m.Addr]++
}

// removeFromDigestAndAddrs undoes addToDigestAndAddrs for a member. It must be called before member.Update changes, since the
// digest and the address come from it.
func (n *Node) removeFromDigestAndAddrs(m *member) {
	n.digest ^= m.digest()
	if n.presentAddrs[m.Addr]--; n.presentAddrs[m.Addr] == 0 {
		delete(n.presentAddrs, m.Addr)
	}
}

// moveBetweenLists moves a member from the list for its previous state to the list for its current state: Node.present,
// Node.failed, or no list for a member that has left.
func (n *Node) moveBetweenLists(m *member, previous State) {
	switch {
	case previous.IsPresent() && m.State.IsPresent():
		return
	case previous.IsPresent():
		n.removePresent(m)
	case previous == Failed:
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

// insertPresent adds a member to Node.present, at a random position among the members that are still to be probed in the
// current probe round.
func (n *Node) insertPresent(m *member) {
	m.index = len(n.present)
	n.present = append(n.present, m)
	firstIndex := min(n.probeIndex, m.index)
	swapMembers(n.present, firstIndex+n.rng.IntN(len(n.present)-firstIndex), m.index)
}

// removePresent removes a member from Node.present. It keeps the other members that were already probed in the current probe
// round at indexes below probeIndex, so that each member is probed once in a round.
func (n *Node) removePresent(m *member) {
	if m.index < n.probeIndex {
		n.probeIndex--
		swapMembers(n.present, m.index, n.probeIndex)
	}
	n.present = removeMember(n.present, m)
}

// randomPresent returns at most count different random members that are alive or suspect, without the member excluded.
func (n *Node) randomPresent(count int, excluded *member) []*member {
	chosen := make([]*member, 0, count)
	for draws := 0; len(chosen) < count && draws < 4*count && len(n.present) > 0; draws++ {
		if m := n.present[n.rng.IntN(len(n.present))]; m != excluded && !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// removeMember removes the member at m.index from a list, and moves the last member of the list to that position.
func removeMember(list []*member, m *member) []*member {
	last := len(list) - 1
	swapMembers(list, m.index, last)
	list[last] = nil
	return list[:last]
}

// swapMembers swaps two members of a list and updates their index fields.
func swapMembers(list []*member, i, j int) {
	list[i], list[j] = list[j], list[i]
	list[i].index, list[j].index = i, j
}

package swim

import (
	"slices"
	"time"
)

const (
	// MaxMembers bounds the membership table, this node included.
	MaxMembers = 10_000

	// reapAfter is the time for which a member that failed or left is remembered.
	reapAfter = 10 * time.Minute
)

// member is an entry of the membership table.
type member struct {
	Update
	stateSince         time.Duration // instant at which this node took up the state
	index              int           // in Node.present while it is present, in Node.failed while it is failed
	suspicion          *suspicion    // while it is suspect
	lastIndirectProber *member       // who reached it last when this node could not; nil: nobody
}

// PresentCount returns the number of other members that are present, suspects included.
func (n *Node) PresentCount() int { return len(n.present) }

// SuspectCount returns the number of members that are suspect.
func (n *Node) SuspectCount() int { return len(n.suspects) }

// Digest returns a number that is the same for all nodes that hold the same processes for present, in the same
// incarnations.
func (n *Node) Digest() uint64 { return n.digest }

// applyUpdate takes up a statement about a member. In an exchange of full states, isExchange, a failure is old and perhaps
// from the other side of a partition: the member becomes suspect instead, so that it can refute.
func (n *Node) applyUpdate(now time.Duration, u Update, isExchange bool) {
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
	if isExchange && u.State == Failed && m.State.IsPresent() {
		u.State, u.By = Suspect, n.self.Name
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

// addMember adds a member that was not known: as alive, and then as suspect where the update says so.
func (n *Node) addMember(now time.Duration, u Update) {
	alive := u
	alive.State, alive.By = Alive, ""
	m := &member{Update: alive, stateSince: now}
	n.members[u.Name] = m
	n.countPresent(m)
	n.insertPresent(m)
	n.viewNumber++
	n.recordChange(Change{Name: u.Name, Addr: u.Addr, To: Alive, IsNew: true, Incarnation: u.Incarnation})
	n.broadcasts.enqueue(alive)
	if u.State == Suspect {
		n.startSuspicion(now, m, u)
	}
}

// changeState replaces what is held of a member by an update that overrides it, and gossips that.
func (n *Node) changeState(now time.Duration, m *member, u Update) {
	was := m.Update
	m.suspicion = nil
	delete(n.suspects, m.Name)
	if was.State.IsPresent() {
		n.uncountPresent(m)
	}
	if u.State != was.State || u.Generation != was.Generation {
		m.stateSince = now
	}
	m.Update = u
	if u.State.IsPresent() {
		n.countPresent(m)
	}
	n.moveBetweenLists(m, was.State)
	if u.State != was.State {
		n.recordChange(Change{Name: u.Name, Addr: u.Addr, From: was.State, To: u.State, Incarnation: u.Incarnation})
	}
	n.viewNumber++
	n.broadcasts.enqueue(u)
}

// reap drops members that failed or left long ago.
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

// countPresent adds a present member to the digest and its address to those in use.
func (n *Node) countPresent(m *member) {
	n.digest ^= m.digest()
	n.presentAddrs[m.Addr]++
}

// uncountPresent undoes countPresent. The member's update must be the same as then.
func (n *Node) uncountPresent(m *member) {
	n.digest ^= m.digest()
	if n.presentAddrs[m.Addr]--; n.presentAddrs[m.Addr] == 0 {
		delete(n.presentAddrs, m.Addr)
	}
}

// moveBetweenLists moves a member whose state was another to the list of its state now.
func (n *Node) moveBetweenLists(m *member, was State) {
	switch {
	case was.IsPresent() && m.State.IsPresent():
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

// insertPresent puts a member at a random place in the rest of the probe round.
func (n *Node) insertPresent(m *member) {
	m.index = len(n.present)
	n.present = append(n.present, m)
	from := min(n.probeIndex, m.index)
	swapMembers(n.present, from+n.rng.IntN(len(n.present)-from), m.index)
}

// removePresent undoes insertPresent. Members that were probed in this round stay before probeIndex.
func (n *Node) removePresent(m *member) {
	if m.index < n.probeIndex {
		n.probeIndex--
		swapMembers(n.present, m.index, n.probeIndex)
	}
	n.present = removeMember(n.present, m)
}

// randomPresent returns up to count distinct present members at random, without excluded.
func (n *Node) randomPresent(count int, excluded *member) []*member {
	out := make([]*member, 0, count)
	for attempts := 0; len(out) < count && attempts < 4*count && len(n.present) > 0; attempts++ {
		if m := n.present[n.rng.IntN(len(n.present))]; m != excluded && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// removeMember removes a member from the list in which its place is m.index. The last member takes its place.
func removeMember(list []*member, m *member) []*member {
	last := len(list) - 1
	swapMembers(list, m.index, last)
	list[last] = nil
	return list[:last]
}

// swapMembers swaps two members of a list and keeps their indices right.
func swapMembers(list []*member, i, j int) {
	list[i], list[j] = list[j], list[i]
	list[i].index, list[j].index = i, j
}

package swim

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// connectivityHoldIntervals is the number of ProbeIntervals for which an improvement of a node's Connectivity must last before
	// the node's View reports it.
	connectivityHoldIntervals = 2

	// maxPendingChanges is the maximum number of member state changes that a node keeps until the next call of TakeChanges.
	maxPendingChanges = 1024
)

// Connectivity is a node's estimate of how much of the cluster it can reach. A greater value is better.
type Connectivity uint8

// The levels of Connectivity, from worst to best. A node that is a voter counts itself as alive.
const (
	CutOff          Connectivity = iota // fewer than half of the voters are alive or suspect, or the node has left, or an older process with its name keeps it out of the cluster
	PartlyConnected                     // at least half of the voters are alive or suspect, but another voter is not, or some member has failed
	FullyConnected                      // all voters are alive or suspect and no member has failed
)

// connectivityNames contains the name of each level of Connectivity, which operators read.
var connectivityNames = [...]string{CutOff: "cut-off", PartlyConnected: "partial", FullyConnected: "whole"}

// String returns the name of the level of connectivity as operators read it.
func (c Connectivity) String() string { return connectivityNames[c] }

// Member is a member of the cluster in a View, with the latest update about it that the node knows.
type Member struct {
	Update
	StateSince time.Duration // instant at which this node learned that the member had entered its state
}

// View is the membership of the cluster as one node knows it at an instant. It is an estimate: see the package comment.
type View struct {
	Number       uint64       // number of the view, which grows with every change of the view while the process runs
	Self         string       // name of the node whose view this is
	Connectivity Connectivity // node's estimate of how much of the cluster it can reach
	ElderAddr    string       // address of an older process with this node's name, for which the node stays out of the cluster; empty: none
	Members      []Member     // all known members, sorted by name, the node itself included
}

// Change is a member's transition from one state to another, which the transport logs.
type Change struct {
	Name        string         // name of the member that changed
	Addr        netip.AddrPort // address of the member after the change
	From, To    State          // states before and after the change; From is unused if IsNew is true
	IsNew       bool           // whether the member was unknown before the change
	Incarnation uint64         // incarnation of the member after the change
}

// View returns the node's current view, whose Members it copies: the cost grows with the size of the cluster.
func (n *Node) View() View {
	v := View{
		Number: n.viewNumber, Self: n.self.Name, Connectivity: n.connectivity,
		Members: make([]Member, 0, len(n.members)+1),
	}
	if n.isYielding() {
		v.ElderAddr = n.conflict.Addr.String()
	}
	v.Members = append(v.Members, Member{n.self, n.startedAt})
	for _, m := range n.members {
		v.Members = append(v.Members, Member{m.Update, m.stateSince})
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// ViewNumber returns the Number of the current View without building the View.
func (n *Node) ViewNumber() uint64 { return n.viewNumber }

// TakeChanges returns the member state changes since its previous call. If there were more than maxPendingChanges, it returns
// the first ones, and the later ones are lost.
func (n *Node) TakeChanges() []Change {
	changes := n.changes
	n.changes = nil
	return changes
}

// recordChange keeps a member state change for TakeChanges, unless maxPendingChanges are kept already.
func (n *Node) recordChange(c Change) {
	if len(n.changes) < maxPendingChanges {
		n.changes = append(n.changes, c)
	}
}

// updateConnectivity updates the connectivity that View reports. A decline is reported at once, because it follows from
// failures that were confirmed by a suspicion timeout. An improvement is reported after it has lasted for
// connectivityHoldIntervals probe intervals.
func (n *Node) updateConnectivity(now time.Duration) {
	current := n.currentConnectivity()
	switch {
	case current == n.connectivity:
		n.improvedSince = -1
		return
	case current < n.connectivity:
		n.connectivity, n.improvedSince = current, -1
		n.viewNumber++
		return
	case n.improvedSince < 0 || current < n.worstSinceImproved:
		n.improvedSince, n.worstSinceImproved = now, current
	}
	if now-n.improvedSince >= connectivityHoldIntervals*n.options.ProbeInterval {
		n.connectivity, n.improvedSince = n.worstSinceImproved, -1
		n.viewNumber++
	}
}

// currentConnectivity returns the node's Connectivity according to the present states of the members, without the delay with
// which View reports an improvement.
func (n *Node) currentConnectivity() Connectivity {
	present, total := n.countVoters()
	switch {
	case n.isYielding() || n.hasLeft || 2*present < total:
		return CutOff
	case present == total && len(n.failed) == 0:
		return FullyConnected
	}
	return PartlyConnected
}

// countVoters returns how many voters are alive or suspect, and how many there are. Without configured voters, all known
// members except those that left are counted.
func (n *Node) countVoters() (present, total int) {
	if len(n.options.Voters) == 0 {
		return len(n.present) + 1, len(n.present) + len(n.failed) + 1
	}
	for _, name := range n.options.Voters {
		total++
		if m := n.members[name]; name == n.self.Name || m != nil && m.State.IsPresent() {
			present++
		}
	}
	return present, total
}

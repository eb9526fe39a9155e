package swim

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// connectivityHoldIntervals is the number of ProbeInterval for which a better connectivity must last to count.
	connectivityHoldIntervals = 2

	// maxPendingChanges bounds the changes that wait for TakeChanges.
	maxPendingChanges = 1024
)

// Connectivity is a node's opinion on how much of the cluster it can reach.
type Connectivity uint8

// The levels of connectivity. A greater one is better.
const (
	CutOff          Connectivity = iota // fewer than half of the voters are present, this node included where it is one
	PartlyConnected                     // half of the voters at least are present, but not all, or a member is failed
	FullyConnected                      // all voters are present and no member is failed
)

var connectivityNames = [...]string{CutOff: "cut-off", PartlyConnected: "partial", FullyConnected: "whole"}

// String returns the name of the connectivity as operators and reports read it.
func (c Connectivity) String() string { return connectivityNames[c] }

// Member is an entry of a View.
type Member struct {
	Update
	Since time.Duration // instant at which this node took up the state
}

// View is what a node holds at an instant. It is an opinion: see the package comment.
type View struct {
	Number       uint64 // raised with every change; it never goes back in the life of a process
	Self         string
	Connectivity Connectivity
	Rival        string   // address of an elder daemon with this name, to which this one yields; empty: none
	Members      []Member // by name, this node included
}

// Change is the step of a member from one state to another, for the log.
type Change struct {
	Name        string
	Addr        netip.AddrPort
	From, To    State
	IsNew       bool // the member was not known before
	Incarnation uint64
}

// View returns what the node holds now.
func (n *Node) View() View {
	v := View{
		Number: n.viewNumber, Self: n.self.Name, Connectivity: n.connectivity,
		Members: make([]Member, 0, len(n.members)+1),
	}
	if n.isYielding() {
		v.Rival = n.conflict.Addr.String()
	}
	v.Members = append(v.Members, Member{n.self, n.startedAt})
	for _, m := range n.members {
		v.Members = append(v.Members, Member{m.Update, m.stateSince})
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// ViewNumber returns the Number of the View, without making one.
func (n *Node) ViewNumber() uint64 { return n.viewNumber }

// TakeChanges returns the changes of state since the last call, and forgets them. Where there were very many, those after
// the first maxPendingChanges are lost.
func (n *Node) TakeChanges() []Change {
	c := n.changes
	n.changes = nil
	return c
}

func (n *Node) recordChange(c Change) {
	if len(n.changes) < maxPendingChanges {
		n.changes = append(n.changes, c)
	}
}

// updateConnectivity takes up a worse connectivity at once, for what led to it has lasted as long as a suspicion. A better
// one has to last for connectivityHoldIntervals.
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
	case n.improvedSince < 0 || current < n.improvedConnectivity:
		n.improvedSince, n.improvedConnectivity = now, current
	}
	if now-n.improvedSince >= connectivityHoldIntervals*n.options.ProbeInterval {
		n.connectivity, n.improvedSince = n.improvedConnectivity, -1
		n.viewNumber++
	}
}

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

// countVoters returns how many voters are present, and how many there are. Without configured voters all known members
// count but those that left.
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

// Package swim says who of a fleet is there and who has failed. It is a failure detector after SWIM (Das, Gupta,
// Motivala, 2002) with Lifeguard's refinements (Dadgar, Phillips, Currey, 2018): probes in a shuffled round, indirect
// probes, suspicion that shrinks as others agree, incarnations to refute, a node's own health, dissemination on the backs
// of messages.
//
// It is pure: messages and instants come in, messages and the next instant go out. It has no I/O, clock or goroutine, and
// its random numbers come from a seed, so that the same code runs in the daemon and by the thousand in virtual time.
//
// What it gives is an opinion. Two daemons may hold different views at the same instant, and a daemon that is called
// failed may be serving: nothing that must never happen twice may rest on a view alone.
package swim

import (
	"net/netip"
	"time"
)

// State is what a node holds of a member. A later one of the same incarnation overrides an earlier one.
type State uint8

// The states.
const (
	Alive   State = iota // it answers, or is believed to
	Suspect              // it did not answer; it has a while to say otherwise
	Failed               // it did not say otherwise
	Left                 // it said that it goes; that is no failure
	stateCount
)

var stateNames = [stateCount]string{"alive", "suspect", "failed", "left"}

// Valid tells whether s is one of the states.
func (s State) Valid() bool { return s < stateCount }

// String gives the name that reports use.
func (s State) String() string {
	if !s.Valid() {
		return "unknown"
	}
	return stateNames[s]
}

// IsPresent tells whether a member in this state is still counted on.
func (s State) IsPresent() bool { return s <= Suspect }

// Connectivity is a node's opinion on how much of the fleet it can reach.
type Connectivity uint8

// The standings.
const (
	CutOff          Connectivity = iota // fewer than half of the voters answer, this node included where it is one
	PartlyConnected                     // more than half do, but not all
	FullyConnected                      // all voters answer and no member is failed
)

var connectivityNames = [...]string{CutOff: "cut-off", PartlyConnected: "partial", FullyConnected: "whole"}

// String gives the name that reports use.
func (s Connectivity) String() string { return connectivityNames[s] }

// Peer is one life of a daemon: a process that was started again under the same name has another Run.
type Peer struct {
	Name string
	Addr netip.AddrPort // what others send to
	Run  uint64         // of two processes of one name the one with the greater Run is taken for the younger
}

// Update is what somebody says of a member.
type Update struct {
	Peer
	State       State
	Incarnation uint64 // raised by the member alone, to refute; of two updates the one with the greater holds
	By          string // of Suspect: who missed it
}

// overrides tells whether u is to be believed over v, which was held before. Of two lives with one name that say the same
// the elder is believed, by all alike.
func (u *Update) overrides(v *Update) bool {
	switch {
	case u.Incarnation != v.Incarnation:
		return u.Incarnation > v.Incarnation
	case u.State != v.State:
		return u.State > v.State
	}
	return u.Run < v.Run
}

// Kind is what a message is for.
type Kind uint8

// The kinds.
const (
	Ping      Kind = iota + 1 // answer me; Target is who is meant, an empty name: whoever is there
	PingReq                   // ping Target for me
	Ack                       // the answer to Ping, or to PingReq once Target has answered
	Nack                      // the answer to PingReq while Target has not
	Gossip                    // updates, and nothing is wanted
	Sync                      // all that the sender holds; a SyncReply is wanted
	SyncReply                 // all that the sender holds
	kindEnd
)

// Valid tells whether k is one of the kinds.
func (k Kind) Valid() bool { return k >= Ping && k < kindEnd }

// Message is what nodes say to one another.
type Message struct {
	Kind    Kind
	From    Update   // the sender as it sees itself
	Seq     uint64   // of a Ping or PingReq, and of what answers it
	Target  Peer     // of Ping and PingReq
	Digest  uint64   // of the members that the sender counts on
	Quiet   bool     // the sender has no news to spread
	Updates []Update // at most MostPiggyback, but in Sync and SyncReply
}

// Envelope is a message on its way out.
type Envelope struct {
	To      netip.AddrPort
	Stream  bool // it may be too long for a datagram
	Message *Message
}

// Member is an entry of a View.
type Member struct {
	Update
	Since time.Duration // instant at which this node took up the state
}

// View is what a node held at an instant. It is an opinion: see the package's doc.
type View struct {
	Number       uint64 // of the changes that led to it; it never goes back in one process's life
	Self         string
	Connectivity Connectivity
	Rival        string   // address of an elder daemon of this name, to which this one gives way; empty: none
	Members      []Member // by name, this node included
}

// Change is a member's step from one state to another, for the log.
type Change struct {
	Name        string
	Addr        netip.AddrPort
	Was, Is     State
	New         bool // it was not known before
	Incarnation uint64
}

// Bounds of what a node holds and sends.
const (
	MaxMembers          = 10_000
	MaxNameBytes        = 63   // bytes of a name
	MaxPiggyback        = 24   // updates on the back of one message
	maxPiggybackBytes   = 800  // of these updates, so that a message stays within a datagram of 1,200 bytes
	maxIndirectProbes   = 256  // indirect probes that are carried on for others at once
	maxPendingChanges   = 1024 // that wait to be taken by Changes
	updateOverheadBytes = 60   // of an update, besides its names: numbers, address and their tags
)

// Options are fixed for a Node's life, but for what Retune takes. Times of 0 get their defaults.
type Options struct {
	Self   Peer
	Join   []netip.AddrPort // to whom a node goes that knows nobody
	Voters []string         // whose answers tell how it stands; none: all members that are known
	Known  []Update         // who is there, where that is known already
	Seed   uint64

	ProbeEvery   time.Duration // a member is probed
	ProbeTimeout time.Duration // after which others are asked to probe it, too
	Suspicion    time.Duration // that a suspect has at least, in a fleet of up to ten; it grows with the logarithm

	// Parts that a measurement can leave out. All are on in the daemon.
	DisableLocalHealth     bool // a node's own slowness does not lengthen its time-outs
	DisableSuspicionShrink bool // suspicion does not wait for others to agree
	DisableBuddySystem     bool // a suspect is not told first of all
}

// Defaults of the times, and what is derived from them. docs/design/026-peers.md has the measurements.
const (
	DefaultProbeEvery   = 500 * time.Millisecond
	DefaultProbeTimeout = 200 * time.Millisecond
	DefaultSuspicion    = 1500 * time.Millisecond

	maxSuspicionMultiplier    = 3  // times Suspicion that a suspect has where nobody else agrees
	neededConfirmations       = 3  // by others that bring it down to Suspicion
	expectedVerifiers         = 6  // members who probe a suspect of another's at once, on average over the fleet
	indirectProbers           = 3  // others who are asked to probe
	gossipFanout              = 3  // members that are told news at a time
	gossipsPerProbeInterval   = 4  // times that news goes out in a ProbeEvery
	retransmitFactor          = 4  // times the logarithm of the fleet's size that an update is sent on
	maxLocalHealth            = 4  // steps by which a node holds itself for slow; 8 gave no fewer false verdicts, and a last survivor that took 13 s
	conflictProbeAttempts     = 3  // questions that an elder life leaves unanswered before its name is taken
	membersPerSyncInterval    = 32 // members up to which differing views are compared at every ProbeEvery
	reapAfter                 = 10 * time.Minute
	connectivityHoldIntervals = 2 // times ProbeEvery that a better standing must last to count
)

// IsValidName tells whether a text can be the name of a daemon or a cluster: letters, digits, dots, dashes and underscores.
func IsValidName(s string) bool {
	for _, c := range s {
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '.' && c != '_' {
			return false
		}
	}
	return s != "" && len(s) <= MaxNameBytes
}

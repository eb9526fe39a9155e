package swim

import (
	"encoding/binary"
	"math/bits"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// MaxNameBytes is the maximum length of the name of a daemon or a cluster.
const MaxNameBytes = 63

// State is the state of a member as a node knows it. Within one incarnation a greater state overrides a smaller one.
type State uint8

// The states of a member, in the order in which they override one another within one incarnation.
const (
	Alive      State = iota // the member is not suspected of having failed
	Suspect                 // a probe of the member by another member failed; the suspected member can still refute the suspicion
	Failed                  // the member did not refute a suspicion in time
	Left                    // the member announced that it leaves the cluster, which is not a failure
	stateCount              // number of states from Alive to Left
)

// stateNames contains the name of each state, which operators read.
var stateNames = [stateCount]string{"alive", "suspect", "failed", "left"}

// Valid reports whether s is one of the states from Alive to Left.
func (s State) Valid() bool { return s < stateCount }

// String returns the name of the state as operators read it.
func (s State) String() string {
	if !s.Valid() {
		return "unknown"
	}
	return stateNames[s]
}

// IsPresent reports whether a member in this state counts as present: alive or suspect.
func (s State) IsPresent() bool { return s <= Suspect }

// Peer identifies one process of a daemon. A daemon that restarts keeps its name and gets another Generation.
type Peer struct {
	Name       string         // name of the daemon, unique in the cluster
	Addr       netip.AddrPort // address to which other nodes send messages
	Generation uint64         // number of the process; of two processes with one name, the younger has the greater number
}

// Update is an assertion about the state of a member, which nodes gossip.
type Update struct {
	Peer
	State       State  // state that the member is asserted to have
	Incarnation uint64 // counter that only the member itself increments, to refute updates about it that have a lower incarnation
	SuspectedBy string // name of the node that suspects the member, if State is Suspect
}

// overrides reports whether u replaces the earlier update v about the member of the same name. If u and v are about two
// processes with that name and have the same incarnation and state, the update about the older process wins at all nodes.
func (u *Update) overrides(v *Update) bool {
	switch {
	case u.Incarnation != v.Incarnation:
		return u.Incarnation > v.Incarnation
	case u.State != v.State:
		return u.State > v.State
	}
	return u.Generation < v.Generation
}

// isValid reports whether the update has a valid state and an address, its names are not longer than MaxNameBytes, and its
// incarnation is in the range that nodes use, from 1 to 1<<62-1.
func (u *Update) isValid() bool {
	return u.State.Valid() && len(u.Name) <= MaxNameBytes && len(u.SuspectedBy) <= MaxNameBytes && u.Addr.IsValid() &&
		u.Incarnation > 0 && u.Incarnation < 1<<62
}

// maxEncodedBytes returns an upper bound of the update's encoded length in a message.
func (u *Update) maxEncodedBytes() int { return updateOverheadBytes + len(u.Name) + len(u.SuspectedBy) }

// digest returns the hash of the member that Node.Digest combines with those of the other members. The hash is the same whether
// the member is alive or suspect, because a suspicion is temporary.
func (u *Update) digest() uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], u.Generation)
	binary.LittleEndian.PutUint64(b[8:], u.Incarnation)
	return xxhash.Sum64String(u.Name) ^ bits.RotateLeft64(xxhash.Sum64(b[:]), 17)
}

// IsValidName reports whether s can be the name of a daemon or a cluster: one to MaxNameBytes letters, digits, dots,
// dashes and underscores.
func IsValidName(s string) bool {
	for _, c := range s {
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '.' && c != '_' {
			return false
		}
	}
	return s != "" && len(s) <= MaxNameBytes
}

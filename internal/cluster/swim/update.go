package swim

import (
	"encoding/binary"
	"math/bits"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// MaxNameBytes is the length of the longest name of a daemon or a cluster.
const MaxNameBytes = 63

// State is what a node holds of a member. Within one incarnation a greater state overrides a smaller one.
type State uint8

// The states of a member.
const (
	Alive   State = iota // it responds, or is believed to
	Suspect              // a probe of it failed; it can still refute that
	Failed               // it did not refute the suspicion in time
	Left                 // it announced that it leaves; that is no failure
	stateCount
)

var stateNames = [stateCount]string{"alive", "suspect", "failed", "left"}

// Valid reports whether s is one of the states.
func (s State) Valid() bool { return s < stateCount }

// String returns the name of the state as operators and reports read it.
func (s State) String() string {
	if !s.Valid() {
		return "unknown"
	}
	return stateNames[s]
}

// IsPresent reports whether a member in this state counts as present: alive or suspect.
func (s State) IsPresent() bool { return s <= Suspect }

// Peer identifies one process of a daemon: a process that was started again under the same name has another Run.
type Peer struct {
	Name       string
	Addr       netip.AddrPort // where other nodes send to
	Generation uint64         // of two processes with one name, the one with the greater Run counts as the younger
}

// Update is a statement about the state of a member.
type Update struct {
	Peer
	State       State
	Incarnation uint64 // raised by the member alone, to refute; the update with the greater one overrides
	By          string // of a Suspect: the member whose probe failed
}

// overrides reports whether u replaces v, which is held so far. Where two processes with one name differ in nothing else,
// every node believes the elder.
func (u *Update) overrides(v *Update) bool {
	switch {
	case u.Incarnation != v.Incarnation:
		return u.Incarnation > v.Incarnation
	case u.State != v.State:
		return u.State > v.State
	}
	return u.Generation < v.Generation
}

func (u *Update) isValid() bool {
	return u.State.Valid() && len(u.Name) <= MaxNameBytes && len(u.By) <= MaxNameBytes && u.Addr.IsValid() &&
		u.Incarnation > 0 && u.Incarnation < 1<<62
}

// maxEncodedBytes is an upper bound of the update's length in a message.
func (u *Update) maxEncodedBytes() int { return updateOverheadBytes + len(u.Name) + len(u.By) }

// digest is the member's part in Node.Digest. It leaves out suspicion, which passes.
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

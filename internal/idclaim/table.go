// Package idclaim remembers the ids of requests that may have run, so that none of them is run again. A request's id is claimed before
// the request is sent, and the claim stays for some time after the request has ended: a client that has left may send it again.
//
// A Table may be shared by all processes of a sidecar through a file, so that an id which one process has claimed is known to the
// process that replaces it. It is a hash table without locks: a process that is stopped holds up no other, and one that dies leaves
// nothing but claims that expire. Its memory is fixed; if too many claims share a part of the table, those that expire first are
// dropped.
package idclaim

import (
	"fmt"
	"hash/fnv"
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	slotCount = 1 << 14 // number of claims that a Table can hold
	slotBytes = 8
	// probeCount is the number of neighboring slots that a claim can be stored in.
	probeCount = 16

	// A slot is one word: the upper bits are those of the id's hash, the lower ones say when the claim expires.
	expiryBits = 20
	expiryMask = 1<<expiryBits - 1
	// expiryUnit is the unit of the expiry. The expiry wraps around after about 29 hours.
	expiryUnit = 100 * time.Millisecond
	// maxDuration is the longest time for which an id can be claimed. An expiry that is further away is damaged.
	maxDuration = time.Hour
)

// Table holds claims of ids. It is safe for concurrent use.
type Table struct {
	slots []uint64
	clock func() time.Duration // monotonic time that all processes of the machine share
}

// New returns a Table that only this process uses.
func New() *Table { return newTable(make([]uint64, slotCount), systemClock) }

// Open returns a Table that is stored in the file at path, which is created if it does not exist, and which other processes may use at
// the same time. The memory is mapped until the process ends.
func Open(path string) (*Table, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("table of request ids: %w", err)
	}
	defer f.Close() //nolint:errcheck // nothing was written through the descriptor
	if err := f.Truncate(slotCount * slotBytes); err != nil {
		return nil, fmt.Errorf("table of request ids: %w", err)
	}
	memory, err := unix.Mmap(int(f.Fd()), 0, slotCount*slotBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("table of request ids: map %s: %w", path, err)
	}
	return newTable(unsafe.Slice((*uint64)(unsafe.Pointer(&memory[0])), slotCount), systemClock), nil
}

func newTable(slots []uint64, clock func() time.Duration) *Table {
	return &Table{slots: slots, clock: clock}
}

// systemClock returns the system's monotonic time.
func systemClock() time.Duration {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) // fails only for an unknown clock
	return time.Duration(now.Nano())
}

// Claim claims an id for a time of at most an hour, and reports whether it did. It does nothing if the id is claimed already.
func (t *Table) Claim(id string, duration time.Duration) bool {
	hash := hashOf(id)
	for {
		now := t.now()
		free, isClaimed := t.find(hash, now)
		if isClaimed {
			return false
		}
		claim := newSlot(hash, now, duration)
		if !atomic.CompareAndSwapUint64(&t.slots[free.index], free.value, claim) {
			continue // another claim took the slot, maybe of the same id
		}
		if t.countClaims(hash, now) > 1 { // another process has claimed the id at the same time, in another slot
			atomic.CompareAndSwapUint64(&t.slots[free.index], claim, 0)
			return false
		}
		return true
	}
}

// Keep sets the remaining duration of the claim of an id, whatever it was before. It does nothing if the id is not claimed.
func (t *Table) Keep(id string, duration time.Duration) { t.replace(id, duration) }

// Release ends the claim of an id, so that the id may be claimed again.
func (t *Table) Release(id string) { t.replace(id, 0) }

// replace replaces the claim of an id by one for the given time, or removes it if that is 0.
func (t *Table) replace(id string, duration time.Duration) {
	hash, now := hashOf(id), t.now()
	for i := range probeCount {
		slot := &t.slots[slotIndex(hash, i)]
		value, replacement := atomic.LoadUint64(slot), uint64(0)
		if duration > 0 {
			replacement = newSlot(hash, now, duration)
		}
		if isClaimOf(value, hash, now) {
			atomic.CompareAndSwapUint64(slot, value, replacement)
		}
	}
}

// slot is the content of a slot when it was read.
type slot struct {
	index int
	value uint64
}

// find looks for a claim of a hash. If there is none, it returns the slot for a new claim: the first one without a valid claim or, if
// there is none, that of the claim that expires first.
func (t *Table) find(hash uint64, now uint64) (free slot, isClaimed bool) {
	shortest := uint64(expiryMask + 1)
	for i := range probeCount {
		index := slotIndex(hash, i)
		value := atomic.LoadUint64(&t.slots[index])
		if isClaimOf(value, hash, now) {
			return slot{}, true
		}
		if left := timeLeft(value, now); left < shortest {
			shortest, free = left, slot{index, value}
		}
	}
	return free, false
}

// countClaims returns how many slots hold a valid claim of a hash.
func (t *Table) countClaims(hash uint64, now uint64) (count int) {
	for i := range probeCount {
		if isClaimOf(atomic.LoadUint64(&t.slots[slotIndex(hash, i)]), hash, now) {
			count++
		}
	}
	return count
}

// now returns the current time in units of expiryUnit.
func (t *Table) now() uint64 { return uint64(t.clock() / expiryUnit) }

// hashOf returns the hash of an id: FNV-1a, whose bits are mixed, since it spreads the last bytes of an id over few bits.
func hashOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	sum := h.Sum64()
	sum ^= sum >> 32
	sum *= 0x9e3779b97f4a7c15
	return sum ^ sum>>29
}

// slotIndex returns the index of the n-th slot in which a claim of a hash can be stored. It depends on the bits of the hash that a slot
// does not hold.
func slotIndex(hash uint64, n int) int { return int(hash+uint64(n)) & (slotCount - 1) }

// newSlot returns the content of a slot with a claim.
func newSlot(hash, now uint64, duration time.Duration) uint64 {
	expiresAt := now + uint64(min(max(duration, expiryUnit), maxDuration)/expiryUnit) + 1
	return hash&^expiryMask | expiresAt&expiryMask
}

// timeLeft returns for how long the claim in a slot is valid, in units of expiryUnit; 0 if there is none, or if it has expired.
func timeLeft(value, now uint64) uint64 {
	left := (value - now) & expiryMask
	if value == 0 || left > uint64(maxDuration/expiryUnit)+1 {
		return 0
	}
	return left
}

// isClaimOf reports whether a slot has a valid claim of a hash.
func isClaimOf(value, hash, now uint64) bool {
	return value&^expiryMask == hash&^expiryMask && timeLeft(value, now) > 0
}

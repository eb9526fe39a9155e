// Package body passes long bodies along in bounded memory. What it decides (who may hold how much, when a peer is too
// slow) is in Budget and Meter, which have no I/O, no clock and no goroutine; Pool, Upload and Write carry it out.
package body

import "container/list"

// MemoryBudget shares out a bounded number of bytes. Short bodies have a part of it to themselves, and never wait behind long
// ones; among their like all are served in the order in which they asked. It is not safe for concurrent use.
type MemoryBudget struct {
	total, shortReserve   int
	used, usedByLong      int
	shortQueue, longQueue list.List // asks that wait, by kind
	waiting               map[int]*list.Element
	lastID                int
}

// Size is what a body asks for.
type Size struct {
	Bytes int
	Long  bool
}

type memoryRequest struct {
	id int
	Size
}

// NewMemoryBudget shares out total bytes, of which long bodies leave kept to the short ones.
func NewMemoryBudget(total, kept int) *MemoryBudget {
	return &MemoryBudget{total: total, shortReserve: kept, waiting: map[int]*list.Element{}}
}

// Fits tells whether a size could be granted if nothing else were held.
func (b *MemoryBudget) Fits(s Size) bool {
	return s.Bytes >= 0 && s.Bytes <= b.total && (!s.Long || s.Bytes <= b.total-b.shortReserve)
}

// Acquire asks for bytes. What is not granted at once waits under its id, which is never 0.
func (b *MemoryBudget) Acquire(s Size) (id int, granted bool) {
	b.lastID++
	queue := b.queueFor(s)
	if queue.Len() == 0 && b.tryGrant(s) {
		return b.lastID, true
	}
	b.waiting[b.lastID] = queue.PushBack(memoryRequest{b.lastID, s})
	return b.lastID, false
}

// Release gives bytes back and tells which asks are granted by it.
func (b *MemoryBudget) Release(s Size) []int {
	b.used -= s.Bytes
	if s.Long {
		b.usedByLong -= s.Bytes
	}
	return b.grantWaiting()
}

// Cancel takes an ask back, and tells which others are granted by it; ok is false if it does not wait any more.
func (b *MemoryBudget) Cancel(id int) (granted []int, ok bool) {
	e := b.waiting[id]
	if e == nil {
		return nil, false
	}
	delete(b.waiting, id)
	b.queueFor(e.Value.(memoryRequest).Size).Remove(e)
	return b.grantWaiting(), true
}

// InUse tells how many bytes are granted, and how many of them to long bodies.
func (b *MemoryBudget) InUse() (all, long int) { return b.used, b.usedByLong }

// Waiting tells how many asks wait.
func (b *MemoryBudget) Waiting() int { return len(b.waiting) }

func (b *MemoryBudget) queueFor(s Size) *list.List {
	if s.Long {
		return &b.longQueue
	}
	return &b.shortQueue
}

// tryGrant takes the bytes if they are there. A long body takes none while a short one waits.
func (b *MemoryBudget) tryGrant(s Size) bool {
	if b.used+s.Bytes > b.total || s.Long && (b.usedByLong+s.Bytes > b.total-b.shortReserve || b.shortQueue.Len() > 0) {
		return false
	}
	b.used += s.Bytes
	if s.Long {
		b.usedByLong += s.Bytes
	}
	return true
}

func (b *MemoryBudget) grantWaiting() (granted []int) {
	for _, queue := range []*list.List{&b.shortQueue, &b.longQueue} {
		for e := queue.Front(); e != nil; e = queue.Front() {
			a := e.Value.(memoryRequest)
			if !b.tryGrant(a.Size) {
				break
			}
			queue.Remove(e)
			delete(b.waiting, a.id)
			granted = append(granted, a.id)
		}
	}
	return granted
}

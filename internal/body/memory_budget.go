package body

import "container/list"

// MemoryBudget shares out a bounded number of bytes among bodies. A part of them is reserved for short bodies, which
// never wait behind long ones; bodies of one kind are served in the order of their requests. It has no I/O, no clock
// and no goroutine, and is not safe for concurrent use.
type MemoryBudget struct {
	total        int // bytes
	shortReserve int // bytes of total that long bodies can't have
	used         int
	usedByLong   int
	shortQueue   list.List // of memoryRequest
	longQueue    list.List // of memoryRequest
	waiting      map[int]*list.Element
	lastID       int
}

// Size is the memory that a body needs.
type Size struct {
	Bytes int
	Long  bool // the body streams and holds its memory for as long as that takes
}

// memoryRequest is a request for memory that waits.
type memoryRequest struct {
	id int
	Size
}

// NewMemoryBudget returns a budget of total bytes, of which shortReserve are reserved for short bodies.
func NewMemoryBudget(total, shortReserve int) *MemoryBudget {
	return &MemoryBudget{total: total, shortReserve: shortReserve, waiting: map[int]*list.Element{}}
}

// Fits reports whether the size could be granted if nothing else were in use.
func (b *MemoryBudget) Fits(s Size) bool {
	return s.Bytes >= 0 && s.Bytes <= b.total && (!s.Long || s.Bytes <= b.total-b.shortReserve)
}

// Acquire requests bytes. A request that is not granted at once waits under the id, which is never 0.
func (b *MemoryBudget) Acquire(s Size) (id int, granted bool) {
	b.lastID++
	queue := b.queueFor(s)
	if queue.Len() == 0 && b.tryGrant(s) {
		return b.lastID, true
	}
	b.waiting[b.lastID] = queue.PushBack(memoryRequest{b.lastID, s})
	return b.lastID, false
}

// Release gives bytes back that were granted, and returns the ids of the requests that are granted by that.
func (b *MemoryBudget) Release(s Size) []int {
	b.used -= s.Bytes
	if s.Long {
		b.usedByLong -= s.Bytes
	}
	return b.grantWaiting()
}

// Cancel withdraws a request and returns the ids of other requests that are granted by that. ok is false if the request
// no longer waits.
func (b *MemoryBudget) Cancel(id int) (granted []int, ok bool) {
	e := b.waiting[id]
	if e == nil {
		return nil, false
	}
	delete(b.waiting, id)
	b.queueFor(e.Value.(memoryRequest).Size).Remove(e)
	return b.grantWaiting(), true
}

// InUse returns how many bytes are granted, and how many of them to long bodies.
func (b *MemoryBudget) InUse() (all, long int) { return b.used, b.usedByLong }

// Waiting returns how many requests wait.
func (b *MemoryBudget) Waiting() int { return len(b.waiting) }

func (b *MemoryBudget) queueFor(s Size) *list.List {
	if s.Long {
		return &b.longQueue
	}
	return &b.shortQueue
}

// tryGrant grants the bytes if they are free. A long body gets none while a short one waits.
func (b *MemoryBudget) tryGrant(s Size) bool {
	if b.used+s.Bytes > b.total {
		return false
	}
	if s.Long && (b.usedByLong+s.Bytes > b.total-b.shortReserve || b.shortQueue.Len() > 0) {
		return false
	}
	b.used += s.Bytes
	if s.Long {
		b.usedByLong += s.Bytes
	}
	return true
}

// grantWaiting grants what it can to waiting requests, to those of short bodies first, and returns their ids.
func (b *MemoryBudget) grantWaiting() (granted []int) {
	for _, queue := range []*list.List{&b.shortQueue, &b.longQueue} {
		for e := queue.Front(); e != nil; e = queue.Front() {
			r := e.Value.(memoryRequest)
			if !b.tryGrant(r.Size) {
				break
			}
			queue.Remove(e)
			delete(b.waiting, r.id)
			granted = append(granted, r.id)
		}
	}
	return granted
}

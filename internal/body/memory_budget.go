package body

import "container/list"

// MemoryBudget divides a fixed number of bytes among bodies. A part of the bytes is reserved for buffered bodies, which never
// wait behind streaming ones. Requests for the same kind of body are granted in the order in which they were made. A
// MemoryBudget does no I/O, reads no clock, starts no goroutine, and is not safe for concurrent use.
type MemoryBudget struct {
	total           int                   // bytes to divide among bodies
	bufferedReserve int                   // bytes of total that streaming bodies can't get
	used            int                   // bytes granted to buffered and streaming bodies together
	usedByStreaming int                   // bytes granted to streaming bodies
	bufferedQueue   list.List             // waitingRequests for buffered bodies, oldest first
	streamingQueue  list.List             // waitingRequests for streaming bodies, oldest first
	waiting         map[int]*list.Element // entries of bufferedQueue and streamingQueue, by request ID
	lastID          int                   // ID of the most recent request
}

// MemoryRequest is the amount of memory that a body needs, and whether the body is streaming or buffered.
type MemoryRequest struct {
	Bytes       int
	IsStreaming bool // the body is forwarded while it arrives and holds its memory until it ends
	IsCollected bool // the runtime collects the memory some time after it was released, when another body may have it already
}

// waitingRequest is a request for memory that has not been granted yet.
type waitingRequest struct {
	id int
	MemoryRequest
}

// NewMemoryBudget returns a budget of total bytes, of which bufferedReserve are reserved for buffered bodies.
func NewMemoryBudget(total, bufferedReserve int) *MemoryBudget {
	return &MemoryBudget{total: total, bufferedReserve: bufferedReserve, waiting: map[int]*list.Element{}}
}

// Fits reports whether the requested memory could be granted if no other body held any memory.
func (b *MemoryBudget) Fits(s MemoryRequest) bool {
	return s.Bytes >= 0 && s.Bytes <= b.total && (!s.IsStreaming || s.Bytes <= b.total-b.bufferedReserve)
}

// Acquire requests memory. A request that can't be granted at once is queued under the returned ID, which is never 0.
func (b *MemoryBudget) Acquire(s MemoryRequest) (id int, granted bool) {
	b.lastID++
	queue := b.queueFor(s)
	if queue.Len() == 0 && b.tryGrant(s) {
		return b.lastID, true
	}
	b.waiting[b.lastID] = queue.PushBack(waitingRequest{b.lastID, s})
	return b.lastID, false
}

// Release takes back the memory that a body was granted. It grants those queued requests that fit now, and returns their IDs.
func (b *MemoryBudget) Release(s MemoryRequest) []int {
	b.used -= s.Bytes
	if s.IsStreaming {
		b.usedByStreaming -= s.Bytes
	}
	return b.grantWaiting()
}

// Cancel removes a queued request, grants those other queued requests that fit now, and returns their IDs. ok is false if the
// request is not queued any more.
func (b *MemoryBudget) Cancel(id int) (granted []int, ok bool) {
	e := b.waiting[id]
	if e == nil {
		return nil, false
	}
	delete(b.waiting, id)
	b.queueFor(e.Value.(waitingRequest).MemoryRequest).Remove(e)
	return b.grantWaiting(), true
}

// InUse returns how many bytes are granted in total, and how many of them to streaming bodies.
func (b *MemoryBudget) InUse() (used, usedByStreaming int) { return b.used, b.usedByStreaming }

// Waiting returns how many requests are queued.
func (b *MemoryBudget) Waiting() int { return len(b.waiting) }

func (b *MemoryBudget) queueFor(s MemoryRequest) *list.List {
	if s.IsStreaming {
		return &b.streamingQueue
	}
	return &b.bufferedQueue
}

// tryGrant grants the requested memory if enough is free, and reports whether it did. A streaming body gets no memory while a
// buffered body waits.
func (b *MemoryBudget) tryGrant(s MemoryRequest) bool {
	if b.used+s.Bytes > b.total {
		return false
	}
	if s.IsStreaming && (b.usedByStreaming+s.Bytes > b.total-b.bufferedReserve || b.bufferedQueue.Len() > 0) {
		return false
	}
	b.used += s.Bytes
	if s.IsStreaming {
		b.usedByStreaming += s.Bytes
	}
	return true
}

// grantWaiting grants as many queued requests as fit, those for buffered bodies first, and returns their IDs.
func (b *MemoryBudget) grantWaiting() (granted []int) {
	for _, queue := range []*list.List{&b.bufferedQueue, &b.streamingQueue} {
		for e := queue.Front(); e != nil; e = queue.Front() {
			r := e.Value.(waitingRequest)
			if !b.tryGrant(r.MemoryRequest) {
				break
			}
			queue.Remove(e)
			delete(b.waiting, r.id)
			granted = append(granted, r.id)
		}
	}
	return granted
}

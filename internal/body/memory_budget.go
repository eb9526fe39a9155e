// Package body passes long bodies along in bounded memory. What it decides (who may hold how much, when a peer is too
// slow) is in Budget and Meter, which have no I/O, no clock and no goroutine; Pool, Upload and Write carry it out.
package body

import "container/list"

// Budget shares out a bounded number of bytes. Short bodies have a part of it to themselves, and never wait behind long
// ones; among their like all are served in the order in which they asked. It is not safe for concurrent use.
type Budget struct {
	total, kept int
	used, long  int
	short, far  list.List // asks that wait, by kind
	waiting     map[int]*list.Element
	last        int
}

// Size is what a body asks for.
type Size struct {
	Bytes int
	Long  bool
}

type ask struct {
	id int
	Size
}

// NewBudget shares out total bytes, of which long bodies leave kept to the short ones.
func NewBudget(total, kept int) *Budget {
	return &Budget{total: total, kept: kept, waiting: map[int]*list.Element{}}
}

// Fits tells whether a size could be granted if nothing else were held.
func (b *Budget) Fits(s Size) bool {
	return s.Bytes >= 0 && s.Bytes <= b.total && (!s.Long || s.Bytes <= b.total-b.kept)
}

// Ask asks for bytes. What is not granted at once waits under its id, which is never 0.
func (b *Budget) Ask(s Size) (id int, granted bool) {
	b.last++
	queue := b.queue(s)
	if queue.Len() == 0 && b.grant(s) {
		return b.last, true
	}
	b.waiting[b.last] = queue.PushBack(ask{b.last, s})
	return b.last, false
}

// Give gives bytes back and tells which asks are granted by it.
func (b *Budget) Give(s Size) []int {
	b.used -= s.Bytes
	if s.Long {
		b.long -= s.Bytes
	}
	return b.serve()
}

// Withdraw takes an ask back, and tells which others are granted by it; ok is false if it does not wait any more.
func (b *Budget) Withdraw(id int) (granted []int, ok bool) {
	e := b.waiting[id]
	if e == nil {
		return nil, false
	}
	delete(b.waiting, id)
	b.queue(e.Value.(ask).Size).Remove(e)
	return b.serve(), true
}

// Held tells how many bytes are granted, and how many of them to long bodies.
func (b *Budget) Held() (all, long int) { return b.used, b.long }

// Waiting tells how many asks wait.
func (b *Budget) Waiting() int { return len(b.waiting) }

func (b *Budget) queue(s Size) *list.List {
	if s.Long {
		return &b.far
	}
	return &b.short
}

// grant takes the bytes if they are there. A long body takes none while a short one waits.
func (b *Budget) grant(s Size) bool {
	if b.used+s.Bytes > b.total || s.Long && (b.long+s.Bytes > b.total-b.kept || b.short.Len() > 0) {
		return false
	}
	b.used += s.Bytes
	if s.Long {
		b.long += s.Bytes
	}
	return true
}

func (b *Budget) serve() (granted []int) {
	for _, queue := range []*list.List{&b.short, &b.far} {
		for e := queue.Front(); e != nil; e = queue.Front() {
			a := e.Value.(ask)
			if !b.grant(a.Size) {
				break
			}
			queue.Remove(e)
			delete(b.waiting, a.id)
			granted = append(granted, a.id)
		}
	}
	return granted
}

// Package eventqueue is what is to happen in virtual time: earliest first, and of what is due at one instant what was put first.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds what is to happen. Its zero value is empty.
type Queue[T any] struct {
	entries entries[T]
	seq     uint64
}

// Entry is something that is to happen.
type Entry[T any] struct {
	At    time.Duration
	Seq   uint64 // of all that was put, from 1
	Event T
}

// Schedule plans something, and gives its Seq.
func (a *Queue[T]) Schedule(at time.Duration, what T) uint64 {
	a.seq++
	heap.Push(&a.entries, Entry[T]{at, a.seq, what})
	return a.seq
}

// Reschedule puts an entry that was taken back, for another instant: among what is due then it keeps its place.
func (a *Queue[T]) Reschedule(at time.Duration, e Entry[T]) {
	e.At = at
	heap.Push(&a.entries, e)
}

// PopDue gives what comes first, if that is due at an instant.
func (a *Queue[T]) PopDue(until time.Duration) (e Entry[T], ok bool) {
	if len(a.entries) == 0 || a.entries[0].At > until {
		return e, false
	}
	return heap.Pop(&a.entries).(Entry[T]), true
}

type entries[T any] []Entry[T]

func (e entries[T]) Len() int { return len(e) }
func (e entries[T]) Less(i, j int) bool {
	return e[i].At < e[j].At || e[i].At == e[j].At && e[i].Seq < e[j].Seq
}
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)   { *e = append(*e, x.(Entry[T])) }
func (e *entries[T]) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = Entry[T]{}
	*e = old[:len(old)-1]
	return last
}

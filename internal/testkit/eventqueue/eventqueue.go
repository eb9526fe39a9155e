// Package eventqueue provides a queue of events in virtual time. The earliest event comes first, and events of the same instant come
// in the order in which they were scheduled.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds scheduled events of type T. Its zero value is an empty queue. It is not safe for concurrent use.
type Queue[T any] struct {
	entries entries[T]
	lastSeq uint64 // Seq of the entry that was scheduled last
}

// Entry is an event of a Queue, with the time at which it is due and its rank among events of the same time.
type Entry[T any] struct {
	At    time.Duration // virtual time at which the event is due
	Seq   uint64        // number of the event in the order of Schedule calls, from 1; events of the same time are popped in this order
	Event T
}

// Schedule adds an event that is due at an instant, and returns the Seq of its entry.
func (q *Queue[T]) Schedule(at time.Duration, event T) uint64 {
	q.lastSeq++
	heap.Push(&q.entries, Entry[T]{at, q.lastSeq, event})
	return q.lastSeq
}

// Reschedule adds a popped entry again, due at another instant. The entry keeps its Seq, which determines its place among the events
// of that instant.
func (q *Queue[T]) Reschedule(at time.Duration, e Entry[T]) {
	e.At = at
	heap.Push(&q.entries, e)
}

// PopDue removes and returns the first entry if it is due by the time until, inclusive. Otherwise ok is false, and the queue stays as it is.
func (q *Queue[T]) PopDue(until time.Duration) (e Entry[T], ok bool) {
	if len(q.entries) == 0 || q.entries[0].At > until {
		return e, false
	}
	return heap.Pop(&q.entries).(Entry[T]), true
}

// entries implements heap.Interface, ordered by instant and then by Seq.
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
	old[len(old)-1] = Entry[T]{} // cleared, so that the backing array does not keep the popped event alive
	*e = old[:len(old)-1]
	return last
}

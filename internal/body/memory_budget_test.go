package body

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// budgetModel applies random operations to a MemoryBudget and tracks the requests that are granted and those that wait.
type budgetModel struct {
	budget           *MemoryBudget
	total, reserve   int                   // arguments of NewMemoryBudget, in bytes
	sizes            map[int]MemoryRequest // all requests for memory, by ID
	waiting, granted []int                 // IDs of requests, the waiting ones in the order in which they were made
}

// recordGrants moves IDs from waiting to granted. It fails if a request was granted before an older one of the same kind.
func (m *budgetModel) recordGrants(t *rapid.T, ids []int) {
	for _, id := range ids {
		i := slices.Index(m.waiting, id)
		if i < 0 {
			t.Fatalf("request %d was granted, but was not waiting", id)
		}
		for _, older := range m.waiting[:i] {
			if m.sizes[older].IsStreaming == m.sizes[id].IsStreaming {
				t.Fatalf("request %d was granted before the older request %d of the same kind", id, older)
			}
		}
		m.waiting, m.granted = slices.Delete(m.waiting, i, i+1), append(m.granted, id)
	}
}

// step makes, releases or cancels one request at random.
func (m *budgetModel) step(t *rapid.T) {
	switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
	case action <= 1:
		s := MemoryRequest{Bytes: rapid.IntRange(0, m.total).Draw(t, "bytes"), IsStreaming: rapid.Bool().Draw(t, "streaming")}
		if !m.budget.Fits(s) {
			return
		}
		id, ok := m.budget.Acquire(s)
		m.sizes[id] = s
		if m.waiting = append(m.waiting, id); ok {
			m.recordGrants(t, []int{id})
		}
	case action == 2 && len(m.granted) > 0:
		i := rapid.IntRange(0, len(m.granted)-1).Draw(t, "index of the granted request")
		id := m.granted[i]
		m.granted = slices.Delete(m.granted, i, i+1)
		m.recordGrants(t, m.budget.Release(m.sizes[id]))
	case action == 3 && len(m.waiting) > 0:
		i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "index of the waiting request")
		id := m.waiting[i]
		m.waiting = slices.Delete(m.waiting, i, i+1)
		granted, ok := m.budget.Cancel(id)
		if !ok {
			t.Fatalf("request %d is waiting, but could not be canceled", id)
		}
		m.recordGrants(t, granted)
	}
}

// check compares the memory that InUse returns with the sum of the granted requests. It also fails if the oldest waiting
// request for a buffered or for a streaming body could be granted.
func (m *budgetModel) check(t *rapid.T) {
	used, usedByStreaming := 0, 0
	for _, id := range m.granted {
		used += m.sizes[id].Bytes
		if m.sizes[id].IsStreaming {
			usedByStreaming += m.sizes[id].Bytes
		}
	}
	maxStreamingBytes := m.total - m.reserve
	gotUsed, gotByStreaming := m.budget.InUse()
	if gotUsed != used || gotByStreaming != usedByStreaming || used > m.total || usedByStreaming > maxStreamingBytes {
		t.Fatalf("InUse returned %d, %d, want %d, %d and at most %d, %d",
			gotUsed, gotByStreaming, used, usedByStreaming, m.total, maxStreamingBytes)
	}
	if m.budget.Waiting() != len(m.waiting) {
		t.Fatalf("Waiting returned %d, want %d", m.budget.Waiting(), len(m.waiting))
	}
	isBuffered := func(id int) bool { return !m.sizes[id].IsStreaming }
	for i, id := range m.waiting {
		s := m.sizes[id]
		isOldest := !slices.ContainsFunc(m.waiting[:i], func(other int) bool { return m.sizes[other].IsStreaming == s.IsStreaming })
		fits := used+s.Bytes <= m.total && (!s.IsStreaming || usedByStreaming+s.Bytes <= maxStreamingBytes)
		mustYield := s.IsStreaming && slices.ContainsFunc(m.waiting, isBuffered)
		if isOldest && fits && !mustYield {
			t.Fatalf("request %d for %+v waits, though its memory is free", id, s)
		}
	}
}

func TestMemoryBudgetKeepsBoundsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 100).Draw(t, "total")
		reserve := rapid.IntRange(0, total).Draw(t, "reserve")
		m := &budgetModel{budget: NewMemoryBudget(total, reserve), total: total, reserve: reserve, sizes: map[int]MemoryRequest{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
	})
}

// A streaming body gets no memory, even if enough is free, while a buffered body waits: otherwise the buffered body would
// have to wait longer.
func TestStreamingBodyWaitsWhileBufferedOneWaits(t *testing.T) {
	b := NewMemoryBudget(100, 0)
	inUse, buffered, streaming := MemoryRequest{Bytes: 60}, MemoryRequest{Bytes: 60}, MemoryRequest{Bytes: 30, IsStreaming: true}
	if _, ok := b.Acquire(inUse); !ok {
		t.Fatal("the first request was not granted")
	}
	bufferedID, ok := b.Acquire(buffered)
	if ok {
		t.Fatal("120 bytes of 100 were granted")
	}
	streamingID, ok := b.Acquire(streaming)
	if ok {
		t.Error("a streaming body got memory while a buffered one was waiting")
	}
	if granted := b.Release(inUse); !slices.Equal(granted, []int{bufferedID, streamingID}) {
		t.Errorf("granted requests %v, want the buffered body's, %d, then the streaming one's, %d", granted, bufferedID, streamingID)
	}
}

package body

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// budgetModel is a naive budget: all that was granted, and all that waits in the order of the requests.
type budgetModel struct {
	budget         *MemoryBudget
	total, reserve int
	sizes          map[int]Size // by id
	waiting, held  []int        // ids
}

// granted moves ids from waiting to held. No request may overtake another one of its kind.
func (m *budgetModel) granted(t *rapid.T, ids []int) {
	for _, id := range ids {
		i := slices.Index(m.waiting, id)
		if i < 0 {
			t.Fatalf("%d was granted and did not wait", id)
		}
		for _, before := range m.waiting[:i] {
			if m.sizes[before].Long == m.sizes[id].Long {
				t.Fatalf("%d was granted before %d of its kind", id, before)
			}
		}
		m.waiting, m.held = slices.Delete(m.waiting, i, i+1), append(m.held, id)
	}
}

// step acquires, releases or cancels.
func (m *budgetModel) step(t *rapid.T) {
	switch what := rapid.IntRange(0, 3).Draw(t, "what"); {
	case what <= 1:
		s := Size{rapid.IntRange(0, m.total).Draw(t, "bytes"), rapid.Bool().Draw(t, "long")}
		if !m.budget.Fits(s) {
			return
		}
		id, ok := m.budget.Acquire(s)
		m.sizes[id] = s
		if m.waiting = append(m.waiting, id); ok {
			m.granted(t, []int{id})
		}
	case what == 2 && len(m.held) > 0:
		i := rapid.IntRange(0, len(m.held)-1).Draw(t, "which")
		id := m.held[i]
		m.held = slices.Delete(m.held, i, i+1)
		m.granted(t, m.budget.Release(m.sizes[id]))
	case what == 3 && len(m.waiting) > 0:
		i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "which")
		id := m.waiting[i]
		m.waiting = slices.Delete(m.waiting, i, i+1)
		granted, ok := m.budget.Cancel(id)
		if !ok {
			t.Fatalf("%d waits, and could not be canceled", id)
		}
		m.granted(t, granted)
	}
}

// check compares what is in use, and fails if the first request of a kind waits though it could be granted.
func (m *budgetModel) check(t *rapid.T) {
	all, long := 0, 0
	for _, id := range m.held {
		all += m.sizes[id].Bytes
		if m.sizes[id].Long {
			long += m.sizes[id].Bytes
		}
	}
	maxLong := m.total - m.reserve
	if gotAll, gotLong := m.budget.InUse(); gotAll != all || gotLong != long || all > m.total || long > maxLong {
		t.Fatalf("%d and %d in use, by the budget %d and %d, of %d and %d", all, long, gotAll, gotLong, m.total, maxLong)
	}
	if m.budget.Waiting() != len(m.waiting) {
		t.Fatalf("%d wait, by the budget %d", len(m.waiting), m.budget.Waiting())
	}
	isShort := func(id int) bool { return !m.sizes[id].Long }
	for i, id := range m.waiting {
		s := m.sizes[id]
		isFirst := !slices.ContainsFunc(m.waiting[:i], func(other int) bool { return m.sizes[other].Long == s.Long })
		fits := all+s.Bytes <= m.total && (!s.Long || long+s.Bytes <= maxLong)
		yields := s.Long && slices.ContainsFunc(m.waiting, isShort)
		if isFirst && fits && !yields {
			t.Fatalf("%v waits for nothing", s)
		}
	}
}

func TestMemoryBudgetKeepsBoundsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 100).Draw(t, "total")
		reserve := rapid.IntRange(0, total).Draw(t, "reserve")
		m := &budgetModel{budget: NewMemoryBudget(total, reserve), total: total, reserve: reserve, sizes: map[int]Size{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
	})
}

// A long body whose memory is free waits while a short one waits, which would otherwise wait for longer.
func TestLongBodyWaitsWhileShortOneWaits(t *testing.T) {
	b := NewMemoryBudget(100, 0)
	inUse, waitingShort, long := Size{Bytes: 60}, Size{Bytes: 60}, Size{Bytes: 30, Long: true}
	if _, ok := b.Acquire(inUse); !ok {
		t.Fatal("the first request waits")
	}
	shortID, ok := b.Acquire(waitingShort)
	if ok {
		t.Fatal("120 bytes of 100 were granted")
	}
	longID, ok := b.Acquire(long)
	if ok {
		t.Error("a long body got memory while a short one waited")
	}
	if granted := b.Release(inUse); !slices.Equal(granted, []int{shortID, longID}) {
		t.Errorf("granted %v, want the short body %d and then the long one %d", granted, shortID, longID)
	}
}

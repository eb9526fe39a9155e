package memusage

import (
	"math"
	"os"
	"runtime"
	"testing"
)

func TestReadCountsMemoryInUse(t *testing.T) {
	before := Read()
	held := make([]byte, 32<<20)
	for i := 0; i < len(held); i += os.Getpagesize() {
		held[i] = 1
	}
	runtime.GC()
	after := Read()
	runtime.KeepAlive(held)
	if grown := after.LiveHeap - before.LiveHeap; grown < int64(len(held)) {
		t.Errorf("the live heap grew by %d bytes, want %d at least", grown, len(held))
	}
	if grown := after.Resident - before.Resident; grown < int64(len(held))/2 {
		t.Errorf("the resident set grew by %d bytes, want about %d", grown, len(held))
	}
	if after.Goroutines < 1 || after.Runtime < after.LiveHeap || after.Stacks <= 0 {
		t.Errorf("read %+v, want goroutines, stacks, and a runtime that holds the live heap", after)
	}
}

func TestParseStatm(t *testing.T) {
	page := int64(os.Getpagesize())
	if resident, shared, err := parseStatm("4000 300 200 10 0 50 0\n"); err != nil || resident != 300*page || shared != 200*page {
		t.Errorf("got %d, %d, %v, want 300 and 200 pages", resident, shared, err)
	}
	for _, text := range []string{"", "1 2", "1 x 3", "1 2 x"} {
		if _, _, err := parseStatm(text); err == nil {
			t.Errorf("%q is parsed without an error", text)
		}
	}
}

// The resident set includes the mapped program, which the runtime's limit does not: with little memory the heap must leave room for it.
func TestRuntimeLimitLeavesRoomForTheProgram(t *testing.T) {
	for _, row := range []struct {
		memoryMB, processes int
		programMB, wantMB   float64
	}{
		{192, 1, 12, 134.4}, // the fraction
		{32, 1, 12, 16.9},   // what the program leaves
		{96, 2, 12, 32.9},
		{16, 1, 12, 8.4}, // never below the least
	} {
		got := RuntimeLimit(row.memoryMB, row.processes, int64(row.programMB*1e6))
		if math.Abs(float64(got)-row.wantMB*1e6) > 1e5 {
			t.Errorf("%d MB for %d processes: the runtime's limit is %d bytes, want about %.1f MB", row.memoryMB, row.processes, got, row.wantMB)
		}
	}
}

func TestPressureRisesTowardsTheLimit(t *testing.T) {
	const limit = 32_000_000
	for resident, want := range map[int64]Pressure{
		0: Relaxed, 23_900_000: Relaxed, 24_000_000: Watchful, 29_439_999: Watchful, 29_440_000: Tight, 30_400_000: Critical, 40_000_000: Critical,
	} {
		if got := PressureOf(resident, limit); got != want {
			t.Errorf("%d bytes of %d: pressure %d, want %d", resident, limit, got, want)
		}
	}
	if got := PressureOf(1<<40, 0); got != Relaxed {
		t.Errorf("without a limit the pressure is %d, want none", got)
	}
}

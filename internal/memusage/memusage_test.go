package memusage

import (
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

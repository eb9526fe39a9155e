package transport

import "testing"

func TestReplayFilterAcceptsEachPacketOnceWithinBoundedMemory(t *testing.T) {
	var f replayFilter
	for n := uint64(1); n <= 5000; n += 2 {
		if !f.accept(1, n) {
			t.Fatalf("sequence number %d is not accepted the first time", n)
		}
		if f.accept(1, n) {
			t.Fatalf("sequence number %d is accepted twice", n)
		}
		if n > replayWindowBits+2 && f.accept(1, n-replayWindowBits-2) {
			t.Fatalf("sequence number %d, older than the window, is accepted after %d", n-replayWindowBits-2, n)
		}
	}
	const reorderedSequence = 4999 - 501
	if !f.accept(1, reorderedSequence) {
		t.Error("a reordered packet within the window is not accepted")
	}
	if f.accept(1, reorderedSequence) {
		t.Error("a reordered packet within the window is accepted twice")
	}
	for generation := uint64(2); generation < 3*maxTrackedProcesses; generation++ {
		f.accept(generation, 1)
	}
	if n := len(f.current) + len(f.previous); n > 2*maxTrackedProcesses {
		t.Errorf("%d processes are tracked, want at most %d", n, 2*maxTrackedProcesses)
	}
}

package transport

import "testing"

func TestReplayFilterAcceptsEachPacketOnceWithinBoundedMemory(t *testing.T) {
	var f replayFilter
	for n := uint64(1); n <= 5000; n += 2 {
		if !f.accept(1, n) {
			t.Fatalf("%d is not accepted", n)
		}
		if f.accept(1, n) {
			t.Fatalf("%d is accepted twice", n)
		}
		if n > replayWindowBits+2 && f.accept(1, n-replayWindowBits-2) {
			t.Fatalf("%d is accepted after %d", n-replayWindowBits-2, n)
		}
	}
	const overtaken = 4999 - 501
	if !f.accept(1, overtaken) {
		t.Error("a packet that others overtook is not accepted")
	}
	if f.accept(1, overtaken) {
		t.Error("a packet that others overtook is accepted twice")
	}
	for generation := uint64(2); generation < 3*maxTrackedProcesses; generation++ {
		f.accept(generation, 1)
	}
	if n := len(f.current) + len(f.previous); n > 2*maxTrackedProcesses {
		t.Errorf("%d runs are tracked", n)
	}
}

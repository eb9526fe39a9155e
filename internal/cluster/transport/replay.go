package transport

import "tuliprock/internal/cluster/swim"

// The size of a replayWindow, in words of 64 bits and in bits. The window has one bit for each packet. A packet in a stream may
// arrive later than datagrams that were sent after it, so the window covers the datagrams that a process sends in some seconds.
const (
	replayWindowWords = 16
	replayWindowBits  = 64 * replayWindowWords
)

// replayWindow is a sliding window over the sequence numbers of one process (cf. RFC 4303, section 3.4.3).
type replayWindow struct {
	highestSequence uint64                    // highest sequence number received from the process
	receivedBits    [replayWindowWords]uint64 // ring of bits: whether each of the replayWindowBits sequence numbers up to highestSequence was received
}

// accept marks a sequence number as received, and reports whether it is received for the first time. It also returns false for
// a number that is replayWindowBits or more below the highest received one, since the window has no bit for it.
func (w *replayWindow) accept(sequence uint64) bool {
	if sequence+replayWindowBits <= w.highestSequence {
		return false
	}
	// Clear the bits for the numbers from highestSequence+1 to sequence. Until now, the same bits of the ring stood for numbers
	// that are lower by replayWindowBits, which the window no longer covers.
	for ; w.highestSequence < sequence && sequence-w.highestSequence <= replayWindowBits; w.highestSequence++ {
		w.clearBit(w.highestSequence + 1)
	}
	if w.highestSequence < sequence { // sequence is so far above highestSequence that no received number is in the new window
		*w = replayWindow{highestSequence: sequence}
	}
	word, bit := &w.receivedBits[sequence/64%replayWindowWords], uint64(1)<<(sequence%64)
	isFirst := *word&bit == 0
	*word |= bit
	return isFirst
}

// clearBit marks a sequence number as not received.
func (w *replayWindow) clearBit(sequence uint64) {
	w.receivedBits[sequence/64%replayWindowWords] &^= 1 << (sequence % 64)
}

// maxTrackedProcesses is the maximum number of replay windows in each map of a replayFilter: enough for the largest cluster
// in which each daemon was restarted once.
const maxTrackedProcesses = 2 * swim.MaxMembers

// replayFilter contains a replay window for each sending process. The keys of both maps are generations of processes. New windows
// are added to current. When current has maxTrackedProcesses windows, it becomes previous, and the former previous is discarded,
// so that memory is bounded.
type replayFilter struct{ current, previous map[uint64]*replayWindow }

// accept records that a packet was received, given the generation of the sending process and the packet's sequence number, and
// reports whether the process's replay window shows that it was received for the first time. The result is false if the packet
// is too old for the window.
func (f *replayFilter) accept(generation, sequence uint64) bool {
	w := f.current[generation]
	if w == nil {
		if w = f.previous[generation]; w == nil {
			w = &replayWindow{}
		}
		if len(f.current) >= maxTrackedProcesses || f.current == nil {
			f.current, f.previous = map[uint64]*replayWindow{}, f.current
		}
		f.current[generation] = w
	}
	return w.accept(sequence)
}

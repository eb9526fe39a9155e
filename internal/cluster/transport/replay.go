package transport

import "tuliprock/internal/cluster/swim"

// A packet in a stream may arrive after datagrams that were sent after it. The window is as long as some seconds of them.
const (
	replayWindowWords = 16
	replayWindowBits  = 64 * replayWindowWords
)

// replayWindow is a sliding window over the sequence numbers of one process (cf. RFC 4303, section 3.4.3).
type replayWindow struct {
	highest uint64                    // the highest number received
	seen    [replayWindowWords]uint64 // a ring of bits: numbers received among the latest replayWindowBits
}

// accept marks a sequence number as received, and reports whether it is so for the first time. One that is too old to tell
// is not accepted.
func (w *replayWindow) accept(sequence uint64) bool {
	if sequence+replayWindowBits <= w.highest {
		return false
	}
	for ; w.highest < sequence && sequence-w.highest <= replayWindowBits; w.highest++ { // the ring's bits are reused
		w.clearBit(w.highest + 1)
	}
	if w.highest < sequence { // it is ahead by more than a window
		*w = replayWindow{highest: sequence}
	}
	word, bit := &w.seen[sequence/64%replayWindowWords], uint64(1)<<(sequence%64)
	isFirst := *word&bit == 0
	*word |= bit
	return isFirst
}

func (w *replayWindow) clearBit(sequence uint64) {
	w.seen[sequence/64%replayWindowWords] &^= 1 << (sequence % 64)
}

// maxTrackedProcesses bounds each generation of a replayFilter. A full cluster in which each daemon was restarted fits.
const maxTrackedProcesses = 2 * swim.MaxMembers

// replayFilter has the replay windows of all senders by run ID. They are kept in two generations, of which the older one
// is discarded when the younger is full, so that memory is bounded.
type replayFilter struct{ current, previous map[uint64]*replayWindow }

// accept reports whether a packet is received for the first time, as far back as its sender's window reaches.
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

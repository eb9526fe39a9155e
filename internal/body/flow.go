package body

import "errors"

var errFlowEnded = errors.New("attempt has ended")

// Flow is one attempt's pass over an Upload. No two flows of an Upload may be under way, but a read of one that has
// ended may still be: what it brings belongs to the next flow.
type Flow struct {
	upload  *Upload
	offset  int  // into the prefix; guarded by upload.mu
	isEnded bool // guarded by upload.mu
}

// NewFlow returns a flow that begins with the body's first byte. ok is false if the body can't be sent again.
func (u *Upload) NewFlow() (f *Flow, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return &Flow{upload: u}, !u.isConsumed
}

// Next returns the next part of the body, of at most WindowSize bytes, which is valid until the next call. io.EOF is the
// body's end; any other error means that the body could not be read or that the flow has ended.
func (f *Flow) Next() ([]byte, error) { return f.upload.next(f) }

// End ends the flow. A call of Next that waits returns an error as soon as no read is under way on its behalf.
func (f *Flow) End() {
	f.upload.mu.Lock()
	defer f.upload.mu.Unlock()
	f.isEnded = true
	f.upload.readEnded.Broadcast() // Next may wait for the read of an earlier flow
}

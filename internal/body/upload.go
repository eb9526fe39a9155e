package body

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// What may be wrong with an Upload, beside ErrSlow.
var (
	ErrTooLong = errors.New("the body is too long")
	ErrBroken  = errors.New("the body can't be read to its end")
)

// Source is where an Upload comes from.
type Source struct {
	Body     io.Reader
	Deadline func(time.Time) error // of reads; it must end one that waits
	Size     int64                 // -1: not known
	Most     int64                 // bytes, more of which are too many
	Trailer  func() http.Header    // once Body has ended; nil: none
	Expects  bool                  // the caller waits for a word before it sends the body (RFC 9110, 10.1.1)
	Pace     Pace
}

// Held is how much of an Upload's beginning is held: half of a Window. What follows flows through the other half.
const Held = Window / 2

// Upload is a request's body that flows in while the request is out. Its beginning is held, and can be sent again for as
// long as nothing beyond it has been given out. Methods are safe for concurrent use, but no two flows may be under way,
// and Next's bytes hold until the next Next only.
type Upload struct {
	Source
	pool   *Pool
	window *[]byte
	meter  Meter
	failed chan struct{} // closed when the body could not be read

	mu         sync.Mutex
	readEnded  sync.Cond // of reading
	prefixLen  int       // bytes of the beginning
	readAhead  []byte    // what came for a flow that had ended: the next one's
	received   int64
	isReading  bool
	isComplete bool // the end has come
	isConsumed bool
	isStopped  bool // nobody wants more
	err        error
}

// NewUpload takes a window from the pool, and waits for one as long as ctx lasts. Close must be called.
func NewUpload(ctx context.Context, pool *Pool, s Source) (*Upload, error) {
	w, err := pool.AcquireWindow(ctx)
	if err != nil {
		return nil, err
	}
	u := &Upload{Source: s, pool: pool, window: w, meter: NewMeter(s.Pace), failed: make(chan struct{})}
	u.readEnded.L = &u.mu
	return u, nil
}

// Fill reads until all that can be held is there or the body has ended, and tells whether all of the body is there. A
// request whose beginning does not come reaches nobody.
func (u *Upload) Fill() (whole bool, err error) {
	for u.prefixLen < Held {
		if _, err := u.next(nil); errors.Is(err, io.EOF) {
			return true, nil
		} else if err != nil {
			return false, err
		}
	}
	return false, nil
}

// Beginning is what is held of the body.
func (u *Upload) Beginning() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return (*u.window)[:u.prefixLen]
}

// Spent tells whether the body can't be sent again: more of it was given out than is held.
func (u *Upload) Spent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isConsumed
}

// Whole tells whether the body's end has come: then what follows on the connection is not of it.
func (u *Upload) Whole() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isComplete
}

// Failed is closed when the body could not be read; Err says why.
func (u *Upload) Failed() <-chan struct{} { return u.failed }

// Err is why the body could not be read: ErrSlow, ErrTooLong or ErrBroken, wrapped.
func (u *Upload) Err() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}

// Exhaust reads on to the body's end and drops what comes. It is for a sender who has ended, so that nothing has to be waited for;
// the error says why there is no end. A body of which nothing came is not read: that would ask for it.
func (u *Upload) Exhaust() error {
	u.mu.Lock()
	if u.Expects && u.received == 0 && u.readError() == nil {
		u.recordReadError(io.ErrUnexpectedEOF)
	}
	u.mu.Unlock()
	for {
		if _, err := u.next(nil); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// Settle is Err once no read is under way: net/http tells of a read that failed before the read returns.
func (u *Upload) Settle() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waitForRead()
	return u.err
}

// waitForRead waits until no read is under way. u.mu is held, but let go meanwhile.
func (u *Upload) waitForRead() {
	for u.isReading {
		u.readEnded.Wait()
	}
}

// next reads once: into what is free of the beginning's half, or else the other half. io.EOF is the body's end. A read
// of a flow that has ended may still be under way: what it brings is this one's.
func (u *Upload) next(f *Flow) ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.isReading && (f == nil || !f.isEnded) {
		u.readEnded.Wait()
	}
	if f != nil && f.isEnded {
		return nil, errFlowEnded
	}
	if f != nil && f.offset < u.prefixLen {
		part := (*u.window)[f.offset:u.prefixLen]
		f.offset = u.prefixLen
		return part, nil
	}
	if part := u.readAhead; part != nil { // and what is held goes under with the next read
		u.readAhead, u.isConsumed = nil, true
		return part, nil
	}
	if err := u.readError(); err != nil {
		return nil, err
	}
	to := (*u.window)[u.prefixLen:Held]
	beyond := len(to) == 0
	switch {
	case u.isConsumed: // what was held is of no use any more
		to = *u.window
	case beyond:
		to = (*u.window)[Held:]
	}
	n, err := u.readInto(to)
	if u.received += int64(n); !beyond {
		u.prefixLen += n
	}
	u.recordReadError(err)
	switch {
	case u.err != nil:
		return nil, u.err
	case n == 0 && u.isComplete:
		return nil, io.EOF
	case f != nil && f.isEnded:
		if beyond {
			u.readAhead = to[:n]
		}
		return nil, errFlowEnded
	case f != nil && !beyond:
		f.offset = u.prefixLen
	}
	u.isConsumed = u.isConsumed || beyond
	return to[:n], nil
}

// readInto reads with u.mu let go: a caller may take its time. u.mu is held before and after.
func (u *Upload) readInto(to []byte) (int, error) {
	u.isReading = true
	began := time.Now()
	n, err := 0, error(nil)
	if at, anew := u.meter.Deadline(began); anew {
		err = u.Deadline(at)
	}
	u.mu.Unlock()
	for err == nil && n == 0 {
		n, err = Read(u.Body, to)
	}
	u.meter.Record(n, time.Since(began))
	u.mu.Lock()
	u.isReading = false
	u.readEnded.Broadcast()
	return n, err
}

// readError is called with u.mu held.
func (u *Upload) readError() error {
	switch {
	case u.isComplete:
		return io.EOF
	case u.err != nil:
		return u.err
	case u.isStopped:
		return ErrBroken
	}
	return nil
}

// recordReadError takes what a read said of the body. The limit of time must be lifted at its end: while a request waits for its
// answer, a read that times out looks to net/http like a caller that has left. u.mu is held.
func (u *Upload) recordReadError(err error) {
	switch {
	case u.received > u.Most:
		u.err = ErrTooLong
	case errors.Is(err, io.EOF):
		u.isComplete = true
		_ = u.Deadline(time.Time{})
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		u.err = fmt.Errorf("%w: the body does not come", ErrSlow)
	case err != nil:
		u.err = fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if u.err != nil {
		close(u.failed)
	}
}

// Flow is one attempt's way through an Upload.
type Flow struct {
	upload  *Upload
	offset  int // how much of the beginning was given out; guarded by u.mu, as is
	isEnded bool
}

var errFlowEnded = errors.New("the attempt has ended")

// NewFlow gives the body from its beginning on; ok is false if it is spent.
func (u *Upload) NewFlow() (f *Flow, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return &Flow{upload: u}, !u.isConsumed
}

// Next is the next part of the body, up to a Window; io.EOF: there is none.
func (f *Flow) Next() ([]byte, error) { return f.upload.next(f) }

// End says that nothing more is wanted by this flow.
func (f *Flow) End() {
	f.upload.mu.Lock()
	defer f.upload.mu.Unlock()
	f.isEnded = true
	f.upload.readEnded.Broadcast() // it may wait for another's read
}

// Stop ends a read that is under way, and allows no further one.
func (u *Upload) Stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.isComplete && u.err == nil {
		u.isStopped = true
		_ = u.Deadline(time.Unix(1, 0))
	}
}

// TakeWindow gives the window away until Close, once nothing is read into it any more: the body is spent. It is nil while
// the body still comes.
func (u *Upload) TakeWindow() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isReading || u.readAhead != nil {
		return nil
	}
	u.isConsumed, u.isStopped = true, true
	return *u.window
}

// Close ends the Upload: whatever still comes is read and dropped for up to a time and a number of bytes, so that the
// caller gets to read its answer (RFC 9112, 9.6). It returns when nothing reads any more.
func (u *Upload) Close(linger time.Duration, most int64) {
	u.mu.Lock()
	u.isStopped = true
	if !u.isComplete && u.err == nil {
		_ = u.Deadline(time.Now().Add(linger))
	}
	u.waitForRead()
	drain := !u.isComplete && u.err == nil && (u.received > 0 || !u.Expects) // a read would ask for what was never wanted
	u.mu.Unlock()
	if drain {
		end := time.Now().Add(linger)
		for left := most; left > 0 && time.Now().Before(end); {
			n, err := u.Body.Read(*u.window)
			left -= int64(n)
			if err != nil {
				break
			}
		}
	}
	u.pool.ReleaseWindow(u.window)
}

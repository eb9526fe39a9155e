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
	ended  chan struct{} // closed when the body could not be read

	mu      sync.Mutex
	quiet   sync.Cond // of reading
	held    int       // bytes of the beginning
	ahead   []byte    // what came for a flow that had ended: the next one's
	got     int64
	reading bool
	whole   bool // the end has come
	spent   bool
	over    bool // nobody wants more
	err     error
}

// NewUpload takes a window from the pool, and waits for one as long as ctx lasts. Close must be called.
func NewUpload(ctx context.Context, pool *Pool, s Source) (*Upload, error) {
	w, err := pool.Borrow(ctx)
	if err != nil {
		return nil, err
	}
	u := &Upload{Source: s, pool: pool, window: w, meter: NewMeter(s.Pace), ended: make(chan struct{})}
	u.quiet.L = &u.mu
	return u, nil
}

// Fill reads until all that can be held is there or the body has ended, and tells whether all of the body is there. A
// request whose beginning does not come reaches nobody.
func (u *Upload) Fill() (whole bool, err error) {
	for u.held < Held {
		if _, err := u.read(nil); errors.Is(err, io.EOF) {
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
	return (*u.window)[:u.held]
}

// Spent tells whether the body can't be sent again: more of it was given out than is held.
func (u *Upload) Spent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.spent
}

// Whole tells whether the body's end has come: then what follows on the connection is not of it.
func (u *Upload) Whole() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.whole
}

// Failed is closed when the body could not be read; Err says why.
func (u *Upload) Failed() <-chan struct{} { return u.ended }

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
	if u.Expects && u.got == 0 && u.mayRead() == nil {
		u.note(io.ErrUnexpectedEOF)
	}
	u.mu.Unlock()
	for {
		if _, err := u.read(nil); errors.Is(err, io.EOF) {
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
	u.settle()
	return u.err
}

// settle waits until no read is under way. u.mu is held, but let go meanwhile.
func (u *Upload) settle() {
	for u.reading {
		u.quiet.Wait()
	}
}

// read reads once: into what is free of the beginning's half, or else the other half. io.EOF is the body's end. A read
// of a flow that has ended may still be under way: what it brings is this one's.
func (u *Upload) read(f *Flow) ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.reading && (f == nil || !f.ended) {
		u.quiet.Wait()
	}
	if f != nil && f.ended {
		return nil, errEnded
	}
	if f != nil && f.at < u.held {
		part := (*u.window)[f.at:u.held]
		f.at = u.held
		return part, nil
	}
	if part := u.ahead; part != nil { // and what is held goes under with the next read
		u.ahead, u.spent = nil, true
		return part, nil
	}
	if err := u.mayRead(); err != nil {
		return nil, err
	}
	to := (*u.window)[u.held:Held]
	beyond := len(to) == 0
	switch {
	case u.spent: // what was held is of no use any more
		to = *u.window
	case beyond:
		to = (*u.window)[Held:]
	}
	n, err := u.readInto(to)
	if u.got += int64(n); !beyond {
		u.held += n
	}
	u.note(err)
	switch {
	case u.err != nil:
		return nil, u.err
	case n == 0 && u.whole:
		return nil, io.EOF
	case f != nil && f.ended:
		if beyond {
			u.ahead = to[:n]
		}
		return nil, errEnded
	case f != nil && !beyond:
		f.at = u.held
	}
	u.spent = u.spent || beyond
	return to[:n], nil
}

// readInto reads with u.mu let go: a caller may take its time. u.mu is held before and after.
func (u *Upload) readInto(to []byte) (int, error) {
	u.reading = true
	began := time.Now()
	n, err := 0, error(nil)
	if at, anew := u.meter.Limit(began); anew {
		err = u.Deadline(at)
	}
	u.mu.Unlock()
	for err == nil && n == 0 {
		n, err = Read(u.Body, to)
	}
	u.meter.Moved(n, time.Since(began))
	u.mu.Lock()
	u.reading = false
	u.quiet.Broadcast()
	return n, err
}

// mayRead is called with u.mu held.
func (u *Upload) mayRead() error {
	switch {
	case u.whole:
		return io.EOF
	case u.err != nil:
		return u.err
	case u.over:
		return ErrBroken
	}
	return nil
}

// note takes what a read said of the body. The limit of time must be lifted at its end: while a request waits for its
// answer, a read that times out looks to net/http like a caller that has left. u.mu is held.
func (u *Upload) note(err error) {
	switch {
	case u.got > u.Most:
		u.err = ErrTooLong
	case errors.Is(err, io.EOF):
		u.whole = true
		_ = u.Deadline(time.Time{})
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		u.err = fmt.Errorf("%w: the body does not come", ErrSlow)
	case err != nil:
		u.err = fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if u.err != nil {
		close(u.ended)
	}
}

// Flow is one attempt's way through an Upload.
type Flow struct {
	u     *Upload
	at    int // how much of the beginning was given out; guarded by u.mu, as is
	ended bool
}

var errEnded = errors.New("the attempt has ended")

// Begin gives the body from its beginning on; ok is false if it is spent.
func (u *Upload) Begin() (f *Flow, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return &Flow{u: u}, !u.spent
}

// Next is the next part of the body, up to a Window; io.EOF: there is none.
func (f *Flow) Next() ([]byte, error) { return f.u.read(f) }

// End says that nothing more is wanted by this flow.
func (f *Flow) End() {
	f.u.mu.Lock()
	defer f.u.mu.Unlock()
	f.ended = true
	f.u.quiet.Broadcast() // it may wait for another's read
}

// Stop ends a read that is under way, and allows no further one.
func (u *Upload) Stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.whole && u.err == nil {
		u.over = true
		_ = u.Deadline(time.Unix(1, 0))
	}
}

// Surrender gives the window away until Close, once nothing is read into it any more: the body is spent. It is nil while
// the body still comes.
func (u *Upload) Surrender() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reading || u.ahead != nil {
		return nil
	}
	u.spent, u.over = true, true
	return *u.window
}

// Close ends the Upload: whatever still comes is read and dropped for up to a time and a number of bytes, so that the
// caller gets to read its answer (RFC 9112, 9.6). It returns when nothing reads any more.
func (u *Upload) Close(linger time.Duration, most int64) {
	u.mu.Lock()
	u.over = true
	if !u.whole && u.err == nil {
		_ = u.Deadline(time.Now().Add(linger))
	}
	u.settle()
	drain := !u.whole && u.err == nil && (u.got > 0 || !u.Expects) // a read would ask for what was never wanted
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
	u.pool.Return(u.window)
}

// Package body streams request and response bodies in bounded memory.
//
// MemoryBudget decides which body may hold how much memory, and Meter when a peer falls below its minimum rate (MinimumRate).
// Neither has I/O, a clock or a goroutine. MemoryPool, Upload and Write carry their decisions out.
//
// A MemoryPool is shared by all bodies of a process and guarded by its own mutex. An Upload belongs to the request whose body
// it reads, and its Flows to the attempts of that request, one after the other. The package starts no goroutines: all
// reads, writes and waits happen on its callers' goroutines, and all end with a context, a deadline, Stop or Close.
// Memory that was acquired is released exactly once by whoever acquired it, an Upload's by Close.
package body

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Why an Upload could not be read, besides ErrTooSlow. Clients receive the texts.
var (
	// ErrTooLong is a body of more than Source.MaxBytes bytes.
	ErrTooLong = errors.New("the body is too long")
	// ErrBroken is a body without its end, or one that was stopped.
	ErrBroken = errors.New("the body can't be read to its end")
)

// PrefixSize is the length in bytes of an Upload's prefix, which stays buffered. What follows it streams through the rest of
// the window.
const PrefixSize = WindowSize / 2

// Source is the request from which an Upload reads.
type Source struct {
	Body io.Reader
	// SetReadDeadline sets the deadline of reads. It must also end a read that waits.
	SetReadDeadline func(time.Time) error
	// Size is the body's length in bytes; -1 means that it is not known.
	Size int64
	// MaxBytes is the maximum length in bytes.
	MaxBytes int64
	// Trailer returns the request's trailers once Body has ended; nil means that there are none.
	Trailer func() http.Header
	// ExpectsContinue says that the client waits for 100 Continue before it sends the body (RFC 9110, 10.1.1).
	ExpectsContinue bool
	// MinimumRate is the minimum rate of the client.
	MinimumRate MinimumRate
}

// Upload is a request's body that is forwarded while it arrives. Its prefix stays buffered, and the body can be sent
// again until something beyond the prefix was returned by a Flow. Methods are safe for concurrent use, but no two flows
// may be under way.
type Upload struct {
	Source
	pool   *MemoryPool
	window *[]byte
	meter  Meter
	failed chan struct{} // closed when the body could not be read

	mu         sync.Mutex
	readEnded  sync.Cond
	prefixLen  int    // bytes of the prefix that have arrived
	readAhead  []byte // read for a flow that had ended, and to be returned to the next one
	received   int64  // bytes
	isReading  bool
	isComplete bool // the body's end has arrived
	isConsumed bool // something beyond the prefix was returned, or the window was taken
	isStopped  bool // no more reads are allowed
	err        error
}

// NewUpload returns an Upload with a window of the pool, for which it waits until ctx ends. Its errors are those of
// MemoryPool.Acquire. Close must be called.
func NewUpload(ctx context.Context, pool *MemoryPool, s Source) (*Upload, error) {
	w, err := pool.AcquireWindow(ctx)
	if err != nil {
		return nil, err
	}
	u := &Upload{Source: s, pool: pool, window: w, meter: NewMeter(s.MinimumRate), failed: make(chan struct{})}
	u.readEnded.L = &u.mu
	return u, nil
}

// Prefix returns what has arrived of the prefix. It is valid until more than the prefix was read, or until Close.
func (u *Upload) Prefix() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return (*u.window)[:u.prefixLen]
}

// IsConsumed reports whether the body can't be sent again, since more than its prefix was returned.
func (u *Upload) IsConsumed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isConsumed
}

// IsComplete reports whether the body's end has arrived, so that what follows on the connection is not a part of it.
func (u *Upload) IsComplete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isComplete
}

// Failed returns a channel that is closed when the body could not be read. Err then says why.
func (u *Upload) Failed() <-chan struct{} { return u.failed }

// Err returns why the body could not be read: ErrTooSlow, ErrTooLong or ErrBroken, wrapped. It is nil otherwise.
func (u *Upload) Err() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}

// ErrAfterRead returns Err once no read is under way. net/http cancels a request whose read has failed before that read
// returns, so that Err alone could still be nil.
func (u *Upload) ErrAfterRead() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waitForRead()
	return u.err
}

// waitForRead waits until no read is under way. u.mu is held before and after, but not while it waits.
func (u *Upload) waitForRead() {
	for u.isReading {
		u.readEnded.Wait()
	}
}

// Stop ends a read that is under way, and allows no further one.
func (u *Upload) Stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.isComplete && u.err == nil {
		u.isStopped = true
		_ = u.SetReadDeadline(time.Unix(1, 0)) // fails only on a connection that is closed
	}
}

// TakeWindow returns the window for the caller's use until Close. The body can't be sent again and is not read on. If
// the body still arrives, or part of it waits for a flow, TakeWindow does nothing and returns nil.
func (u *Upload) TakeWindow() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isReading || u.readAhead != nil {
		return nil
	}
	u.isConsumed, u.isStopped = true, true
	return *u.window
}

// Close ends the Upload and releases its window once no read is under way. What still arrives of the body is read and
// dropped, for at most the time linger and about maxBytes bytes, so that the client can read its response before the
// connection is reset (RFC 9112, 9.6).
func (u *Upload) Close(linger time.Duration, maxBytes int64) {
	u.mu.Lock()
	u.isStopped = true
	if !u.isComplete && u.err == nil {
		_ = u.SetReadDeadline(time.Now().Add(linger)) // fails only on a connection that is closed
	}
	u.waitForRead()
	// A read of a body that waits for 100 Continue would send that, though nobody wants the body.
	drains := !u.isComplete && u.err == nil && (u.received > 0 || !u.ExpectsContinue)
	u.mu.Unlock()
	if drains {
		u.drain(linger, maxBytes)
	}
	u.pool.ReleaseWindow(u.window)
}

// drain reads and drops what still arrives, within the limits.
func (u *Upload) drain(linger time.Duration, maxBytes int64) {
	end := time.Now().Add(linger)
	for left := maxBytes; left > 0 && time.Now().Before(end); {
		n, err := u.Body.Read(*u.window)
		left -= int64(n)
		if err != nil {
			return
		}
	}
}

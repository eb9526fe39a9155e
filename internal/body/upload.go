// Package body streams request and response bodies in bounded memory.
//
// MemoryBudget decides how much memory each body may hold, and Meter decides when a peer has fallen below its MinimumRate.
// Neither does I/O, reads a clock or starts a goroutine. MemoryPool, Upload and Write apply these decisions.
//
// All bodies of a process share one MemoryPool, which its own mutex guards. An Upload belongs to the request whose body it
// reads, and each of its UploadReaders to one attempt of that request; attempts follow each other. The package starts no
// goroutines: all reads, writes and waits run on the goroutines of its callers, and each ends with a context, a deadline, Stop
// or Close. Acquired memory is released exactly once by whoever acquired it. A buffer may have several users, each with a
// reference of its own (see Buffer): an Upload, the UploadReader whose parts an attempt writes, and the response that is read into
// the buffer of its request.
package body

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Upload.Err returns one of these errors or ErrTooSlow, possibly wrapped, if the client's body could not be read. The texts are
// sent to clients.
var (
	// ErrTooLong is returned for a body of more than Source.MaxBytes bytes.
	ErrTooLong = errors.New("the body is too long")
	// ErrBroken is returned for a body that is malformed or ended early, or whose reading was stopped.
	ErrBroken = errors.New("the body can't be read to its end")
)

// PrefixSize is the maximum length of the prefix of a body, in bytes. The prefix is the first part of the body, which an Upload
// keeps in its buffer so that the body can be sent again. The bytes after the prefix stream through the rest of the buffer.
const PrefixSize = BufferSize / 2

// Source is the request from which an Upload reads.
type Source struct {
	Body io.Reader
	// SetReadDeadline sets the read deadline of Body. It must also apply to a read that is blocked.
	SetReadDeadline func(time.Time) error
	// Size is the body's length in bytes; -1 means that the length is not known.
	Size int64
	// MaxBytes is the maximum length of the body in bytes.
	MaxBytes int64
	// Trailer returns the request's trailers once Body has ended; nil means that there are none.
	Trailer func() http.Header
	// ExpectsContinue says that the client waits for 100 Continue before it sends the body (RFC 9110, 10.1.1).
	ExpectsContinue bool
	// MinimumRate is the rate that the client must keep while it sends the body.
	MinimumRate MinimumRate
	// ArrivedAt is when the request's head arrived; zero means when NewUpload was called.
	ArrivedAt time.Time
	// Connection is the connection of the client; nil means that each read of Body waits for the client.
	Connection ClientConnection
}

// Upload is a request's body that is forwarded while it arrives. The first PrefixSize bytes of the body, its prefix, stay
// buffered, so the body can be sent again until an UploadReader has returned bytes beyond the prefix. Methods are safe for
// concurrent use, but only one UploadReader may be open at a time.
type Upload struct {
	Source
	buffer *Buffer       // BufferSize bytes that hold the body's first PrefixSize bytes, and each later part of the body until the next read
	meter  Meter         // checks that the client keeps its MinimumRate
	failed chan struct{} // closed when the body could not be read

	mu            sync.Mutex
	readEnded     sync.Cond // signaled when a read of Source.Body ends and when an UploadReader is closed
	prefixLen     int       // how many of the body's first PrefixSize bytes have arrived
	pendingPart   []byte    // part of the body that was read for an UploadReader that has been closed; the next UploadReader returns this part
	receivedBytes int64     // bytes of the body that have arrived
	isReading     bool      // a read of Source.Body is in progress
	isComplete    bool      // the body's end has arrived
	unfinishedAt  time.Time // latest known time at which the client had certainly not written the body's last byte
	isConsumed    bool      // the body can't be sent again: bytes beyond the first PrefixSize were returned, or TakeBuffer was called
	isStopped     bool      // no more reads of Source.Body may start
	isClosed      bool      // Close was called: the buffer may be released, and gets no more users
	err           error     // why a read of the body failed; nil: none has failed
}

// NewUpload returns an Upload with a buffer from the pool. It waits for the buffer until ctx ends, and fails as
// MemoryPool.Acquire does. Close must be called.
func NewUpload(ctx context.Context, pool *MemoryPool, s Source) (*Upload, error) {
	buffer, err := pool.AcquireBuffer(ctx)
	if err != nil {
		return nil, err
	}
	u := &Upload{Source: s, buffer: buffer, meter: NewMeter(s.MinimumRate), failed: make(chan struct{})}
	u.readEnded.L = &u.mu
	if u.unfinishedAt = s.ArrivedAt; u.unfinishedAt.IsZero() {
		u.unfinishedAt = time.Now()
	}
	return u, nil
}

// Prefix returns those of the body's first PrefixSize bytes that have arrived. The result is valid until bytes after the first
// PrefixSize have been read, or until Close.
func (u *Upload) Prefix() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.buffer.Bytes()[:u.prefixLen]
}

// IsConsumed reports whether the body can't be sent again, because an UploadReader has returned bytes beyond its first
// PrefixSize or TakeBuffer was called.
func (u *Upload) IsConsumed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isConsumed
}

// IsComplete reports whether the body's end has arrived, so that further bytes on the connection are not a part of it.
func (u *Upload) IsComplete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isComplete
}

// ReceivedBytes returns how many bytes of the body have arrived.
func (u *Upload) ReceivedBytes() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.receivedBytes
}

// Failed returns a channel that is closed when the body could not be read. Err then returns the reason.
func (u *Upload) Failed() <-chan struct{} { return u.failed }

// Err returns why the body could not be read: ErrTooSlow, ErrTooLong or ErrBroken, wrapped. It is nil otherwise.
func (u *Upload) Err() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}

// ErrAfterRead waits until no read is in progress and returns the same as Err. It is for use after the request's context was
// canceled: when a read fails, net/http cancels the context before the read returns, so Err may still return nil.
func (u *Upload) ErrAfterRead() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waitForRead()
	return u.err
}

// waitForRead waits until no read of Source.Body is in progress. u.mu is held before and after, but not during the wait.
func (u *Upload) waitForRead() {
	for u.isReading {
		u.readEnded.Wait()
	}
}

// Stop interrupts a read that is in progress, and prevents further ones.
func (u *Upload) Stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.isComplete && u.err == nil {
		u.isStopped = true
		_ = u.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// TakeBuffer lets the caller use the Upload's buffer, and returns a reference that the caller must release. The body can't be sent
// again or read further after that. If a read is in progress, a part that was read has not been returned yet, or the Upload is
// closed, TakeBuffer does nothing and returns nil.
func (u *Upload) TakeBuffer() *Buffer {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isReading || u.pendingPart != nil || u.isClosed {
		return nil
	}
	u.isConsumed, u.isStopped = true, true
	return u.buffer.Retain()
}

// Close ends the Upload, and releases its reference to the buffer when no read is in progress. It first reads and discards the rest
// of the body, for at most the time linger and up to about maxBytes bytes, so that the client can read its response before the
// connection is reset (RFC 9112, 9.6).
func (u *Upload) Close(linger time.Duration, maxBytes int64) {
	u.mu.Lock()
	u.isStopped, u.isClosed = true, true
	if !u.isComplete && u.err == nil {
		_ = u.SetReadDeadline(time.Now().Add(linger)) // fails only on a closed connection
	}
	u.waitForRead()
	// If the client waits for 100 Continue, a read would make net/http send 100 Continue and so ask for a body that is not needed.
	mustDrain := !u.isComplete && u.err == nil && (u.receivedBytes > 0 || !u.ExpectsContinue)
	u.mu.Unlock()
	if mustDrain {
		u.drain(linger, maxBytes)
	}
	u.buffer.Release()
}

// drainReadBytes is the maximum number of bytes that drain reads at once.
const drainReadBytes = 8 << 10

// drain reads and discards the rest of the body. It stops after the time linger, or after about maxBytes bytes. It doesn't read
// into the Upload's buffer, which an attempt may still be using.
func (u *Upload) drain(linger time.Duration, maxBytes int64) {
	discarded := make([]byte, drainReadBytes)
	deadline := time.Now().Add(linger)
	for remainingBytes := maxBytes; remainingBytes > 0 && time.Now().Before(deadline); {
		n, err := u.Body.Read(discarded)
		remainingBytes -= int64(n)
		if err != nil {
			return
		}
	}
}

package body

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// ReadPrefix reads until the prefix is complete or the body has ended, and reports whether all of the body is buffered. A
// request must not be forwarded before its prefix has arrived.
func (u *Upload) ReadPrefix() (isComplete bool, err error) {
	for u.prefixLen < PrefixSize {
		if _, err := u.next(nil); errors.Is(err, io.EOF) {
			return true, nil
		} else if err != nil {
			return false, err
		}
	}
	return false, nil
}

// ReadToEnd reads to the body's end and drops what it reads. It is for a client that has closed its side, so that nothing
// has to be waited for. The error says why there is no end. A body that waits for 100 Continue and of which nothing has
// arrived is not read, since a read would send that.
func (u *Upload) ReadToEnd() error {
	u.mu.Lock()
	if u.ExpectsContinue && u.received == 0 && u.checkReadable() == nil {
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

// next returns the next part for a flow, or for nobody if f is nil, reading once if nothing is buffered for it. io.EOF
// is the body's end. A read on behalf of a flow that has ended may still be under way; what it brings is for this flow.
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
	if part := u.readAhead; part != nil { // the next read overwrites the prefix
		u.readAhead, u.isConsumed = nil, true
		return part, nil
	}
	if err := u.checkReadable(); err != nil {
		return nil, err
	}
	to := (*u.window)[u.prefixLen:PrefixSize]
	isBeyondPrefix := len(to) == 0
	switch {
	case u.isConsumed: // the prefix is of no more use
		to = *u.window
	case isBeyondPrefix:
		to = (*u.window)[PrefixSize:]
	}
	n, err := u.readInto(to)
	if u.received += int64(n); !isBeyondPrefix {
		u.prefixLen += n
	}
	u.recordReadError(err)
	switch {
	case u.err != nil:
		return nil, u.err
	case n == 0 && u.isComplete:
		return nil, io.EOF
	case f != nil && f.isEnded:
		if isBeyondPrefix {
			u.readAhead = to[:n]
		}
		return nil, errFlowEnded
	case f != nil && !isBeyondPrefix:
		f.offset = u.prefixLen
	}
	u.isConsumed = u.isConsumed || isBeyondPrefix
	return to[:n], nil
}

// readInto reads at least one byte, unless that fails. u.mu is held before and after, but not during the read, which
// takes as long as the client does.
func (u *Upload) readInto(to []byte) (int, error) {
	u.isReading = true
	began := time.Now()
	n, err := 0, error(nil)
	if at, changed := u.meter.Deadline(began); changed {
		err = u.SetReadDeadline(at)
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

// checkReadable returns why the body must not be read on, or nil. u.mu is held.
func (u *Upload) checkReadable() error {
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

// recordReadError records what a read's error, or nil, says of the body. At the body's end the read deadline must be
// cleared: while a request waits for its response, a read that times out looks to net/http like a client that has left.
// u.mu is held.
func (u *Upload) recordReadError(err error) {
	switch {
	case u.received > u.MaxBytes:
		u.err = ErrTooLong
	case errors.Is(err, io.EOF):
		u.isComplete = true
		_ = u.SetReadDeadline(time.Time{}) // fails only on a connection that is closed
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		u.err = fmt.Errorf("%w: the body does not arrive", ErrTooSlow)
	case err != nil:
		u.err = fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if u.err != nil {
		close(u.failed)
	}
}

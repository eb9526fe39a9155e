package body

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// ReadPrefix reads until the body's first PrefixSize bytes have arrived or the body has ended, and reports whether the complete
// body is buffered. It must be called before the request is forwarded.
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

// ReadToEnd reads to the body's end and discards the bytes. It is meant for a client that has closed its side of the connection,
// so that no read has to wait. The error says why the end could not be read. If the client waits for 100 Continue and has
// sent nothing, ReadToEnd reads nothing and returns ErrBroken, since a read would make net/http send 100 Continue. A read that
// is in progress has already done so, and decides whether the body has failed.
func (u *Upload) ReadToEnd() error {
	u.mu.Lock()
	u.waitForRead()
	if u.ExpectsContinue && u.receivedBytes == 0 && u.checkReadable() == nil {
		u.fail(fmt.Errorf("%w: %w", ErrBroken, io.ErrUnexpectedEOF))
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

// next returns the next part of the body for the reader r, or io.EOF at the body's end. It reads from the client only if no part
// for r is buffered. If r is nil, next reads a part that no reader gets, and keeps the part only if it belongs to the body's
// first PrefixSize bytes, its prefix. If a read that a closed reader began is still in progress, next waits for that read and
// returns its bytes.
func (u *Upload) next(r *UploadReader) ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.isReading && (r == nil || !r.isClosed) {
		u.readEnded.Wait()
	}
	if r != nil && r.isClosed {
		return nil, errReaderClosed
	}
	if r != nil && r.offset < u.prefixLen {
		part := u.buffer.Bytes()[r.offset:u.prefixLen]
		r.offset = u.prefixLen
		return part, nil
	}
	if part := u.pendingPart; part != nil { // part is beyond the body's first PrefixSize bytes, so once it is returned, the body can't be sent again
		u.pendingPart, u.isConsumed = nil, true
		return part, nil
	}
	if err := u.checkReadable(); err != nil {
		return nil, err
	}
	buffer := u.buffer.Bytes()
	to := buffer[u.prefixLen:PrefixSize]
	isBeyondPrefix := len(to) == 0
	switch {
	case u.isConsumed: // the body can't be sent again, so its first bytes in the buffer may be overwritten
		to = buffer
	case isBeyondPrefix:
		to = buffer[PrefixSize:]
	}
	n, err := u.readInto(to)
	u.recordRead(n)
	if u.receivedBytes += int64(n); !isBeyondPrefix {
		u.prefixLen += n
	}
	u.updateAfterRead(err)
	switch {
	case u.err != nil:
		return nil, u.err
	case n == 0 && u.isComplete:
		return nil, io.EOF
	case r != nil && r.isClosed:
		if isBeyondPrefix {
			u.pendingPart = to[:n]
		}
		return nil, errReaderClosed
	case r != nil && !isBeyondPrefix:
		r.offset = u.prefixLen
	}
	u.isConsumed = u.isConsumed || isBeyondPrefix
	return to[:n], nil
}

// readInto reads at least one byte of the body from the client, unless the read fails. u.mu is held before and after, but not
// during the read, which may wait for the client.
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

// recordRead moves unfinishedAt on after a read that returned n bytes, if the client had certainly not written the last byte when the
// read began. u.mu is held.
func (u *Upload) recordRead(n int) {
	isFarFromEnd := u.Size-u.receivedBytes > maxClientSendBuffer && u.isCertainlyUnfinished()
	if n > 0 && (u.Connection == nil || isFarFromEnd) {
		u.unfinishedAt = time.Now()
	}
	u.recordWait()
}

// checkReadable returns nil if more of the body may be read from the client, and otherwise the reason why not. u.mu is held.
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

// updateAfterRead updates the state of the body after a read that returned err, which may be nil. At the body's end it clears the
// read deadline: if the connection's background read timed out while the request waits for its response, net/http would take
// the client for disconnected. u.mu is held.
func (u *Upload) updateAfterRead(err error) {
	switch {
	case u.receivedBytes > u.MaxBytes:
		u.fail(ErrTooLong)
	case errors.Is(err, io.EOF):
		u.isComplete = true
		_ = u.SetReadDeadline(time.Time{}) // fails only on a closed connection
	case errors.Is(err, os.ErrDeadlineExceeded):
		u.fail(fmt.Errorf("%w: the body does not arrive", ErrTooSlow))
	case err != nil:
		u.fail(fmt.Errorf("%w: %w", ErrBroken, err))
	}
}

// fail records why the body could not be read, and closes the channel of Failed. Only the first call has an effect. u.mu is held.
func (u *Upload) fail(err error) {
	if u.err != nil {
		return
	}
	u.err = err
	close(u.failed)
}

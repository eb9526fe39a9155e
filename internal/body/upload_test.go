package body

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedBody is a client's body that consists of fixed parts and ends with a fixed error.
type scriptedBody struct {
	parts    [][]byte      // parts that have not been read yet
	endErr   error         // error that a read returns after the last part
	deadline time.Time     // read deadline that SetReadDeadline has set; zero: none
	arrivals chan struct{} // each value that a test sends lets one read return; if nil, reads do not wait
}

func (s *scriptedBody) Read(to []byte) (int, error) {
	if s.arrivals != nil && len(s.parts) > 0 {
		select {
		case <-s.arrivals:
		case <-time.After(time.Until(s.deadline)):
			return 0, os.ErrDeadlineExceeded
		}
	}
	if len(s.parts) == 0 {
		return 0, s.endErr
	}
	n := copy(to, s.parts[0])
	if s.parts[0] = s.parts[0][n:]; len(s.parts[0]) == 0 {
		s.parts = s.parts[1:]
	}
	return n, nil
}

// source returns a Source for the body, whose size is not known.
func (s *scriptedBody) source() Source {
	return Source{
		Body:            s,
		SetReadDeadline: func(at time.Time) error { s.deadline = at; return nil },
		Size:            -1,
		MaxBytes:        1 << 20,
		MinimumRate:     MinimumRate{IdleTimeout: time.Second, BytesPerSecond: 1000},
	}
}

// newTestUpload returns an Upload that the test must close.
func newTestUpload(t *testing.T, pool *MemoryPool, s Source) *Upload {
	t.Helper()
	u, err := NewUpload(t.Context(), pool, s)
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// ioReader adapts an UploadReader to io.Reader. It returns the errors of Next unchanged.
type ioReader struct {
	reader *UploadReader
	part   []byte // bytes that Next returned and Read did not return yet
}

func (r *ioReader) Read(to []byte) (int, error) {
	if len(r.part) == 0 {
		var err error
		if r.part, err = r.reader.Next(); err != nil {
			return 0, err
		}
	}
	n := copy(to, r.part)
	r.part = r.part[n:]
	return n, nil
}

// readAll reads to the body's end. The error is nil only if Next returns io.EOF itself at the end: like other readers, io.ReadAll
// takes an error that wraps io.EOF for a failure.
func readAll(r *UploadReader) ([]byte, error) { return io.ReadAll(&ioReader{reader: r}) }

func TestUploadCanBeResentWhileBuffered(t *testing.T) {
	for _, row := range []struct {
		length       int  // bytes of the body
		isResendable bool // a second UploadReader should return the body again
	}{{10, true}, {PrefixSize - 1, true}, {PrefixSize, true}, {PrefixSize + 1, false}, {5 * BufferSize, false}} {
		t.Run(fmt.Sprintf("%d bytes", row.length), func(t *testing.T) {
			text := bytes.Repeat([]byte("0123456789abcdef"), row.length/16+1)[:row.length]
			pool := NewMemoryPool(2 * BufferSize)
			parts := [][]byte{text[:row.length/2], text[row.length/2:]}
			u := newTestUpload(t, pool, (&scriptedBody{parts: parts, endErr: io.EOF}).source())
			if isComplete, err := u.ReadPrefix(); err != nil || isComplete != (row.length < PrefixSize) {
				t.Errorf("ReadPrefix: complete %v, error %v, want complete %v", isComplete, err, row.length < PrefixSize)
			}
			for attempt := range 2 {
				r, ok := u.NewReader()
				if want := attempt == 0 || row.isResendable; ok != want {
					t.Fatalf("attempt %d: NewReader returned ok %v, want %v", attempt, ok, want)
				}
				if !ok {
					continue
				}
				if got, err := readAll(r); err != nil || !bytes.Equal(got, text) {
					t.Errorf("attempt %d: read %d bytes, error %v, want the %d bytes of the body", attempt, len(got), err, len(text))
				}
				r.Close()
				r.Release()
			}
			if u.Close(time.Second, 1<<20); u.IsConsumed() == row.isResendable {
				t.Errorf("IsConsumed is %v, want %v", u.IsConsumed(), !row.isResendable)
			}
			if inUse, _ := pool.InUse(); inUse != 0 {
				t.Errorf("%d bytes of the pool are in use after Close, want 0", inUse)
			}
		})
	}
}

// A reader may be closed while its read from the client is in progress. The next reader must return the bytes of that read, so
// that no part of the body is lost or duplicated.
func TestReadOfClosedReaderGoesToNextReader(t *testing.T) {
	for _, length := range []int{100, PrefixSize + 100} {
		synctest.Test(t, func(t *testing.T) {
			text := bytes.Repeat([]byte("0123456789"), length/10)
			s := &scriptedBody{parts: [][]byte{text[:length-100], text[length-100:]}, endErr: io.EOF, arrivals: make(chan struct{}, 9)}
			if len(s.parts[0]) == 0 {
				s.parts = s.parts[1:]
			}
			u := newTestUpload(t, NewMemoryPool(2*BufferSize), s.source())
			for range (length - 100 + PrefixSize - 1) / PrefixSize {
				s.arrivals <- struct{}{}
			}
			first, _ := u.NewReader()
			firstDone := make(chan error)
			go func() { _, err := readAll(first); firstDone <- err }()
			synctest.Wait()
			first.Close()
			second, ok := u.NewReader()
			if !ok || u.IsConsumed() {
				t.Fatal("the body can't be sent again, though all bytes that were returned are buffered")
			}
			var got []byte
			secondDone := make(chan error)
			go func() {
				var err error
				got, err = readAll(second)
				secondDone <- err
			}()
			synctest.Wait()
			s.arrivals <- struct{}{}
			if err := <-firstDone; !errors.Is(err, errReaderClosed) {
				t.Errorf("first reader: error %v, want %v", err, errReaderClosed)
			}
			if err := <-secondDone; err != nil || !bytes.Equal(got, text) {
				t.Errorf("second reader: read %d bytes, error %v, want the %d bytes of the body", len(got), err, len(text))
			}
			u.Close(time.Second, 100)
		})
	}
}

// errStalled marks a table row whose client sends nothing, so that a read waits until the read deadline.
var errStalled = errors.New("the body stalls")

func TestUploadReportsWhyBodyFailed(t *testing.T) {
	for _, row := range []struct {
		name string
		body *scriptedBody
		want error
	}{
		{"too long", &scriptedBody{parts: [][]byte{make([]byte, 2<<20)}, endErr: io.EOF}, ErrTooLong},
		{"end too early", &scriptedBody{parts: [][]byte{{1}}, endErr: io.ErrUnexpectedEOF}, ErrBroken},
		{"bad chunks", &scriptedBody{endErr: errors.New("malformed chunked encoding")}, ErrBroken},
		{"stalled", &scriptedBody{parts: [][]byte{{1}}, endErr: errStalled}, ErrTooSlow},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if errors.Is(row.body.endErr, errStalled) {
					row.body.arrivals = make(chan struct{}) // made here, since the channel must belong to the synctest bubble
				}
				pool := NewMemoryPool(2 * BufferSize)
				u := newTestUpload(t, pool, row.body.source())
				r, _ := u.NewReader()
				if _, err := readAll(r); !errors.Is(err, row.want) || !errors.Is(u.Err(), row.want) {
					t.Errorf("error of the read %v, of Err %v, want %v", err, u.Err(), row.want)
				}
				r.Release()
				select {
				case <-u.Failed():
				default:
					t.Error("the channel of Failed is not closed")
				}
				u.Close(time.Second, 100)
				if inUse, _ := pool.InUse(); inUse != 0 {
					t.Errorf("%d bytes of the pool are in use after Close, want 0", inUse)
				}
			})
		})
	}
}

// A client that sends a few bytes at a time falls below the minimum rate, though it never pauses for as long as IdleTimeout.
func TestTricklingClientFailsMinimumRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedBody{arrivals: make(chan struct{})}
		for range 1000 {
			s.parts = append(s.parts, []byte{1})
		}
		u := newTestUpload(t, NewMemoryPool(2*BufferSize), s.source())
		go func() {
			for {
				select {
				case s.arrivals <- struct{}{}:
					time.Sleep(100 * time.Millisecond)
				case <-u.Failed():
					return
				}
			}
		}()
		began := time.Now()
		if _, err := u.ReadPrefix(); !errors.Is(err, ErrTooSlow) || time.Since(began) > 2*time.Second {
			t.Errorf("error %v after %v, want %v within 2s", err, time.Since(began), ErrTooSlow)
		}
		u.Close(time.Second, 100)
		time.Sleep(time.Second) // lets the client's goroutine end
	})
}

// ReadToEnd must not read a body whose client waits for 100 Continue: that client has sent nothing, and a read would make
// net/http ask for the body.
func TestReadToEndReadsRestWithoutTriggeringContinue(t *testing.T) {
	for name, c := range map[string]struct {
		endErr          error // error of the read after the last part
		expectsContinue bool  // the client waits for 100 Continue
		parts           int   // parts of the body, PrefixSize bytes each
		want            error // error that ReadToEnd should return
		unread          int   // parts that should remain unread
	}{
		"complete":                 {endErr: io.EOF, parts: 5},
		"without its end":          {endErr: io.ErrUnexpectedEOF, parts: 5, want: ErrBroken},
		"waits for 100 Continue":   {endErr: io.EOF, expectsContinue: true, parts: 1, want: ErrBroken, unread: 1},
		"too long":                 {endErr: io.EOF, parts: 40, want: ErrTooLong, unread: 7},
		"broken before the prefix": {endErr: io.ErrUnexpectedEOF, want: ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedBody{endErr: c.endErr}
			for range c.parts {
				s.parts = append(s.parts, make([]byte, PrefixSize))
			}
			source := s.source()
			source.ExpectsContinue = c.expectsContinue
			u := newTestUpload(t, NewMemoryPool(2*BufferSize), source)
			if err := u.ReadToEnd(); !errors.Is(err, c.want) || !errors.Is(u.Err(), c.want) ||
				u.IsComplete() != (c.want == nil) || len(s.parts) != c.unread {
				t.Errorf("ReadToEnd returned %v, Err %v, IsComplete %v, %d parts unread, want error %v and %d parts unread",
					err, u.Err(), u.IsComplete(), len(s.parts), c.want, c.unread)
			}
			u.Close(0, 0)
		})
	}
}

// A client that waits for 100 Continue may disconnect while a closed reader still reads its body. ReadToEnd must not record the
// failure of the body beside that read: the second of two failures would close the channel of Failed again and end the process.
func TestReadToEndDuringReadOfClosedReaderFailsBodyOnce(t *testing.T) {
	for name, c := range map[string]struct {
		endErr error // error with which the client's connection ends the body
		want   error // error that ReadToEnd should return
	}{
		"broken":   {endErr: io.ErrUnexpectedEOF, want: ErrBroken},
		"complete": {endErr: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedBody{parts: [][]byte{{1}}, endErr: c.endErr, arrivals: make(chan struct{}, 1)}
				if c.want != nil {
					s.parts[0] = nil // the connection ends before the body's first byte
				}
				source := s.source()
				source.ExpectsContinue = true
				u := newTestUpload(t, NewMemoryPool(2*BufferSize), source)
				r, _ := u.NewReader()
				go func() { _, _ = readAll(r) }()
				synctest.Wait()
				r.Close()
				result := make(chan error, 1)
				go func() { result <- u.ReadToEnd() }()
				synctest.Wait()
				s.arrivals <- struct{}{}
				if err := <-result; !errors.Is(err, c.want) || !errors.Is(u.Err(), c.want) {
					t.Errorf("ReadToEnd returned %v, Err %v, want %v", err, u.Err(), c.want)
				}
				synctest.Wait()
				select {
				case <-u.Failed():
					if c.want == nil {
						t.Error("the channel of Failed is closed, though the body is complete")
					}
				default:
					if c.want != nil {
						t.Error("the channel of Failed is not closed")
					}
				}
				u.Close(0, 0)
			})
		})
	}
}

// Close must not wait for a body that never ends: it stops draining at its time limit or its byte limit.
func TestCloseDrainsWithinTimeAndByteLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedBody{parts: [][]byte{make([]byte, 300<<10), {1}}, arrivals: make(chan struct{})}
		u := newTestUpload(t, NewMemoryPool(2*BufferSize), s.source())
		go func() {
			for range 100 {
				select {
				case s.arrivals <- struct{}{}:
				case <-time.After(5 * time.Second):
				}
			}
		}()
		r, _ := u.NewReader()
		if _, err := r.Next(); err != nil {
			t.Error(err)
		}
		r.Close()
		began := time.Now()
		u.Close(500*time.Millisecond, 128<<10)
		if took := time.Since(began); took > time.Second || len(s.parts[0]) < 100<<10 {
			t.Errorf("Close took %v and left %d bytes, want at most 1s and at least %d bytes", took, len(s.parts[0]), 100<<10)
		}
		time.Sleep(10 * time.Minute) // lets the client's goroutine time out and end
	})
}

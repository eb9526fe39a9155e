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

// scriptedBody is a client's body: parts, and the error that follows them.
type scriptedBody struct {
	parts    [][]byte
	end      error
	deadline time.Time
	gate     chan struct{} // each receive lets one part arrive; nil: all arrive at once
}

func (s *scriptedBody) Read(to []byte) (int, error) {
	if s.gate != nil && len(s.parts) > 0 {
		select {
		case <-s.gate:
		case <-time.After(time.Until(s.deadline)):
			return 0, os.ErrDeadlineExceeded
		}
	}
	if len(s.parts) == 0 {
		return 0, s.end
	}
	n := copy(to, s.parts[0])
	if s.parts[0] = s.parts[0][n:]; len(s.parts[0]) == 0 {
		s.parts = s.parts[1:]
	}
	return n, nil
}

// source is a Source with the body, whose size is not known.
func (s *scriptedBody) source() Source {
	return Source{
		Body:            s,
		SetReadDeadline: func(at time.Time) error { s.deadline = at; return nil },
		Size:            -1,
		MaxBytes:        1 << 20,
		MinimumRate:     MinimumRate{IdleTimeout: time.Second, BytesPerSecond: 1000},
	}
}

// newTestUpload returns an Upload, which the test must close.
func newTestUpload(t *testing.T, pool *MemoryPool, s Source) *Upload {
	t.Helper()
	u, err := NewUpload(t.Context(), pool, s)
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// flowReader reads a flow as an io.Reader. Errors of Next are returned unchanged.
type flowReader struct {
	f    *Flow
	part []byte
}

func (r *flowReader) Read(to []byte) (int, error) {
	if len(r.part) == 0 {
		var err error
		if r.part, err = r.f.Next(); err != nil {
			return 0, err
		}
	}
	n := copy(to, r.part)
	r.part = r.part[n:]
	return n, nil
}

// readAll reads a flow to its end. The error is nil only if the flow ends with io.EOF itself, by which io.ReadAll and
// others recognize the end.
func readAll(f *Flow) ([]byte, error) { return io.ReadAll(&flowReader{f: f}) }

func TestUploadCanBeResentWhileBuffered(t *testing.T) {
	for _, row := range []struct {
		length       int
		isResendable bool
	}{{10, true}, {PrefixSize - 1, true}, {PrefixSize, true}, {PrefixSize + 1, false}, {5 * WindowSize, false}} {
		t.Run(fmt.Sprintf("%d bytes", row.length), func(t *testing.T) {
			text := bytes.Repeat([]byte("0123456789abcdef"), row.length/16+1)[:row.length]
			pool := NewMemoryPool(2 * WindowSize)
			parts := [][]byte{text[:row.length/2], text[row.length/2:]}
			u := newTestUpload(t, pool, (&scriptedBody{parts: parts, end: io.EOF}).source())
			if isComplete, err := u.ReadPrefix(); err != nil || isComplete != (row.length < PrefixSize) {
				t.Errorf("complete %v, %v", isComplete, err)
			}
			for attempt := range 2 {
				f, ok := u.NewFlow()
				if ok != (attempt == 0 || row.isResendable) {
					t.Fatalf("attempt %d: %v", attempt, ok)
				}
				if !ok {
					continue
				}
				if got, err := readAll(f); err != nil || !bytes.Equal(got, text) {
					t.Errorf("attempt %d: %d bytes came, %v", attempt, len(got), err)
				}
				f.End()
			}
			if u.Close(time.Second, 1<<20); u.IsConsumed() == row.isResendable {
				t.Errorf("spent %v", u.IsConsumed())
			}
			if held, _ := pool.InUse(); held != 0 {
				t.Errorf("%d bytes are held after the end", held)
			}
		})
	}
}

// What is read for an attempt that has ended goes to the next one: nothing of the body is lost or comes twice.
func TestReadOfEndedFlowGoesToNextFlow(t *testing.T) {
	for _, length := range []int{100, PrefixSize + 100} {
		synctest.Test(t, func(t *testing.T) {
			text := bytes.Repeat([]byte("0123456789"), length/10)
			s := &scriptedBody{parts: [][]byte{text[:length-100], text[length-100:]}, end: io.EOF, gate: make(chan struct{}, 9)}
			if len(s.parts[0]) == 0 {
				s.parts = s.parts[1:]
			}
			u := newTestUpload(t, NewMemoryPool(2*WindowSize), s.source())
			for range (length - 100 + PrefixSize - 1) / PrefixSize {
				s.gate <- struct{}{}
			}
			first, _ := u.NewFlow()
			read := make(chan error)
			go func() { _, err := readAll(first); read <- err }()
			synctest.Wait()
			first.End()
			second, ok := u.NewFlow()
			if !ok || u.IsConsumed() {
				t.Fatal("the body is spent, though all that was returned is buffered")
			}
			var got []byte
			done := make(chan error)
			go func() {
				var err error
				got, err = readAll(second)
				done <- err
			}()
			synctest.Wait()
			s.gate <- struct{}{}
			if err := <-read; !errors.Is(err, errFlowEnded) {
				t.Errorf("the first: %v", err)
			}
			if err := <-done; err != nil || !bytes.Equal(got, text) {
				t.Errorf("the second: %d bytes of %d, %v", len(got), len(text), err)
			}
			u.Close(time.Second, 100)
		})
	}
}

// errNothingComes stands for a body of which nothing arrives in time.
var errNothingComes = errors.New("nothing arrives")

func TestUploadReportsWhyBodyFailed(t *testing.T) {
	for _, row := range []struct {
		name string
		body *scriptedBody
		want error
	}{
		{"too long", &scriptedBody{parts: [][]byte{make([]byte, 2<<20)}, end: io.EOF}, ErrTooLong},
		{"end too early", &scriptedBody{parts: [][]byte{{1}}, end: io.ErrUnexpectedEOF}, ErrBroken},
		{"bad chunks", &scriptedBody{end: errors.New("malformed chunked encoding")}, ErrBroken},
		{"nothing arrives", &scriptedBody{parts: [][]byte{{1}}, end: errNothingComes}, ErrTooSlow},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if errors.Is(row.body.end, errNothingComes) { // of this bubble's own
					row.body.gate = make(chan struct{})
				}
				pool := NewMemoryPool(2 * WindowSize)
				u := newTestUpload(t, pool, row.body.source())
				f, _ := u.NewFlow()
				if _, err := readAll(f); !errors.Is(err, row.want) || !errors.Is(u.Err(), row.want) {
					t.Errorf("%v, %v, want %v", err, u.Err(), row.want)
				}
				select {
				case <-u.Failed():
				default:
					t.Error("Failed is not closed")
				}
				u.Close(time.Second, 100)
				if held, _ := pool.InUse(); held != 0 {
					t.Errorf("%d bytes are held after the end", held)
				}
			})
		})
	}
}

// A client that trickles falls below the minimum rate, though it never pauses for long.
func TestTricklingClientFailsMinimumRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedBody{gate: make(chan struct{})}
		for range 1000 {
			s.parts = append(s.parts, []byte{1})
		}
		u := newTestUpload(t, NewMemoryPool(2*WindowSize), s.source())
		go func() {
			for {
				select {
				case s.gate <- struct{}{}:
					time.Sleep(100 * time.Millisecond)
				case <-u.Failed():
					return
				}
			}
		}()
		began := time.Now()
		if _, err := u.ReadPrefix(); !errors.Is(err, ErrTooSlow) || time.Since(began) > 2*time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		u.Close(time.Second, 100)
		time.Sleep(time.Second) // the client sees the end
	})
}

// The rest of a body whose client has closed its side is read to its end, unless the client waits for 100 Continue:
// then it has sent nothing, and a read would ask for the body.
func TestExhaustReadsRestWithoutTriggeringContinue(t *testing.T) {
	for name, c := range map[string]struct {
		end     error
		expects bool
		parts   int
		want    error
		left    int // parts that were not read
	}{
		"complete":                 {end: io.EOF, parts: 5},
		"without its end":          {end: io.ErrUnexpectedEOF, parts: 5, want: ErrBroken},
		"waits for 100 Continue":   {end: io.EOF, expects: true, parts: 1, want: ErrBroken, left: 1},
		"too long":                 {end: io.EOF, parts: 40, want: ErrTooLong, left: 7},
		"broken before the prefix": {end: io.ErrUnexpectedEOF, want: ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedBody{end: c.end}
			for range c.parts {
				s.parts = append(s.parts, make([]byte, PrefixSize))
			}
			source := s.source()
			source.ExpectsContinue = c.expects
			u := newTestUpload(t, NewMemoryPool(2*WindowSize), source)
			if err := u.ReadToEnd(); !errors.Is(err, c.want) || !errors.Is(u.Err(), c.want) ||
				u.IsComplete() != (c.want == nil) || len(s.parts) != c.left {
				t.Errorf("%v, complete %v, %d parts left", err, u.IsComplete(), len(s.parts))
			}
			u.Close(0, 0)
		})
	}
}

// A body of which no more is wanted holds Close up neither for as long as the client likes nor for ever.
func TestCloseDrainsWithinTimeAndByteLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedBody{parts: [][]byte{make([]byte, 300<<10), {1}}, gate: make(chan struct{})}
		u := newTestUpload(t, NewMemoryPool(2*WindowSize), s.source())
		go func() {
			for range 100 {
				select {
				case s.gate <- struct{}{}:
				case <-time.After(5 * time.Second):
				}
			}
		}()
		f, _ := u.NewFlow()
		if _, err := f.Next(); err != nil {
			t.Error(err)
		}
		f.End()
		began := time.Now()
		u.Close(500*time.Millisecond, 128<<10)
		if took := time.Since(began); took > time.Second || len(s.parts[0]) < 100<<10 {
			t.Errorf("closed after %v, with %d bytes left", took, len(s.parts[0]))
		}
		time.Sleep(10 * time.Minute) // the client gives up
	})
}

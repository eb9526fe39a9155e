package body

import (
	"bytes"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// fakeConnection is a ClientConnection with fixed answers.
type fakeConnection struct {
	waitedUntil time.Time
	unreadBytes int
}

func (c *fakeConnection) WaitedUntil() time.Time { return c.waitedUntil }

func (c *fakeConnection) UnreadBytes() int { return c.unreadBytes }

// A client's time counts from the last byte that it has written, which may be in the buffers of the systems while nobody reads it. It
// must not count from when the daemon reads that byte, nor before the client can have written it.
func TestClientUnfinishedAtIsLastTimeAtWhichBytesWereCertainlyMissing(t *testing.T) {
	const arrived, waited, now = 0, time.Second, 2 * time.Second // since the start of the test
	const size = 3 * maxClientSendBuffer
	for _, row := range []struct {
		name     string
		size     int64
		received int // bytes of the body that were read
		unread   int // bytes that wait in the daemon's system
		waited   time.Duration
		want     time.Duration
	}{
		{"more is missing than the client's system holds", size, PrefixSize, 1 << 20, waited, now},
		{"the rest may be in the client's system", PrefixSize + 1<<20 + maxClientSendBuffer, PrefixSize, 1 << 20, waited, waited},
		{"the rest may be in the client's system, and no read waited", PrefixSize + maxClientSendBuffer, PrefixSize, 1, arrived, arrived},
		{"all that was written is read", 10 * PrefixSize, PrefixSize, 0, waited, now},
		{"the rest may have been read ahead", PrefixSize + maxReadAhead, PrefixSize, 0, waited, waited},
		{"a body of unknown size", -1, PrefixSize, 1, waited, waited},
		{"a body of unknown size, nothing unread", -1, PrefixSize, 0, waited, waited},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				s := (&scriptedBody{parts: [][]byte{make([]byte, row.received)}, endErr: io.EOF}).source()
				s.Size, s.MaxBytes, s.Connection = row.size, 10*size, &fakeConnection{start.Add(row.waited), row.unread}
				u := newTestUpload(t, NewMemoryPool(2*BufferSize), s)
				defer u.Close(0, 0)
				if _, err := u.ReadPrefix(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(now)
				if got := u.ClientUnfinishedAt(time.Now()).Sub(start); got != row.want {
					t.Errorf("%v after the arrival, want %v", got, row.want)
				}
			})
		})
	}
}

// A body that waited in the systems' buffers while nobody read it was complete long before it was read.
func TestClientUnfinishedAtOfCompleteBodyIsItsLastWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		s := (&scriptedBody{parts: [][]byte{bytes.Repeat([]byte{1}, 10)}, endErr: io.EOF}).source()
		s.Connection = &fakeConnection{start, 10}
		u := newTestUpload(t, NewMemoryPool(2*BufferSize), s)
		defer u.Close(0, 0)
		time.Sleep(time.Second) // for example for memory
		if isComplete, err := u.ReadPrefix(); !isComplete || err != nil {
			t.Fatalf("complete: %v, error %v", isComplete, err)
		}
		if got := u.ClientUnfinishedAt(time.Now()).Sub(start); got != 0 {
			t.Errorf("%v after the arrival, want 0", got)
		}
	})
}

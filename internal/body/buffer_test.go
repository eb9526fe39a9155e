package body

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
)

// canceledContext returns a context with which a MemoryPool grants only what is free.
func canceledContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// A client may leave while an attempt writes a part of its body to an endpoint. If the buffer went to another body then, the endpoint
// would get that body's bytes in this request.
func TestBufferGoesToNoOtherBodyWhileReaderUsesIt(t *testing.T) {
	pool := NewMemoryPool(2 * BufferSize) // enough for one streaming body
	text := bytes.Repeat([]byte{'a'}, 1000)
	u := newTestUpload(t, pool, (&scriptedBody{parts: [][]byte{bytes.Clone(text)}, endErr: io.EOF}).source())
	r, _ := u.NewReader()
	part, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	u.Close(0, 0)
	other := (&scriptedBody{parts: [][]byte{bytes.Repeat([]byte{'b'}, 1000)}, endErr: io.EOF}).source()
	if u, err := NewUpload(canceledContext(t), pool, other); err == nil {
		_, _ = u.ReadPrefix() // the check of part below shows the failure
		u.Close(0, 0)
	}
	if !bytes.Equal(part, text) {
		t.Errorf("the part that is being written begins with %q after the upload was closed, want %q", part[:1], text[:1])
	}
	r.Release()
	if inUse, _ := pool.InUse(); inUse != 0 {
		t.Errorf("%d bytes of the pool are in use after Release, want 0", inUse)
	}
}

// An attempt that begins or gets its response after the client's handler has ended must not use a buffer that was given back.
func TestClosedUploadGrantsNoUseOfItsBuffer(t *testing.T) {
	u := newTestUpload(t, NewMemoryPool(2*BufferSize), (&scriptedBody{parts: [][]byte{{1}}, endErr: io.EOF}).source())
	u.Close(0, 0)
	if r, ok := u.NewReader(); ok || r != nil {
		t.Error("NewReader returned a reader after Close, want none")
	}
	if u.TakeBuffer() != nil {
		t.Error("TakeBuffer returned a buffer after Close, want none")
	}
}

// Close discards the rest of a body while an attempt may still be writing from the buffer, whose bytes must not change then.
func TestCloseDrainsWithoutOverwritingBuffer(t *testing.T) {
	s := &scriptedBody{parts: [][]byte{{'a'}, bytes.Repeat([]byte{'b'}, 1000)}, endErr: io.EOF}
	u := newTestUpload(t, NewMemoryPool(2*BufferSize), s.source())
	r, _ := u.NewReader()
	part, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	u.Close(1<<40, BufferSize)
	if len(s.parts) != 0 || part[0] != 'a' {
		t.Errorf("%d parts were left unread, and the part that was returned before is %q, want 0 and %q", len(s.parts), part, "a")
	}
	r.Release()
}

func TestBufferReturnsToPoolWithLastReference(t *testing.T) {
	pool := NewMemoryPool(2 * BufferSize)
	first, err := pool.AcquireBuffer(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	second := first.Retain()
	first.Release()
	first.Release() // must not release the second reference
	if _, err := pool.AcquireBuffer(canceledContext(t)); !errors.Is(err, context.Canceled) {
		t.Errorf("acquiring a buffer of which a reference is left: error %v, want %v", err, context.Canceled)
	}
	second.Release()
	if inUse, _ := pool.InUse(); inUse != 0 {
		t.Errorf("%d bytes of the pool are in use, want 0", inUse)
	}
}

package body

import "sync/atomic"

// Buffer is one user's reference to a buffer of BufferSize bytes. Users that work with the same bytes at the same time, such as an
// Upload and the attempt that sends it, each hold a reference of their own. The MemoryPool gets the buffer back, and may grant it
// to another body, only when the last reference is released.
type Buffer struct {
	shared     *sharedBuffer
	isReleased atomic.Bool
}

// sharedBuffer is a buffer with the number of its unreleased references.
type sharedBuffer struct {
	pool       *MemoryPool
	bytes      *[]byte
	references atomic.Int64
}

// newBuffer returns the first reference to a buffer that the pool has granted.
func newBuffer(pool *MemoryPool, bytes *[]byte) *Buffer {
	shared := &sharedBuffer{pool: pool, bytes: bytes}
	shared.references.Store(1)
	return &Buffer{shared: shared}
}

// Bytes returns the buffer's BufferSize bytes. They may be used until the reference is released.
func (b *Buffer) Bytes() []byte { return *b.shared.bytes }

// Retain returns another reference to the same buffer. It must not be called after Release.
func (b *Buffer) Retain() *Buffer {
	b.shared.references.Add(1)
	return &Buffer{shared: b.shared}
}

// Release releases the reference. Its holder must not use the bytes any more. Only the first call has an effect, so that no holder
// can release another one's reference.
func (b *Buffer) Release() {
	if b.isReleased.Swap(true) {
		return
	}
	if b.shared.references.Add(-1) == 0 {
		b.shared.pool.putBuffer(b.shared.bytes)
	}
}

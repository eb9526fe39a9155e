package body

import "errors"

var errReaderClosed = errors.New("upload reader is closed")

// UploadReader reads an Upload from its first byte on behalf of one attempt. A new reader may be used only after the previous
// one was closed. If the closed reader is still waiting for bytes from the client, the new reader gets these bytes.
type UploadReader struct {
	upload   *Upload
	buffer   *Buffer // the reader's own reference to the upload's buffer, which holds the parts that Next returns
	offset   int     // how many of the body's first PrefixSize bytes were returned, guarded by upload.mu
	isClosed bool    // whether Close was called, guarded by upload.mu
}

// NewReader returns a reader that begins with the body's first byte. Its Release must be called. ok is false, and the reader nil,
// if an earlier attempt has used the body so that it can't be sent again, or if the Upload is closed.
func (u *Upload) NewReader() (r *UploadReader, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isConsumed || u.isClosed {
		return nil, false
	}
	return &UploadReader{upload: u, buffer: u.buffer.Retain()}, true
}

// Next returns the next part of the body, of at most BufferSize bytes, which is valid until the next call. It returns io.EOF
// at the body's end, and any other error if the body could not be read or the reader is closed.
func (r *UploadReader) Next() ([]byte, error) { return r.upload.next(r) }

// Release releases the buffer of the parts that Next has returned. The goroutine that calls Next must call Release after its last
// use of a part. Until then the buffer goes to no other body, even if the Upload is closed.
func (r *UploadReader) Release() { r.buffer.Release() }

// Close closes the reader, so that a blocked call of Next returns an error. If that call is itself reading from the client, it
// returns only when the read ends. Close does not release the buffer, since another goroutine may be writing a part to an endpoint.
func (r *UploadReader) Close() {
	r.upload.mu.Lock()
	defer r.upload.mu.Unlock()
	r.isClosed = true
	r.upload.readEnded.Broadcast() // Next may be waiting for a read that a previous reader began
}

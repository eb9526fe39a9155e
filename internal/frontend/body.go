package frontend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"tuliprock/internal/body"
)

// reserveBodyMemory reserves the memory for a buffered body. It waits for free memory until the request's deadline, but no longer than
// BodyTimeout, and fails as MemoryPool.Acquire does. The caller must call release when the memory is no longer used.
func (s *Server) reserveBodyMemory(r *http.Request, deadline time.Time) (release func(), err error) {
	size := body.MemoryRequest{Bytes: int(r.ContentLength), IsCollected: true}
	if s.options.BodyMemory == nil || size.Bytes <= 0 {
		return func() {}, nil
	}
	if latest := time.Now().Add(s.options.BodyTimeout); latest.Before(deadline) {
		deadline = latest
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	if err := s.options.BodyMemory.Acquire(ctx, size); err != nil {
		return nil, err
	}
	return func() { s.options.BodyMemory.Release(size) }, nil
}

// readBufferedBody reads a complete body within BodyTimeout. It removes the read deadline afterwards: if a read timed out while the
// request waits for its response, net/http would report that the client has disconnected.
func (s *Server) readBufferedBody(w http.ResponseWriter, r *http.Request) ([]byte, *rejection) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	defer receiveBody(r)()
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(s.options.BodyTimeout)); err != nil {
		return nil, newRejection(http.StatusBadRequest, "%w", err)
	}
	content, err := readAll(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes), r.ContentLength)
	if tooLongErr := (*http.MaxBytesError)(nil); errors.As(err, &tooLongErr) {
		return nil, newRejection(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	if err != nil {
		return nil, newRejection(http.StatusBadRequest, "the body can't be read")
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, newRejection(http.StatusBadRequest, "%w", err)
	}
	return content, nil
}

// readAll reads a body of the given length to its end. A body of up to body.BufferSize bytes takes as much memory as its length, which is
// what reserveBodyMemory has reserved for it; the buffer of a longer one grows while the body arrives.
func readAll(from io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > body.BufferSize {
		return io.ReadAll(from)
	}
	content := make([]byte, length)
	_, err := io.ReadFull(from, content)
	return content, err
}

// receiveBody records that a request's body is read, before any of it is forwarded, until the returned function is called.
func receiveBody(r *http.Request) (end func()) {
	c := connOf(r)
	if c == nil {
		return func() {}
	}
	c.beginBody()
	return c.endBody
}

package frontend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"tuliprock/internal/body"
)

// reserveBodyMemory reserves the memory for a buffered body. It waits for free memory at most until the request's deadline. The
// caller must call release when the memory is no longer used.
func (s *Server) reserveBodyMemory(r *http.Request, arrived time.Time) (release func(), _ *rejection) {
	size := body.MemoryRequest{Bytes: int(r.ContentLength)}
	if s.options.BodyMemory == nil || size.Bytes <= 0 {
		return func() {}, nil
	}
	switch err := s.options.BodyMemory.Acquire(canceledContext, size); {
	case errors.Is(err, canceledContext.Err()):
		if rejected := s.waitForBodyMemory(r, arrived, size); rejected != nil {
			return nil, rejected
		}
	case err != nil:
		return nil, memoryRejection(err)
	}
	return func() { s.options.BodyMemory.Release(size) }, nil
}

// canceledContext is a context that is already canceled. Acquiring memory with it fails at once if no memory is free.
var canceledContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// waitForBodyMemory waits for memory until the request's deadline, but no longer than BodyTimeout.
func (s *Server) waitForBodyMemory(r *http.Request, arrived time.Time, size body.MemoryRequest) *rejection {
	routes := s.routes.acquire()
	defer routes.release()
	request, rejected := s.parseRequest(routes, r, true)
	if rejected != nil {
		return rejected
	}
	deadline := time.Now().Add(s.options.BodyTimeout)
	if requestDeadline := s.deadlineFrom(request, arrived); requestDeadline.Before(deadline) {
		deadline = requestDeadline
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	if err := s.options.BodyMemory.Acquire(ctx, size); err != nil {
		return memoryRejection(err)
	}
	return nil
}

// readBufferedBody reads a complete body within BodyTimeout. It removes the read deadline afterwards: if a read timed out while the
// request waits for its response, net/http would report that the client has disconnected.
func (s *Server) readBufferedBody(w http.ResponseWriter, r *http.Request) ([]byte, *rejection) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(s.options.BodyTimeout)); err != nil {
		return nil, newRejection(http.StatusBadRequest, "%w", err)
	}
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes))
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

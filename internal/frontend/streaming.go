package frontend

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	"tuliprock/internal/body"
)

// What is still read of a client that was responded to before its body's end, as net/http does for handlers that leave
// a body unread: closing a connection with unread bytes resets it, which could take the response along.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// isStreaming reports whether a request's body is streamed to the endpoint. With Expect: 100-continue it is at any
// length, for the endpoint decides whether the client should send it.
func (s *Server) isStreaming(r *http.Request) bool {
	isLong := r.ContentLength < 0 || r.ContentLength > body.WindowSize
	return s.options.BodyMemory != nil && r.URL.Path != healthPath && (isLong || r.ContentLength > 0 && expectsContinue(r))
}

func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// serveStreaming serves a request whose body may be streamed. It is submitted to its pool only when the body's beginning
// was received.
func (s *Server) serveStreaming(w *responseWriter, r *http.Request, arrived time.Time) {
	// A proxy before this daemon may have gone by a Content-Length beside the chunks, which net/http drops: what follows
	// could be a part of the body to it (RFC 9112, 6.1).
	w.mustClose = r.ContentLength < 0
	routes := s.routes.acquire()
	defer routes.release()
	request, rejected := s.parseRequest(routes, r, true)
	if rejected != nil {
		s.rejectInvalid(w, rejected)
		return
	}
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		s.rejectInvalid(w, newRejection(http.StatusBadRequest, "%w", err))
		return
	}
	upload, err := s.openUpload(r, control, s.deadlineFrom(request, arrived))
	if err != nil {
		request.reject(w, memoryRejection(err))
		return
	}
	w.upload = upload
	defer func() {
		if w.wroteHeader && !upload.IsComplete() {
			_ = control.Flush() // the response must not wait for the body; where there is none net/http would make one up
		}
		upload.Close(lingerTime, lingerBytes)
	}()
	isComplete := false
	if !upload.ExpectsContinue {
		if isComplete, err = s.fillUpload(upload); err != nil {
			s.rejectUpload(w, request, err)
			return
		}
	}
	if isComplete && upload.Trailer() == nil {
		request.call.Message.Body = bytes.Clone(upload.Prefix())
		s.setDeadline(request, deadlineStart(request, arrived))
	} else {
		s.setStreaming(request, upload, deadlineStart(request, arrived))
	}
	s.dispatch(w, r, request)
}

// openUpload waits for memory for a streaming body, at most until the deadline.
func (s *Server) openUpload(r *http.Request, control *http.ResponseController, deadline time.Time) (*body.Upload, error) {
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	defer context.AfterFunc(s.streamContext, cancel)()
	return body.NewUpload(ctx, s.options.BodyMemory, body.Source{
		Body:            r.Body,
		SetReadDeadline: control.SetReadDeadline,
		Size:            r.ContentLength,
		MaxBytes:        s.options.MaxBodyBytes,
		Trailer:         func() http.Header { return r.Trailer },
		ExpectsContinue: expectsContinue(r),
		MinimumRate:     s.options.MinRate,
	})
}

// fillUpload reads a body's beginning, and reports whether that is all of it. AbortStreams ends it.
func (s *Server) fillUpload(upload *body.Upload) (isComplete bool, err error) {
	defer context.AfterFunc(s.streamContext, upload.Stop)()
	return upload.ReadPrefix()
}

// rejectUpload rejects a request whose body's beginning could not be read because of err.
func (s *Server) rejectUpload(w *responseWriter, request *routedRequest, err error) {
	if s.streamContext.Err() != nil {
		request.reject(w, newShedRejection("the daemon is about to end"))
		return
	}
	s.rejectInvalid(w, bodyRejection(err))
}

// deadlineStart returns from when the deadline of a request counts whose body's beginning was received just now.
func deadlineStart(request *routedRequest, arrived time.Time) time.Time {
	if request.target.Class.DeadlineCoversStreams {
		return arrived
	}
	return time.Now()
}

// setStreaming makes a request one whose body is streamed. Its deadline covers all of it, or only the time in which it
// waits and none of its body moves.
func (s *Server) setStreaming(request *routedRequest, upload *body.Upload, began time.Time) {
	s.setDeadline(request, began)
	call, class := request.call, request.target.Class
	call.Message.Upload, call.StreamUntil = upload, call.Deadline
	if !class.DeadlineCoversStreams {
		call.StreamUntil = max(call.Deadline, request.target.Pool.At(s.capAtShutdown(began.Add(class.MaxStreamDuration))))
		call.ResponseTimeout, call.Message.ResponseTimeout = request.timeout, request.timeout
	}
}

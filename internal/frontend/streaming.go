package frontend

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"strings"
	"time"

	"tuliprock/internal/body"
)

// Limits on reading the rest of a body after the response was written. Closing a connection with unread bytes resets it, which
// could keep the client from receiving the response. For this reason net/http, too, reads the rest of a body that a handler leaves
// unread.
const (
	maxLingerTime  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// isStreaming reports whether a request's body is streamed to the endpoint. Bodies that are longer than body.BufferSize or of
// unknown length are streamed. With Expect: 100-continue bodies of any length are streamed, since the endpoint decides whether
// the client should send them.
func (s *Server) isStreaming(r *http.Request) bool {
	isLongOrUnknown := r.ContentLength < 0 || r.ContentLength > body.BufferSize
	return s.options.BodyMemory != nil && (isLongOrUnknown || r.ContentLength > 0 && expectsContinue(r))
}

func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// serveStreaming serves a request whose body is streamed. Unless the client waits for 100 Continue, the request is submitted to its
// pool only after the first body.PrefixSize bytes of the body were received. A shorter body without a trailer is buffered.
func (s *Server) serveStreaming(w *responseWriter, r *http.Request, arrived time.Time) {
	// net/http ignores a Content-Length beside the chunked encoding, but a proxy in front of this daemon may have used it. To that
	// proxy the bytes after the chunked body could be a part of the body (RFC 9112, 6.1).
	w.mustClose = r.ContentLength < 0
	mustContinue := expectsContinue(r)
	routes := s.routes.acquire()
	defer routes.release()
	request, rejected := s.parseRequest(routes, r, true)
	if rejected != nil {
		s.rejectInvalid(w, rejected)
		return
	}
	if s.isShedding.Load() {
		request.reject(w, newShedRejection("memory is short"))
		return
	}
	controller := http.NewResponseController(w)
	if err := controller.EnableFullDuplex(); err != nil {
		s.rejectInvalid(w, newRejection(http.StatusBadRequest, "%w", err))
		return
	}
	upload, err := s.openUpload(r, controller, mustContinue, arrived, s.deadlineFrom(request, arrived))
	if err != nil {
		request.reject(w, memoryRejection(err))
		return
	}
	w.upload = upload
	defer func() {
		if w.wroteHeader && !upload.IsComplete() {
			// The client must get the response before the rest of the body is read. If no response was written, Flush must not be
			// called, since it would make net/http write an empty response.
			_ = controller.Flush()
		}
		upload.Close(maxLingerTime, maxLingerBytes)
	}()
	isComplete := false
	if !upload.ExpectsContinue {
		if isComplete, err = s.fillUpload(r, upload); err != nil {
			s.rejectUpload(w, request, err)
			return
		}
	}
	if isComplete && upload.Trailer() == nil {
		request.call.HTTPRequest.Body = bytes.Clone(upload.Prefix())
		s.setDeadline(request, timeoutStart(request, upload, arrived))
	} else {
		s.attachUpload(request, upload, timeoutStart(request, upload, arrived))
	}
	s.dispatch(w, r, request)
}

// openUpload returns an Upload of the body of a request that has arrived at the given time. expectsContinue says that the client waits for
// 100 Continue. openUpload waits for memory until the deadline at
// most.
func (s *Server) openUpload(
	r *http.Request, controller *http.ResponseController, expectsContinue bool, arrived, deadline time.Time,
) (*body.Upload, error) {
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	defer context.AfterFunc(s.streamContext, cancel)()
	source := body.Source{
		Body:            r.Body,
		SetReadDeadline: controller.SetReadDeadline,
		Size:            r.ContentLength,
		MaxBytes:        s.options.MaxBodyBytes,
		Trailer:         func() http.Header { return r.Trailer },
		ExpectsContinue: expectsContinue,
		MinimumRate: body.MinimumRate{
			IdleTimeout:    cmp.Or(s.options.UploadIdleTimeout, s.options.MinRate.IdleTimeout),
			BytesPerSecond: s.options.MinRate.BytesPerSecond,
		},
		ArrivedAt: arrived,
	}
	if c := connOf(r); c != nil {
		c.waits.isEnabled.Store(true)
		source.Connection = c
	}
	return body.NewUpload(ctx, s.options.BodyMemory, source)
}

// fillUpload reads at least the first body.PrefixSize bytes of a body, or to its end, and reports whether the end was reached. It fails
// if AbortStreams is called.
func (s *Server) fillUpload(r *http.Request, upload *body.Upload) (isComplete bool, err error) {
	defer receiveBody(r)()
	defer context.AfterFunc(s.streamContext, upload.Stop)()
	return upload.ReadPrefix()
}

// rejectUpload rejects a request because reading the beginning of its body failed with err.
func (s *Server) rejectUpload(w *responseWriter, request *routedRequest, err error) {
	if s.streamContext.Err() != nil {
		request.reject(w, newShedRejection("the daemon is about to end"))
		return
	}
	s.rejectInvalid(w, bodyRejection(err))
}

// timeoutStart returns the time from which the timeout of a request with a streaming body counts: the request's arrival if the
// deadline covers streaming bodies, and otherwise the latest time at which the client had certainly not written its whole body.
func timeoutStart(request *routedRequest, upload *body.Upload, arrived time.Time) time.Time {
	if request.target.Class.DeadlineCoversStreams {
		return arrived
	}
	return upload.ClientUnfinishedAt(time.Now())
}

// attachUpload attaches a streaming body to a request and sets the request's deadlines. Unless the class's deadline covers
// streaming bodies, the request's timeout limits the time before the body is sent and, once more, the wait for the response after
// the body. MaxStreamDuration then limits the body itself.
func (s *Server) attachUpload(request *routedRequest, upload *body.Upload, start time.Time) {
	s.setDeadline(request, start)
	call, class := request.call, request.target.Class
	call.HTTPRequest.Upload, call.StreamUntil = upload, call.Deadline
	if !class.DeadlineCoversStreams {
		call.StreamUntil = max(call.Deadline, request.target.Loop.At(s.capAtShutdown(start.Add(class.MaxStreamDuration))))
		call.ResponseTimeout, call.HTTPRequest.ResponseTimeout = request.timeout-deadlineMargin, request.timeout
	}
}

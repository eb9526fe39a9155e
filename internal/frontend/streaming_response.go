package frontend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/upstream"
)

// streamResponse forwards a response while it is received. If the endpoint's response is incomplete, so is the client's: the connection
// is closed before the Content-Length is reached, or without the last chunk (RFC 9112, 8). streamResponse then panics with
// http.ErrAbortHandler.
func (s *Server) streamResponse(w *responseWriter, r *http.Request, request *routedRequest, response upstream.Response) {
	stream := response.Stream
	err := upstream.ErrClientGone
	defer func() { stream.Close(err) }()
	for _, ctx := range []context.Context{r.Context(), s.streamContext} {
		defer context.AfterFunc(ctx, stream.Abort)()
	}
	maxDuration := request.target.Class.MaxStreamDuration
	if request.target.Class.DeadlineCoversStreams {
		maxDuration = request.call.Deadline - request.target.Loop.Now()
	}
	defer time.AfterFunc(maxDuration, stream.Abort).Stop()
	meter := body.NewMeter(s.options.MinRate)
	setWriteMeter(r, &meter)
	defer setWriteMeter(r, nil)

	header := w.Header()
	s.copyResponseHeader(header, response.Header)
	if stream.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(stream.Length, 10))
	}
	w.WriteHeader(response.Status)
	controller := http.NewResponseController(w)
	if controller.Flush() != nil { // flushed at once, since the body may be slow
		panic(http.ErrAbortHandler)
	}
	if err = copyStream(w, controller, stream); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range stream.Trailer() {
		header[http.TrailerPrefix+name] = values
	}
	// The deadline is for the last chunk, which net/http writes after the handler has returned.
	err = controller.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout))
}

// copyStream writes a stream to the client until its end. Bytes of a stream of known length are spliced where possible. The error is
// upstream.ErrClientGone if writing to the client failed, and the stream's error if reading from the endpoint failed.
func copyStream(w *responseWriter, controller *http.ResponseController, stream *upstream.Stream) error {
	readerFrom, _ := w.ResponseWriter.(io.ReaderFrom)
	for {
		part, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := w.Write(part); err != nil || controller.Flush() != nil {
			return upstream.ErrClientGone
		}
		for n := int64(1); stream.Length >= 0 && readerFrom != nil && n > 0; {
			if n, err = readerFrom.ReadFrom(splicedReader{nil, stream}); err != nil {
				return upstream.ErrClientGone
			}
		}
	}
}

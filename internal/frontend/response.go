package frontend

import (
	"maps"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/metrics"
)

// Statuses of the daemon's own responses, for requests without a response of an endpoint. Clients take 503 and 429 as a promise that
// the request was not executed: 503 is only for requests that were shed, and 429 is not used.
const (
	statusShed      = http.StatusServiceUnavailable
	statusFailed    = http.StatusBadGateway
	statusDuplicate = http.StatusConflict // another request with the same id is in flight
)

var statusByVerdict = map[eventloop.Verdict]int{
	eventloop.Shed:      statusShed,
	eventloop.Failed:    statusFailed,
	eventloop.Duplicate: statusDuplicate,
}

var outcomeByVerdict = map[eventloop.Verdict]metrics.Outcome{
	eventloop.Served:    metrics.OK,
	eventloop.Shed:      metrics.Shed,
	eventloop.Failed:    metrics.Failed,
	eventloop.Duplicate: metrics.Failed,
}

// responseWriter is a ResponseWriter that sets Connection: close if the connection can't serve another request.
type responseWriter struct {
	http.ResponseWriter
	closesConnections *atomic.Bool  // whether every response closes its connection; a field of the Server
	writeTimeout      time.Duration // timeout for writing the response, unless it streams
	upload            *body.Upload  // streaming body of the request; nil: the body is not streamed
	mustClose         bool          // the bytes that follow on the connection can't be trusted to begin a new request
	wroteHeader       bool
	isFromEndpoint    bool // the response is that of an endpoint
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.wroteHeader = true
	if w.closesConnections.Load() || w.mustClose || w.upload != nil && !w.upload.IsComplete() {
		w.Header().Set("Connection", "close")
	}
	// The deadline keeps a client that does not read from holding its connection forever. An error means that it has disconnected.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.writeTimeout))
	w.ResponseWriter.WriteHeader(status)
}

// closes reports whether the connection is closed after the response.
func (w *responseWriter) closes() bool {
	return w.wroteHeader && w.Header().Get("Connection") == "close"
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// writeReply writes the response to a request and returns the request's outcome. It panics with http.ErrAbortHandler if a streaming
// response breaks.
func (s *Server) writeReply(w *responseWriter, r *http.Request, request *routedRequest, reply eventloop.Reply) metrics.Outcome {
	w.isFromEndpoint = reply.Response.Stream != nil || reply.Response.Status != 0
	if reply.Response.Stream != nil {
		s.streamResponse(w, r, request, reply.Response)
		return metrics.OK
	}
	header := w.Header()
	content, status := reply.Response.Body, reply.Response.Status
	if w.isFromEndpoint {
		s.copyResponseHeader(header, reply.Response.Header)
	} else {
		status = statusByVerdict[reply.Verdict]
		content = []byte(http.StatusText(status) + "\n")
		header.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if reply.RetryAfter > 0 {
		header.Set("Retry-After", s.retryAfterValue(reply.RetryAfter))
	}
	switch {
	case status == http.StatusNoContent || status == http.StatusNotModified:
		content = nil
	case r.Method == http.MethodHead && w.isFromEndpoint: // the Content-Length is that of the response to a GET, if known
		if length := reply.Response.Header.Get("Content-Length"); length != "" {
			header.Set("Content-Length", length)
		}
	default:
		header.Set("Content-Length", strconv.Itoa(len(content)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(content) // an error means that the client has disconnected
	return outcomeByVerdict[reply.Verdict]
}

// retryAfterValue returns the value of a Retry-After header, in whole seconds or in milliseconds. It is rounded up, so that clients
// don't retry too early.
func (s *Server) retryAfterValue(retryAfter time.Duration) string {
	if s.options.FractionalRetryAfter {
		milliseconds := (retryAfter + time.Millisecond - 1).Truncate(time.Millisecond)
		return strconv.FormatFloat(milliseconds.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(retryAfter.Seconds())))
}

// copyResponseHeader copies the header of an endpoint's response without the hop-by-hop headers, or only Content-Type if the option
// ForwardsUnchanged is set. It may modify from, which no other response uses.
func (s *Server) copyResponseHeader(to, from http.Header) {
	to["Content-Type"] = nil // keeps net/http from guessing a Content-Type
	if s.options.ForwardsUnchanged {
		if contentType := from.Get("Content-Type"); contentType != "" {
			to.Set("Content-Type", contentType)
		}
		return
	}
	removeHopByHop(from)
	maps.Copy(to, from)
	to.Del("Content-Length")
}

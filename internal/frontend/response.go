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

// The statuses with which clients are responded to where there is no response of an endpoint. Only a request that was
// shed gets 503, and none gets 429: both promise that nothing was executed.
const (
	statusShed      = http.StatusServiceUnavailable
	statusFailed    = http.StatusBadGateway
	statusDuplicate = http.StatusConflict
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

// responseWriter is a ResponseWriter that sets Connection: close where the connection can't serve another request.
type responseWriter struct {
	http.ResponseWriter
	closesConnections *atomic.Bool // the Server's: all connections are to be closed
	upload            *body.Upload // the request's streaming body; nil: the body was read
	mustClose         bool         // what follows on the connection can't be trusted
	wroteHeader       bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.wroteHeader = true
	if w.closesConnections.Load() || w.mustClose || w.upload != nil && !w.upload.IsComplete() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController find the writer beneath.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// writeReply writes the response to a request, and returns the request's outcome. A streaming response that breaks panics
// with http.ErrAbortHandler.
func (s *Server) writeReply(w *responseWriter, r *http.Request, request *routedRequest, reply eventloop.Reply) metrics.Outcome {
	if reply.Response.Stream != nil {
		s.streamResponse(w, r, request, reply.Response)
		return metrics.OK
	}
	// A client that does not read must not hold its connection for good. An error means that the client has disconnected.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.options.WriteTimeout))
	header := w.Header()
	content, status := reply.Response.Body, reply.Response.Status
	isFromEndpoint := status != 0
	if isFromEndpoint {
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
	case r.Method == http.MethodHead && isFromEndpoint: // the length of the response to a GET, if known
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

// retryAfterValue returns a Retry-After that is never earlier than the time given.
func (s *Server) retryAfterValue(after time.Duration) string {
	if s.options.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

// copyResponseHeader copies the header of an endpoint's response: all but the hop-by-hop headers, or with the option Raw
// only Content-Type. It may change from, which belongs to one response.
func (s *Server) copyResponseHeader(to, from http.Header) {
	to["Content-Type"] = nil // else net/http would guess one
	if s.options.Raw {
		if contentType := from.Get("Content-Type"); contentType != "" {
			to.Set("Content-Type", contentType)
		}
		return
	}
	removeHopByHop(from)
	maps.Copy(to, from)
	to.Del("Content-Length")
}

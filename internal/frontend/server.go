// Package frontend is the downstream side of the daemon: it accepts the connections of clients, reads and checks their requests,
// routes each request to the event loop of its pool, and writes the responses.
//
// A Server is the http.Handler of one listening address. Its Listener tracks the connections and wraps a LimitListener, which limits
// their number. All Servers share an ActiveRouteConfig, which a reload of the configuration swaps. The package owns the state of
// clients' connections, and that of requests until they are submitted; from then on the pool's event loop owns the request, and the
// handler waits for its reply. Apart from timers the package starts no goroutines: requests are handled on those of net/http, one for
// each connection.
//
// The package guarantees: each valid request gets one response, or its connection is closed; a 503 that does not come from an endpoint
// promises that the request was not executed; neither eviction nor a graceful shutdown closes a connection on which a request was
// received that has no response yet.
package frontend

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/metrics"
)

// healthPath is the path of the daemon's own health check, which responds as long as the daemon serves requests.
const healthPath = "/_health"

// shutdownResponseGrace is how long after the shutdown deadline a Server waits for replies from the event loop before it fails the
// remaining requests. It is ten times the 5 ms by which timers of the balancer may be late.
const shutdownResponseGrace = 50 * time.Millisecond

// Options configures a Server.
type Options struct {
	MaxHeaderBytes int   // maximum size of a request's head in bytes: MaxHeaderBytes of http.Server
	MaxBodyBytes   int64 // maximum size of a request's body in bytes

	HeadTimeout  time.Duration // timeout for reading a request's head
	BodyTimeout  time.Duration // timeout for reading a buffered body
	IdleTimeout  time.Duration // how long a connection may be idle between two requests
	WriteTimeout time.Duration // timeout for writing a buffered response, or the last chunk of a streaming one, whose other chunks MinRate limits

	Forwarded            ForwardedMode
	Pseudonym            string // the daemon's pseudonym in the header Via
	FractionalRetryAfter bool   // Retry-After has fractions of seconds; otherwise it has whole seconds (RFC 9110, 10.2.3)

	// ForwardsUnchanged means that request targets are matched and forwarded unchanged, and that Content-Type is the only response
	// header that is forwarded. It also means that no proxy in front of the daemon has checked the framing of requests, so that a
	// request is rejected if its body may be framed both by chunks and by a Content-Length.
	ForwardsUnchanged bool

	BodyMemory *body.MemoryPool // memory for bodies; nil: bodies are never streamed, and a request with a body needs a Content-Length
	MinRate    body.MinimumRate // minimum rate at which clients must send and receive streaming bodies
	Metrics    *metrics.Registry

	// UploadIdleTimeout takes the place of MinRate.IdleTimeout for bodies that clients send; 0 means that of MinRate.
	UploadIdleTimeout time.Duration
}

// Server reads the requests of clients, submits them to the event loop of their pool and writes the responses. It is safe
// for concurrent use.
type Server struct {
	options       Options
	routes        *ActiveRouteConfig
	log           *slog.Logger
	stallDetector stallDetector
	pipeline      pipelinePacer

	isShedding        atomic.Bool               // new requests are rejected
	closesConnections atomic.Bool               // every response closes its connection
	shutdownDeadline  atomic.Pointer[time.Time] // time by which all requests must have their responses; nil: no shutdown has begun
	shutdownExpired   chan struct{}             // closed shutdownResponseGrace after shutdownDeadline
	shutdownOnce      sync.Once                 // guards against a second shutdown deadline

	streamContext context.Context    // context of all streaming bodies, which AbortStreams cancels
	cancelStreams context.CancelFunc // cancels streamContext
}

// NewServer returns a Server that routes each request by the configuration that is active in routes when the request is read.
func NewServer(options Options, routes *ActiveRouteConfig, log *slog.Logger) *Server {
	s := &Server{
		options:         options,
		routes:          routes,
		log:             log,
		stallDetector:   stallDetector{startedAt: time.Now()},
		shutdownExpired: make(chan struct{}),
	}
	s.streamContext, s.cancelStreams = context.WithCancel(context.Background())
	return s
}

// AbortStreams aborts all streaming bodies, in a way that shows clients that they are incomplete.
func (s *Server) AbortStreams() { s.cancelStreams() }

// SetShutdownDeadline sets a deadline that caps the deadlines of all requests that are read from now on. Requests with buffered
// bodies that were read before fail if they have no reply 50 ms after the deadline: their clients may wait longer, but the process
// ends earlier. Only the first call has an effect.
func (s *Server) SetShutdownDeadline(deadline time.Time) {
	s.shutdownOnce.Do(func() {
		s.shutdownDeadline.Store(&deadline)
		time.AfterFunc(time.Until(deadline)+shutdownResponseGrace, func() { close(s.shutdownExpired) })
	})
}

// IsShuttingDown reports whether SetShutdownDeadline was called.
func (s *Server) IsShuttingDown() bool { return s.shutdownDeadline.Load() != nil }

// SetCloseConnections sets whether every response from now on closes its connection.
func (s *Server) SetCloseConnections(closes bool) { s.closesConnections.Store(closes) }

// SetShedding sets whether valid requests are rejected from now on, before their bodies are read.
func (s *Server) SetShedding(isShedding bool) { s.isShedding.Store(isShedding) }

// HTTPServer returns an http.Server that serves the connections of a Listener. track is the Listener's Track.
func (s *Server) HTTPServer(track func(net.Conn, http.ConnState)) *http.Server {
	return &http.Server{
		Handler:                      s,
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            s.options.HeadTimeout,
		WriteTimeout:                 s.options.WriteTimeout, // for responses that net/http writes itself; responseWriter sets a deadline of its own
		IdleTimeout:                  s.options.IdleTimeout,
		MaxHeaderBytes:               s.options.MaxHeaderBytes,
		ConnState:                    track,
		ConnContext:                  withConn,
		ErrorLog:                     slog.NewLogLogger(s.log.Handler(), slog.LevelWarn),
	}
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler if the connection must be closed without a complete
// response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	framing, isFramingKnown := takeHeadFraming(r)
	arrived, isDisconnected := s.arrivalTime(r, time.Now())
	arrived = earlier(arrived, framing.arrivedAt)
	if isDisconnected {
		panic(http.ErrAbortHandler)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // that of HTTPServer is only for responses that net/http writes itself
	writer := &responseWriter{ResponseWriter: w, closesConnections: &s.closesConnections, writeTimeout: s.options.WriteTimeout}
	defer limitUnreadBody(writer)
	defer paceLocalResponses(r, writer)()
	s.pipeline.await(connOf(r), framing.arrivedAt)
	// The framing is checked first, since bytes of a request's body must never be read as another request.
	if rejected := s.checkFraming(r, framing, isFramingKnown); rejected != nil {
		s.rejectInvalid(writer, rejected)
		return
	}
	switch {
	case r.URL.Path == healthPath:
		s.serveHealth(writer, r)
	case s.isStreaming(r):
		s.serveStreaming(writer, r, arrived)
	default:
		s.serveBuffered(writer, r, arrived)
	}
}

// limitUnreadBody limits how long net/http reads the rest of a request's body before it closes the connection.
func limitUnreadBody(w *responseWriter) {
	if w.closes() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(maxLingerTime)) // an error means that the client has disconnected
	}
}

// serveHealth responds to a health check, which has no body.
func (s *Server) serveHealth(w *responseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		s.rejectInvalid(w, newRejection(http.StatusBadRequest, "a body is not wanted here"))
		return
	}
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, "ok\n") // an error means that the client has disconnected
}

// serveBuffered serves a request whose body is read completely before the request is submitted.
func (s *Server) serveBuffered(w *responseWriter, r *http.Request, arrived time.Time) {
	routes := s.routes.acquire()
	defer routes.release()
	request, rejected := s.parseRequest(routes, r, r.ContentLength > 0)
	if rejected != nil {
		s.rejectInvalid(w, rejected)
		return
	}
	if s.isShedding.Load() {
		request.reject(w, newShedRejection("memory is short"))
		return
	}
	release, err := s.reserveBodyMemory(r, s.deadlineFrom(request, arrived))
	if err != nil {
		request.reject(w, memoryRejection(err))
		return
	}
	defer release()
	content, rejected := s.readBufferedBody(w, r)
	if rejected != nil {
		s.rejectInvalid(w, rejected)
		return
	}
	if mayHideDisconnect(r) || !time.Now().Before(s.deadlineFrom(request, arrived)) {
		request.target.Class.Metrics.Count(metrics.Shed)
		s.writeReply(w, r, request, eventloop.Reply{Verdict: eventloop.Shed, RetryAfter: shedRetryAfter})
		return
	}
	request.call.HTTPRequest.Body = content
	s.setDeadline(request, arrived)
	s.dispatch(w, r, request)
}

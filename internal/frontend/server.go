// Package frontend is the clients' side of the daemon: it accepts their connections, reads and checks their requests,
// routes each to the event loop of its pool, and writes the responses.
//
// A Server is the http.Handler of one listening address; its Listener tracks the connections, and a limiting listener
// beneath caps their number. All Servers share the routes, which a reload swaps. The package owns the state of clients'
// connections and of requests up to their submission; from then on the pool's event loop owns the request, and the
// handler waits for its reply. It starts no goroutine of its own beside timers: requests run on net/http's, one for each
// connection.
//
// What may be relied on: each valid request gets one response, or its connection is closed; a 503 that does not come from
// an endpoint promises that nothing was executed; neither eviction nor a graceful shutdown closes a connection on which
// a request was received but not responded to.
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
	"tuliprock/internal/metrics"
)

// healthPath is the path at which the daemon itself responds for as long as it serves.
const healthPath = "/_health"

// shutdownResponseGrace is how long after the shutdown deadline the module's own replies are waited for, before requests
// are failed here: ten times the 5 ms by which the module may be late.
const shutdownResponseGrace = 50 * time.Millisecond

// Options of a Server.
type Options struct {
	MaxHeaderBytes int   // bytes of a request's head, at most: MaxHeaderBytes of http.Server
	MaxBodyBytes   int64 // bytes of a request's body, at most

	HeadTimeout  time.Duration // for reading a request's head
	BodyTimeout  time.Duration // for reading a buffered body
	IdleTimeout  time.Duration // between requests of a connection
	WriteTimeout time.Duration // for writing a buffered response, or the end of a streaming one

	Forwarded            ForwardedMode
	Pseudonym            string // of the daemon, in Via
	FractionalRetryAfter bool   // Retry-After is in fractions of seconds; else in whole ones (RFC 9110, 10.2.3)
	Raw                  bool   // request targets are matched and forwarded unchanged, and of responses' headers only Content-Type

	BodyMemory *body.MemoryPool // memory for bodies; nil: requests need a Content-Length, and all bodies are buffered
	MinRate    body.MinimumRate // minimum rate of clients where bodies are streamed
	Metrics    *metrics.Registry
}

// Server reads the requests of clients, submits them to the event loop of their pool and writes the responses. It is safe
// for concurrent use.
type Server struct {
	options Options
	routes  *ActiveRouteConfig
	log     *slog.Logger
	stalls  stallDetector

	closesConnections atomic.Bool               // every response closes its connection
	shutdownDeadline  atomic.Pointer[time.Time] // by which all requests are responded to; nil: none
	shutdownExpired   chan struct{}             // closed shutdownResponseGrace after the shutdownDeadline
	shutdownOnce      sync.Once

	streamContext context.Context // ends when AbortStreams is called
	cancelStreams context.CancelFunc
}

// NewServer returns a Server that routes each request by what is active in routes when the request is read.
func NewServer(options Options, routes *ActiveRouteConfig, log *slog.Logger) *Server {
	s := &Server{
		options:         options,
		routes:          routes,
		log:             log,
		stalls:          stallDetector{startedAt: time.Now()},
		shutdownExpired: make(chan struct{}),
	}
	s.streamContext, s.cancelStreams = context.WithCancel(context.Background())
	return s
}

// AbortStreams ends all streaming bodies, in a way that shows their clients that they are not complete.
func (s *Server) AbortStreams() { s.cancelStreams() }

// SetShutdownDeadline gives all requests that are read from now on a response by the instant given. A request that was
// read before, and whose body is buffered, has failed 50 ms after it: its client would wait for longer than this process
// runs. Only the first call has an effect.
func (s *Server) SetShutdownDeadline(at time.Time) {
	s.shutdownOnce.Do(func() {
		s.shutdownDeadline.Store(&at)
		time.AfterFunc(time.Until(at)+shutdownResponseGrace, func() { close(s.shutdownExpired) })
	})
}

// IsShuttingDown reports whether SetShutdownDeadline was called.
func (s *Server) IsShuttingDown() bool { return s.shutdownDeadline.Load() != nil }

// SetCloseConnections sets whether every response from now on closes its connection.
func (s *Server) SetCloseConnections(isClosing bool) { s.closesConnections.Store(isClosing) }

// HTTPServer returns the http.Server to run on a Listener. track is the Listener's Track.
func (s *Server) HTTPServer(track func(net.Conn, http.ConnState)) *http.Server {
	return &http.Server{
		Handler:                      s,
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            s.options.HeadTimeout,
		IdleTimeout:                  s.options.IdleTimeout,
		MaxHeaderBytes:               s.options.MaxHeaderBytes,
		ConnState:                    track,
		ConnContext:                  withConn,
		ErrorLog:                     slog.NewLogLogger(s.log.Handler(), slog.LevelWarn),
	}
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler where the connection must be closed without a
// complete response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived, isDisconnected := s.arrivalTime(r, time.Now())
	if isDisconnected {
		panic(http.ErrAbortHandler)
	}
	out := &responseWriter{ResponseWriter: w, closesConnections: &s.closesConnections}
	// The framing is checked first: bytes of another request's body must never be read as a request.
	if rejected := s.checkFraming(r); rejected != nil {
		s.rejectInvalid(out, rejected)
		return
	}
	if s.isStreaming(r) {
		s.serveStreaming(out, r, arrived)
		return
	}
	s.serveBuffered(out, r, arrived)
}

// serveBuffered serves a request whose body is read completely before it is submitted.
func (s *Server) serveBuffered(w *responseWriter, r *http.Request, arrived time.Time) {
	release, rejected := s.reserveBodyMemory(r, arrived)
	if rejected != nil {
		s.rejectUnbuffered(w, r, rejected)
		return
	}
	defer release()
	content, rejected := s.readBufferedBody(w, r)
	if rejected != nil {
		s.rejectInvalid(w, rejected)
		return
	}
	if r.URL.Path == healthPath {
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "ok\n") // an error means that the client has disconnected
		return
	}
	routes := s.routes.acquire()
	defer routes.release()
	request, rejected := s.parseRequest(routes, r, len(content) > 0)
	if rejected != nil {
		s.rejectInvalid(w, rejected)
		return
	}
	request.call.Message.Body = content
	s.setDeadline(request, arrived)
	s.dispatch(w, r, request)
}

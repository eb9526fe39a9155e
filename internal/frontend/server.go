// Package frontend is the callers' side: their connections, requests and answers.
package frontend

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/metrics"
)

// What callers are answered where an endpoint has not. Only a refusal is 503, and nothing is 429: both promise that
// nothing has run.
const (
	statusShed      = http.StatusServiceUnavailable
	statusFailed    = http.StatusBadGateway
	statusDuplicate = http.StatusConflict
)

var statusByVerdict = map[eventloop.Verdict]int{eventloop.Refused: statusShed, eventloop.Failed: statusFailed, eventloop.Duplicate: statusDuplicate}

const (
	healthPath     = "/_health"
	maxIDBytes     = 256
	deadlineMargin = 10 * time.Millisecond // kept of a deadline for the way here and back: 0.4 ms here (p99), the rest the network's
)

// Options of a Server.
type Options struct {
	Head                                                int   // bytes
	Body                                                int64 // bytes
	HeadTimeout, BodyTimeout, IdleTimeout, WriteTimeout time.Duration
	Forwarded                                           Forwarded
	Pseudonym                                           string     // in Via
	Fractions                                           bool       // Retry-After has them; else whole seconds (RFC 9110, 10.2.3)
	Pool                                                *body.Pool // memory for bodies; nil: bodies have lengths, and are held whole
	Pace                                                body.Pace  // of callers, where bodies flow
	Figures                                             *metrics.Registry
	Raw                                                 bool // targets are matched and go on as they came, and answers' headers don't
}

// Server takes callers' requests, hands them to the loop of their pool and writes their answers.
type Server struct {
	options Options
	routes  *Current
	log     *slog.Logger
	stalls  stallDetector

	closesConnections atomic.Bool               // answers close their connections
	shutdownDeadline  atomic.Pointer[time.Time] // by which all must be answered; nil: none
	shutdownExpired   chan struct{}             // closed a little after that
	shutdownOnce      sync.Once

	streamContext context.Context // ends when bodies that still flow are cut off
	cancelStreams context.CancelFunc
}

// New makes a Server that routes by what is current.
func New(o Options, current *Current, log *slog.Logger) *Server {
	s := &Server{options: o, routes: current, log: log, stalls: stallDetector{startedAt: time.Now()}, shutdownExpired: make(chan struct{})}
	s.streamContext, s.cancelStreams = context.WithCancel(context.Background())
	return s
}

// AbortStreams ends all bodies that flow, so that their callers can tell.
func (s *Server) AbortStreams() { s.cancelStreams() }

// SetShutdownDeadline makes all that is taken from now on be answered by the instant given. What was taken before and is held whole has failed
// by then: its caller would wait for longer than this process is there. It counts once.
func (s *Server) SetShutdownDeadline(at time.Time) {
	s.shutdownOnce.Do(func() {
		s.shutdownDeadline.Store(&at)
		time.AfterFunc(time.Until(at)+shutdownResponseGrace, func() { close(s.shutdownExpired) })
	})
}

// shutdownResponseGrace is what the module's own answers have, at the end, before this package gives them: ten times the 5 ms that it may be late.
const shutdownResponseGrace = 50 * time.Millisecond

// IsShuttingDown tells whether EndBy was called.
func (s *Server) IsShuttingDown() bool { return s.shutdownDeadline.Load() != nil }

// SetCloseConnections makes every answer from now on close its connection, or no longer.
func (s *Server) SetCloseConnections(is bool) { s.closesConnections.Store(is) }

// HTTP is the server to run on a Listener, whose Track it must be given.
func (s *Server) HTTP(track func(net.Conn, http.ConnState)) *http.Server {
	return &http.Server{Handler: s, DisableGeneralOptionsHandler: true, ReadHeaderTimeout: s.options.HeadTimeout, IdleTimeout: s.options.IdleTimeout, MaxHeaderBytes: s.options.Head,
		ConnState: track, ConnContext: withConn, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelWarn)}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived, left := s.arrivalTime(r, time.Now())
	if left {
		panic(http.ErrAbortHandler)
	}
	out := &responseWriter{ResponseWriter: w, closesConnections: &s.closesConnections}
	// The framing comes first: nothing may be read as a request that stands in another's body.
	if bad := s.checkFraming(r); bad != nil {
		s.rejectInvalid(out, bad)
		return
	}
	if s.isStreaming(r) {
		s.serveStreaming(out, r, arrived)
		return
	}
	giveBack, bad := s.reserveBodyMemory(r, arrived)
	if bad != nil {
		s.rejectUnbuffered(out, r, bad)
		return
	}
	defer giveBack()
	text, bad := s.readBufferedBody(out, r)
	if bad != nil {
		s.rejectInvalid(out, bad)
		return
	}
	if r.URL.Path == healthPath {
		out.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(out, "ok\n")
		return
	}
	service := s.routes.acquire()
	defer service.inFlight.Done()
	q, bad := s.parseRequest(service, r, len(text) > 0)
	if bad != nil {
		s.rejectInvalid(out, bad)
		return
	}
	q.call.Message.Body = text
	s.setDeadline(q, arrived)
	s.dispatch(out, r, q)
}

// rejectInvalid turns away what is no request, and counts it.
func (s *Server) rejectInvalid(w http.ResponseWriter, b *rejection) {
	s.options.Figures.Bad.Add(1)
	b.write(w)
}

// rejectUnbuffered refuses a request whose body was not read for lack of memory, and counts it as its class's where it is one.
func (s *Server) rejectUnbuffered(w http.ResponseWriter, r *http.Request, b *rejection) {
	service := s.routes.acquire()
	defer service.inFlight.Done()
	q, bad := s.parseRequest(service, r, true)
	if bad != nil {
		s.rejectInvalid(w, bad)
		return
	}
	q.reject(w, b)
}

// reject is Server's for a request that was read.
func (q *routedRequest) reject(w http.ResponseWriter, b *rejection) {
	how := metrics.Failed
	if b.status == statusShed {
		how = metrics.Shed
	}
	q.target.Class.Figures.Count(how)
	b.write(w)
}

// dispatch hands a request to its pool's loop and writes the final answer, unless the caller has left. Here, and nowhere else,
// a request begins and ends for the figures.
func (s *Server) dispatch(w *responseWriter, r *http.Request, q *routedRequest) {
	how := metrics.Failed // unless its answer was written
	q.target.Class.Figures.Begin()
	defer func() { q.target.Class.Figures.End(how) }()
	pool, c := q.target.Pool, q.call
	c.Here = func() bool { return isClientConnected(r) }
	pool.Post(func(now time.Duration) { pool.Submit(now, c) })
	reply, answered := s.awaitReply(r, q)
	if answered && reply.Verdict != eventloop.Left {
		how = s.writeReply(w, r, q, reply)
		return
	}
	u, gone := c.Message.Upload, answered || r.Context().Err() != nil
	if answered && u != nil { // the kernel's word of the end came before what stands ahead of it was read
		_ = u.Exhaust()
	}
	switch {
	case u != nil && (u.Err() != nil || gone && u.Settle() != nil): // a body that does not come looks like a caller that has left, too
		bodyRejection(u.Err()).write(w)
	case gone: // it may still read, and must not get the empty answer that net/http would make up
		panic(http.ErrAbortHandler)
	default:
		s.writeReply(w, r, q, eventloop.Reply{Verdict: eventloop.Failed})
	}
}

// awaitReply waits for the final answer. It is false if there is none: the caller has left, its body does not come, or this process ends.
func (s *Server) awaitReply(r *http.Request, q *routedRequest) (reply eventloop.Reply, answered bool) {
	var failed, cut <-chan struct{}
	last := s.shutdownExpired
	if u := q.call.Message.Upload; u != nil {
		failed, cut, last = u.Failed(), s.streamContext.Done(), nil
	}
	select {
	case reply := <-q.call.Replies:
		return reply, true
	case <-failed:
	case <-cut:
	case <-last:
	case <-r.Context().Done():
	case <-q.target.Pool.Done():
	}
	return withdraw(q)
}

// withdraw says that nobody waits for a request any more. If it was answered before, there is the answer.
func withdraw(q *routedRequest) (reply eventloop.Reply, answered bool) {
	left := make(chan bool, 1)
	q.target.Pool.Post(func(now time.Duration) { left <- q.target.Pool.ClientDisconnected(now, q.call) })
	select {
	case <-left:
	case <-q.target.Pool.Done():
	}
	select {
	case reply = <-q.call.Replies:
		return reply, true
	default:
		return reply, false
	}
}

// responseWriter is a ResponseWriter that says Connection: close once the sidecar is about to end.
type responseWriter struct {
	http.ResponseWriter
	closesConnections *atomic.Bool
	upload            *body.Upload // nil: the request's body is here
	mustClose         bool         // what follows on the connection can't be trusted
	wroteHeader       bool         // an answer has begun
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.wroteHeader = true
	if w.closesConnections.Load() || w.mustClose || w.upload != nil && !w.upload.Whole() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController find the writer beneath.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

var outcomeByVerdict = map[eventloop.Verdict]metrics.Outcome{eventloop.Served: metrics.OK, eventloop.Refused: metrics.Shed, eventloop.Failed: metrics.Failed, eventloop.Duplicate: metrics.Failed}

// writeReply sends the final answer, and tells how the request ended.
func (s *Server) writeReply(w *responseWriter, r *http.Request, q *routedRequest, reply eventloop.Reply) metrics.Outcome {
	if reply.Answer.Stream != nil {
		s.streamResponse(w, r, q, reply.Answer) // it panics where that breaks
		return metrics.OK
	}
	// Bounded, so that a caller that does not read can't hold a connection for good. An error means that it left.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.options.WriteTimeout))
	h := w.Header()
	text, status := reply.Answer.Body, reply.Answer.Status
	if status == 0 {
		status = statusByVerdict[reply.Verdict]
		text = []byte(http.StatusText(status) + "\n")
		h.Set("Content-Type", "text/plain; charset=utf-8")
	} else {
		s.copyResponseHeader(h, reply.Answer.Header)
	}
	if reply.RetryAfter > 0 {
		h.Set("Retry-After", s.retryAfterValue(reply.RetryAfter))
	}
	switch {
	case status == http.StatusNoContent || status == http.StatusNotModified:
		text = nil
	case r.Method == http.MethodHead && reply.Answer.Status != 0: // the length that a GET would have, if told
		if v := reply.Answer.Header.Get("Content-Length"); v != "" {
			h.Set("Content-Length", v)
		}
	default:
		h.Set("Content-Length", strconv.Itoa(len(text)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(text)
	return outcomeByVerdict[reply.Verdict]
}

// retryAfterValue is when to return, never earlier than the module says.
func (s *Server) retryAfterValue(after time.Duration) string {
	if s.options.Fractions {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

// copyResponseHeader gives an endpoint's headers on: what kind of answer it is, or all but those of the connection.
func (s *Server) copyResponseHeader(to, from http.Header) {
	to["Content-Type"] = nil // else net/http would guess one
	if s.options.Raw {
		if v := from.Get("Content-Type"); v != "" {
			to.Set("Content-Type", v)
		}
		return
	}
	removeHopByHop(from) // the answer is this caller's alone
	maps.Copy(to, from)
	to.Del("Content-Length")
}

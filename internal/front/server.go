// Package front is the callers' side: their connections, requests and answers.
package front

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/core"
	"tuliprock/internal/upstream"
)

// What callers are answered. Only a refusal is 503, and nothing is 429: both promise that nothing has run.
const (
	statusServed    = http.StatusOK
	statusRefused   = http.StatusServiceUnavailable
	statusFailed    = http.StatusBadGateway
	statusDuplicate = http.StatusConflict
)

var statusOf = map[core.Verdict]int{core.Served: statusServed, core.Refused: statusRefused, core.Failed: statusFailed,
	core.Duplicate: statusDuplicate}

const (
	healthPath   = "/_health"
	maxID        = 256
	maxDeadline  = time.Hour
	wayBack      = 10 * time.Millisecond   // kept of a deadline for the way here and back: 0.4 ms here (p99), the rest the network's
	headTimeout  = 1500 * time.Millisecond // from the accept, or a request's first bytes, to the end of its head
	bodyTimeout  = time.Second             // and on to the end of its body: a bad caller is owed an end within 3 s
	writeTimeout = 5 * time.Second
	callersIdle  = 5 * time.Second // some callers ask once and keep their connection for good
)

// Server takes callers' requests, hands them to the loop and writes their answers.
type Server struct {
	loop  *core.Loop
	class map[string]balance.Effect // the classes that are served
	log   *slog.Logger

	BodyTimeout time.Duration // for a body, from the end of its head
	ending      atomic.Bool   // answers close their connections
	endsAt      atomic.Int64  // instant by which all must be answered; 0: none
}

// New makes a Server that serves the classes given.
func New(l *core.Loop, classes []balance.Class, log *slog.Logger) *Server {
	s := &Server{loop: l, class: map[string]balance.Effect{}, log: log, BodyTimeout: bodyTimeout}
	for _, class := range classes {
		s.class[class.Name] = class.Effect
	}
	return s
}

// EndBy makes all that is taken from now on be answered by the instant given.
func (s *Server) EndBy(at time.Duration) { s.endsAt.Store(int64(at)) }

// EndsAt is the instant given to EndBy; 0: none.
func (s *Server) EndsAt() time.Duration { return time.Duration(s.endsAt.Load()) }

// CloseAll makes every answer from now on close its connection.
func (s *Server) CloseAll() { s.ending.Store(true) }

// HTTP is the server to run on a Listener, whose Track it must be given.
func (s *Server) HTTP(track func(net.Conn, http.ConnState)) *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: callersIdle, MaxHeaderBytes: upstream.MaxHead,
		ConnState: track, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelWarn)}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := s.loop.Now()
	w = &closing{w, &s.ending}
	// The framing comes first: nothing may be read as a request that stands in another's body.
	if status, err := checkFraming(r); err != nil {
		reject(w, status, err)
		return
	}
	body, status, err := s.readBody(w, r)
	if err != nil {
		reject(w, status, err)
		return
	}
	if r.URL.Path == healthPath {
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "ok\n")
		return
	}
	c, status, err := s.read(r, body, arrived)
	if err != nil {
		reject(w, status, err)
		return
	}
	s.loop.Post(func(now time.Duration) { s.loop.Start(now, c) })
	select {
	case a := <-c.Replies:
		write(w, a)
	case <-r.Context().Done():
		s.loop.Post(func(now time.Duration) { s.loop.Leave(now, c) })
	case <-s.loop.Done():
		write(w, core.Reply{Verdict: core.Failed})
	}
}

// reject turns a request away that reaches no endpoint, and its connection with it: what follows on that can't be
// trusted, and a caller that sends the same again must connect anew.
func reject(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// checkFraming turns away what could be read in two ways. net/http drops Content-Length where Transfer-Encoding
// stands too, and would read what is left of the body as a new request; callers send lengths.
func checkFraming(r *http.Request) (int, error) {
	switch {
	case !r.ProtoAtLeast(1, 1) && r.URL.Path != healthPath: // net/http ignores Transfer-Encoding there
		return http.StatusBadRequest, errors.New("HTTP/1.1 is wanted")
	case len(r.TransferEncoding) > 0:
		return http.StatusLengthRequired, errors.New("Transfer-Encoding: a Content-Length is wanted")
	case r.ContentLength > upstream.MaxBody:
		return http.StatusRequestEntityTooLarge, errors.New("the body is too long")
	}
	return 0, nil
}

// closing is a ResponseWriter that says Connection: close once the sidecar is about to end.
type closing struct {
	http.ResponseWriter
	ending *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closing) WriteHeader(status int) {
	if w.ending.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController find the writer beneath.
func (w *closing) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// read makes a call of a request, or says what is wrong with it.
func (s *Server) read(r *http.Request, body []byte, arrived time.Duration) (*core.Call, int, error) {
	class, status, err := s.checkClass(r, body)
	if err != nil {
		return nil, status, err
	}
	id, err := one(r.Header, "Req-Id")
	if err != nil || len(id) > maxID {
		return nil, http.StatusBadRequest, errors.New("Req-Id: one of moderate length is wanted")
	}
	text, err := one(r.Header, upstream.DeadlineName)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	ms, err := strconv.ParseUint(text, 10, 64)
	if err != nil || ms < 1 || ms > uint64(maxDeadline.Milliseconds()) {
		return nil, http.StatusBadRequest, fmt.Errorf("%s: %.40q is no usable time", upstream.DeadlineName, text)
	}
	deadline := arrived + time.Duration(ms)*time.Millisecond - wayBack
	if end := time.Duration(s.endsAt.Load()); end > 0 {
		deadline = min(deadline, end)
	}
	return &core.Call{
		Request: balance.Request{ID: id, Class: class, Tenant: r.Header.Get("Req-Owner"),
			Deadline: deadline, Repeat: r.Header.Get("Req-Retry") == "1"},
		Message: &upstream.Message{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: endToEnd(r.Header), Body: body},
		Replies: make(chan core.Reply, 1),
	}, 0, nil
}

// checkClass finds a request's class and holds the request to what endpoints take of it. A class that the settings
// don't name must reach neither the module nor an endpoint: nobody knows what repeating it may do.
func (s *Server) checkClass(r *http.Request, body []byte) (class string, status int, err error) {
	if !isTarget(r.RequestURI) {
		return "", http.StatusBadRequest, errors.New("the target is no plain path")
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	class, _, _ = strings.Cut(path[1:], "/")
	effect, ok := s.class[class]
	switch {
	case !ok:
		return "", http.StatusNotFound, fmt.Errorf("class %.40q is not served", class)
	case r.Method != methodOf(effect):
		return "", http.StatusMethodNotAllowed, fmt.Errorf("method %.40q is not served here", r.Method)
	case effect == balance.Safe && len(body) > 0:
		return "", http.StatusBadRequest, errors.New("a body is not wanted here")
	case effect == balance.Keyed: // without a key endpoints could not drop its repeats
		if _, err := one(r.Header, "Idempotency-Key"); err != nil {
			return "", http.StatusBadRequest, err
		}
	}
	return class, 0, nil
}

func methodOf(e balance.Effect) string {
	if e == balance.Safe {
		return http.MethodGet
	}
	return http.MethodPost
}

// isTarget tells whether a request's target is a path that can go on to an endpoint as it is.
func isTarget(target string) bool {
	return strings.HasPrefix(target, "/") && !strings.ContainsFunc(target, func(c rune) bool { return c <= ' ' || c > '~' })
}

// one gives the value of a header that must come exactly once.
func one(h http.Header, name string) (string, error) {
	v := h.Values(name)
	if len(v) != 1 || v[0] == "" {
		return "", fmt.Errorf("%s: exactly one is wanted", name)
	}
	return v[0], nil
}

// readBody reads a body whole, in bounded time. The time limit must be lifted afterwards: while a request waits for
// its answer, a read that times out looks to net/http like a caller that has left.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, int, error) {
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(s.BodyTimeout)); err != nil {
		return nil, http.StatusBadRequest, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, upstream.MaxBody))
	if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
		return nil, http.StatusRequestEntityTooLarge, errors.New("the body is too long")
	}
	if err != nil {
		return nil, http.StatusBadRequest, errors.New("the body can't be read")
	}
	return body, 0, control.SetReadDeadline(time.Time{})
}

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

func endToEnd(in http.Header) http.Header {
	out := in.Clone()
	for _, value := range in.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for _, name := range []string{"Req-Id", "Idempotency-Key"} { // whatever Connection names, these go on unchanged
		if v := in.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

// write sends the final answer.
func write(w http.ResponseWriter, r core.Reply) {
	// Bounded, so that a caller that does not read can't hold a connection for good. An error means that it left.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	body, status := r.Answer.Body, statusOf[r.Verdict]
	if r.Verdict == core.Served {
		if r.Answer.ContentType != "" {
			h.Set("Content-Type", r.Answer.ContentType)
		} else {
			h["Content-Type"] = nil
		}
	} else {
		body = []byte(http.StatusText(status) + "\n")
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

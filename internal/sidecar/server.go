package sidecar

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
)

// What callers are answered. Only a refusal is 503, and nothing is 429: both promise that nothing has run.
const (
	statusServed    = http.StatusOK
	statusRefused   = http.StatusServiceUnavailable
	statusFailed    = http.StatusBadGateway
	statusDuplicate = http.StatusConflict
)

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

// server is the callers' side.
type server struct {
	loop  *loop
	class map[string]balance.Effect // the classes that are served
	log   *slog.Logger

	bodyTimeout time.Duration
	ending      atomic.Bool  // answers close their connections
	endsAt      atomic.Int64 // instant by which all must be answered; 0: none
}

func (s *server) http(track func(net.Conn, http.ConnState)) *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: callersIdle, MaxHeaderBytes: maxHead,
		ConnState: track, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelWarn)}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := s.loop.clock.now()
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
	s.loop.post(func(now time.Duration) { s.loop.start(now, c) })
	select {
	case a := <-c.replies:
		write(w, a)
	case <-r.Context().Done():
		s.loop.post(func(now time.Duration) { s.loop.leave(now, c) })
	case <-s.loop.done:
		write(w, reply{status: statusFailed})
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
	case r.ContentLength > maxBody:
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
func (s *server) read(r *http.Request, body []byte, arrived time.Duration) (*call, int, error) {
	class, status, err := s.checkClass(r, body)
	if err != nil {
		return nil, status, err
	}
	id, err := one(r.Header, "Req-Id")
	if err != nil || len(id) > maxID {
		return nil, http.StatusBadRequest, errors.New("Req-Id: one of moderate length is wanted")
	}
	text, err := one(r.Header, deadlineName)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	ms, err := strconv.ParseUint(text, 10, 64)
	if err != nil || ms < 1 || ms > uint64(maxDeadline.Milliseconds()) {
		return nil, http.StatusBadRequest, fmt.Errorf("%s: %.40q is no usable time", deadlineName, text)
	}
	deadline := arrived + time.Duration(ms)*time.Millisecond - wayBack
	if end := time.Duration(s.endsAt.Load()); end > 0 {
		deadline = min(deadline, end)
	}
	return &call{
		Request: balance.Request{ID: id, Class: class, Tenant: r.Header.Get("Req-Owner"),
			Deadline: deadline, Repeat: r.Header.Get("Req-Retry") == "1"},
		message: &message{method: r.Method, target: r.RequestURI, host: r.Host, header: endToEnd(r.Header), body: body},
		replies: make(chan reply, 1),
	}, 0, nil
}

// checkClass finds a request's class and holds the request to what endpoints take of it. A class that the settings
// don't name must reach neither the module nor an endpoint: nobody knows what repeating it may do.
func (s *server) checkClass(r *http.Request, body []byte) (class string, status int, err error) {
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
func (s *server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, int, error) {
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(s.bodyTimeout)); err != nil {
		return nil, http.StatusBadRequest, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
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
func write(w http.ResponseWriter, r reply) {
	// Bounded, so that a caller that does not read can't hold a connection for good. An error means that it left.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	body := r.answer.body
	if r.status == statusServed {
		if r.answer.contentType != "" {
			h.Set("Content-Type", r.answer.contentType)
		} else {
			h["Content-Type"] = nil
		}
	} else {
		body = []byte(http.StatusText(r.status) + "\n")
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = w.Write(body)
}

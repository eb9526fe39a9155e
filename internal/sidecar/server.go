package sidecar

import (
	"cmp"
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

	"tuliprock"
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
	wayBack      = 10 * time.Millisecond // kept of a deadline for the way here and back: 0.4 ms here (p99), the rest the network's
	headTimeout  = 10 * time.Second
	bodyTimeout  = 5 * time.Second
	writeTimeout = 5 * time.Second
	callersIdle  = 5 * time.Minute
)

// server is the callers' side.
type server struct {
	loop  *loop
	keyed map[string]bool // classes whose requests carry a key
	host  string          // stands in where an HTTP/1.0 caller names no host
	log   *slog.Logger

	bodyTimeout time.Duration
	ending      atomic.Bool // answers close their connections
}

func (s *server) http(track func(net.Conn, http.ConnState)) *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: callersIdle, MaxHeaderBytes: maxHead,
		ConnState: track, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelWarn)}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := s.loop.clock.now()
	w = &closing{w, &s.ending}
	// The body comes first: net/http would wait without limit for the rest of one that was not read.
	body, status, err := s.readBody(w, r)
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body may still come
		http.Error(w, err.Error(), status)
		return
	}
	if r.URL.Path == healthPath {
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "ok\n")
		return
	}
	c, status, err := s.read(r, body, arrived)
	if err != nil {
		http.Error(w, err.Error(), status)
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
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s is not served", r.Method)
	}
	id, err := one(r.Header, "Req-Id")
	if err != nil || len(id) > maxID {
		return nil, http.StatusBadRequest, errors.New("Req-Id: one of moderate length is wanted")
	}
	text, err := one(r.Header, deadlineName)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return nil, http.StatusBadRequest, fmt.Errorf("%s: %.40q is no usable time", deadlineName, text)
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if s.keyed[class] && r.Header.Get("Idempotency-Key") == "" { // endpoints could not drop its repeats
		return nil, http.StatusBadRequest, errors.New("Idempotency-Key: missing")
	}
	return &call{
		Request: tuliprock.Request{ID: id, Class: class, Tenant: r.Header.Get("Req-Owner"),
			Deadline: arrived + time.Duration(ms)*time.Millisecond - wayBack, Repeat: r.Header.Get("Req-Retry") == "1"},
		message: &message{method: r.Method, url: r.URL, host: cmp.Or(r.Host, s.host), header: endToEnd(r.Header), body: body},
		replies: make(chan reply, 1),
	}, 0, nil
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

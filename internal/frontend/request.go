package frontend

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/route"
	"tuliprock/internal/upstream"
)

// rejection is why a request is turned away that reaches no endpoint.
type rejection struct {
	status int
	err    error
	allow  []string // methods that are served instead

	retryAfter time.Duration // for a refusal; 0: no advice
}

func newRejection(status int, format string, args ...any) *rejection {
	return &rejection{status: status, err: fmt.Errorf(format, args...)}
}

// write turns a request away, and its connection with it: what follows on that can't be trusted, and a caller that
// sends the same again must connect anew.
func (b *rejection) write(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if len(b.allow) > 0 {
		w.Header().Set("Allow", strings.Join(b.allow, ", "))
	}
	if b.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(b.retryAfter.Seconds())))
	}
	http.Error(w, b.err.Error(), b.status)
}

// checkFraming turns away what could be read in two ways. net/http drops Content-Length where Transfer-Encoding
// stands too, and would read what is left of the body as a new request; callers send lengths.
func (s *Server) checkFraming(r *http.Request) *rejection {
	switch {
	case !r.ProtoAtLeast(1, 1) && r.URL.Path != healthPath: // net/http ignores Transfer-Encoding there
		return newRejection(http.StatusBadRequest, "HTTP/1.1 is wanted")
	case hasFoldedLine(r):
		return newRejection(http.StatusBadRequest, "a header line is folded")
	case len(r.TransferEncoding) > 0 && s.options.Pool == nil:
		return newRejection(http.StatusLengthRequired, "Transfer-Encoding: a Content-Length is wanted")
	case len(r.TransferEncoding) > 0 && s.options.Raw && !isChunkedOnly(r): // on the platform nobody else has made sure of that
		return newRejection(http.StatusBadRequest, "the body may be framed in two ways")
	case r.ContentLength > s.options.Body:
		return newRejection(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	return nil
}

// readBufferedBody reads a body whole, in bounded time. The time limit must be lifted afterwards: while a request waits for
// its answer, a read that times out looks to net/http like a caller that has left.
func (s *Server) readBufferedBody(w http.ResponseWriter, r *http.Request) ([]byte, *rejection) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(s.options.BodyTimeout)); err != nil {
		return nil, newRejection(http.StatusBadRequest, "%w", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.Body))
	if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
		return nil, newRejection(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	if err != nil {
		return nil, newRejection(http.StatusBadRequest, "the body can't be read")
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, newRejection(http.StatusBadRequest, "%w", err)
	}
	return body, nil
}

// routedRequest is a request that is fit to be handed to its pool.
type routedRequest struct {
	call    *eventloop.Call
	target  *Target
	timeout time.Duration // how long the caller waits
}

// parseRequest makes a call of a request, or says what is wrong with it.
func (s *Server) parseRequest(service *Service, r *http.Request, hasBody bool) (*routedRequest, *rejection) {
	t, target, err := s.resolveTarget(service, r)
	if err != nil {
		return nil, err
	}
	c := t.Class
	switch {
	case len(c.Methods) > 0 && !slices.Contains(c.Methods, r.Method):
		err := newRejection(http.StatusMethodNotAllowed, "method %.40q is not served here", r.Method)
		err.allow = c.Methods
		return nil, err
	case c.NoBody && hasBody:
		return nil, newRejection(http.StatusBadRequest, "a body is not wanted here")
	case c.Effect == balance.Keyed: // without a key endpoints could not drop its repeats
		if _, err := singleValue(r.Header, c.KeyHeader); err != nil {
			return nil, newRejection(http.StatusBadRequest, "%w", err)
		}
	}
	id, err := c.requestID(r.Header)
	if err != nil {
		return nil, err
	}
	left, err := c.requestTimeout(r.Header)
	if err != nil {
		return nil, err
	}
	header := s.upstreamHeader(r, t)
	header[http.CanonicalHeaderKey(c.IDHeader)] = []string{id}
	tenant := r.Header.Get(c.TenantHeader)
	if tenant == "" {
		tenant = t.Tenant
	}
	return &routedRequest{&eventloop.Call{
		Request: balance.Request{ID: id, Class: c.Name, Tenant: tenant, Repeat: c.RetryHeader != "" && r.Header.Get(c.RetryHeader) == "1"},
		Message: &upstream.Message{Method: r.Method, Target: target, Host: r.Host, Header: header, DeadlineName: c.DeadlineHeader},
		Replies: make(chan eventloop.Reply, 1),
		Guard:   service.Guard,
		Unsure:  service.Unsure,
	}, t, left}, nil
}

// setDeadline sets a request's deadline, counted from an instant.
func (s *Server) setDeadline(q *routedRequest, from time.Time) {
	q.call.Deadline = q.target.Pool.At(s.capAtShutdown(from.Add(q.timeout - deadlineMargin)))
}

// capAtShutdown is an instant, or the end by which all must be answered if that comes first.
func (s *Server) capAtShutdown(at time.Time) time.Time {
	if last := s.shutdownDeadline.Load(); last != nil && last.Before(at) {
		return *last
	}
	return at
}

// resolveTarget finds where a request goes, and as what target. A class that nobody named must reach neither the module nor an
// endpoint: nobody knows what repeating it may do.
func (s *Server) resolveTarget(service *Service, r *http.Request) (*Target, string, *rejection) {
	m := route.Request{Method: r.Method, Header: r.Header, Host: route.Host(r.Host)}
	raw := originForm(r.RequestURI)
	var err error
	switch {
	case s.options.Raw && !isPlainPath(raw):
		return nil, "", newRejection(http.StatusBadRequest, "the target is no plain path")
	case s.options.Raw:
		m.Path, m.RawQuery, _ = strings.Cut(raw, "?")
	default:
		if m.Path, m.RawQuery, err = route.Normalize(r.RequestURI); err != nil {
			return nil, "", newRejection(http.StatusBadRequest, "%w", err)
		}
	}
	i, ok := service.Table.Match(&m)
	if !ok {
		return nil, "", newRejection(http.StatusNotFound, "nothing is served at %.80q", m.Path)
	}
	t := &service.Targets[i]
	if s.options.Raw {
		return t, raw, nil
	}
	target := t.rewritePath(m.Path)
	if strings.Contains(r.RequestURI, "?") {
		target += "?" + m.RawQuery
	}
	return t, target, nil
}

// rewritePath puts Replace in place of Prefix, with one slash where they meet.
func (t *Target) rewritePath(path string) string {
	if t.Replace == "" {
		return path
	}
	rest := strings.TrimPrefix(path, t.Prefix)
	if strings.HasSuffix(t.Replace, "/") {
		rest = strings.TrimPrefix(rest, "/")
	}
	return t.Replace + rest
}

// originForm is a target in origin form, where it came as a whole URI (RFC 9112, 3.2.2); others are given as they are.
func originForm(target string) string {
	const scheme = "http://"
	if len(target) < len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return target
	}
	rest := target[len(scheme):]
	if i := strings.IndexAny(rest, "/?"); i < 0 {
		return "/"
	} else if rest[i] == '?' {
		return "/" + rest[i:]
	} else {
		return rest[i:]
	}
}

// isPlainPath tells whether a request's target is a path that can go on to an endpoint as it is.
func isPlainPath(target string) bool {
	return strings.HasPrefix(target, "/") && !strings.ContainsFunc(target, func(c rune) bool { return c <= ' ' || c > '~' })
}

// requestID is the request's own, or one that is made for it.
func (c *Class) requestID(h http.Header) (string, *rejection) {
	if !c.MustHaveID && len(h.Values(c.IDHeader)) == 0 {
		var b [16]byte
		_, _ = rand.Read(b[:]) // it never fails
		return hex.EncodeToString(b[:]), nil
	}
	id, err := singleValue(h, c.IDHeader)
	if err != nil || len(id) > maxIDBytes {
		return "", newRejection(http.StatusBadRequest, "%s: one of moderate length is wanted", c.IDHeader)
	}
	return id, nil
}

// requestTimeout is how long the caller waits.
func (c *Class) requestTimeout(h http.Header) (time.Duration, *rejection) {
	if !c.MustHaveDeadline && len(h.Values(c.DeadlineHeader)) == 0 {
		return c.Deadline, nil
	}
	text, err := singleValue(h, c.DeadlineHeader)
	if err != nil {
		return 0, newRejection(http.StatusBadRequest, "%w", err)
	}
	ms, err := strconv.ParseUint(text, 10, 64)
	if err != nil || ms < 1 || ms > uint64(c.DeadlineMost.Milliseconds()) {
		return 0, newRejection(http.StatusBadRequest, "%s: %.40q is no usable time", c.DeadlineHeader, text)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// singleValue gives the value of a header that must come exactly once.
func singleValue(h http.Header, name string) (string, error) {
	v := h.Values(name)
	if len(v) != 1 || v[0] == "" {
		return "", fmt.Errorf("%s: exactly one is wanted", name)
	}
	return v[0], nil
}

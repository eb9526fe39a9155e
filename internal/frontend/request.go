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

// bad is why a request is turned away that reaches no endpoint.
type bad struct {
	status int
	err    error
	allow  []string // methods that are served instead

	retryAfter time.Duration // for a refusal; 0: no advice
}

func refusal(status int, format string, args ...any) *bad {
	return &bad{status: status, err: fmt.Errorf(format, args...)}
}

// reject turns a request away, and its connection with it: what follows on that can't be trusted, and a caller that
// sends the same again must connect anew.
func (b *bad) reject(w http.ResponseWriter) {
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
func (s *Server) checkFraming(r *http.Request) *bad {
	switch {
	case !r.ProtoAtLeast(1, 1) && r.URL.Path != healthPath: // net/http ignores Transfer-Encoding there
		return refusal(http.StatusBadRequest, "HTTP/1.1 is wanted")
	case hasFolded(r):
		return refusal(http.StatusBadRequest, "a header line is folded")
	case len(r.TransferEncoding) > 0 && s.o.Pool == nil:
		return refusal(http.StatusLengthRequired, "Transfer-Encoding: a Content-Length is wanted")
	case len(r.TransferEncoding) > 0 && s.o.Raw && !inChunks(r): // on the platform nobody else has made sure of that
		return refusal(http.StatusBadRequest, "the body may be framed in two ways")
	case r.ContentLength > s.o.Body:
		return refusal(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	return nil
}

// readBody reads a body whole, in bounded time. The time limit must be lifted afterwards: while a request waits for
// its answer, a read that times out looks to net/http like a caller that has left.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *bad) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(s.o.BodyTimeout)); err != nil {
		return nil, refusal(http.StatusBadRequest, "%w", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.o.Body))
	if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
		return nil, refusal(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	if err != nil {
		return nil, refusal(http.StatusBadRequest, "the body can't be read")
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, refusal(http.StatusBadRequest, "%w", err)
	}
	return body, nil
}

// asked is a request that is fit to be handed to its pool.
type asked struct {
	call   *eventloop.Call
	target *Target
	left   time.Duration // how long the caller waits
}

// read makes a call of a request, or says what is wrong with it.
func (s *Server) read(service *Service, r *http.Request, hasBody bool) (*asked, *bad) {
	t, target, err := s.route(service, r)
	if err != nil {
		return nil, err
	}
	c := t.Class
	switch {
	case len(c.Methods) > 0 && !slices.Contains(c.Methods, r.Method):
		err := refusal(http.StatusMethodNotAllowed, "method %.40q is not served here", r.Method)
		err.allow = c.Methods
		return nil, err
	case c.NoBody && hasBody:
		return nil, refusal(http.StatusBadRequest, "a body is not wanted here")
	case c.Effect == balance.Keyed: // without a key endpoints could not drop its repeats
		if _, err := one(r.Header, c.KeyHeader); err != nil {
			return nil, refusal(http.StatusBadRequest, "%w", err)
		}
	}
	id, err := c.id(r.Header)
	if err != nil {
		return nil, err
	}
	left, err := c.deadline(r.Header)
	if err != nil {
		return nil, err
	}
	header := s.towards(r, t)
	header[http.CanonicalHeaderKey(c.IDHeader)] = []string{id}
	tenant := r.Header.Get(c.TenantHeader)
	if tenant == "" {
		tenant = t.Tenant
	}
	return &asked{&eventloop.Call{
		Request: balance.Request{ID: id, Class: c.Name, Tenant: tenant, Repeat: c.RetryHeader != "" && r.Header.Get(c.RetryHeader) == "1"},
		Message: &upstream.Message{Method: r.Method, Target: target, Host: r.Host, Header: header, DeadlineName: c.DeadlineHeader},
		Replies: make(chan eventloop.Reply, 1),
		Guard:   service.Guard,
		Unsure:  service.Unsure,
	}, t, left}, nil
}

// due sets a request's deadline, counted from an instant.
func (s *Server) due(q *asked, from time.Time) {
	q.call.Deadline = q.target.Pool.At(s.inTime(from.Add(q.left - wayBack)))
}

// inTime is an instant, or the end by which all must be answered if that comes first.
func (s *Server) inTime(at time.Time) time.Time {
	if last := s.ends.Load(); last != nil && last.Before(at) {
		return *last
	}
	return at
}

// route finds where a request goes, and as what target. A class that nobody named must reach neither the module nor an
// endpoint: nobody knows what repeating it may do.
func (s *Server) route(service *Service, r *http.Request) (*Target, string, *bad) {
	m := route.Request{Method: r.Method, Header: r.Header, Host: route.Host(r.Host)}
	raw := originForm(r.RequestURI)
	var err error
	switch {
	case s.o.Raw && !isTarget(raw):
		return nil, "", refusal(http.StatusBadRequest, "the target is no plain path")
	case s.o.Raw:
		m.Path, m.RawQuery, _ = strings.Cut(raw, "?")
	default:
		if m.Path, m.RawQuery, err = route.Normalize(r.RequestURI); err != nil {
			return nil, "", refusal(http.StatusBadRequest, "%w", err)
		}
	}
	i, ok := service.Table.Match(&m)
	if !ok {
		return nil, "", refusal(http.StatusNotFound, "nothing is served at %.80q", m.Path)
	}
	t := &service.Targets[i]
	if s.o.Raw {
		return t, raw, nil
	}
	target := t.rewrite(m.Path)
	if strings.Contains(r.RequestURI, "?") {
		target += "?" + m.RawQuery
	}
	return t, target, nil
}

// rewrite puts Replace in place of Prefix, with one slash where they meet.
func (t *Target) rewrite(path string) string {
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

// isTarget tells whether a request's target is a path that can go on to an endpoint as it is.
func isTarget(target string) bool {
	return strings.HasPrefix(target, "/") && !strings.ContainsFunc(target, func(c rune) bool { return c <= ' ' || c > '~' })
}

// id is the request's own, or one that is made for it.
func (c *Class) id(h http.Header) (string, *bad) {
	if !c.MustHaveID && len(h.Values(c.IDHeader)) == 0 {
		var b [16]byte
		_, _ = rand.Read(b[:]) // it never fails
		return hex.EncodeToString(b[:]), nil
	}
	id, err := one(h, c.IDHeader)
	if err != nil || len(id) > maxID {
		return "", refusal(http.StatusBadRequest, "%s: one of moderate length is wanted", c.IDHeader)
	}
	return id, nil
}

// deadline is how long the caller waits.
func (c *Class) deadline(h http.Header) (time.Duration, *bad) {
	if !c.MustHaveDeadline && len(h.Values(c.DeadlineHeader)) == 0 {
		return c.Deadline, nil
	}
	text, err := one(h, c.DeadlineHeader)
	if err != nil {
		return 0, refusal(http.StatusBadRequest, "%w", err)
	}
	ms, err := strconv.ParseUint(text, 10, 64)
	if err != nil || ms < 1 || ms > uint64(c.DeadlineMost.Milliseconds()) {
		return 0, refusal(http.StatusBadRequest, "%s: %.40q is no usable time", c.DeadlineHeader, text)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// one gives the value of a header that must come exactly once.
func one(h http.Header, name string) (string, error) {
	v := h.Values(name)
	if len(v) != 1 || v[0] == "" {
		return "", fmt.Errorf("%s: exactly one is wanted", name)
	}
	return v[0], nil
}

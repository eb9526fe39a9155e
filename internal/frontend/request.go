package frontend

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/upstream"
)

// maxIDBytes is the maximum length of a request's id that a client sets. It bounds memory, since each id is held until its request has
// ended.
const maxIDBytes = 256

// deadlineMargin is subtracted from each deadline for the time that the request and its response take between the client and the
// balancer: 0.4 ms in this process (99th percentile), the rest in the network.
const deadlineMargin = 10 * time.Millisecond

// routedRequest is a valid request with its route, ready to be submitted to its pool.
type routedRequest struct {
	call    *eventloop.Call
	target  *Target
	timeout time.Duration // how long the client waits for the response: the value of its deadline header, or the class's default
}

// parseRequest checks and routes a request. It returns the routed request, with the eventloop.Call to submit to its pool, or else the
// rejection of the request. A request that is not rejected has no header any more: it is encoded as it is forwarded.
func (s *Server) parseRequest(routes *RouteConfig, r *http.Request, hasBody bool) (*routedRequest, *rejection) {
	target, rejected := s.resolveTarget(routes, r)
	if rejected != nil {
		return nil, rejected
	}
	class := target.Class
	if rejected := class.checkRequest(r, hasBody); rejected != nil {
		return nil, rejected
	}
	id, rejected := class.requestID(r.Header)
	if rejected != nil {
		return nil, rejected
	}
	timeout, rejected := class.requestTimeout(r.Header)
	if rejected != nil {
		return nil, rejected
	}
	tenant := r.Header.Get(class.TenantHeader)
	if tenant == "" {
		tenant = target.DefaultTenant
	}
	isRetry := class.RetryHeader != "" && r.Header.Get(class.RetryHeader) == "1"
	header := s.takeUpstreamHeader(r, target.Target)
	header[http.CanonicalHeaderKey(class.IDHeader)] = []string{id}
	call := &eventloop.Call{
		Request: balance.Request{ID: id, Class: class.Name, Tenant: tenant, IsRetry: isRetry},
		HTTPRequest: &upstream.Request{
			Method:         r.Method,
			Target:         target.requestTarget,
			Host:           r.Host,
			Header:         header,
			DeadlineHeader: class.DeadlineHeader,
			NeverRetried:   class.Idempotency == balance.NonIdempotent,
		},
		Replies:             make(chan eventloop.Reply, 1),
		HasUniqueID:         class.RequiresID,
		AcceptsRequests:     routes.AcceptsRequests,
		RejectionRetryAfter: routes.RejectionRetryAfter,
	}
	call.HTTPRequest.EncodeFields()
	return &routedRequest{call: call, target: target.Target, timeout: timeout}, nil
}

// checkRequest returns a rejection if the class does not allow the request, and nil if it does.
func (c *Class) checkRequest(r *http.Request, hasBody bool) *rejection {
	switch {
	case len(c.Methods) > 0 && !slices.Contains(c.Methods, r.Method):
		rejected := newRejection(http.StatusMethodNotAllowed, "method %.40q is not served here", r.Method)
		rejected.allowedMethods = c.Methods
		return rejected
	case c.ForbidsBody && hasBody:
		return newRejection(http.StatusBadRequest, "a body is not wanted here")
	case c.Idempotency == balance.IdempotencyKey: // endpoints can drop duplicates only by the idempotency key
		if _, err := singleValue(r.Header, c.KeyHeader); err != nil {
			return newRejection(http.StatusBadRequest, "%w", err)
		}
	}
	return nil
}

// requestID returns the id that the client has set, or a random one if it has set none and the class does not require one.
func (c *Class) requestID(h http.Header) (string, *rejection) {
	if !c.RequiresID && len(h.Values(c.IDHeader)) == 0 {
		var id [16]byte
		_, _ = rand.Read(id[:]) // rand.Read never returns an error, according to its documentation
		return hex.EncodeToString(id[:]), nil
	}
	id, err := singleValue(h, c.IDHeader)
	if err != nil || len(id) > maxIDBytes {
		return "", newRejection(http.StatusBadRequest, "%s: one of moderate length is wanted", c.IDHeader)
	}
	return id, nil
}

// requestTimeout returns how long the client waits for the response: the value of the deadline header, or the class's default.
func (c *Class) requestTimeout(h http.Header) (time.Duration, *rejection) {
	if !c.RequiresDeadline && len(h.Values(c.DeadlineHeader)) == 0 {
		return c.DefaultDeadline, nil
	}
	value, err := singleValue(h, c.DeadlineHeader)
	if err != nil {
		return 0, newRejection(http.StatusBadRequest, "%w", err)
	}
	ms, err := strconv.ParseUint(value, 10, 64)
	if err != nil || ms < 1 || ms > uint64(c.MaxDeadline.Milliseconds()) {
		return 0, newRejection(http.StatusBadRequest, "%s: %.40q is no usable time", c.DeadlineHeader, value)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// singleValue returns the value of a header. It returns an error unless the header is present exactly once and not empty.
func singleValue(h http.Header, name string) (string, error) {
	values := h.Values(name)
	if len(values) != 1 || values[0] == "" {
		return "", fmt.Errorf("%s: exactly one is wanted", name)
	}
	return values[0], nil
}

// deadlineFrom returns the time by which the response to a request must be written. The request's timeout counts from start.
func (s *Server) deadlineFrom(request *routedRequest, start time.Time) time.Time {
	return s.capAtShutdown(start.Add(request.timeout - deadlineMargin))
}

// setDeadline sets the deadline of a request's eventloop.Call. The request's timeout counts from start.
func (s *Server) setDeadline(request *routedRequest, start time.Time) {
	request.call.Deadline = request.target.Loop.At(s.deadlineFrom(request, start))
}

// capAtShutdown returns the earlier of a deadline and the shutdown deadline.
func (s *Server) capAtShutdown(deadline time.Time) time.Time {
	if shutdownDeadline := s.shutdownDeadline.Load(); shutdownDeadline != nil && shutdownDeadline.Before(deadline) {
		return *shutdownDeadline
	}
	return deadline
}

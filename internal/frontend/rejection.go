package frontend

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/metrics"
)

// shedRetryAfter is the Retry-After of a request that is shed before it reaches its pool's balancer, which computes the Retry-After
// of other requests.
const shedRetryAfter = time.Second

// rejection is the response to a request that reaches no endpoint. The text of err becomes the response's body.
type rejection struct {
	status         int
	err            error
	allowedMethods []string      // methods for the header Allow, if the request's method is not allowed
	retryAfter     time.Duration // value of the header Retry-After, in whole seconds; 0: no such header
}

// newRejection returns a rejection whose text is formatted as by fmt.Errorf.
func newRejection(status int, format string, args ...any) *rejection {
	return &rejection{status: status, err: fmt.Errorf(format, args...)}
}

// newShedRejection returns a rejection with a Retry-After header and status 503, which promises that the request was not executed.
func newShedRejection(reason string) *rejection {
	rejected := newRejection(statusShed, "%s", reason)
	rejected.retryAfter = shedRetryAfter
	return rejected
}

// memoryRejection returns the rejection of a request for whose body no memory could be reserved because of err.
func memoryRejection(err error) *rejection {
	if errors.Is(err, body.ErrExceedsMemory) {
		return newRejection(http.StatusRequestEntityTooLarge, "%w", err)
	}
	return newShedRejection("no memory for the body was free in time")
}

// bodyRejection returns the rejection of a request whose body could not be read completely because of err.
func bodyRejection(err error) *rejection {
	switch {
	case errors.Is(err, body.ErrTooLong):
		return newRejection(http.StatusRequestEntityTooLarge, "%w", body.ErrTooLong)
	case errors.Is(err, body.ErrTooSlow):
		return newRejection(http.StatusRequestTimeout, "%w", body.ErrTooSlow)
	}
	return newRejection(http.StatusBadRequest, "%w", body.ErrBroken)
}

// write writes the rejection with "Connection: close", since the bytes that follow on the connection can't be trusted to begin a new
// request. A client that sends the same request again must open a new connection.
func (r *rejection) write(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if len(r.allowedMethods) > 0 {
		w.Header().Set("Allow", strings.Join(r.allowedMethods, ", "))
	}
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(r.retryAfter.Seconds())))
	}
	http.Error(w, r.err.Error(), r.status)
}

// rejectInvalid rejects an invalid request and counts it in the metrics as rejected input.
func (s *Server) rejectInvalid(w http.ResponseWriter, rejected *rejection) {
	s.options.Metrics.RejectedInput.Add(1)
	rejected.write(w)
}

// reject rejects a valid request and counts it for its class.
func (r *routedRequest) reject(w http.ResponseWriter, rejected *rejection) {
	outcome := metrics.Failed
	if rejected.status == statusShed {
		outcome = metrics.Shed
	}
	r.target.Class.Metrics.Count(outcome)
	rejected.write(w)
}

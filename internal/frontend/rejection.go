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

// shedRetryAfter is the Retry-After of a request that is shed before it reaches its pool, which would compute one.
const shedRetryAfter = time.Second

// rejection is the response to a request that reaches no endpoint. Clients read the text of err in its body.
type rejection struct {
	status     int
	err        error
	allow      []string      // the methods that are served instead
	retryAfter time.Duration // whole seconds; 0: none
}

// newRejection returns a rejection whose text is formatted as by fmt.Errorf.
func newRejection(status int, format string, args ...any) *rejection {
	return &rejection{status: status, err: fmt.Errorf(format, args...)}
}

// newShedRejection returns a rejection that promises that nothing was executed, and says when to retry.
func newShedRejection(reason string) *rejection {
	shed := newRejection(statusShed, "%s", reason)
	shed.retryAfter = shedRetryAfter
	return shed
}

// memoryRejection returns the rejection of a request whose body can't be buffered because of err.
func memoryRejection(err error) *rejection {
	if errors.Is(err, body.ErrExceedsMemory) {
		return newRejection(http.StatusRequestEntityTooLarge, "%w", err)
	}
	return newShedRejection("no memory for the body was free in time")
}

// bodyRejection returns the rejection of a request whose body could not be read to its end because of err.
func bodyRejection(err error) *rejection {
	switch {
	case errors.Is(err, body.ErrTooLong):
		return newRejection(http.StatusRequestEntityTooLarge, "%w", body.ErrTooLong)
	case errors.Is(err, body.ErrTooSlow):
		return newRejection(http.StatusRequestTimeout, "%w", body.ErrTooSlow)
	}
	return newRejection(http.StatusBadRequest, "%w", body.ErrBroken)
}

// write sends the rejection and closes the connection: what follows on it can't be trusted, and a client that sends the
// same request again must connect anew.
func (r *rejection) write(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if len(r.allow) > 0 {
		w.Header().Set("Allow", strings.Join(r.allow, ", "))
	}
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(r.retryAfter.Seconds())))
	}
	http.Error(w, r.err.Error(), r.status)
}

// rejectInvalid rejects what is no valid request, and counts it as such.
func (s *Server) rejectInvalid(w http.ResponseWriter, rejected *rejection) {
	s.options.Metrics.RejectedInput.Add(1)
	rejected.write(w)
}

// rejectUnbuffered rejects a request whose body was not read for lack of memory. A valid one counts for its class.
func (s *Server) rejectUnbuffered(w http.ResponseWriter, r *http.Request, unbuffered *rejection) {
	routes := s.routes.acquire()
	defer routes.release()
	request, invalid := s.parseRequest(routes, r, true)
	if invalid != nil {
		s.rejectInvalid(w, invalid)
		return
	}
	request.reject(w, unbuffered)
}

// reject rejects a valid request, and counts it for its class.
func (q *routedRequest) reject(w http.ResponseWriter, rejected *rejection) {
	outcome := metrics.Failed
	if rejected.status == statusShed {
		outcome = metrics.Shed
	}
	q.target.Class.Metrics.Count(outcome)
	rejected.write(w)
}

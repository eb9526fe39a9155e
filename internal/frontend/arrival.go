package frontend

import (
	"net/http"
	"sync/atomic"
	"time"
)

// A process that was stopped, or got no processor time for long, finds requests in its sockets that arrived meanwhile.
// Their deadlines count from their arrival, not from their reading, and those of clients that have disconnected must
// not be forwarded any more.
const (
	// stallThreshold is how long a pause without a request is taken for a stall: far less than the shortest deadline
	// that clients set in service (480 ms).
	stallThreshold = 100 * time.Millisecond
	// stallSuspicionPeriod is for how long after a stall requests are checked: a backlog is read by then.
	stallSuspicionPeriod = 2 * time.Second
)

// stallDetector finds out when requests may have waited in their sockets. It is safe for concurrent use.
type stallDetector struct {
	startedAt    time.Time    // never changes
	lastRequest  atomic.Int64 // nanoseconds since startedAt
	suspectUntil atomic.Int64 // nanoseconds since startedAt
}

// observeRequest notes that a request is read now, and reports whether it may have waited in its socket. A daemon with
// little load suspects every request: the check is one system call.
func (d *stallDetector) observeRequest(now time.Time) (isSuspect bool) {
	at := now.Sub(d.startedAt).Nanoseconds()
	if at-d.lastRequest.Swap(at) >= int64(stallThreshold) {
		d.suspectUntil.Store(at + int64(stallSuspicionPeriod))
	}
	return at < d.suspectUntil.Load()
}

// sinceLastReceive returns how long ago the latest bytes arrived on a request's connection, by the kernel's clock, and
// whether its client has ended its sending since. Where the kernel does not say, the bytes arrived just now.
func sinceLastReceive(r *http.Request) (age time.Duration, isDisconnected bool) {
	info, err := requestTCPInfo(r)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, info.State == stateCloseWait
}

// arrivalTime returns when a request that is read now arrived, and whether its client has disconnected since. An age
// below a stall's says nothing: a body's end may arrive long after its beginning.
func (s *Server) arrivalTime(r *http.Request, now time.Time) (arrived time.Time, isDisconnected bool) {
	if !s.stalls.observeRequest(now) {
		return now, false
	}
	age, isDisconnected := sinceLastReceive(r)
	if age < stallThreshold {
		return now, false
	}
	return now.Add(-age), isDisconnected
}

package frontend

import (
	"net/http"
	"sync/atomic"
	"time"
)

// A process that was stopped, or got no core for long, finds requests in its sockets that have lain there meanwhile. Their
// time runs from when they came, and not from when they are read; and whose caller has left must not run any more.
const (
	stallThreshold       = 100 * time.Millisecond // without a request, after which the next ones are looked at: far less than any deadline that callers name in service (480 ms)
	stallSuspicionPeriod = 2 * time.Second        // for so long: a crowd that waited is taken in by then
)

// stallDetector tells when requests may have lain. The zero value is ready.
type stallDetector struct {
	startedAt    time.Time    // fixed
	lastRequest  atomic.Int64 // nanoseconds since began: of the latest request
	suspectUntil atomic.Int64 // requests are looked at
}

// observeRequest tells whether a request that is read now may have lain. A daemon that has little to do looks at each: that is one
// system call.
func (s *stallDetector) observeRequest(now time.Time) bool {
	at := now.Sub(s.startedAt).Nanoseconds()
	if at-s.lastRequest.Swap(at) >= int64(stallThreshold) {
		s.suspectUntil.Store(at + int64(stallSuspicionPeriod))
	}
	return at < s.suspectUntil.Load()
}

// sinceLastReceive tells how long ago the latest bytes came on a request's connection, as the kernel counts, and whether its caller has
// ended its sending since. Where the kernel does not tell, they came just now.
func sinceLastReceive(r *http.Request) (ago time.Duration, left bool) {
	info, err := requestTCPInfo(r)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, info.State == stateCloseWait
}

// arrivalTime is when a request came, and whether its caller has left since. Bytes that lay for less than a stall say nothing:
// a body's end may come long after its beginning.
func (s *Server) arrivalTime(r *http.Request, now time.Time) (arrived time.Time, left bool) {
	if !s.stalls.observeRequest(now) {
		return now, false
	}
	ago, left := sinceLastReceive(r)
	if ago < stallThreshold {
		return now, false
	}
	return now.Add(-ago), left
}

package frontend

import (
	"net/http"
	"sync/atomic"
	"time"
)

// A process that was stopped, or got no core for long, finds requests in its sockets that have lain there meanwhile. Their
// time runs from when they came, and not from when they are read; and whose caller has left must not run any more.
const (
	stallLeast = 100 * time.Millisecond // without a request, after which the next ones are looked at: far less than any deadline that callers name in service (480 ms)
	stallWatch = 2 * time.Second        // for so long: a crowd that waited is taken in by then
)

// stalls tells when requests may have lain. The zero value is ready.
type stalls struct {
	began time.Time    // fixed
	last  atomic.Int64 // nanoseconds since began: of the latest request
	until atomic.Int64 // requests are looked at
}

// suspects tells whether a request that is read now may have lain. A daemon that has little to do looks at each: that is one
// system call.
func (s *stalls) suspects(now time.Time) bool {
	at := now.Sub(s.began).Nanoseconds()
	if at-s.last.Swap(at) >= int64(stallLeast) {
		s.until.Store(at + int64(stallWatch))
	}
	return at < s.until.Load()
}

// lay tells how long ago the latest bytes came on a request's connection, as the kernel counts, and whether its caller has
// ended its sending since. Where the kernel does not tell, they came just now.
func lay(r *http.Request) (ago time.Duration, left bool) {
	info, err := tcpInfo(r)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, info.State == stateCloseWait
}

// arrival is when a request came, and whether its caller has left since. Bytes that lay for less than a stall say nothing:
// a body's end may come long after its beginning.
func (s *Server) arrival(r *http.Request, now time.Time) (arrived time.Time, left bool) {
	if !s.stalls.suspects(now) {
		return now, false
	}
	ago, left := lay(r)
	if ago < stallLeast {
		return now, false
	}
	return now.Add(-ago), left
}

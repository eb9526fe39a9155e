package frontend

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Times by which stalls are detected. In a stall the process is stopped or gets no processor time, and requests wait in its sockets.
// Their deadlines count from their arrival, not from when they are read, and the requests of clients that have disconnected meanwhile
// must not be forwarded.
const (
	// stallThreshold is the length from which a pause between requests is taken for a stall of the process. It is far below
	// the shortest deadline that clients set in service (480 ms).
	stallThreshold = 100 * time.Millisecond
	// arrivalCheckPeriod is how long after a stall the server asks the kernel when each request arrived. At its end the requests
	// that waited in sockets during the stall have been read.
	arrivalCheckPeriod = 2 * time.Second
)

// stallDetector detects pauses in which the process did not run, so that requests may have waited in their sockets. It is safe
// for concurrent use.
type stallDetector struct {
	startedAt          time.Time    // when the detector was created; never changes
	lastRequestAt      atomic.Int64 // when the latest request was read, in nanoseconds since startedAt
	mayHaveWaitedUntil atomic.Int64 // end of the period in which requests may have waited, in nanoseconds since startedAt
}

// observeRequest records that a request is read now, and reports whether the request may have waited in its socket. Under little
// load the pauses between requests reach stallThreshold, so that the result is true for every request. Each request with that
// result costs a system call, which asks the kernel about its arrival.
func (d *stallDetector) observeRequest(now time.Time) (mayHaveWaited bool) {
	sinceStart := now.Sub(d.startedAt).Nanoseconds()
	if sinceStart-d.lastRequestAt.Swap(sinceStart) >= int64(stallThreshold) {
		d.mayHaveWaitedUntil.Store(sinceStart + int64(arrivalCheckPeriod))
	}
	return sinceStart < d.mayHaveWaitedUntil.Load()
}

// sinceLastReceive returns how long ago the latest bytes were received on a request's connection, by the kernel's clock, and whether
// the client has closed its sending side or reset the connection. The time is 0 if the kernel provides no information.
func sinceLastReceive(r *http.Request) (elapsed time.Duration, isDisconnected bool) {
	tcpInfo, err := requestTCPInfo(r)
	if err != nil {
		return 0, false
	}
	return time.Duration(tcpInfo.Last_data_recv) * time.Millisecond, hasPeerLeft(tcpInfo)
}

// arrivalTime returns the time at which a request that is read now arrived, and whether its client has disconnected since. The
// kernel knows only when the latest bytes on the connection were received. If that was at least stallThreshold ago, the request is
// taken to have waited in its socket while the process was stopped or got no processor time, and arrivalTime returns the time of
// these bytes. Otherwise it returns now: the latest bytes may be the end of a body whose beginning arrived long before, so that their
// time says neither when the request arrived nor whether the process was stopped.
func (s *Server) arrivalTime(r *http.Request, now time.Time) (arrived time.Time, isDisconnected bool) {
	if !s.stallDetector.observeRequest(now) {
		return now, false
	}
	elapsed, isDisconnected := sinceLastReceive(r)
	if elapsed < stallThreshold {
		return now, false
	}
	return now.Add(-elapsed), isDisconnected
}

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
	state, err := requestSocketState(r)
	if err != nil {
		return 0, false
	}
	return state.SinceLastReceive(), state.HasPeerLeft()
}

// arrivalTime returns the time at which a request that is read now arrived at the latest, and whether its client has disconnected since. The
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

// minBlockedRead is the duration of a read from which it is taken to have waited for the client. A read that finds bytes takes some
// microseconds.
const minBlockedRead = time.Millisecond

// receiveClock bounds from below when the bytes that are read from a connection had arrived: they may have waited in the socket while a
// request before them was served. It is used by the goroutine that reads from the connection, and by no other. net/http always has a read
// in progress while it serves a request that was read completely, so that the bound is exact for the first bytes behind that request.
type receiveClock struct {
	arrivedAt time.Time // earliest time at which the bytes of the latest read can have arrived
	isDrained bool      // nothing was unread at drainedAt
	drainedAt time.Time
}

// observe records a read that began and ended at the given times, with n bytes for a buffer of the given size.
func (c *receiveClock) observe(began, ended time.Time, n, size int) {
	switch {
	case n == 0:
	case ended.Sub(began) >= minBlockedRead:
		c.arrivedAt = ended
	case c.isDrained:
		c.arrivedAt = c.drainedAt
	}
	if c.isDrained = n < size; c.isDrained {
		c.drainedAt = ended
	}
}

// observeFirst records the first read on a connection, of which the latest bytes had arrived some time before it ended, by the kernel's
// clock: a new connection may have waited until it was accepted.
func (c *receiveClock) observeFirst(ended time.Time, sinceReceived time.Duration, n, size int) {
	c.arrivedAt = ended.Add(-sinceReceived)
	if c.isDrained = n < size; c.isDrained {
		c.drainedAt = ended
	}
}

// earlier returns the earlier of two times, of which the second may be zero.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

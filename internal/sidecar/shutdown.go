package sidecar

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// Time limits of the shutdown. The margins count back from the end of the grace period, when the process may be killed.
const (
	// acceptAfterSignal is how long a draining listener without a successor accepts new connections at least: the component
	// that routes clients to this daemon learns of the shutdown only at SIGTERM, when the listener begins to drain.
	acceptAfterSignal = 600 * time.Millisecond
	// closeConnectionsMargin is the time before the end of the grace period at which responses begin to close their
	// connections. Until then clients may go on using the connections that they have.
	closeConnectionsMargin = 1500 * time.Millisecond
	// requestDeadlineMargin is the time before the end of the grace period by which every request has its response.
	requestDeadlineMargin = 200 * time.Millisecond
	// drainPollInterval is the time between two checks for whether clients are still connected.
	drainPollInterval = 10 * time.Millisecond
)

// errShuttingDown is the error of a reload that comes after the shutdown has begun.
var errShuttingDown = errors.New("the daemon is shutting down")

// successor tells which process accepts from a listener's socket after the listener has ended.
type successor int

const (
	noSuccessor  successor = iota // no listener accepts from the socket, which is closed
	sameProcess                   // another listener in this process accepts from the socket
	otherProcess                  // a process that has replaced this one by hot restart accepts from the socket
)

// shutDown drains all listeners, and then closes the pools, the cluster membership and the admin server, in this order. It
// returns when no request is in flight any more.
func (s *Sidecar) shutDown(replacedBy successor) error {
	s.isReady.Store(false)
	s.mu.Lock()
	s.isShuttingDown = true
	openListeners := s.listeners
	endingListeners := slices.AppendSeq(slices.Collect(maps.Keys(s.drainingListeners)), maps.Values(openListeners))
	for _, l := range endingListeners {
		l.isDraining.Store(true)
		l.frontend.SetShutdownDeadline(time.Now().Add(s.gracePeriod - requestDeadlineMargin))
		defer time.AfterFunc(s.shutdownStreamTimeout, l.frontend.AbortStreams).Stop()
	}
	s.mu.Unlock()
	errs := make(chan error, len(openListeners))
	for _, l := range openListeners {
		go func() { errs <- l.drain(replacedBy, s.gracePeriod-closeConnectionsMargin) }()
	}
	var err error
	for range openListeners {
		err = errors.Join(err, <-errs)
	}
	s.mu.Lock()
	s.retireConfig(s.installed)
	adminServer := s.admin
	s.mu.Unlock()
	s.retiring.Wait()
	// Leave the cluster only after the last client has its response: as long as this daemon sends requests, the other
	// members must count it among the daemons that share the endpoints.
	err = errors.Join(err, s.cluster.close())
	if adminServer != nil {
		err = errors.Join(err, adminServer.Close())
	}
	return err
}

// drain ends a listener without losing a connection that the kernel has accepted, and without rejecting clients while
// this process can serve them. While clients are connected, but at most for serveTime, the listener serves as before; then
// responses say Connection: close, and idle connections are closed. drain itself sets no further time limit: requests end
// by their own deadlines or by the shutdown deadline, and net/http closes connections that send no request.
//
// With a successor in the same process drain does not wait. With a successor in another process the existing connections
// are also served for up to serveTime, but each one closes with its next response.
func (l *listener) drain(replacedBy successor, serveTime time.Duration) error {
	startedAt := time.Now()
	if replacedBy == otherProcess {
		l.frontend.SetCloseConnections(true)
	}
	for l.mustServe(replacedBy, time.Since(startedAt), serveTime) {
		time.Sleep(drainPollInterval)
	}
	l.frontend.SetCloseConnections(true)
	err := l.frontendListener.Shutdown()
	<-l.acceptEnded
	return errors.Join(err, l.server.Close())
}

// mustServe reports whether a listener that has been draining for the elapsed time still serves as before.
func (l *listener) mustServe(replacedBy successor, elapsed, serveTime time.Duration) bool {
	switch {
	case replacedBy == sameProcess:
		return false
	case replacedBy == noSuccessor && elapsed < acceptAfterSignal:
		return true
	}
	return elapsed < serveTime && l.frontendListener.ConnectionCount() > 0
}

package sidecar

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// The shutdown is timed from its end: the process may be killed when the grace period is over.
const (
	// acceptAfterSignal is how long new connections are accepted after the signal when there is no successor: whoever
	// routes clients here learns of the shutdown only then.
	acceptAfterSignal = 600 * time.Millisecond
	// closeConnectionsMargin is how long before the kill responses begin to close their connections. Until then clients
	// may go on using the connections that they have.
	closeConnectionsMargin = 1500 * time.Millisecond
	// requestDeadlineMargin is how long before the kill the last request must have been answered.
	requestDeadlineMargin = 200 * time.Millisecond
	// drainPollInterval is the time between two checks for whether clients are still connected.
	drainPollInterval = 10 * time.Millisecond
)

// errShuttingDown is why a reload that comes too late changes nothing.
var errShuttingDown = errors.New("the daemon is about to end")

// successor is who accepts from a listener's socket after the listener has ended.
type successor int

const (
	noSuccessor  successor = iota
	sameProcess            // another listener in this process
	otherProcess           // a process that has taken over by hot restart
)

// shutDown ends all listeners, then the pools and routes, and last what they depend on. It returns when no request is
// in flight any more.
func (s *Sidecar) shutDown(by successor) error {
	s.isReady.Store(false)
	s.mu.Lock()
	s.isShuttingDown = true
	open := s.listeners
	ending := slices.AppendSeq(slices.Collect(maps.Keys(s.drainingListeners)), maps.Values(open))
	for _, l := range ending {
		l.isDraining.Store(true)
		l.frontend.SetShutdownDeadline(time.Now().Add(s.gracePeriod - requestDeadlineMargin))
		defer time.AfterFunc(s.streamTimeout, l.frontend.AbortStreams).Stop()
	}
	s.mu.Unlock()
	errs := make(chan error, len(open))
	for _, l := range open {
		go func() { errs <- l.drain(by, s.gracePeriod-closeConnectionsMargin) }()
	}
	var err error
	for range open {
		err = errors.Join(err, <-errs)
	}
	s.mu.Lock()
	s.retireConfig(s.installed)
	operators := s.admin
	s.mu.Unlock()
	s.retiring.Wait()
	// While clients are served, the other members count on this one's share of the endpoints.
	err = errors.Join(err, s.cluster.close())
	if operators != nil {
		err = errors.Join(err, operators.Close())
	}
	return err
}

// drain ends a listener without losing a connection that the kernel has accepted, and without rejecting clients while
// this process can serve them. For serveTime all goes on as before, as long as clients are connected; then responses say
// Connection: close, and idle connections are closed. There is no further time limit: requests end by their deadlines,
// later ones by the shutdown's, and net/http closes connections that bring none.
//
// With a successor in the same process it need not wait. With one in another process the connections that clients have
// here are served for as long, but each closes with its next response.
func (l *listener) drain(by successor, serveTime time.Duration) error {
	startedAt := time.Now()
	if by == otherProcess {
		l.frontend.SetCloseConnections(true)
	}
	for l.mustServe(by, time.Since(startedAt), serveTime) {
		time.Sleep(drainPollInterval)
	}
	l.frontend.SetCloseConnections(true)
	err := l.connections.Shutdown()
	<-l.acceptEnded
	return errors.Join(err, l.server.Close())
}

// mustServe tells whether a listener that has been draining for some time serves as before.
func (l *listener) mustServe(by successor, elapsed, serveTime time.Duration) bool {
	switch {
	case by == sameProcess:
		return false
	case by == noSuccessor && elapsed < acceptAfterSignal:
		return true
	}
	return elapsed < serveTime && l.connections.ConnectionCount() > 0
}

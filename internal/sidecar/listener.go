package sidecar

import (
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/config"
	"tuliprock/internal/frontend"
	"tuliprock/internal/metrics"
)

// successor is who has a listener's socket after its end.
type successor int

const (
	noSuccessor     successor = iota
	newListenerHere           // another one in this process
	otherProcess              // another process
)

// listener is an address that callers connect to, and the server behind it.
type listener struct {
	spec          config.Listener
	pseudonym     string
	socket        *socketHandle
	acceptLimiter *frontend.Limited
	connections   *frontend.Listener
	frontend      *frontend.Server
	server        *http.Server
	acceptEnded   chan struct{} // closed when it accepts no more
	isDraining    atomic.Bool   // its end is meant
}

// listenerKey is what makes a listener the same before and after a reload: its address, or where that is any free port, its name.
func listenerKey(spec config.Listener) string {
	if strings.HasSuffix(spec.Address, ":0") {
		return spec.Name + " " + spec.Address
	}
	return spec.Address
}

// newListener puts a server behind a socket; accept starts it.
func newListener(spec config.Listener, via string, socket *socketHandle, current *frontend.Current, bodies *body.Pool, figures *metrics.Registry, log *slog.Logger) *listener {
	// Beyond the budget callers wait in the kernel's queue, which costs no descriptor and loses nothing.
	limited := frontend.Limit(socket, spec.Connections+config.SpareCallers)
	l := &listener{spec: spec, pseudonym: via, socket: socket, acceptEnded: make(chan struct{}), acceptLimiter: limited,
		connections: frontend.NewListener(limited, spec.Connections, spec.HeadTimeout)}
	l.frontend = frontend.New(frontend.Options{Head: spec.HeadBytes, Body: spec.BodyBytes, HeadTimeout: spec.HeadTimeout, BodyTimeout: spec.BodyTimeout,
		IdleTimeout: spec.IdleTimeout, WriteTimeout: spec.WriteTimeout, Forwarded: frontend.Forwarded(spec.Forwarded), Pseudonym: via, Fractions: spec.RetryAfter == "fraction", Raw: spec.Raw,
		Pool: bodies, Figures: figures, Pace: body.Pace{Idle: spec.FlowIdle, Rate: spec.FlowRate}},
		current, log)
	l.server = l.frontend.HTTP(l.connections.Track)
	return l
}

// setMaxConnections changes how many connections are kept.
func (l *listener) setMaxConnections(most int) {
	l.acceptLimiter.SetMaxConnections(most + config.SpareCallers)
	l.connections.SetMaxConnections(most)
}

// serve takes callers until the listener is closed.
func (l *listener) serve() error {
	defer close(l.acceptEnded)
	return l.server.Serve(l.connections)
}

// canServe tells whether the listener can go on as it is told now.
func (l *listener) canServe(spec config.Listener, via string) bool {
	spec.Name = l.spec.Name
	return l.spec == spec && l.pseudonym == via
}

// drain ends the callers' side. It guards against losing what the kernel has accepted, and against turning callers
// away for as long as this process is there to serve them: for the time given all goes on as before, as long as callers are
// connected; then answers say Connection: close, and idle connections are closed. There is no further limit of time:
// requests end by their deadlines, those taken from now on in time for the end, and net/http closes connections that
// bring none. A listener whose socket has another server behind it need not wait, but where that is another process's the
// connections that callers have here are theirs for as long: its answers close them.
func (l *listener) drain(by successor, serve time.Duration) error {
	began := time.Now()
	if by == otherProcess {
		l.frontend.SetCloseConnections(true)
	}
	for d := time.Duration(0); by != newListenerHere && (by == noSuccessor && d < acceptAfterSignal || d < serve && l.connections.Count() > 0); d = time.Since(began) {
		time.Sleep(drainPollInterval)
	}
	l.frontend.SetCloseConnections(true)
	err := l.connections.Finish()
	<-l.acceptEnded
	return errors.Join(err, l.server.Close())
}

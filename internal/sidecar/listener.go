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

// heir is who has a listener's socket after its end.
type heir int

const (
	nobody  heir = iota
	server       // another one in this process
	process      // another process
)

// listener is an address that callers connect to, and the server behind it.
type listener struct {
	spec    config.Listener
	via     string
	socket  *hold
	limited *frontend.Limited
	conns   *frontend.Listener
	callers *frontend.Server
	server  *http.Server
	served  chan struct{} // closed when it accepts no more
	leaving atomic.Bool   // its end is meant
}

// place is what makes a listener the same before and after a reload: its address, or where that is any free port, its name.
func place(spec config.Listener) string {
	if strings.HasSuffix(spec.Address, ":0") {
		return spec.Name + " " + spec.Address
	}
	return spec.Address
}

// newListener puts a server behind a socket; accept starts it.
func newListener(spec config.Listener, via string, socket *hold, current *frontend.Current, bodies *body.Pool, figures *metrics.Registry, log *slog.Logger) *listener {
	// Beyond the budget callers wait in the kernel's queue, which costs no descriptor and loses nothing.
	limited := frontend.Limit(socket, spec.Connections+config.SpareCallers)
	l := &listener{spec: spec, via: via, socket: socket, served: make(chan struct{}), limited: limited,
		conns: frontend.NewListener(limited, spec.Connections, spec.HeadTimeout)}
	l.callers = frontend.New(frontend.Options{Head: spec.HeadBytes, Body: spec.BodyBytes, HeadTimeout: spec.HeadTimeout, BodyTimeout: spec.BodyTimeout,
		IdleTimeout: spec.IdleTimeout, WriteTimeout: spec.WriteTimeout, Forwarded: frontend.Forwarded(spec.Forwarded), Pseudonym: via, Fractions: spec.RetryAfter == "fraction", Raw: spec.Raw,
		Pool: bodies, Figures: figures, Pace: body.Pace{Idle: spec.FlowIdle, Rate: spec.FlowRate}},
		current, log)
	l.server = l.callers.HTTP(l.conns.Track)
	return l
}

// limit changes how many connections are kept.
func (l *listener) limit(most int) {
	l.limited.SetMaxConnections(most + config.SpareCallers)
	l.conns.SetMaxConnections(most)
}

// accept takes callers until the listener is closed.
func (l *listener) accept() error {
	defer close(l.served)
	return l.server.Serve(l.conns)
}

// goesOnAs tells whether the listener can go on as it is told now.
func (l *listener) goesOnAs(spec config.Listener, via string) bool {
	spec.Name = l.spec.Name
	return l.spec == spec && l.via == via
}

// drain ends the callers' side. It guards against losing what the kernel has accepted, and against turning callers
// away for as long as this process is there to serve them: for the time given all goes on as before, as long as callers are
// connected; then answers say Connection: close, and idle connections are closed. There is no further limit of time:
// requests end by their deadlines, those taken from now on in time for the end, and net/http closes connections that
// bring none. A listener whose socket has another server behind it need not wait, but where that is another process's the
// connections that callers have here are theirs for as long: its answers close them.
func (l *listener) drain(by heir, serve time.Duration) error {
	began := time.Now()
	if by == process {
		l.callers.SetCloseConnections(true)
	}
	for d := time.Duration(0); by != server && (by == nobody && d < acceptAfterTerm || d < serve && l.conns.Count() > 0); d = time.Since(began) {
		time.Sleep(lookAround)
	}
	l.callers.SetCloseConnections(true)
	err := l.conns.Finish()
	<-l.served
	return errors.Join(err, l.server.Close())
}

package sidecar

import (
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"

	"tuliprock/internal/body"
	"tuliprock/internal/config"
	"tuliprock/internal/frontend"
	"tuliprock/internal/metrics"
)

// listener is an address that clients connect to, and the server behind it.
type listener struct {
	spec          config.Listener
	pseudonym     string // of this daemon in Via
	socket        *socketHandle
	acceptLimiter *frontend.LimitListener
	connections   *frontend.Listener
	frontend      *frontend.Server
	server        *http.Server
	acceptEnded   chan struct{} // closed when it accepts no more
	isDraining    atomic.Bool   // an error of serve is expected
}

// listenerOptions are what a listener needs beside its own part of the configuration.
type listenerOptions struct {
	pseudonym  string
	socket     *socketHandle
	current    *frontend.ActiveRouteConfig
	bodyMemory *body.MemoryPool
	metrics    *metrics.Registry
	log        *slog.Logger
}

// listenerKey is what makes a listener the same before and after a reload: its address, or, where that has any free
// port, its name too.
func listenerKey(spec config.Listener) string {
	if strings.HasSuffix(spec.Address, ":0") {
		return spec.Name + " " + spec.Address
	}
	return spec.Address
}

// newListener puts a server behind a socket; serve starts it.
func newListener(spec config.Listener, o listenerOptions) *listener {
	// Beyond the limit clients wait in the kernel's queue, which costs no descriptor and loses nothing.
	limiter := frontend.NewLimitListener(o.socket, spec.Connections+config.SpareConnections)
	l := &listener{
		spec:          spec,
		pseudonym:     o.pseudonym,
		socket:        o.socket,
		acceptLimiter: limiter,
		connections:   frontend.NewListener(limiter, spec.Connections, spec.HeadTimeout),
		acceptEnded:   make(chan struct{}),
	}
	l.frontend = frontend.NewServer(frontend.Options{
		MaxHeaderBytes:       spec.HeadBytes,
		MaxBodyBytes:         spec.BodyBytes,
		HeadTimeout:          spec.HeadTimeout,
		BodyTimeout:          spec.BodyTimeout,
		IdleTimeout:          spec.IdleTimeout,
		WriteTimeout:         spec.WriteTimeout,
		Forwarded:            frontend.ForwardedMode(spec.Forwarded),
		Pseudonym:            o.pseudonym,
		FractionalRetryAfter: spec.RetryAfter == "fraction",
		Raw:                  spec.RawTargets,
		BodyMemory:           o.bodyMemory,
		Metrics:              o.metrics,
		MinRate:              body.MinimumRate{IdleTimeout: spec.StreamIdleTimeout, BytesPerSecond: spec.MinStreamRate},
	}, o.current, o.log)
	l.server = l.frontend.HTTPServer(l.connections.Track)
	return l
}

// setMaxConnections changes how many connections are kept.
func (l *listener) setMaxConnections(limit int) {
	l.acceptLimiter.SetMaxConnections(limit + config.SpareConnections)
	l.connections.SetMaxConnections(limit)
}

// serve accepts connections until the listener is closed.
func (l *listener) serve() error {
	defer close(l.acceptEnded)
	return l.server.Serve(l.connections)
}

// canServe tells whether the listener can go on under another configuration: only its name may differ.
func (l *listener) canServe(spec config.Listener, pseudonym string) bool {
	spec.Name = l.spec.Name
	return l.spec == spec && l.pseudonym == pseudonym
}

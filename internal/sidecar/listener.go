package sidecar

import (
	"cmp"
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
	spec             config.Listener
	pseudonym        string // this daemon's name in the Via header
	socket           *socketHandle
	acceptLimiter    *frontend.LimitListener
	frontendListener *frontend.Listener
	frontend         *frontend.Server
	server           *http.Server
	acceptEnded      chan struct{} // closed when serve has stopped accepting connections
	isDraining       atomic.Bool   // whether the listener is being closed; the error with which serve then ends is no failure
}

// listenerOptions are a listener's dependencies and the settings that it shares with the daemon's other listeners.
type listenerOptions struct {
	pseudonym  string
	socket     *socketHandle
	routes     *frontend.ActiveRouteConfig
	bodyMemory *body.MemoryPool
	metrics    *metrics.Registry
	log        *slog.Logger
}

// listenerKey identifies a listener across reloads: by its address, or by name and address if the port is 0, as several
// listeners can have such an address.
func listenerKey(spec config.Listener) string {
	if strings.HasSuffix(spec.Address, ":0") {
		return spec.Name + " " + spec.Address
	}
	return spec.Address
}

// newListener creates a listener and its server on a socket. It accepts connections once the method serve is called.
func newListener(spec config.Listener, o listenerOptions) *listener {
	// Clients beyond the limit wait in the kernel's accept queue, which costs no descriptor and loses no connection.
	limiter := frontend.NewLimitListener(o.socket, spec.MaxConnections+config.SpareConnections)
	l := &listener{
		spec:             spec,
		pseudonym:        o.pseudonym,
		socket:           o.socket,
		acceptLimiter:    limiter,
		frontendListener: frontend.NewListener(limiter, spec.MaxConnections, spec.HeadTimeout),
		acceptEnded:      make(chan struct{}),
	}
	l.frontend = frontend.NewServer(frontend.Options{
		MaxHeaderBytes:       spec.MaxHeadBytes,
		MaxBodyBytes:         spec.MaxBodyBytes,
		HeadTimeout:          spec.HeadTimeout,
		BodyTimeout:          spec.BodyTimeout,
		IdleTimeout:          spec.IdleTimeout,
		WriteTimeout:         spec.WriteTimeout,
		Forwarded:            frontend.ForwardedMode(spec.Forwarded),
		Pseudonym:            o.pseudonym,
		FractionalRetryAfter: spec.RetryAfterFormat == "fraction",
		ForwardsUnchanged:    spec.UsesRawTargets,
		BodyMemory:           o.bodyMemory,
		Metrics:              o.metrics,
		MinRate:              body.MinimumRate{IdleTimeout: spec.StreamIdleTimeout, BytesPerSecond: spec.MinStreamRate},
		UploadIdleTimeout:    cmp.Or(spec.UploadIdleTimeout, spec.StreamIdleTimeout),
	}, o.routes, o.log)
	if spec.HeadMemoryBytes > 0 {
		l.frontendListener.SetMaxLongHeads(frontend.LongHeadsWithin(spec.HeadMemoryBytes))
	}
	l.server = l.frontend.HTTPServer(l.frontendListener.Track)
	return l
}

// setMaxConnections changes how many clients' connections may be open at once.
func (l *listener) setMaxConnections(limit int) {
	l.acceptLimiter.SetMaxConnections(limit + config.SpareConnections)
	l.frontendListener.SetMaxConnections(limit)
}

// serve accepts connections until the listener is closed.
func (l *listener) serve() error {
	defer close(l.acceptEnded)
	return l.server.Serve(l.frontendListener)
}

// canServe reports whether the listener can be reused under another configuration: only its name may differ.
func (l *listener) canServe(spec config.Listener, pseudonym string) bool {
	spec.Name = l.spec.Name
	return l.spec == spec && l.pseudonym == pseudonym
}

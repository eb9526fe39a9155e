// Package sidecar runs the load balancer on real sockets: it builds listeners, pools and routes from a configuration,
// reloads them, and shuts them down without losing a request. The decision module (package balance, behind package
// eventloop) decides; this package carries out and decides nothing about endpoints itself.
//
// A Sidecar owns all that it starts. Its mutex guards which configuration is installed; a reload holds it from its
// beginning to its end. Each listener has a goroutine that accepts, beside those of net/http; each pool has one for its
// event loop, one for its connections and one for discovery. A listener or pool that a reload has removed has a
// goroutine that waits for its last request. A member of a cluster has one that follows the members, and with agreed
// settings one that installs them. Hot restart has one that polls the shared directory. All of them end before Serve
// returns, except the attempts that are being cancelled by then.
//
// A caller may rely on this: every request that was accepted is served by the configuration that accepted it, and is
// answered before Serve returns, unless a listener fails.
package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/admin"
	"tuliprock/internal/body"
	"tuliprock/internal/config"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/frontend"
	"tuliprock/internal/metrics"
)

// Sidecar is a running daemon: its listeners, its pools, and the routes from the ones to the others. Its methods may be
// called by several goroutines.
type Sidecar struct {
	decider          eventloop.BalancerFactory
	log              *slog.Logger
	currentService   frontend.ActiveRouteConfig
	listenerFailed   chan error       // holds the first error of a listener that can't go on
	bodyMemory       *body.MemoryPool // nil: bodies are buffered complete; fixed at the start
	retiring         sync.WaitGroup   // configurations and listeners that a reload removed and that still serve requests
	metrics          *metrics.Registry
	overrides        *overrides
	cluster          *clusterNode // nil: this daemon is in no cluster; fixed at the start
	hotRestart       *hotRestart  // nil: no other process can be a successor
	isReady          atomic.Bool  // this process takes clients
	fixedDescriptors int          // descriptors besides connections of clients and to endpoints

	// Both begin with the shutdown and are fixed at the start.
	streamTimeout time.Duration // until streaming bodies are aborted
	gracePeriod   time.Duration // until the process is killed at the earliest

	mu                sync.Mutex
	isShuttingDown    bool
	installed         *installedConfig
	ownConfig         config.Service       // what installed was made of, before agreed settings were added
	activeSettings    activeSettings       // the agreed settings in installed
	listeners         map[string]*listener // by listenerKey
	drainingListeners map[*listener]bool   // removed by a reload, and not ended yet
	runningPools      map[*pool]bool       // installed, or removed and not ended yet
	admin             *admin.Server        // nil: there is no operators' address
	adminAddr         string               // of admin, as configured
	// connectionLimit is that of each listener and each pool while processes share the descriptors; 0: as configured.
	connectionLimit int
}

// Start opens the listeners and starts the pools. They serve from then on; the caller must call Serve, which ends them.
// An error names the setting or address at fault, and nothing is left running.
func Start(c config.Service, log *slog.Logger) (*Sidecar, error) {
	return StartWith(eventloop.NewBalancer, c, log)
}

// StartWith is Start with another decider in the module's place, on the same sockets. Benchmarks and tests compare the
// module with others that way.
func StartWith(decider eventloop.BalancerFactory, c config.Service, log *slog.Logger) (*Sidecar, error) {
	s := &Sidecar{
		decider:           decider,
		log:               log,
		listenerFailed:    make(chan error, 1),
		streamTimeout:     c.DrainTimeout,
		gracePeriod:       c.TerminationGrace,
		metrics:           &metrics.Registry{},
		overrides:         newOverrides(),
		fixedDescriptors:  c.ReservedDescriptors(),
		listeners:         map[string]*listener{},
		drainingListeners: map[*listener]bool{},
		runningPools:      map[*pool]bool{},
	}
	if c.BodyMemory > 0 {
		s.bodyMemory = body.NewMemoryPool(c.BodyMemory)
	}
	var err error
	if s.cluster, err = startCluster(c, log); err != nil {
		return nil, err
	}
	s.cluster.awaitFirstGrant(s.overrides)
	s.hotRestart = joinHotRestart(s, c, log)
	if err := s.Reload(c); err != nil {
		s.hotRestart.close()
		return nil, errors.Join(err, s.cluster.close())
	}
	s.cluster.watchAgreement(s)
	if s.hotRestart == nil {
		s.isReady.Store(true)
		return s, nil
	}
	s.hotRestart.start()
	return s, nil
}

// Addrs returns the addresses of the listeners by their names.
func (s *Sidecar) Addrs() map[string]net.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	addrs := map[string]net.Addr{}
	for _, l := range s.listeners {
		addrs[l.spec.Name] = l.connections.Addr()
	}
	return addrs
}

// Serve returns when ctx has ended or another process has taken over, and all requests have been answered. If a
// listener fails it returns that error at once.
func (s *Sidecar) Serve(ctx context.Context) error {
	defer s.hotRestart.close()
	var finished <-chan struct{}
	if s.hotRestart != nil {
		finished = s.hotRestart.finished
	}
	select {
	case err := <-s.listenerFailed:
		return err
	case <-finished:
	case <-ctx.Done():
	}
	return s.shutDown(s.hotRestart.beginShutdown())
}

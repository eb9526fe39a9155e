// Package sidecar runs the load balancer on real sockets: it builds listeners, pools and routes from a configuration,
// reloads them, and shuts them down without losing a request. Each pool has a balancer (package balance, run by package
// eventloop), which chooses the endpoint of each attempt; this package never chooses one.
//
// A Sidecar owns every goroutine that it starts. Its mutex guards which configuration is installed; a reload holds the
// mutex from beginning to end. Each listener has a goroutine that accepts connections, in addition to those of net/http;
// each pool has one for its event loop, one for its connections and one for discovery. A listener or pool that a reload
// has removed has a goroutine that waits for its last request. In a cluster one goroutine follows the membership, and
// another installs the agreed settings if the cluster agrees on settings. One watches the resident
// set while Serve runs, if there is a memory limit and GuardMemory was called. Hot restart has one that polls the shared
// directory. All goroutines end before Serve returns, except those of attempts that are still being cancelled then.
//
// Guarantee: every accepted request is served by the configuration that accepted it, and gets its response before Serve
// returns, unless a listener fails.
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
	"tuliprock/internal/hotrestart"
	"tuliprock/internal/idclaim"
	"tuliprock/internal/metrics"
)

// Sidecar is a running daemon: its listeners, its pools, and the routes from listeners to pools. Its methods may be
// called by several goroutines.
type Sidecar struct {
	newBalancer      eventloop.BalancerFactory // creates the balancer of each pool
	log              *slog.Logger
	activeRoutes     frontend.ActiveRouteConfig
	listenerFailed   chan error       // holds the error of the first listener that failed
	bodyMemory       *body.MemoryPool // memory for streaming bodies; nil: all bodies are buffered; fixed at the start
	responseMemory   *body.MemoryPool // memory for buffered responses; nil: they are not counted; fixed at the start
	retiring         sync.WaitGroup   // goroutines that wait for the last requests of removed configurations and listeners
	metrics          *metrics.Registry
	resources        *resources   // what is counted in the metrics
	memoryGuard      *memoryGuard // keeps the process below its memory limit; nil: there is no limit
	guardsMemory     bool         // whether Serve runs memoryGuard
	overrides        *overrides   // manual ejections of endpoints
	cluster          *clusterNode // this daemon's membership in a cluster; nil: it is in none; fixed at the start
	hotRestart       *hotRestart  // coordination with other processes of this sidecar; nil: hot restart is not in use
	isReady          atomic.Bool  // whether this process takes clients
	fixedDescriptors int          // number of descriptors that are neither clients' nor endpoints' connections

	shutdownStreamTimeout time.Duration // time from the start of the shutdown until streaming bodies are aborted
	gracePeriod           time.Duration // shortest time from the start of the shutdown until the platform kills the process

	mu                sync.Mutex // guards the fields below; a reload holds it from beginning to end
	isShuttingDown    bool       // whether the shutdown has begun; reloads fail from then on
	installed         *installedConfig
	ownConfig         config.Service       // the installed configuration before the agreed settings were added
	activeSettings    activeSettings       // the agreed settings that are part of the installed configuration
	listeners         map[string]*listener // the installed configuration's listeners by listenerKey
	drainingListeners map[*listener]bool   // listeners that a reload has removed and that have not ended yet
	runningPools      map[*pool]bool       // installed pools, and removed pools that have not ended yet
	idClaims          *idclaim.Table       // ids of requests that must not run twice; the processes of a hot restart share it
	admin             *admin.Server        // server for operators' commands; nil: no address is configured for it
	adminAddr         string               // address of the admin server, as configured
	// connectionLimit is the connection limit of each listener and each pool while several processes share the
	// descriptors; 0: the configured limits apply.
	connectionLimit int
}

// Start opens the listeners and starts the pools. Listeners and pools serve as soon as Start returns; the caller must
// then call Serve, which stops them when its context ends. The error of a failed start names the setting or address at
// fault, and nothing that Start began keeps running.
func Start(c config.Service, log *slog.Logger) (*Sidecar, error) {
	return StartWith(eventloop.NewBalancer, c, log)
}

// StartWith is Start with balancers that newBalancer creates, in place of those of package balance. Benchmarks and tests
// use it to run other load balancing algorithms, which they compare with package balance.
func StartWith(newBalancer eventloop.BalancerFactory, c config.Service, log *slog.Logger) (*Sidecar, error) {
	s := &Sidecar{
		newBalancer:           newBalancer,
		log:                   log,
		listenerFailed:        make(chan error, 1),
		shutdownStreamTimeout: c.DrainTimeout,
		gracePeriod:           c.TerminationGrace,
		metrics:               &metrics.Registry{},
		resources:             newResources(),
		overrides:             newOverrides(),
		idClaims:              openIDClaims(c, log),
		fixedDescriptors:      c.ReservedDescriptors(),
		listeners:             map[string]*listener{},
		drainingListeners:     map[*listener]bool{},
		runningPools:          map[*pool]bool{},
	}
	s.memoryGuard = newMemoryGuard(c.Limits.MemoryMB, s.resources.setShedding, log)
	if c.BodyMemoryBytes > 0 {
		s.bodyMemory = body.NewMemoryPool(c.BodyMemoryBytes)
	}
	if c.ResponseMemoryBytes > 0 {
		s.responseMemory = body.NewMemoryPool(c.ResponseMemoryBytes)
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

// openIDClaims returns the table of the request ids that must not be used again. If other processes may replace this one, all of them
// share the table.
func openIDClaims(c config.Service, log *slog.Logger) *idclaim.Table {
	if c.SharedDir == "" {
		return idclaim.New()
	}
	table, err := idclaim.Open(hotrestart.IDClaimsPath(c.SharedDir, c.Name))
	if err != nil {
		log.Error("request ids are not shared with other processes of this sidecar", "error", err)
		return idclaim.New()
	}
	return table
}

// Addrs returns the addresses of the listeners by their names.
func (s *Sidecar) Addrs() map[string]net.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	addrs := map[string]net.Addr{}
	for _, l := range s.listeners {
		addrs[l.spec.Name] = l.frontendListener.Addr()
	}
	return addrs
}

// GuardMemory makes Serve keep the process below its memory limit: it rejects new requests when the process comes close to the limit. It is
// for a process that runs nothing but this Sidecar, since whatever else the process does counts too. It must be called before Serve.
func (s *Sidecar) GuardMemory() { s.guardsMemory = true }

// Serve returns once ctx has ended, or another process has replaced this one by hot restart, and every request has its
// response. If a listener fails, Serve returns the listener's error at once.
func (s *Sidecar) Serve(ctx context.Context) error {
	defer s.hotRestart.close()
	if s.guardsMemory {
		defer s.memoryGuard.start()()
	}
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

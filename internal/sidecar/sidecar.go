// Package sidecar puts the decision module on real sockets: it wires the parts, reloads and drains. The parts carry
// out what the module decides and decide nothing themselves.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/admin"
	"tuliprock/internal/body"
	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/config"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/frontend"
	"tuliprock/internal/metrics"
)

const (
	acceptAfterSignal      = 600 * time.Millisecond  // new connections go on coming for a while after SIGTERM, callers go on using theirs for as
	closeConnectionsMargin = 1500 * time.Millisecond // long as these stay open, if so much is left until the process is killed,
	requestDeadlineMargin  = 200 * time.Millisecond  // and what is not answered when so much is left goes under with it
	drainPollInterval      = 10 * time.Millisecond
)

// errShuttingDown is a reload that comes too late.
var errShuttingDown = errors.New("the daemon is about to end")

// Sidecar is a daemon that listens: its listeners, its pools, and what routes requests from the ones to the others.
type Sidecar struct {
	decider          eventloop.Decider
	log              *slog.Logger
	currentService   frontend.Current
	listenerFailed   chan error     // a listener that can't go on
	bodyMemory       *body.Pool     // nil: bodies are held whole; fixed at the start
	streamTimeout    time.Duration  // from the end's beginning until bodies that flow are cut off; fixed at the start
	gracePeriod      time.Duration  // from then until the process is killed at the earliest; fixed at the start
	retiring         sync.WaitGroup // what a reload took out and has not ended yet
	metrics          *metrics.Registry
	overrides        *overrides
	cluster          *clusterNode // nil: this daemon knows of no other; fixed at the start
	hotRestart       *hotRestart  // nil: no other process can take over
	isReady          atomic.Bool  // callers are taken
	fixedDescriptors int          // descriptors besides connections of callers and to endpoints

	mu                sync.Mutex // a reload holds it from its beginning to its end
	isShuttingDown    bool
	installed         *installedConfig
	ownConfig         config.Service       // what present was made of, with what is agreed on
	activeSettings    activeSettings       // of present
	listeners         map[string]*listener // by place
	drainingListeners map[*listener]bool   // taken out, and not ended yet
	runningPools      map[*pool]bool       // in force, or taken out and not ended yet
	admin             *admin.Server        // nil: operators call nowhere
	adminAddr         string               // as it was told
	connectionLimit   int                  // connections of callers, and to endpoints, where others share the limit; 0: as configured
}

// installedConfig is a configuration that is, or was, in force.
type installedConfig struct {
	service *frontend.Service
	pools   map[string]*pool // by name
}

// Start opens the listeners and starts the pools; Serve does so until the end.
func Start(c config.Service, log *slog.Logger) (*Sidecar, error) {
	return StartWith(eventloop.Module, c, log)
}

// StartWith is Start with another decider in the module's place, behind the same sockets: what the module gains shows
// only beside others.
func StartWith(decide eventloop.Decider, c config.Service, log *slog.Logger) (*Sidecar, error) {
	s := &Sidecar{decider: decide, log: log, listenerFailed: make(chan error, 1), listeners: map[string]*listener{}, drainingListeners: map[*listener]bool{},
		runningPools: map[*pool]bool{}, streamTimeout: c.Drain, gracePeriod: c.Grace, metrics: &metrics.Registry{}, overrides: newOverrides()}
	if c.BodyMemory > 0 {
		s.bodyMemory = body.NewPool(c.BodyMemory)
	}
	s.fixedDescriptors = c.Fixed()
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
	s.hotRestart.poll() // one that is alone begins at once
	s.hotRestart.isPolling = true
	go s.hotRestart.run()
	return s, nil
}

// Reload takes up another configuration; an error says why it has changed nothing. What did not change goes on as it
// is: listeners keep their connections, pools all that their module has learned. A request is served wholly by the
// configuration that took it; listeners and pools that are taken out end when their last one is answered. Reloads may
// be asked for at once and at any time; after the end has begun they change nothing.
//
// In a fleet that agrees on settings, what is agreed on holds in place of what the configuration says of the same.
func (s *Sidecar) Reload(c config.Service) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isShuttingDown {
		return errShuttingDown
	}
	if err := s.reload(c); err != nil {
		return err
	}
	if s.cluster.hasConsensus() {
		s.cluster.ownFile.Store(c.File)
		s.cluster.raft.Recheck()
	}
	return nil
}

// reload takes up what this daemon was told, with what is agreed on. s.mu is held.
func (s *Sidecar) reload(told config.Service) error {
	c, acting, err := s.cluster.composeConfig(told)
	if err != nil {
		return err
	}
	retune, err := s.cluster.prepareReload(c.Fleet) // all that can fail comes first
	if err != nil {
		return err
	}
	operators, err := s.openAdmin(c)
	if err != nil {
		return err
	}
	opened, err := s.openListeners(c)
	if err != nil {
		if operators != nil {
			operators.Close()
		}
		return err
	}
	retune()
	s.adoptAdmin(c, operators)
	next := s.buildConfig(c)
	acts := activeSettings{consensus.DigestOf(settingsDocuments(acting.Docs)), &atomic.Uint64{}}
	acts.version.Store(acting.Version)
	next.service.Guard, next.service.Unsure = s.cluster.requestGuard(c.Refuses, acts.version), indeterminateRetryAfter
	s.currentService.Swap(next.service)
	if s.ownConfig, s.activeSettings = told, acts; s.cluster.hasConsensus() {
		s.cluster.raft.MarkInstalled(acting.Version)
		s.log.Info("settings as agreed on", "version", acting.Version)
	}
	s.adoptListeners(opened)
	if s.installed != nil {
		s.retireConfig(s.installed)
	}
	s.installed = next
	return nil
}

// buildConfig builds what a configuration needs, with the pools that can go on. One that another takes over from still has
// requests, and must hear like that other who drains or is gone. s.mu is held.
func (s *Sidecar) buildConfig(c config.Service) *installedConfig {
	next := &installedConfig{pools: make(map[string]*pool, len(c.Pools))}
	for _, spec := range c.Pools {
		var p *pool
		if s.installed != nil {
			p = s.installed.pools[spec.Name]
		}
		for was := range s.runningPools {
			if was.spec.Name == spec.Name {
				was.updateSource(spec.Source)
			}
		}
		if p == nil || !p.canServe(spec) {
			p = newPool(s.decider, spec, s.bodyMemory, s.metrics, s.log.With("pool", spec.Name))
			s.runningPools[p] = true
			if s.connectionLimit > 0 {
				p.upstream.SetMaxConnections(s.connectionLimit)
			}
			s.overrides.addPool(p)
			s.cluster.addPool(p)
		}
		p.references++
		next.pools[spec.Name] = p
	}
	next.service = routes(c, next.pools, s.metrics)
	return next
}

// retireConfig ends a configuration's hold on its pools once its last request is answered. s.mu is held.
func (s *Sidecar) retireConfig(was *installedConfig) {
	s.retiring.Go(func() {
		was.service.Wait()
		s.mu.Lock()
		var unused []*pool
		for _, p := range was.pools {
			if p.references--; p.references == 0 {
				unused = append(unused, p)
				delete(s.runningPools, p)
			}
		}
		s.mu.Unlock()
		for _, p := range unused {
			s.overrides.removePool(p)
			s.cluster.removePool(p)
			p.close()
		}
	})
}

// openListeners makes the listeners of a configuration: those that can go on, and new ones that don't accept yet. s.mu is held.
func (s *Sidecar) openListeners(c config.Service) (map[string]*listener, error) {
	next := make(map[string]*listener, len(c.Listeners))
	for _, spec := range c.Listeners {
		at := listenerKey(spec)
		if was := s.listeners[at]; was != nil && was.canServe(spec, c.Name) {
			next[at] = was
			continue
		}
		socket, err := s.openSocket(spec)
		if err != nil {
			for at, l := range next {
				if s.listeners[at] != l {
					l.socket.Close()
				}
			}
			return nil, fmt.Errorf("listener %s: %w", spec.Name, err)
		}
		l := newListener(spec, c.Name, socket, &s.currentService, s.bodyMemory, s.metrics, s.log)
		if s.connectionLimit > 0 {
			l.setMaxConnections(s.connectionLimit)
		}
		next[at] = l
	}
	return next, nil
}

// openSocket opens one, or shares that of a listener at the same place which is there or on its way out: callers that wait
// in its queue must not be lost.
func (s *Sidecar) openSocket(spec config.Listener) (*socketHandle, error) {
	at := listenerKey(spec)
	if was := s.listeners[at]; was != nil {
		if h, ok := was.socket.newHandle(); ok {
			return h, nil
		}
	}
	for l := range s.drainingListeners {
		if listenerKey(l.spec) == at {
			if h, ok := l.socket.newHandle(); ok {
				return h, nil
			}
		}
	}
	if spec.Descriptor == 0 {
		return listen(spec.Address)
	}
	h, err := listenInherited(spec.Descriptor, spec.Address)
	if err == nil && s.hotRestart != nil { // its first look says whether callers are taken
		h.SetPaused(true)
	}
	return h, err
}

// adoptListeners puts the listeners of a configuration in the present ones' place. s.mu is held.
func (s *Sidecar) adoptListeners(next map[string]*listener) {
	for at, l := range next {
		if s.listeners[at] == l {
			continue
		}
		s.log.Info("listening", "addr", l.connections.Addr().String(), "listener", l.spec.Name)
		go func() {
			if err := l.serve(); !l.isDraining.Load() {
				select {
				case s.listenerFailed <- fmt.Errorf("listener %s: %w", l.spec.Name, err):
				default: // another one has failed
				}
			}
		}()
	}
	for at, l := range s.listeners {
		if next[at] != l {
			by := noSuccessor
			if next[at] != nil {
				by = newListenerHere
			}
			s.retireListener(l, by)
		}
	}
	s.listeners = next
}

// retireListener drains a listener. s.mu is held.
func (s *Sidecar) retireListener(l *listener, by successor) {
	s.drainingListeners[l] = true
	l.isDraining.Store(true)
	s.retiring.Go(func() {
		if err := l.drain(by, s.gracePeriod-closeConnectionsMargin); err != nil {
			s.log.Warn("a listener did not end well", "listener", l.spec.Name, "err", err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.drainingListeners, l)
	})
}

// Addrs are where the sidecar listens, by the names of its listeners.
func (s *Sidecar) Addrs() map[string]net.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]net.Addr{}
	for _, l := range s.listeners {
		out[l.spec.Name] = l.connections.Addr()
	}
	return out
}

// Serve serves until ctx ends, or another process has taken over, and then until all that was taken has been answered.
func (s *Sidecar) Serve(ctx context.Context) error {
	defer s.hotRestart.close()
	var gone <-chan struct{}
	if s.hotRestart != nil {
		gone = s.hotRestart.finished
	}
	select {
	case err := <-s.listenerFailed:
		return err
	case <-gone:
	case <-ctx.Done():
	}
	return s.shutDown(s.hotRestart.beginShutdown())
}

// shutDown ends all listeners, and then the pools.
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
	var all error
	for range open {
		all = errors.Join(all, <-errs)
	}
	s.mu.Lock()
	s.retireConfig(s.installed)
	operators := s.admin
	s.mu.Unlock()
	s.retiring.Wait()
	all = errors.Join(all, s.cluster.close()) // not before: while callers are served, this daemon's part is in use
	if operators != nil {
		all = errors.Join(all, operators.Close())
	}
	return all
}

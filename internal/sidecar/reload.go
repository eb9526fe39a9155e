package sidecar

import (
	"errors"
	"fmt"
	"sync/atomic"

	"tuliprock/internal/admin"
	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/config"
	"tuliprock/internal/frontend"
)

// installedConfig is the configuration in use, or an earlier one that still serves requests.
type installedConfig struct {
	routes *frontend.RouteConfig
	pools  map[string]*pool // the configuration's pools by name
}

// preparedReload holds what a reload opens before it changes anything: every step that can fail comes before the first
// change.
type preparedReload struct {
	effective          effectiveConfig
	reconfigureCluster func()               // applies the new cluster settings
	admin              *admin.Server        // newly opened admin server; nil: the address is unchanged, or there is none
	listeners          map[string]*listener // unchanged listeners, and new ones that don't accept yet, by listenerKey
}

// Reload installs another configuration. If it returns an error it has changed nothing. Unchanged parts are reused:
// listeners keep their connections, and pools keep the state of their balancer. A request is served to its end by the
// configuration that accepted it; removed listeners and pools end when their last request has its response. Reload may be
// called at any time and by several goroutines; after the shutdown has begun it fails.
//
// In a cluster that agrees on settings the agreed settings override those of the configuration.
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
		s.cluster.raft.Recheck() // agreed settings that the old operators' file made invalid may be valid with the new one
	}
	return nil
}

// reload installs this daemon's own configuration combined with the agreed settings. s.mu is held.
func (s *Sidecar) reload(own config.Service) error {
	p, err := s.prepareReload(own)
	if err != nil {
		return err
	}
	c, agreed := p.effective.service, p.effective.agreed
	p.reconfigureCluster()
	s.adoptAdmin(c, p.admin)
	next := s.buildConfig(c)
	active := activeSettings{consensus.DigestDocuments(settingsDocuments(agreed.Docs)), &atomic.Uint64{}}
	active.version.Store(agreed.Version)
	next.routes.AcceptsRequests = s.cluster.requestGuard(c.RejectsWhenIndeterminate, active.version)
	next.routes.RejectionRetryAfter = noLeaseRetryAfter
	s.activeRoutes.Swap(next.routes)
	s.ownConfig, s.activeSettings = own, active
	if s.cluster.hasConsensus() {
		s.cluster.raft.MarkInstalled(agreed.Version)
		s.log.Info("agreed settings installed", "version", agreed.Version)
	}
	s.adoptListeners(p.listeners)
	if s.installed != nil {
		s.retireConfig(s.installed)
	}
	s.installed = next
	return nil
}

// prepareReload opens the sockets of a configuration and validates its cluster settings. s.mu is held.
func (s *Sidecar) prepareReload(own config.Service) (*preparedReload, error) {
	effective, err := s.cluster.composeConfig(own)
	if err != nil {
		return nil, err
	}
	p := &preparedReload{effective: effective}
	if p.reconfigureCluster, err = s.cluster.prepareReconfigure(effective.service.Cluster); err != nil {
		return nil, err
	}
	if p.admin, err = s.openAdmin(effective.service); err != nil {
		return nil, err
	}
	if p.listeners, err = s.openListeners(effective.service); err != nil {
		if p.admin != nil {
			err = errors.Join(err, p.admin.Close())
		}
		return nil, err
	}
	return p, nil
}

// buildConfig creates a configuration's routes and pools, and reuses the running pools that can serve it. A pool that is
// replaced may still have requests, so it gets the new discovery source too: it must learn which endpoints are draining
// or were removed. s.mu is held.
func (s *Sidecar) buildConfig(c config.Service) *installedConfig {
	next := &installedConfig{pools: make(map[string]*pool, len(c.Pools))}
	for _, spec := range c.Pools {
		var p *pool
		if s.installed != nil {
			p = s.installed.pools[spec.Name]
		}
		for running := range s.runningPools {
			if running.spec.Name == spec.Name {
				running.updateSource(spec.Source)
			}
		}
		if p == nil || !p.canServe(spec) {
			p = s.startPool(spec)
		}
		p.references++
		next.pools[spec.Name] = p
	}
	next.routes = newRouteConfig(c, next.pools, s.metrics)
	return next
}

// startPool starts a pool with the current manual ejections and connection limit. s.mu is held.
func (s *Sidecar) startPool(spec config.PoolSpec) *pool {
	p := newPool(s.newBalancer, spec, s.bodyMemory, s.responseMemory, s.idClaims, s.metrics, s.log.With("pool", spec.Name))
	s.runningPools[p] = true
	s.resources.addPool(p)
	if s.connectionLimit > 0 {
		p.upstream.SetMaxConnections(min(s.connectionLimit, spec.MaxConnections))
	}
	s.overrides.addPool(p)
	s.cluster.addPool(p)
	return p
}

// retireConfig releases a configuration's pools in the background once its last request has its response, and closes the
// pools that no other configuration uses. s.mu is held.
func (s *Sidecar) retireConfig(old *installedConfig) {
	s.retiring.Go(func() {
		old.routes.Wait()
		s.mu.Lock()
		var unused []*pool
		for _, p := range old.pools {
			if p.references--; p.references == 0 {
				unused = append(unused, p)
				delete(s.runningPools, p)
			}
		}
		s.mu.Unlock()
		for _, p := range unused {
			s.resources.removePool(p)
			s.overrides.removePool(p)
			s.cluster.removePool(p)
			p.close()
		}
	})
}

// openListeners returns a configuration's listeners by listenerKey: running listeners that can be reused, and new ones
// that don't accept yet. If it returns an error it has closed the new ones. s.mu is held.
func (s *Sidecar) openListeners(c config.Service) (map[string]*listener, error) {
	next := make(map[string]*listener, len(c.Listeners))
	for _, spec := range c.Listeners {
		key := listenerKey(spec)
		if current := s.listeners[key]; current != nil && current.canServe(spec, c.Name) {
			next[key] = current
			continue
		}
		socket, err := s.openSocket(spec)
		if err != nil {
			err = fmt.Errorf("listener %s: %w", spec.Name, err)
			for key, l := range next {
				if s.listeners[key] != l {
					err = errors.Join(err, l.socket.Close())
				}
			}
			return nil, err
		}
		l := newListener(spec, listenerOptions{
			pseudonym:  c.Name,
			socket:     socket,
			routes:     &s.activeRoutes,
			bodyMemory: s.bodyMemory,
			metrics:    s.metrics,
			log:        s.log,
		})
		if s.connectionLimit > 0 {
			l.setMaxConnections(s.connectionLimit)
		}
		next[key] = l
	}
	return next, nil
}

// openSocket opens a listener's socket. If another listener at the same address runs or is draining, the new listener
// shares its socket: connections that wait in the socket's accept queue must not be lost. s.mu is held.
func (s *Sidecar) openSocket(spec config.Listener) (*socketHandle, error) {
	key := listenerKey(spec)
	if current := s.listeners[key]; current != nil {
		if h, ok := current.socket.newHandle(); ok {
			return h, nil
		}
	}
	for l := range s.drainingListeners {
		if listenerKey(l.spec) == key {
			if h, ok := l.socket.newHandle(); ok {
				return h, nil
			}
		}
	}
	if spec.Descriptor == 0 {
		return listen(spec.Address)
	}
	h, err := listenInherited(spec.Descriptor, spec.Address)
	// The socket stays paused until the first poll of hotRestart, which decides whether this process takes clients.
	if err == nil && s.hotRestart != nil {
		h.SetPaused(true)
	}
	return h, err
}

// adoptListeners starts the new listeners of a configuration, and drains the running listeners that are not part of it.
// s.mu is held.
func (s *Sidecar) adoptListeners(next map[string]*listener) {
	for key, l := range next {
		if s.listeners[key] == l {
			continue
		}
		s.resources.addListener(l)
		s.log.Info("listening", "addr", l.frontendListener.Addr().String(), "listener", l.spec.Name)
		go func() {
			if err := l.serve(); !l.isDraining.Load() {
				select {
				case s.listenerFailed <- fmt.Errorf("listener %s: %w", l.spec.Name, err):
				default: // another listener failed earlier, and Serve returns the error of that listener
				}
			}
		}()
	}
	for key, l := range s.listeners {
		if next[key] != l {
			replacedBy := noSuccessor
			if next[key] != nil {
				replacedBy = sameProcess
			}
			s.retireListener(l, replacedBy)
		}
	}
	s.listeners = next
}

// retireListener drains in the background a listener that is no longer configured. s.mu is held.
func (s *Sidecar) retireListener(l *listener, replacedBy successor) {
	s.drainingListeners[l] = true
	l.isDraining.Store(true)
	s.retiring.Go(func() {
		if err := l.drain(replacedBy, s.gracePeriod-closeConnectionsMargin); err != nil {
			s.log.Warn("listener closed with an error", "listener", l.spec.Name, "error", err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.drainingListeners, l)
		s.resources.removeListener(l)
	})
}

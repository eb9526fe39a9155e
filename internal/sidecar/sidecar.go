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
	acceptAfterTerm = 600 * time.Millisecond  // new connections go on coming for a while after SIGTERM, callers go on using theirs for as
	serveLeft       = 1500 * time.Millisecond // long as these stay open, if so much is left until the process is killed,
	answerLeft      = 200 * time.Millisecond  // and what is not answered when so much is left goes under with it
	lookAround      = 10 * time.Millisecond
)

// errEnding is a reload that comes too late.
var errEnding = errors.New("the daemon is about to end")

// Sidecar is a daemon that listens: its listeners, its pools, and what routes requests from the ones to the others.
type Sidecar struct {
	decide  eventloop.Decider
	log     *slog.Logger
	current frontend.Current
	failed  chan error     // a listener that can't go on
	bodies  *body.Pool     // nil: bodies are held whole; fixed at the start
	drains  time.Duration  // from the end's beginning until bodies that flow are cut off; fixed at the start
	grace   time.Duration  // from then until the process is killed at the earliest; fixed at the start
	retired sync.WaitGroup // what a reload took out and has not ended yet
	figures *metrics.Registry
	hands   *hands
	fleet   *fleet      // nil: this daemon knows of no other; fixed at the start
	beside  *takeover   // nil: no other process can take over
	ready   atomic.Bool // callers are taken
	fixed   int         // descriptors besides connections of callers and to endpoints

	mu        sync.Mutex // a reload holds it from its beginning to its end
	ending    bool
	present   *installed
	told      config.Service       // what present was made of, with what is agreed on
	acts      actsOn               // of present
	listeners map[string]*listener // by place
	leaving   map[*listener]bool   // taken out, and not ended yet
	running   map[*pool]bool       // in force, or taken out and not ended yet
	admin     *admin.Server        // nil: operators call nowhere
	adminAddr string               // as it was told
	each      int                  // connections of callers, and to endpoints, where others share the limit; 0: as configured
}

// installed is a configuration that is, or was, in force.
type installed struct {
	routes *frontend.Service
	pools  map[string]*pool // by name
}

// Start opens the listeners and starts the pools; Serve does so until the end.
func Start(c config.Service, log *slog.Logger) (*Sidecar, error) {
	return StartWith(eventloop.Module, c, log)
}

// StartWith is Start with another decider in the module's place, behind the same sockets: what the module gains shows
// only beside others.
func StartWith(decide eventloop.Decider, c config.Service, log *slog.Logger) (*Sidecar, error) {
	s := &Sidecar{decide: decide, log: log, failed: make(chan error, 1), listeners: map[string]*listener{}, leaving: map[*listener]bool{},
		running: map[*pool]bool{}, drains: c.Drain, grace: c.Grace, figures: &metrics.Registry{}, hands: newHands()}
	if c.BodyMemory > 0 {
		s.bodies = body.NewPool(c.BodyMemory)
	}
	s.fixed = c.Fixed()
	var err error
	if s.fleet, err = startFleet(c, log); err != nil {
		return nil, err
	}
	s.fleet.hear(s.hands)
	s.beside = newTakeover(s, c, log)
	if err := s.Reload(c); err != nil {
		s.beside.end()
		return nil, errors.Join(err, s.fleet.end())
	}
	s.fleet.heed(s)
	if s.beside == nil {
		s.ready.Store(true)
		return s, nil
	}
	s.beside.look() // one that is alone begins at once
	s.beside.looking = true
	go s.beside.run()
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
	if s.ending {
		return errEnding
	}
	if err := s.reload(c); err != nil {
		return err
	}
	if s.fleet.agrees() {
		s.fleet.own.Store(c.File)
		s.fleet.chamber.Recheck()
	}
	return nil
}

// reload takes up what this daemon was told, with what is agreed on. s.mu is held.
func (s *Sidecar) reload(told config.Service) error {
	c, acting, err := s.fleet.compose(told)
	if err != nil {
		return err
	}
	retune, err := s.fleet.retune(c.Fleet) // all that can fail comes first
	if err != nil {
		return err
	}
	operators, err := s.openAdmin(c)
	if err != nil {
		return err
	}
	opened, err := s.open(c)
	if err != nil {
		if operators != nil {
			operators.Close()
		}
		return err
	}
	retune()
	s.adoptAdmin(c, operators)
	next := s.install(c)
	acts := actsOn{consensus.DigestOf(settingsOf(acting.Docs)), &atomic.Uint64{}}
	acts.version.Store(acting.Version)
	next.routes.Guard, next.routes.Unsure = s.fleet.guard(c.Refuses, acts.version), unsureRetry
	s.current.Swap(next.routes)
	if s.told, s.acts = told, acts; s.fleet.agrees() {
		s.fleet.chamber.MarkInstalled(acting.Version)
		s.log.Info("settings as agreed on", "version", acting.Version)
	}
	s.adopt(opened)
	if s.present != nil {
		s.retire(s.present)
	}
	s.present = next
	return nil
}

// install builds what a configuration needs, with the pools that can go on. One that another takes over from still has
// requests, and must hear like that other who drains or is gone. s.mu is held.
func (s *Sidecar) install(c config.Service) *installed {
	next := &installed{pools: make(map[string]*pool, len(c.Pools))}
	for _, spec := range c.Pools {
		var p *pool
		if s.present != nil {
			p = s.present.pools[spec.Name]
		}
		for was := range s.running {
			if was.spec.Name == spec.Name {
				was.update(spec.Source)
			}
		}
		if p == nil || !p.goesOnAs(spec) {
			p = newPool(s.decide, spec, s.bodies, s.figures, s.log.With("pool", spec.Name))
			s.running[p] = true
			if s.each > 0 {
				p.upstream.SetMaxConnections(s.each)
			}
			s.hands.join(p)
			s.fleet.join(p)
		}
		p.users++
		next.pools[spec.Name] = p
	}
	next.routes = routes(c, next.pools, s.figures)
	return next
}

// retire ends a configuration's hold on its pools once its last request is answered. s.mu is held.
func (s *Sidecar) retire(was *installed) {
	s.retired.Go(func() {
		was.routes.Wait()
		s.mu.Lock()
		var unused []*pool
		for _, p := range was.pools {
			if p.users--; p.users == 0 {
				unused = append(unused, p)
				delete(s.running, p)
			}
		}
		s.mu.Unlock()
		for _, p := range unused {
			s.hands.leave(p)
			s.fleet.leave(p)
			p.end()
		}
	})
}

// open makes the listeners of a configuration: those that can go on, and new ones that don't accept yet. s.mu is held.
func (s *Sidecar) open(c config.Service) (map[string]*listener, error) {
	next := make(map[string]*listener, len(c.Listeners))
	for _, spec := range c.Listeners {
		at := place(spec)
		if was := s.listeners[at]; was != nil && was.goesOnAs(spec, c.Name) {
			next[at] = was
			continue
		}
		socket, err := s.socket(spec)
		if err != nil {
			for at, l := range next {
				if s.listeners[at] != l {
					l.socket.Close()
				}
			}
			return nil, fmt.Errorf("listener %s: %w", spec.Name, err)
		}
		l := newListener(spec, c.Name, socket, &s.current, s.bodies, s.figures, s.log)
		if s.each > 0 {
			l.limit(s.each)
		}
		next[at] = l
	}
	return next, nil
}

// socket opens one, or shares that of a listener at the same place which is there or on its way out: callers that wait
// in its queue must not be lost.
func (s *Sidecar) socket(spec config.Listener) (*hold, error) {
	at := place(spec)
	if was := s.listeners[at]; was != nil {
		if h, ok := was.socket.share(); ok {
			return h, nil
		}
	}
	for l := range s.leaving {
		if place(l.spec) == at {
			if h, ok := l.socket.share(); ok {
				return h, nil
			}
		}
	}
	if spec.Descriptor == 0 {
		return listen(spec.Address)
	}
	h, err := inherit(spec.Descriptor, spec.Address)
	if err == nil && s.beside != nil { // its first look says whether callers are taken
		h.Pause(true)
	}
	return h, err
}

// adopt puts the listeners of a configuration in the present ones' place. s.mu is held.
func (s *Sidecar) adopt(next map[string]*listener) {
	for at, l := range next {
		if s.listeners[at] == l {
			continue
		}
		s.log.Info("listening", "addr", l.conns.Addr().String(), "listener", l.spec.Name)
		go func() {
			if err := l.accept(); !l.leaving.Load() {
				select {
				case s.failed <- fmt.Errorf("listener %s: %w", l.spec.Name, err):
				default: // another one has failed
				}
			}
		}()
	}
	for at, l := range s.listeners {
		if next[at] != l {
			by := nobody
			if next[at] != nil {
				by = server
			}
			s.takeOut(l, by)
		}
	}
	s.listeners = next
}

// takeOut drains a listener. s.mu is held.
func (s *Sidecar) takeOut(l *listener, by heir) {
	s.leaving[l] = true
	l.leaving.Store(true)
	s.retired.Go(func() {
		if err := l.drain(by, s.grace-serveLeft); err != nil {
			s.log.Warn("a listener did not end well", "listener", l.spec.Name, "err", err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.leaving, l)
	})
}

// Addrs are where the sidecar listens, by the names of its listeners.
func (s *Sidecar) Addrs() map[string]net.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]net.Addr{}
	for _, l := range s.listeners {
		out[l.spec.Name] = l.conns.Addr()
	}
	return out
}

// Serve serves until ctx ends, or another process has taken over, and then until all that was taken has been answered.
func (s *Sidecar) Serve(ctx context.Context) error {
	defer s.beside.end()
	var gone <-chan struct{}
	if s.beside != nil {
		gone = s.beside.gone
	}
	select {
	case err := <-s.failed:
		return err
	case <-gone:
	case <-ctx.Done():
	}
	return s.drain(s.beside.leave())
}

// drain ends all listeners, and then the pools.
func (s *Sidecar) drain(by heir) error {
	s.ready.Store(false)
	s.mu.Lock()
	s.ending = true
	open := s.listeners
	ending := slices.AppendSeq(slices.Collect(maps.Keys(s.leaving)), maps.Values(open))
	for _, l := range ending {
		l.leaving.Store(true)
		l.callers.SetShutdownDeadline(time.Now().Add(s.grace - answerLeft))
		defer time.AfterFunc(s.drains, l.callers.AbortStreams).Stop()
	}
	s.mu.Unlock()
	errs := make(chan error, len(open))
	for _, l := range open {
		go func() { errs <- l.drain(by, s.grace-serveLeft) }()
	}
	var all error
	for range open {
		all = errors.Join(all, <-errs)
	}
	s.mu.Lock()
	s.retire(s.present)
	operators := s.admin
	s.mu.Unlock()
	s.retired.Wait()
	all = errors.Join(all, s.fleet.end()) // not before: while callers are served, this daemon's part is in use
	if operators != nil {
		all = errors.Join(all, operators.Close())
	}
	return all
}

// Package sidecar puts the decision module on real sockets: it wires the parts, reloads and drains. The parts carry
// out what the module decides and decide nothing themselves.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"tuliprock/internal/config"
	"tuliprock/internal/core"
	"tuliprock/internal/discovery"
	"tuliprock/internal/front"
	"tuliprock/internal/upstream"
)

const (
	otherDescriptors = 24                      // of the limit, for all but callers' and endpoints' connections
	spareCallers     = 16                      // further callers, until an idle one is closed for them
	acceptAfterTerm  = 600 * time.Millisecond  // new connections go on coming for a while after SIGTERM,
	serveAfterTerm   = 2200 * time.Millisecond // callers go on using theirs for as long as these stay open,
	lookAround       = 10 * time.Millisecond
	answerAfterTerm  = 3500 * time.Millisecond // and what is not answered by now goes under with the process
)

// Sidecar is a sidecar that listens.
type Sidecar struct {
	server    *http.Server
	callers   *front.Server
	conns     *front.Listener
	loop      *core.Loop
	upstream  *upstream.Client
	discovery *discovery.Client
	config    config.Config
	log       *slog.Logger
}

// Start wires the parts and opens the listener; Serve does the work.
func Start(c config.Config, log *slog.Logger) (*Sidecar, error) {
	return StartWith(core.Module, c, log)
}

// StartWith is Start with another decider in the module's place, behind the same sockets: what the module gains shows
// only beside others.
func StartWith(decide core.Decider, c config.Config, log *slog.Logger) (*Sidecar, error) {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	settings := c.Settings.Settings
	settings.MayProbe = false // probing endpoints is ruled out
	each := max((c.Limits.Sockets-otherDescriptors-spareCallers)/2, 8)
	up := upstream.New(c.Settings.ConnIdle, c.Settings.DialTimeout, each)
	d := discovery.New(c.Discovery, c.Known.Version, settings.MustSubscribe, log)
	l := core.New(decide, settings, up, d.Subscribe, log)
	d.Deliver = func(m discovery.Members) { l.Post(func(now time.Duration) { l.List(now, m) }) }
	d.Failed = func() { l.Post(l.DiscoveryFailed) }
	known := c.Known
	known.Full = true // the list as it was last had, and the first that the module hears
	l.List(l.Now(), known)

	log.Info("listening", "addr", listener.Addr().String())
	// Beyond the budget callers wait in the kernel's queue, which costs no descriptor and loses nothing.
	conns := front.NewListener(netutil.LimitListener(listener, each+spareCallers), each)

	s := front.New(l, settings.Classes, log)
	return &Sidecar{server: s.HTTP(conns.Track), callers: s, conns: conns, loop: l, upstream: up, discovery: d, config: c, log: log}, nil
}

// Reload takes up a new configuration as far as a running sidecar can: discovery moves, the list and all that the
// module has learned stay. It does no harm at any time, also during the end. It must not be called by two at once.
func (s *Sidecar) Reload(c config.Config) {
	s.log.Info("configuration read again", "discovery", c.Discovery, "moves", c.Discovery != s.config.Discovery)
	if c.Listen != s.config.Listen || c.Limits != s.config.Limits {
		s.log.Warn("listen and limits change with a restart only")
	}
	if c.Discovery != s.config.Discovery {
		s.config.Discovery = c.Discovery
		s.discovery.Move(c.Discovery)
	}
}

// Addr is where the sidecar listens.
func (s *Sidecar) Addr() net.Addr { return s.conns.Addr() }

// Serve serves until ctx ends and then until all that was taken has been answered.
func (s *Sidecar) Serve(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	for _, run := range []func(context.Context){s.loop.Run, s.upstream.Run, s.discovery.Run} {
		parts.Go(func() { run(work) })
	}
	defer parts.Wait()
	defer stop()

	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.conns) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.drain(served)
}

// drain ends the callers' side. It guards against losing what the kernel has accepted, and against turning callers
// away for as long as this process is there to serve them: for a while all goes on as before, as long as callers are
// connected; then answers say Connection: close, and idle connections are closed. There is no further limit of time:
// requests end by their deadlines, those taken from now on in time for the end, and net/http closes connections that
// bring none.
func (s *Sidecar) drain(served <-chan error) error {
	s.callers.EndBy(s.loop.Now() + answerAfterTerm)
	began := time.Now()
	for d := time.Duration(0); d < acceptAfterTerm || d < serveAfterTerm && s.conns.Count() > 0; d = time.Since(began) {
		time.Sleep(lookAround)
	}
	s.callers.CloseAll()
	err := s.conns.Finish()
	<-served // the listener is closed
	return errors.Join(err, s.server.Close())
}

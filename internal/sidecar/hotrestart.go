package sidecar

import (
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"tuliprock/internal/config"
	"tuliprock/internal/hotrestart"
	"tuliprock/internal/memusage"
)

// hotRestart coordinates this process with the other processes of the same sidecar through a shared directory: the newest
// process takes clients, the others drain. A nil hotRestart means that there are no other processes; beginShutdown and
// close accept it.
type hotRestart struct {
	sidecar      *Sidecar
	directory    *hotrestart.Directory
	log          *slog.Logger
	config       config.Service // configuration when this process started; all processes share its descriptor limit
	stopPolling  chan struct{}  // closed by the method close, to stop run
	pollingEnded chan struct{}  // closed when the method run has returned
	finished     chan struct{}  // closed when another process takes clients and this one has no client left

	mu              sync.Mutex // held while the shared directory is polled, and while the shutdown begins
	startedAt       time.Time
	lifecycle       *hotrestart.Lifecycle
	descriptorLimit int  // number of descriptors that this process may use now
	isShuttingDown  bool // whether the shutdown has begun; poll no longer changes the lifecycle then
	isPolling       bool // whether the method run was started
}

// joinHotRestart registers this process in the directory that the processes share. It returns nil if no directory is
// configured or the directory can't be used: then no other process can replace this one, and manual ejections are kept in
// memory only.
func joinHotRestart(s *Sidecar, c config.Service, log *slog.Logger) *hotRestart {
	if c.SharedDir == "" {
		return nil
	}
	directory, err := hotrestart.Join(c.SharedDir, c.Name, log)
	if err != nil {
		log.Error("hot restart is not available, and manual ejections are kept in memory", "error", err)
		return nil
	}
	r := &hotRestart{
		sidecar:         s,
		directory:       directory,
		log:             log,
		config:          c,
		stopPolling:     make(chan struct{}),
		pollingEnded:    make(chan struct{}),
		finished:        make(chan struct{}),
		startedAt:       time.Now(),
		lifecycle:       hotrestart.NewLifecycle(0),
		descriptorLimit: c.Limits.Sockets,
	}
	state, view, othersDescriptors := directory.Poll(0)
	s.overrides.attach(directory, state.Ejections)
	r.applyLimits(view, othersDescriptors)
	if len(view.Others) > 0 {
		log.Info("hot restart begins", "number", directory.Number(), "others", view.Others)
	}
	return r
}

// start polls the shared directory once, so that this process takes clients at once if no other process of the sidecar
// runs. It then polls in the background until the method close is called.
func (r *hotRestart) start() {
	r.poll()
	r.isPolling = true
	go r.run()
}

// run polls the shared directory periodically until the method close is called.
func (r *hotRestart) run() {
	defer close(r.pollingEnded)
	ticker := time.NewTicker(hotrestart.PollInterval)
	defer ticker.Stop()
	for {
		r.poll()
		select {
		case <-ticker.C:
		case <-r.stopPolling:
			return
		}
	}
}

// poll reads what the other processes have written to the shared directory, applies their ejections, adapts this
// process's limits, and starts or stops taking clients.
func (r *hotRestart) poll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	usage := r.sidecar.usage()
	view, othersDescriptors := r.sidecar.overrides.syncDirectory(usage.descriptors)
	r.applyLimits(view, othersDescriptors)
	r.restoreReadiness(view)
	if r.isShuttingDown || !r.lifecycle.Update(time.Since(r.startedAt), view, usage.hasEndpointLists, usage.clientConnections) {
		return
	}
	switch r.lifecycle.Phase() {
	case hotrestart.Serving:
		r.sidecar.setAccepting(true)
		if err := r.directory.SetReady(true); err != nil {
			r.log.Error("readiness could not be recorded", "error", err)
		}
		r.sidecar.isReady.Store(true)
		r.log.Info("this process takes clients", "number", r.directory.Number(), "others", view.Others)
	case hotrestart.Draining:
		r.sidecar.isReady.Store(false)
		r.sidecar.setAccepting(false)
		r.log.Info("another process takes clients", "number", r.directory.Number(), "others", view.Others)
		debug.FreeOSMemory()
	case hotrestart.Finished:
		close(r.finished)
	}
}

// restoreReadiness records again that this process takes clients, if the shared state was damaged and does not say so any more. A
// process that has drained for this one would otherwise take clients again.
func (r *hotRestart) restoreReadiness(view hotrestart.View) {
	if r.isShuttingDown || view.IsReady || r.lifecycle.Phase() != hotrestart.Serving {
		return
	}
	if err := r.directory.SetReady(true); err != nil {
		r.log.Error("readiness could not be recorded", "error", err)
	}
}

// applyLimits sets this process's part of the descriptors and of the memory that all processes of the sidecar share.
// othersDescriptors is how many descriptors the other processes have reported as open.
func (r *hotRestart) applyLimits(view hotrestart.View, othersDescriptors int) {
	limit := hotrestart.DescriptorLimit(r.config.Limits.Sockets, view, othersDescriptors)
	if limit == r.descriptorLimit {
		return
	}
	r.descriptorLimit = limit
	if memoryMB := r.config.Limits.MemoryMB; memoryMB > 0 {
		r.sidecar.memoryGuard.setProcesses(memoryMB, 1+len(view.Others))
		debug.SetMemoryLimit(memusage.RuntimeLimit(memoryMB, 1+len(view.Others), memusage.Read().Shared))
	}
	r.sidecar.setConnectionLimit(r.config.ConnectionsWithin(limit))
}

// beginShutdown returns otherProcess if another process takes clients now, and noSuccessor if not. After this call poll no
// longer changes this process's lifecycle phase. If this process was the one that took clients, it withdraws its readiness,
// so that older processes that still run may take clients again.
func (r *hotRestart) beginShutdown() successor {
	if r == nil {
		return noSuccessor
	}
	r.poll()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isShuttingDown = true
	if phase := r.lifecycle.Phase(); phase == hotrestart.Draining || phase == hotrestart.Finished {
		return otherProcess
	}
	if err := r.directory.SetReady(false); err != nil {
		r.log.Error("shutdown could not be recorded", "error", err)
	}
	return noSuccessor
}

// close stops polling and removes this process from the shared directory. It is the last step of Serve.
func (r *hotRestart) close() {
	if r == nil {
		return
	}
	if r.isPolling {
		close(r.stopPolling)
		<-r.pollingEnded
	}
	if err := r.directory.Close(); err != nil {
		r.log.Warn("hot restart directory closed with an error", "error", err)
	}
}

// resourceUsage is this process's part of the resources that all processes of a sidecar share, and whether its pools are
// ready to serve.
type resourceUsage struct {
	descriptors       int  // number of open descriptors
	clientConnections int  // number of connections from clients
	hasEndpointLists  bool // whether discovery has delivered an endpoint list to every pool
}

// usage counts the resources that this process uses now.
func (s *Sidecar) usage() resourceUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := resourceUsage{descriptors: s.fixedDescriptors, hasEndpointLists: true}
	for _, l := range s.listeners {
		u.clientConnections += l.frontendListener.ConnectionCount()
	}
	for l := range s.drainingListeners {
		u.clientConnections += l.frontendListener.ConnectionCount()
	}
	for p := range s.runningPools {
		_, connections := p.upstream.ResourceCounts()
		u.descriptors += connections
		u.hasEndpointLists = u.hasEndpointLists && p.hasEndpointList.Load()
	}
	u.descriptors += u.clientConnections
	return u
}

// setConnectionLimit sets how many clients' connections each listener may have, and how many connections to endpoints
// each pool may have.
func (s *Sidecar) setConnectionLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connectionLimit = limit
	for _, l := range s.listeners {
		l.setMaxConnections(limit)
	}
	for p := range s.runningPools {
		p.upstream.SetMaxConnections(min(limit, p.spec.MaxConnections))
	}
}

// setAccepting makes the listeners accept clients, or makes them stop accepting and close each connection with its next
// response.
func (s *Sidecar) setAccepting(isAccepting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		l.frontend.SetCloseConnections(!isAccepting)
		l.socket.SetPaused(!isAccepting)
	}
}

package sidecar

import (
	"context"
	"log/slog"
	"math"
	"runtime/debug"
	"sync"
	"time"

	"tuliprock/internal/config"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/hotrestart"
)

// catchUpTimeout bounds how long the pools may take to have what another process was called.
const catchUpTimeout = 500 * time.Millisecond

// hotRestart is this process's part beside others of the same sidecar. A nil one has no others.
type hotRestart struct {
	sidecar     *Sidecar
	directory   *hotrestart.Directory
	log         *slog.Logger
	config      config.Service
	memoryLimit int64 // the limit on it while there are no others

	pollMu          sync.Mutex // one at a time
	startedAt       time.Time
	lifecycle       *hotrestart.Lifecycle
	descriptorLimit int  // descriptors that this process may use, as last set
	isShuttingDown  bool // this process's part does not change any more
	isPolling       bool // run was started
	stop            chan struct{}
	pollingEnded    chan struct{} // closed when nothing looks any more
	finished        chan struct{} // closed when another has taken over, and all is answered
}

// joinHotRestart enters the directory that the processes share. Where that can't be done this process is alone, as it is with
// no such directory: what operators call is kept in memory.
func joinHotRestart(s *Sidecar, c config.Service, log *slog.Logger) *hotRestart {
	if c.Shared == "" {
		return nil
	}
	dir, err := hotrestart.Join(c.Shared, c.Name, log)
	if err != nil {
		log.Error("what operators call is kept in memory alone, and no other process can take over", "err", err)
		return nil
	}
	t := &hotRestart{sidecar: s, directory: dir, log: log, config: c, startedAt: time.Now(), lifecycle: hotrestart.NewLifecycle(0), descriptorLimit: c.Limits.Sockets, memoryLimit: debug.SetMemoryLimit(-1),
		stop: make(chan struct{}), pollingEnded: make(chan struct{}), finished: make(chan struct{})}
	state, view, others := dir.Poll(0)
	for _, b := range state.Ejections {
		s.overrides.record(b.ID, b.Ejected)
		if b.IsRecentReturn(time.Now()) {
			s.overrides.recentlyRestored = append(s.overrides.recentlyRestored, b.ID)
		}
	}
	s.overrides.directory = dir
	t.applyLimits(view, others)
	if len(view.Others) > 0 {
		log.Info("another process serves: taking over", "number", dir.Number(), "others", view.Others)
	}
	return t
}

// run looks until stop.
func (t *hotRestart) run() {
	defer close(t.pollingEnded)
	tick := time.NewTicker(hotrestart.PollInterval)
	defer tick.Stop()
	for {
		t.poll()
		select {
		case <-tick.C:
		case <-t.stop:
			return
		}
	}
}

// poll sees what the others have written, and does what follows.
func (t *hotRestart) poll() {
	t.pollMu.Lock()
	defer t.pollMu.Unlock()
	used, callers, listed := t.sidecar.usage()
	view, others := t.sidecar.overrides.syncDirectory(used)
	t.applyLimits(view, others)
	if t.isShuttingDown || !t.lifecycle.Update(time.Since(t.startedAt), view, listed, callers) {
		return
	}
	switch t.lifecycle.Phase() {
	case hotrestart.Serving:
		t.sidecar.setAccepting(true)
		if err := t.directory.SetReady(true); err != nil {
			t.log.Error("the others can't be told that this process takes callers", "err", err)
		}
		t.sidecar.isReady.Store(true)
		t.log.Info("taking callers", "number", t.directory.Number(), "others", view.Others)
	case hotrestart.Draining:
		t.sidecar.isReady.Store(false)
		t.sidecar.setAccepting(false)
		t.log.Info("another process takes callers", "number", t.directory.Number(), "others", view.Others)
		debug.FreeOSMemory()
	case hotrestart.Finished:
		close(t.finished)
	}
}

// applyLimits keeps to this process's share of what is common to all.
func (t *hotRestart) applyLimits(v hotrestart.View, others int) {
	share := hotrestart.DescriptorLimit(t.config.Limits.Sockets, v, others)
	if share == t.descriptorLimit {
		return
	}
	t.descriptorLimit = share
	if t.memoryLimit != math.MaxInt64 {
		debug.SetMemoryLimit(t.memoryLimit / int64(1+len(v.Others)))
	}
	t.sidecar.setConnectionLimit(t.config.Connections(share))
}

// beginShutdown tells whether another process takes callers, as of now. From now on this one's part does not change: if it took
// callers until now, older ones that live may do so again.
func (t *hotRestart) beginShutdown() successor {
	if t == nil {
		return noSuccessor
	}
	t.poll()
	t.pollMu.Lock()
	defer t.pollMu.Unlock()
	t.isShuttingDown = true
	if p := t.lifecycle.Phase(); p == hotrestart.Draining || p == hotrestart.Finished {
		return otherProcess
	}
	if err := t.directory.SetReady(false); err != nil {
		t.log.Error("the others can't be told that this process ends", "err", err)
	}
	return noSuccessor
}

// close ends the looking and leaves the directory, as the last thing.
func (t *hotRestart) close() {
	if t == nil {
		return
	}
	if t.isPolling {
		close(t.stop)
		<-t.pollingEnded
	}
	if err := t.directory.Close(); err != nil {
		t.log.Warn("leaving what the processes share", "err", err)
	}
}

// usage tells how many descriptors are in use, how many callers are connected, and whether all pools have heard from
// discovery.
func (s *Sidecar) usage() (used, callers int, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	used, listed = s.fixedDescriptors, true
	for _, l := range s.listeners {
		callers += l.connections.Count()
	}
	for l := range s.drainingListeners {
		callers += l.connections.Count()
	}
	for p := range s.runningPools {
		_, n := p.upstream.ResourceCounts()
		used += n
		listed = listed && p.hasEndpointList.Load()
	}
	return used + callers, callers, listed
}

// setConnectionLimit sets how many connections callers and endpoints may have.
func (s *Sidecar) setConnectionLimit(each int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connectionLimit = each
	for _, l := range s.listeners {
		l.setMaxConnections(each)
	}
	for p := range s.runningPools {
		p.upstream.SetMaxConnections(each)
	}
}

// setAccepting lets the listeners take callers, or keeps them from it and lets each connection end with its next answer.
func (s *Sidecar) setAccepting(is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		l.frontend.SetCloseConnections(!is)
		l.socket.SetPaused(!is)
	}
}

// syncDirectory has the pools keep to what other processes were called, and tells what follows besides. A call that is being
// carried out goes first.
func (h *overrides) syncDirectory(used int) (hotrestart.View, int) {
	select {
	case h.commandSlot <- struct{}{}:
		defer func() { <-h.commandSlot }()
		return h.applyDirectory(used)
	default:
		_, view, others := h.directory.Poll(used)
		return view, others
	}
}

// applyDirectory is catchUp's with the turn held.
func (h *overrides) applyDirectory(used int) (hotrestart.View, int) {
	state, view, others := h.directory.Poll(used)
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	told := make(map[string]bool, len(state.Ejections))
	for _, b := range state.Ejections {
		told[b.ID] = true
		if pools, was, _ := h.snapshot(b.ID); was != b.Ejected {
			h.record(b.ID, b.Ejected)
			_ = doOnPools(ctx, pools, func(l *eventloop.Loop, now time.Duration) { l.SetEjected(now, b.ID, b.Ejected) })
		}
	}
	for _, id := range h.ejectedIDs() { // what was lost with a damaged file
		if !told[id] {
			_ = h.directory.RecordEjection(id, true, time.Now())
		}
	}
	return view, others
}

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

// catchUpTime bounds how long the pools may take to have what another process was called.
const catchUpTime = 500 * time.Millisecond

// takeover is this process's part beside others of the same sidecar. A nil one has no others.
type takeover struct {
	s    *Sidecar
	dir  *hotrestart.Directory
	log  *slog.Logger
	c    config.Service
	heap int64 // the limit on it while there are no others

	looks   sync.Mutex // one at a time
	began   time.Time
	part    *hotrestart.Lifecycle
	share   int  // descriptors that this process may use, as last set
	ending  bool // this process's part does not change any more
	looking bool // run was started
	stopped chan struct{}
	done    chan struct{} // closed when nothing looks any more
	gone    chan struct{} // closed when another has taken over, and all is answered
}

// newTakeover enters the directory that the processes share. Where that can't be done this process is alone, as it is with
// no such directory: what operators call is kept in memory.
func newTakeover(s *Sidecar, c config.Service, log *slog.Logger) *takeover {
	if c.Shared == "" {
		return nil
	}
	dir, err := hotrestart.Join(c.Shared, c.Name, log)
	if err != nil {
		log.Error("what operators call is kept in memory alone, and no other process can take over", "err", err)
		return nil
	}
	t := &takeover{s: s, dir: dir, log: log, c: c, began: time.Now(), part: hotrestart.NewLifecycle(0), share: c.Limits.Sockets, heap: debug.SetMemoryLimit(-1),
		stopped: make(chan struct{}), done: make(chan struct{}), gone: make(chan struct{})}
	state, view, others := dir.Poll(0)
	for _, b := range state.Ejections {
		s.hands.note(b.ID, b.Ejected)
		if b.IsRecentReturn(time.Now()) {
			s.hands.backs = append(s.hands.backs, b.ID)
		}
	}
	s.hands.dir = dir
	t.limit(view, others)
	if len(view.Others) > 0 {
		log.Info("another process serves: taking over", "number", dir.Number(), "others", view.Others)
	}
	return t
}

// run looks until stop.
func (t *takeover) run() {
	defer close(t.done)
	tick := time.NewTicker(hotrestart.PollInterval)
	defer tick.Stop()
	for {
		t.look()
		select {
		case <-tick.C:
		case <-t.stopped:
			return
		}
	}
}

// look sees what the others have written, and does what follows.
func (t *takeover) look() {
	t.looks.Lock()
	defer t.looks.Unlock()
	used, callers, listed := t.s.usage()
	view, others := t.s.hands.catchUp(used)
	t.limit(view, others)
	if t.ending || !t.part.Update(time.Since(t.began), view, listed, callers) {
		return
	}
	switch t.part.Phase() {
	case hotrestart.Serving:
		t.s.takeCallers(true)
		if err := t.dir.SetReady(true); err != nil {
			t.log.Error("the others can't be told that this process takes callers", "err", err)
		}
		t.s.ready.Store(true)
		t.log.Info("taking callers", "number", t.dir.Number(), "others", view.Others)
	case hotrestart.Draining:
		t.s.ready.Store(false)
		t.s.takeCallers(false)
		t.log.Info("another process takes callers", "number", t.dir.Number(), "others", view.Others)
		debug.FreeOSMemory()
	case hotrestart.Finished:
		close(t.gone)
	}
}

// limit keeps to this process's share of what is common to all.
func (t *takeover) limit(v hotrestart.View, others int) {
	share := hotrestart.DescriptorLimit(t.c.Limits.Sockets, v, others)
	if share == t.share {
		return
	}
	t.share = share
	if t.heap != math.MaxInt64 {
		debug.SetMemoryLimit(t.heap / int64(1+len(v.Others)))
	}
	t.s.limit(t.c.Connections(share))
}

// leave tells whether another process takes callers, as of now. From now on this one's part does not change: if it took
// callers until now, older ones that live may do so again.
func (t *takeover) leave() heir {
	if t == nil {
		return nobody
	}
	t.look()
	t.looks.Lock()
	defer t.looks.Unlock()
	t.ending = true
	if p := t.part.Phase(); p == hotrestart.Draining || p == hotrestart.Finished {
		return process
	}
	if err := t.dir.SetReady(false); err != nil {
		t.log.Error("the others can't be told that this process ends", "err", err)
	}
	return nobody
}

// end ends the looking and leaves the directory, as the last thing.
func (t *takeover) end() {
	if t == nil {
		return
	}
	if t.looking {
		close(t.stopped)
		<-t.done
	}
	if err := t.dir.Close(); err != nil {
		t.log.Warn("leaving what the processes share", "err", err)
	}
}

// usage tells how many descriptors are in use, how many callers are connected, and whether all pools have heard from
// discovery.
func (s *Sidecar) usage() (used, callers int, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	used, listed = s.fixed, true
	for _, l := range s.listeners {
		callers += l.conns.Count()
	}
	for l := range s.leaving {
		callers += l.conns.Count()
	}
	for p := range s.running {
		_, n := p.upstream.ResourceCounts()
		used += n
		listed = listed && p.heard.Load()
	}
	return used + callers, callers, listed
}

// limit sets how many connections callers and endpoints may have.
func (s *Sidecar) limit(each int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.each = each
	for _, l := range s.listeners {
		l.limit(each)
	}
	for p := range s.running {
		p.upstream.SetMaxConnections(each)
	}
}

// takeCallers lets the listeners take callers, or keeps them from it and lets each connection end with its next answer.
func (s *Sidecar) takeCallers(is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		l.callers.SetCloseConnections(!is)
		l.socket.Pause(!is)
	}
}

// catchUp has the pools keep to what other processes were called, and tells what follows besides. A call that is being
// carried out goes first.
func (h *hands) catchUp(used int) (hotrestart.View, int) {
	select {
	case h.turn <- struct{}{}:
		defer func() { <-h.turn }()
		return h.follow(used)
	default:
		_, view, others := h.dir.Poll(used)
		return view, others
	}
}

// follow is catchUp's with the turn held.
func (h *hands) follow(used int) (hotrestart.View, int) {
	state, view, others := h.dir.Poll(used)
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTime)
	defer cancel()
	told := make(map[string]bool, len(state.Ejections))
	for _, b := range state.Ejections {
		told[b.ID] = true
		if pools, was, _ := h.running(b.ID); was != b.Ejected {
			h.note(b.ID, b.Ejected)
			_ = each(ctx, pools, func(l *eventloop.Loop, now time.Duration) { l.SetEjected(now, b.ID, b.Ejected) })
		}
	}
	for _, id := range h.out() { // what was lost with a damaged file
		if !told[id] {
			_ = h.dir.RecordEjection(id, true, time.Now())
		}
	}
	return view, others
}

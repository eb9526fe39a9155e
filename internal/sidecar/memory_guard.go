package sidecar

import (
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"tuliprock/internal/loglimit"
	"tuliprock/internal/memusage"
)

// Intervals of the memory guard.
const (
	relaxedCheckInterval  = 100 * time.Millisecond // while the resident set is far below the limit
	watchfulCheckInterval = 25 * time.Millisecond  // while it is not
	// minCollectInterval is the least time between two collections that the guard causes, each of which costs some milliseconds.
	minCollectInterval = 500 * time.Millisecond
)

// memoryGuard keeps the process below its memory limit, beyond which the platform kills it, whatever takes the memory. The budgets for
// connections, heads and bodies should make it superfluous; it is for what they do not count. Close to the limit it returns garbage to the
// system, and closer still it makes the process reject new requests and close connections that have none.
type memoryGuard struct {
	limit       atomic.Int64 // bytes that this process may use
	read        func() int64 // returns the resident set in bytes
	collect     func()       // collects garbage and returns it to the system
	setShedding func(bool)   // makes the process reject new requests
	log         *loglimit.Logger

	collectedAt time.Time // time of the latest collection
	isShedding  bool
}

// newMemoryGuard returns a guard for a limit of memoryMB, or nil if there is none.
func newMemoryGuard(memoryMB int, setShedding func(bool), log *slog.Logger) *memoryGuard {
	if memoryMB <= 0 {
		return nil
	}
	g := &memoryGuard{read: func() int64 { return memusage.Read().InUse() }, collect: debug.FreeOSMemory, setShedding: setShedding, log: loglimit.New(log, 1)}
	g.limit.Store(memusage.LimitBytes(memoryMB, 1))
	return g
}

// setProcesses sets among how many processes the limit is divided.
func (g *memoryGuard) setProcesses(memoryMB, processes int) {
	if g != nil {
		g.limit.Store(memusage.LimitBytes(memoryMB, processes))
	}
}

// start checks the memory on a goroutine of its own, which has ended when the returned function returns.
func (g *memoryGuard) start() (stop func()) {
	if g == nil {
		return func() {}
	}
	stopped, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		g.run(stopped)
	}()
	return func() {
		close(stopped)
		<-ended
	}
}

// run checks the memory until stopped is closed.
func (g *memoryGuard) run(stopped <-chan struct{}) {
	timer := time.NewTimer(relaxedCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-timer.C:
			timer.Reset(g.check(time.Now()))
		}
	}
}

// check reads the resident set, does what its pressure requires, and returns the time until the next check.
func (g *memoryGuard) check(now time.Time) time.Duration {
	limit := g.limit.Load()
	resident := g.read()
	pressure := memusage.PressureOf(resident, limit)
	if pressure >= memusage.Tight && now.Sub(g.collectedAt) >= minCollectInterval {
		g.collect()
		g.collectedAt = now
		before := resident
		resident = g.read()
		pressure = memusage.PressureOf(resident, limit)
		g.log.Info("memory is close to the limit", "limit", limit, "resident", before, "after_collection", resident)
	}
	if isShedding := pressure == memusage.Critical; isShedding != g.isShedding {
		g.isShedding = isShedding
		g.setShedding(isShedding)
		g.log.Info("shedding for lack of memory changed", "shedding", isShedding, "limit", limit, "resident", resident)
	}
	if pressure >= memusage.Watchful {
		return watchfulCheckInterval
	}
	return relaxedCheckInterval
}

package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"tuliprock/internal/admin"
	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/config"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/hotrestart"
	"tuliprock/internal/metrics"
)

const (
	countTimeout = 200 * time.Millisecond // a pool is given to tell its members; then what it told last stands
)

// overrides is what operators have taken out by hand, for all pools that run. It outlives pools, lists and reloads.
type overrides struct {
	commandSlot      chan struct{}         // held by the call that is carried out
	directory        *hotrestart.Directory // what other processes know; nil: there are none
	recentlyRestored []string              // ids given back shortly before this process began; fixed before the first pool

	mu      sync.Mutex
	ejected map[string]bool
	pools   map[*pool]bool
}

func newOverrides() *overrides {
	return &overrides{commandSlot: make(chan struct{}, 1), ejected: map[string]bool{}, pools: map[*pool]bool{}}
}

// addPool makes a pool, which has served nobody yet, keep what is out.
func (h *overrides) addPool(p *pool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pools[p] = true
	out := slices.Collect(maps.Keys(h.ejected))
	p.loop.Post(func(now time.Duration) {
		for _, id := range out {
			p.loop.SetEjected(now, id, true)
		}
		for _, id := range h.recentlyRestored { // so that they count as cold here, too
			p.loop.SetEjected(now, id, true)
			p.loop.SetEjected(now, id, false)
		}
	})
}

func (h *overrides) removePool(p *pool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pools, p)
}

// snapshot gives the pools that run, and whether an id is out.
func (h *overrides) snapshot(id string) (pools []*pool, barred bool, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for p := range h.pools {
		pools = append(pools, p)
	}
	return pools, h.ejected[id], len(h.ejected)
}

func (h *overrides) record(id string, out bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if delete(h.ejected, id); out {
		h.ejected[id] = true
	}
}

// ejectedIDs are the ids that are out.
func (h *overrides) ejectedIDs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Keys(h.ejected))
}

// doOnPools has all pools handle an event, one after another.
func doOnPools(ctx context.Context, pools []*pool, event func(l *eventloop.Loop, now time.Duration)) error {
	for _, p := range pools {
		err := p.loop.Do(ctx, func(now time.Duration) { event(p.loop, now) })
		if err != nil && !errors.Is(err, eventloop.ErrClosed) {
			return err
		}
	}
	return nil
}

// errUnknownEndpoint is why nothing was done.
var errUnknownEndpoint = errors.New("no endpoint of this id is listed")

// errUnconfirmed is a call that may yet be carried out.
var errUnconfirmed = errors.New("not confirmed in time; call again")

// setEjected takes an endpoint out, or back, and returns once all modules have it.
func (h *overrides) setEjected(ctx context.Context, id string, out bool) (string, error) {
	select {
	case h.commandSlot <- struct{}{}:
		defer func() { <-h.commandSlot }()
	case <-ctx.Done():
		return "", errUnconfirmed
	}
	if h.directory != nil {
		h.applyDirectory(hotrestart.ReadOnly)
	}
	pools, was, n := h.snapshot(id)
	known := was
	err := doOnPools(ctx, pools, func(l *eventloop.Loop, _ time.Duration) { known = known || l.IsKnown(id) })
	switch {
	case err != nil:
		return "", errUnconfirmed
	case !known:
		return "", fmt.Errorf("%.260q: %w", id, errUnknownEndpoint)
	case out && !was && n >= hotrestart.MaxEjections:
		return "", fmt.Errorf("%d endpoints are out already: no more can be", n)
	}
	h.record(id, out) // before the pools: one that joins meanwhile must have it
	if err := doOnPools(ctx, pools, func(l *eventloop.Loop, now time.Duration) { l.SetEjected(now, id, out) }); err != nil {
		return "", errUnconfirmed
	}
	if h.directory != nil { // whatever was: the others may know otherwise
		if err := h.directory.RecordEjection(id, out, time.Now()); err != nil {
			return "", fmt.Errorf("%s, but here alone, for other processes can't be told: %w", describeOutcome(id, was, out), err)
		}
	}
	return describeOutcome(id, was, out), nil
}

// applyAgreed takes endpoints out that are agreed to be, and gives back those that were and are no more. It gives what is out so.
func (h *overrides) applyAgreed(ctx context.Context, was, is map[string]bool) map[string]bool {
	select {
	case h.commandSlot <- struct{}{}:
		defer func() { <-h.commandSlot }()
	case <-ctx.Done():
		return was
	}
	for _, all := range []map[string]bool{was, is} {
		for id := range all {
			pools, barred, n := h.snapshot(id)
			if was[id] == is[id] || barred == is[id] || is[id] && n >= hotrestart.MaxEjections {
				continue
			}
			h.record(id, is[id])
			_ = doOnPools(ctx, pools, func(l *eventloop.Loop, now time.Duration) { l.SetEjected(now, id, is[id]) }) // ctx ends with the daemon
		}
	}
	return is
}

func describeOutcome(id string, was, is bool) string {
	switch {
	case was && is:
		return id + " was out already"
	case is:
		return id + " is out"
	case was:
		return id + " is back"
	}
	return id + " was not out"
}

// countEndpoints asks the pools for their members, all at once.
func (h *overrides) countEndpoints(ctx context.Context) (listed, avoided int64) {
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	pools, _, _ := h.snapshot("")
	var asked sync.WaitGroup
	for _, p := range pools {
		asked.Go(func() {
			_ = p.loop.Do(ctx, func(time.Duration) {
				l, a := p.loop.EndpointCounts()
				p.listedCount.Store(int64(l))
				p.avoidedCount.Store(int64(a))
			})
		})
	}
	asked.Wait()
	for _, p := range pools {
		listed, avoided = listed+p.listedCount.Load(), avoided+p.avoidedCount.Load()
	}
	return listed, avoided
}

// setEjected is hands.bar, with a line in the log. Operators call a few times a day; a line for each that changes nothing because
// its id is unknown would be anybody's to fill the log with.
func (s *Sidecar) setEjected(ctx context.Context, id string, out bool) (string, error) {
	said, err := s.overrides.setEjected(ctx, id, out)
	if err == nil { // here first, and at once
		said += s.cluster.proposeEjection(ctx, id, out)
	}
	switch {
	case errors.Is(err, errUnknownEndpoint):
	case err != nil:
		s.log.Warn("operators' call", "id", id, "out", out, "err", err)
	default:
		s.log.Info("operators' call", "id", id, "out", out, "said", said)
	}
	return said, err
}

// writeMetrics writes the figures.
func (s *Sidecar) writeMetrics(ctx context.Context, w io.Writer) error {
	listed, avoided := s.overrides.countEndpoints(ctx)
	pools := []metrics.Gauge{{Name: "pool_size", Value: listed}, {Name: "pool_ejected", Value: avoided}}
	return s.metrics.Write(w, append(pools, s.cluster.gauges()...)...)
}

// openAdmin opens the operators' address of a configuration, if it is not the one that is open. s.mu is held.
func (s *Sidecar) openAdmin(c config.Service) (*admin.Server, error) {
	if c.Admin == "" || s.admin != nil && s.adminAddr == c.Admin {
		return nil, nil
	}
	l, err := net.Listen("tcp", c.Admin)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	d := admin.Handlers{IsReady: s.isReady.Load, WriteMetrics: s.writeMetrics, SetEjected: s.setEjected, WritePeers: s.cluster.writePeers, HandleSettings: s.cluster.handleSettings, WriteVersions: s.cluster.writeVersions}
	if s.cluster.hasConsensus() {
		d.MaxBodyBytes = consensus.MaxDocumentBytes
	}
	a := admin.New(l, c.Operators, d, s.log)
	go a.Serve()
	return a, nil
}

// adoptAdmin puts an operators' address in the present one's place. s.mu is held.
func (s *Sidecar) adoptAdmin(c config.Service, opened *admin.Server) {
	if s.admin != nil && s.adminAddr != c.Admin {
		go s.admin.Close()
		s.admin = nil
	}
	if opened != nil {
		s.admin, s.adminAddr = opened, c.Admin
		s.log.Info("operators' address", "addr", opened.Addr().String())
	}
}

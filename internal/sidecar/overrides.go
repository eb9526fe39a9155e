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
	censusTime = 200 * time.Millisecond // a pool is given to tell its members; then what it told last stands
)

// hands is what operators have taken out by hand, for all pools that run. It outlives pools, lists and reloads.
type hands struct {
	turn  chan struct{}         // held by the call that is carried out
	dir   *hotrestart.Directory // what other processes know; nil: there are none
	backs []string              // ids given back shortly before this process began; fixed before the first pool

	mu     sync.Mutex
	barred map[string]bool
	pools  map[*pool]bool
}

func newHands() *hands {
	return &hands{turn: make(chan struct{}, 1), barred: map[string]bool{}, pools: map[*pool]bool{}}
}

// join makes a pool, which has served nobody yet, keep what is out.
func (h *hands) join(p *pool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pools[p] = true
	out := slices.Collect(maps.Keys(h.barred))
	p.loop.Post(func(now time.Duration) {
		for _, id := range out {
			p.loop.SetEjected(now, id, true)
		}
		for _, id := range h.backs { // so that they count as cold here, too
			p.loop.SetEjected(now, id, true)
			p.loop.SetEjected(now, id, false)
		}
	})
}

func (h *hands) leave(p *pool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pools, p)
}

// running gives the pools that run, and whether an id is out.
func (h *hands) running(id string) (pools []*pool, barred bool, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for p := range h.pools {
		pools = append(pools, p)
	}
	return pools, h.barred[id], len(h.barred)
}

func (h *hands) note(id string, out bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if delete(h.barred, id); out {
		h.barred[id] = true
	}
}

// out are the ids that are out.
func (h *hands) out() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Keys(h.barred))
}

// each has all pools handle an event, one after another.
func each(ctx context.Context, pools []*pool, event func(l *eventloop.Loop, now time.Duration)) error {
	for _, p := range pools {
		err := p.loop.Do(ctx, func(now time.Duration) { event(p.loop, now) })
		if err != nil && !errors.Is(err, eventloop.ErrClosed) {
			return err
		}
	}
	return nil
}

// errUnknown is why nothing was done.
var errUnknown = errors.New("no endpoint of this id is listed")

// errUnconfirmed is a call that may yet be carried out.
var errUnconfirmed = errors.New("not confirmed in time; call again")

// bar takes an endpoint out, or back, and returns once all modules have it.
func (h *hands) bar(ctx context.Context, id string, out bool) (string, error) {
	select {
	case h.turn <- struct{}{}:
		defer func() { <-h.turn }()
	case <-ctx.Done():
		return "", errUnconfirmed
	}
	if h.dir != nil {
		h.follow(hotrestart.ReadOnly)
	}
	pools, was, n := h.running(id)
	known := was
	err := each(ctx, pools, func(l *eventloop.Loop, _ time.Duration) { known = known || l.IsKnown(id) })
	switch {
	case err != nil:
		return "", errUnconfirmed
	case !known:
		return "", fmt.Errorf("%.260q: %w", id, errUnknown)
	case out && !was && n >= hotrestart.MaxEjections:
		return "", fmt.Errorf("%d endpoints are out already: no more can be", n)
	}
	h.note(id, out) // before the pools: one that joins meanwhile must have it
	if err := each(ctx, pools, func(l *eventloop.Loop, now time.Duration) { l.SetEjected(now, id, out) }); err != nil {
		return "", errUnconfirmed
	}
	if h.dir != nil { // whatever was: the others may know otherwise
		if err := h.dir.RecordEjection(id, out, time.Now()); err != nil {
			return "", fmt.Errorf("%s, but here alone, for other processes can't be told: %w", barred(id, was, out), err)
		}
	}
	return barred(id, was, out), nil
}

// agreed takes endpoints out that are agreed to be, and gives back those that were and are no more. It gives what is out so.
func (h *hands) agreed(ctx context.Context, was, is map[string]bool) map[string]bool {
	select {
	case h.turn <- struct{}{}:
		defer func() { <-h.turn }()
	case <-ctx.Done():
		return was
	}
	for _, all := range []map[string]bool{was, is} {
		for id := range all {
			pools, barred, n := h.running(id)
			if was[id] == is[id] || barred == is[id] || is[id] && n >= hotrestart.MaxEjections {
				continue
			}
			h.note(id, is[id])
			_ = each(ctx, pools, func(l *eventloop.Loop, now time.Duration) { l.SetEjected(now, id, is[id]) }) // ctx ends with the daemon
		}
	}
	return is
}

func barred(id string, was, is bool) string {
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

// census asks the pools for their members, all at once.
func (h *hands) census(ctx context.Context) (listed, avoided int64) {
	ctx, cancel := context.WithTimeout(ctx, censusTime)
	defer cancel()
	pools, _, _ := h.running("")
	var asked sync.WaitGroup
	for _, p := range pools {
		asked.Go(func() {
			_ = p.loop.Do(ctx, func(time.Duration) {
				l, a := p.loop.EndpointCounts()
				p.listed.Store(int64(l))
				p.avoided.Store(int64(a))
			})
		})
	}
	asked.Wait()
	for _, p := range pools {
		listed, avoided = listed+p.listed.Load(), avoided+p.avoided.Load()
	}
	return listed, avoided
}

// bar is hands.bar, with a line in the log. Operators call a few times a day; a line for each that changes nothing because
// its id is unknown would be anybody's to fill the log with.
func (s *Sidecar) bar(ctx context.Context, id string, out bool) (string, error) {
	said, err := s.hands.bar(ctx, id, out)
	if err == nil { // here first, and at once
		said += s.fleet.agreeOn(ctx, id, out)
	}
	switch {
	case errors.Is(err, errUnknown):
	case err != nil:
		s.log.Warn("operators' call", "id", id, "out", out, "err", err)
	default:
		s.log.Info("operators' call", "id", id, "out", out, "said", said)
	}
	return said, err
}

// vars writes the figures.
func (s *Sidecar) vars(ctx context.Context, w io.Writer) error {
	listed, avoided := s.hands.census(ctx)
	pools := []metrics.Gauge{{Name: "pool_size", Value: listed}, {Name: "pool_ejected", Value: avoided}}
	return s.figures.Write(w, append(pools, s.fleet.gauges()...)...)
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
	d := admin.Daemon{Ready: s.ready.Load, Vars: s.vars, Bar: s.bar, Peers: s.fleet.peers, Settings: s.fleet.call, Versions: s.fleet.versions}
	if s.fleet.agrees() {
		d.MostBody = consensus.MaxDocumentBytes
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

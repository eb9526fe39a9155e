package rehearse

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"tuliprock/internal/testkit/clusterinvariant"
	"tuliprock/internal/testkit/fake"
)

// strike plays one trouble. When ctx ends, what would come later is left out.
func (w *world) strike(ctx context.Context, start time.Time, s Strike) {
	if !sleepCtx(ctx, time.Until(start.Add(s.At))) {
		return
	}
	switch s.Kind {
	case "slow":
		w.faulty(ctx, s, (*fake.Node).SetSlowdown, 1)
	case "hang":
		w.faulty(ctx, s, (*fake.Node).SetHangShare, 0)
	case "reset":
		w.faulty(ctx, s, (*fake.Node).SetResetShare, 0)
	case "crash":
		w.each(s, func(p *site) { w.crash(ctx, p, s) })
	case "drain":
		w.each(s, func(p *site) { w.drain(ctx, p, s) })
	case "restart":
		w.restart(ctx, s)
	case "stall":
		w.stall(ctx, s)
	case "roster-late":
		w.late.Add(int64(s.Size * float64(time.Second)))
		sleepCtx(ctx, s.For)
		w.late.Add(-int64(s.Size * float64(time.Second)))
	case "roster-down":
		w.roster(true)
		sleepCtx(ctx, s.For)
		w.roster(false)
	}
}

// sites are those that a trouble hits.
func (w *world) sites(s Strike) []*site {
	var out []*site
	for _, p := range w.tiers[s.Tier] {
		for _, id := range s.Targets {
			if p.plan.Spec.ID == id {
				out = append(out, p)
			}
		}
	}
	return out
}

func (w *world) each(s Strike, do func(*site)) {
	var all sync.WaitGroup
	for _, p := range w.sites(s) {
		all.Go(func() { do(p) })
	}
	all.Wait()
}

func (w *world) faulty(ctx context.Context, s Strike, set func(*fake.Node, float64), well float64) {
	each := func(size float64) {
		for _, p := range w.sites(s) {
			p.mu.Lock()
			set(p.node, size)
			p.mu.Unlock()
		}
	}
	each(s.Size)
	sleepCtx(ctx, s.For)
	each(well)
}

// crash kills a node with its sidecar, and brings both back cold.
func (w *world) crash(ctx context.Context, p *site, s Strike) {
	w.stop(p)
	if !sleepCtx(ctx, s.For) {
		return
	}
	w.revive(ctx, p, s.How)
}

// drain tells that a node drains, stops it after a while, and brings it back cold.
func (w *world) drain(ctx context.Context, p *site, s Strike) {
	p.mu.Lock()
	p.node.Drain()
	p.member.State = fake.StateDraining
	m := p.member
	p.mu.Unlock()
	w.tell(p, m, false)
	if !sleepCtx(ctx, s.For) {
		return
	}
	w.stop(p)
	if !sleepCtx(ctx, s.Down) {
		return
	}
	w.revive(ctx, p, s.How)
}

// stop kills a node and its sidecar; the roster hears of it in its own time.
func (w *world) stop(p *site) {
	p.mu.Lock()
	p.node.Stop()
	side, caller := p.sidecar, p.caller
	p.member.State = fake.StateGone
	m := p.member
	p.mu.Unlock()
	if side != nil {
		side.kill()
		caller.Close()
	}
	w.tell(p, m, false)
}

// revive brings a node back cold, at its old address, under its old id or a new one. Its sidecar comes up first.
func (w *world) revive(ctx context.Context, p *site, how string) {
	if p.sidecar != nil {
		err := p.sidecar.start()
		if err == nil {
			err = p.sidecar.ready(ctx)
		}
		if err != nil {
			if ctx.Err() == nil {
				w.fail(fmt.Errorf("node %s: %w", p.plan.Spec.ID, err))
			}
			return
		}
	}
	p.mu.Lock()
	if how == "renamed" {
		p.names++
		p.make(w, p.plan.Spec.ID+strings.Repeat("'", p.names), p.node.Addr)
	}
	began, err := p.node.Start(true)
	p.member = member(p.node, fake.StateReady, began)
	m := p.member
	p.mu.Unlock()
	if err != nil {
		if !errors.Is(err, fake.ErrCollapsed) { // its port is taken: the day is not the one that was drawn
			w.fail(err)
		}
		return
	}
	w.tell(p, m, true)
}

// tell sends a change to the agents of all sidecars that send to the node's tier, each in its own time, in order.
func (w *world) tell(p *site, m fake.Member, added bool) {
	span := w.plan.Day.Roster.Notice
	if added {
		span = w.plan.Day.Roster.Add
	}
	notice := span.At(w.share("notice", m.ID, m.State)) + time.Duration(w.late.Load())
	for _, a := range w.agents(p.plan.Spec.Tier) {
		at := time.Now().Add(notice + w.plan.Day.Roster.Spread.At(w.share("spread", m.ID, m.State, a.Sidecar)))
		select {
		case w.notices[a] <- notification{at, m}:
		case <-w.ctx.Done():
		}
	}
}

// notification is a change on its way to an agent.
type notification struct {
	at     time.Time
	member fake.Member
}

// noticesMost is how many changes may be on their way to one agent.
const noticesMost = 1024

// bring hands an agent its changes in the order in which they happened, each no sooner than it is due.
func (w *world) bring(a *fake.Agent, notices <-chan notification) {
	for {
		select {
		case <-w.ctx.Done():
			return
		case n := <-notices:
			if !sleepCtx(w.ctx, time.Until(n.at)) {
				return
			}
			a.Update(n.member)
		}
	}
}

// agents are those of the sidecars that send to a tier.
func (w *world) agents(tier int) []*fake.Agent {
	var out []*fake.Agent
	if tier == 0 {
		for _, p := range w.first {
			out = append(out, p.agent)
		}
		return out
	}
	for _, s := range w.tiers[tier-1] {
		out = append(out, s.sidecar.agent)
	}
	return out
}

func (w *world) roster(down bool) {
	for _, p := range w.all {
		p.agent.SetDown(down)
	}
}

// stall stops sidecars' processes for a while, all at once.
func (w *world) stall(ctx context.Context, s Strike) {
	w.fleet.disturb()
	defer w.fleet.calm()
	var all sync.WaitGroup
	for _, p := range w.first {
		if slices.Contains(s.Targets, p.name) {
			all.Go(func() { p.pause(ctx, s.For) })
		}
	}
	all.Wait()
}

// restart ends sidecars one after another and starts each again with nothing but its last list.
func (w *world) restart(ctx context.Context, s Strike) {
	var all sync.WaitGroup
	for i, name := range s.Targets {
		for _, p := range w.first {
			if p.name == name {
				all.Go(func() { w.restartOne(ctx, p, s, time.Duration(i)*s.For/time.Duration(len(s.Targets))) })
			}
		}
	}
	all.Wait()
}

func (w *world) restartOne(ctx context.Context, p *process, s Strike, after time.Duration) {
	if !sleepCtx(ctx, after) {
		return
	}
	notice := w.plan.Day.Front.Notice.At(w.share("front", p.name, fmt.Sprint(s.At)))
	if s.How == "planned" {
		notice = termOutAfter
	}
	var noticed sync.WaitGroup
	defer noticed.Wait()
	noticed.Go(func() { // the front goes on sending to a dead one for a while
		if sleepCtx(ctx, notice) {
			w.front.Remove(p.name)
		}
	})
	if s.How == "planned" {
		w.fleet.fact(clusterinvariant.Leaving, p.name)
		p.term(min(w.plan.longestDeadline(), termMost) + termGrace)
		w.fleet.fact(clusterinvariant.Leaves, p.name)
	} else {
		p.kill()
		w.fleet.fact(clusterinvariant.Down, p.name)
	}
	if !sleepCtx(ctx, s.Down) {
		return
	}
	w.fleet.fact(clusterinvariant.Up, p.name) // before: what it says of others from now on is of this life
	if err := p.start(); err != nil {
		w.fail(err)
		return
	}
	if err := p.ready(ctx); err != nil {
		if ctx.Err() == nil {
			w.fail(err)
		}
		return
	}
	noticed.Wait()
	w.front.Add(p.name, p.addr)
}

// termMost is the longest that the platform waits for deadlines before SIGKILL.
const termMost = 3 * time.Second

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

// inject plays one trouble. When ctx ends, what would come later is left out.
func (w *rehearsal) inject(ctx context.Context, start time.Time, s Fault) {
	if !sleep(ctx, time.Until(start.Add(s.At))) {
		return
	}
	switch s.Kind {
	case "slow":
		w.applyNodeFault(ctx, s, (*fake.Node).SetSlowdown, 1)
	case "hang":
		w.applyNodeFault(ctx, s, (*fake.Node).SetHangShare, 0)
	case "reset":
		w.applyNodeFault(ctx, s, (*fake.Node).SetResetShare, 0)
	case "crash":
		w.forEachTarget(s, func(p *host) { w.crashNode(ctx, p, s) })
	case "drain":
		w.forEachTarget(s, func(p *host) { w.drainNode(ctx, p, s) })
	case "restart":
		w.restartSidecars(ctx, s)
	case "stall":
		w.pauseSidecars(ctx, s)
	case "roster-late":
		w.extraNotice.Add(int64(s.Magnitude * float64(time.Second)))
		sleep(ctx, s.For)
		w.extraNotice.Add(-int64(s.Magnitude * float64(time.Second)))
	case "roster-down":
		w.setDiscoveryDown(true)
		sleep(ctx, s.For)
		w.setDiscoveryDown(false)
	}
}

// targets are those that a trouble hits.
func (w *rehearsal) targets(s Fault) []*host {
	var out []*host
	for _, p := range w.hosts[s.Tier] {
		for _, id := range s.Targets {
			if p.plan.Spec.ID == id {
				out = append(out, p)
			}
		}
	}
	return out
}

func (w *rehearsal) forEachTarget(s Fault, do func(*host)) {
	var all sync.WaitGroup
	for _, p := range w.targets(s) {
		all.Go(func() { do(p) })
	}
	all.Wait()
}

func (w *rehearsal) applyNodeFault(ctx context.Context, s Fault, set func(*fake.Node, float64), well float64) {
	each := func(size float64) {
		for _, p := range w.targets(s) {
			p.mu.Lock()
			set(p.node, size)
			p.mu.Unlock()
		}
	}
	each(s.Magnitude)
	sleep(ctx, s.For)
	each(well)
}

// crashNode kills a node with its sidecar, and brings both back cold.
func (w *rehearsal) crashNode(ctx context.Context, p *host, s Fault) {
	w.stopNode(p)
	if !sleep(ctx, s.For) {
		return
	}
	w.restartNode(ctx, p, s.Mode)
}

// drainNode tells that a node drains, stops it after a while, and brings it back cold.
func (w *rehearsal) drainNode(ctx context.Context, p *host, s Fault) {
	p.mu.Lock()
	p.node.Drain()
	p.member.State = fake.StateDraining
	m := p.member
	p.mu.Unlock()
	w.announce(p, m, false)
	if !sleep(ctx, s.For) {
		return
	}
	w.stopNode(p)
	if !sleep(ctx, s.DownFor) {
		return
	}
	w.restartNode(ctx, p, s.Mode)
}

// stopNode kills a node and its sidecar; the roster hears of it in its own time.
func (w *rehearsal) stopNode(p *host) {
	p.mu.Lock()
	p.node.Stop()
	side, caller := p.sidecar, p.client
	p.member.State = fake.StateGone
	m := p.member
	p.mu.Unlock()
	if side != nil {
		side.kill()
		caller.Close()
	}
	w.announce(p, m, false)
}

// restartNode brings a node back cold, at its old address, under its old id or a new one. Its sidecar comes up first.
func (w *rehearsal) restartNode(ctx context.Context, p *host, how string) {
	if p.sidecar != nil {
		err := p.sidecar.start()
		if err == nil {
			err = p.sidecar.awaitReady(ctx)
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
		p.renames++
		p.newNode(w, p.plan.Spec.ID+strings.Repeat("'", p.renames), p.node.Addr)
	}
	began, err := p.node.Start(true)
	p.member = memberOf(p.node, fake.StateReady, began)
	m := p.member
	p.mu.Unlock()
	if err != nil {
		if !errors.Is(err, fake.ErrCollapsed) { // its port is taken: the day is not the one that was drawn
			w.fail(err)
		}
		return
	}
	w.announce(p, m, true)
}

// announce sends a change to the agents of all sidecars that send to the node's tier, each in its own time, in order.
func (w *rehearsal) announce(p *host, m fake.Member, added bool) {
	span := w.plan.Day.Roster.Notice
	if added {
		span = w.plan.Day.Roster.Add
	}
	notice := span.At(w.drawShare("notice", m.ID, m.State)) + time.Duration(w.extraNotice.Load())
	for _, a := range w.agentsOf(p.plan.Spec.Tier) {
		at := time.Now().Add(notice + w.plan.Day.Roster.Spread.At(w.drawShare("spread", m.ID, m.State, a.Sidecar)))
		select {
		case w.notifications[a] <- notification{at, m}:
		case <-w.ctx.Done():
		}
	}
}

// notification is a change on its way to an agent.
type notification struct {
	dueAt  time.Time
	member fake.Member
}

// maxPendingNotifications is how many changes may be on their way to one agent.
const maxPendingNotifications = 1024

// deliver hands an agent its changes in the order in which they happened, each no sooner than it is due.
func (w *rehearsal) deliver(a *fake.Agent, notices <-chan notification) {
	for {
		select {
		case <-w.ctx.Done():
			return
		case n := <-notices:
			if !sleep(w.ctx, time.Until(n.dueAt)) {
				return
			}
			a.Update(n.member)
		}
	}
}

// agentsOf are those of the sidecars that send to a tier.
func (w *rehearsal) agentsOf(tier int) []*fake.Agent {
	var out []*fake.Agent
	if tier == 0 {
		for _, p := range w.frontSidecars {
			out = append(out, p.agent)
		}
		return out
	}
	for _, s := range w.hosts[tier-1] {
		out = append(out, s.sidecar.agent)
	}
	return out
}

func (w *rehearsal) setDiscoveryDown(down bool) {
	for _, p := range w.sidecars {
		p.agent.SetDown(down)
	}
}

// pauseSidecars stops sidecars' processes for a while, all at once.
func (w *rehearsal) pauseSidecars(ctx context.Context, s Fault) {
	w.cluster.beginFault()
	defer w.cluster.endFault()
	var all sync.WaitGroup
	for _, p := range w.frontSidecars {
		if slices.Contains(s.Targets, p.name) {
			all.Go(func() { p.pause(ctx, s.For) })
		}
	}
	all.Wait()
}

// restartSidecars ends sidecars one after another and starts each again with nothing but its last list.
func (w *rehearsal) restartSidecars(ctx context.Context, s Fault) {
	var all sync.WaitGroup
	for i, name := range s.Targets {
		for _, p := range w.frontSidecars {
			if p.name == name {
				all.Go(func() { w.restartSidecar(ctx, p, s, time.Duration(i)*s.For/time.Duration(len(s.Targets))) })
			}
		}
	}
	all.Wait()
}

func (w *rehearsal) restartSidecar(ctx context.Context, p *sidecarProcess, s Fault, after time.Duration) {
	if !sleep(ctx, after) {
		return
	}
	notice := w.plan.Day.Front.Notice.At(w.drawShare("front", p.name, fmt.Sprint(s.At)))
	if s.Mode == "planned" {
		notice = frontNoticeAfterTerm
	}
	var noticed sync.WaitGroup
	defer noticed.Wait()
	noticed.Go(func() { // the front goes on sending to a dead one for a while
		if sleep(ctx, notice) {
			w.frontLayer.Remove(p.name)
		}
	})
	if s.Mode == "planned" {
		w.cluster.recordFact(clusterinvariant.Leaving, p.name)
		p.terminate(min(w.plan.longestDeadline(), maxDeadlineWait) + termGrace)
		w.cluster.recordFact(clusterinvariant.Leaves, p.name)
	} else {
		p.kill()
		w.cluster.recordFact(clusterinvariant.Down, p.name)
	}
	if !sleep(ctx, s.DownFor) {
		return
	}
	w.cluster.recordFact(clusterinvariant.Up, p.name) // before: what it says of others from now on is of this life
	if err := p.start(); err != nil {
		w.fail(err)
		return
	}
	if err := p.awaitReady(ctx); err != nil {
		if ctx.Err() == nil {
			w.fail(err)
		}
		return
	}
	noticed.Wait()
	w.frontLayer.Add(p.name, p.addr)
}

// maxDeadlineWait is the longest that the platform waits for deadlines before SIGKILL.
const maxDeadlineWait = 3 * time.Second

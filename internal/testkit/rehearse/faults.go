package rehearse

import (
	"context"
	"slices"
	"sync"
	"time"

	"tuliprock/internal/testkit/clusterinvariant"
	"tuliprock/internal/testkit/fake"
)

const (
	frontRemovalDelayAfterTerm = 300 * time.Millisecond // the front layer sends new connections for so long after SIGTERM
	maxDeadlineWait            = 3 * time.Second        // the longest that the platform waits for deadlines before SIGKILL
)

// inject injects one fault when it is due, and returns when it is over. When ctx ends, the rest of it is left out.
func (r *rehearsal) inject(ctx context.Context, start time.Time, fault Fault) {
	if !sleep(ctx, time.Until(start.Add(fault.Start))) {
		return
	}
	switch fault.Kind {
	case "slow":
		r.injectNodeFault(ctx, fault, (*fake.Node).SetSlowdown, 1)
	case "hang":
		r.injectNodeFault(ctx, fault, (*fake.Node).SetHangShare, 0)
	case "reset":
		r.injectNodeFault(ctx, fault, (*fake.Node).SetResetShare, 0)
	case "crash":
		r.forEachTarget(fault, func(h *host) { r.crashNode(ctx, h, fault) })
	case "drain":
		r.forEachTarget(fault, func(h *host) { r.drainNode(ctx, h, fault) })
	case "restart":
		r.restartSidecars(ctx, fault)
	case "stall":
		r.pauseSidecars(ctx, fault)
	case "roster-late":
		delay := int64(fault.Magnitude * float64(time.Second))
		r.extraNotificationDelay.Add(delay)
		sleep(ctx, fault.Duration)
		r.extraNotificationDelay.Add(-delay)
	case "roster-down":
		r.setDiscoveryDown(true)
		sleep(ctx, fault.Duration)
		r.setDiscoveryDown(false)
	}
}

// targets are the hosts of the nodes that a fault hits.
func (r *rehearsal) targets(fault Fault) []*host {
	var out []*host
	for _, h := range r.hosts[fault.Tier] {
		for _, id := range fault.Targets {
			if h.plan.Spec.ID == id {
				out = append(out, h)
			}
		}
	}
	return out
}

// forEachTarget calls do for all targets concurrently, and waits for all.
func (r *rehearsal) forEachTarget(fault Fault, do func(*host)) {
	var all sync.WaitGroup
	for _, h := range r.targets(fault) {
		all.Go(func() { do(h) })
	}
	all.Wait()
}

// injectNodeFault sets a fault of nodes to its magnitude, and to the value without a fault when it is over.
func (r *rehearsal) injectNodeFault(ctx context.Context, fault Fault, set func(*fake.Node, float64), none float64) {
	setAll := func(magnitude float64) {
		for _, h := range r.targets(fault) {
			h.mu.Lock()
			set(h.node, magnitude)
			h.mu.Unlock()
		}
	}
	setAll(fault.Magnitude)
	sleep(ctx, fault.Duration)
	setAll(none)
}

// crashNode kills a node with its sidecar, and restarts both cold.
func (r *rehearsal) crashNode(ctx context.Context, h *host, fault Fault) {
	r.stopNode(h)
	if !sleep(ctx, fault.Duration) {
		return
	}
	r.restartNode(ctx, h, fault.Mode)
}

// drainNode drains a node, stops it after a while, and restarts it cold.
func (r *rehearsal) drainNode(ctx context.Context, h *host, fault Fault) {
	h.mu.Lock()
	h.node.Drain()
	h.member.State = fake.StateDraining
	m := h.member
	h.mu.Unlock()
	r.announceUpdate(h, m, false)
	if !sleep(ctx, fault.Duration) {
		return
	}
	r.stopNode(h)
	if !sleep(ctx, fault.Downtime) {
		return
	}
	r.restartNode(ctx, h, fault.Mode)
}

func (r *rehearsal) setDiscoveryDown(isDown bool) {
	for _, p := range r.sidecars {
		p.agent.SetDown(isDown)
	}
}

// pauseSidecars stops the processes of sidecars for a while, all at once.
func (r *rehearsal) pauseSidecars(ctx context.Context, fault Fault) {
	r.cluster.beginFault()
	defer r.cluster.endFault()
	var all sync.WaitGroup
	for _, p := range r.frontSidecars {
		if slices.Contains(fault.Targets, p.name) {
			all.Go(func() { p.pause(ctx, fault.Duration) })
		}
	}
	all.Wait()
}

// restartSidecars ends sidecars one after another and starts each again with nothing but its last endpoint list.
func (r *rehearsal) restartSidecars(ctx context.Context, fault Fault) {
	var all sync.WaitGroup
	for i, name := range fault.Targets {
		for _, p := range r.frontSidecars {
			if p.name == name {
				after := time.Duration(i) * fault.Duration / time.Duration(len(fault.Targets))
				all.Go(func() { r.restartSidecar(ctx, p, fault, after) })
			}
		}
	}
	all.Wait()
}

func (r *rehearsal) restartSidecar(ctx context.Context, p *sidecarProcess, fault Fault, after time.Duration) {
	if !sleep(ctx, after) {
		return
	}
	isPlanned := fault.Mode == "planned"
	var noticed sync.WaitGroup
	defer noticed.Wait()
	noticed.Go(func() { // the front layer goes on sending to a dead sidecar for a while
		if sleep(ctx, r.frontRemovalDelay(p, fault)) {
			r.frontLayer.Remove(p.name)
		}
	})
	if isPlanned {
		r.cluster.recordProcessEvent(clusterinvariant.ShutdownBegan, p.name)
		p.terminate(min(r.plan.longestDeadline(), maxDeadlineWait) + termGrace)
		r.cluster.recordProcessEvent(clusterinvariant.Left, p.name)
	} else {
		p.kill()
		r.cluster.recordProcessEvent(clusterinvariant.Killed, p.name)
	}
	if !sleep(ctx, fault.Downtime) {
		return
	}
	r.cluster.recordProcessEvent(clusterinvariant.Started, p.name) // before the start: its views from now on are of the new incarnation
	if err := p.start(); err != nil {
		r.fail(err)
		return
	}
	if err := p.awaitReady(ctx); err != nil {
		if ctx.Err() == nil {
			r.fail(err)
		}
		return
	}
	noticed.Wait()
	r.frontLayer.Add(p.name, p.addr)
}

// frontRemovalDelay is how long the front layer sends new connections to a sidecar that ends.
func (r *rehearsal) frontRemovalDelay(p *sidecarProcess, fault Fault) time.Duration {
	if fault.Mode == "planned" {
		return frontRemovalDelayAfterTerm
	}
	return r.plan.Day.FrontLayer.RemovalDelay.At(r.drawFractionFor("front", p.name, fault.Start.String()))
}

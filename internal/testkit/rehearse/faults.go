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
	frontRemovalDelayAfterSigterm = 300 * time.Millisecond // time after SIGTERM for which the front layer still opens connections to the sidecar
	maxInFlightWait               = 3 * time.Second        // longest time that a sidecar has, after SIGTERM and sigtermGrace, to finish its requests in flight; then it gets SIGKILL
)

// inject waits until a fault is due, injects it and returns when the fault is over. If ctx ends, the rest of the fault is skipped.
func (r *rehearsal) inject(ctx context.Context, dayStartedAt time.Time, fault Fault) {
	if !sleep(ctx, time.Until(dayStartedAt.Add(fault.Start))) {
		return
	}
	switch fault.Kind {
	case "slow":
		r.injectNodeFault(ctx, fault, (*fake.Node).SetSlowdown, 1)
	case "hang":
		r.injectNodeFault(ctx, fault, (*fake.Node).SetHangFraction, 0)
	case "reset":
		r.injectNodeFault(ctx, fault, (*fake.Node).SetResetFraction, 0)
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

// targetHosts returns the hosts of the nodes that a fault hits.
func (r *rehearsal) targetHosts(fault Fault) []*host {
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

// forEachTarget calls do concurrently for all hosts that a fault hits, and waits for all calls.
func (r *rehearsal) forEachTarget(fault Fault, do func(*host)) {
	var calls sync.WaitGroup
	for _, h := range r.targetHosts(fault) {
		calls.Go(func() { do(h) })
	}
	calls.Wait()
}

// injectNodeFault calls set with the fault's magnitude for each node that the fault hits, and with noFault, the value without a
// fault, when the fault is over.
func (r *rehearsal) injectNodeFault(ctx context.Context, fault Fault, set func(*fake.Node, float64), noFault float64) {
	setAll := func(magnitude float64) {
		for _, h := range r.targetHosts(fault) {
			h.mu.Lock()
			set(h.node, magnitude)
			h.mu.Unlock()
		}
	}
	setAll(fault.Magnitude)
	sleep(ctx, fault.Duration)
	setAll(noFault)
}

// crashNode kills a node and its sidecar, and starts both again after the fault's duration, with the node cold.
func (r *rehearsal) crashNode(ctx context.Context, h *host, fault Fault) {
	r.stopNode(h)
	if !sleep(ctx, fault.Duration) {
		return
	}
	r.restartNode(ctx, h, fault.Mode)
}

// drainNode drains a node, stops it after the fault's duration, and starts it cold after the downtime.
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

// setDiscoveryDown stops or resumes the discovery agents of all sidecars.
func (r *rehearsal) setDiscoveryDown(isDown bool) {
	for _, p := range r.sidecars {
		p.agent.SetDiscoveryDown(isDown)
	}
}

// pauseSidecars pauses the processes of the sidecars that a fault hits, all at once, for the fault's duration.
func (r *rehearsal) pauseSidecars(ctx context.Context, fault Fault) {
	r.cluster.beginFault()
	defer r.cluster.endFault()
	var pauses sync.WaitGroup
	for _, p := range r.frontSidecars {
		if slices.Contains(fault.Targets, p.name) {
			pauses.Go(func() { p.pause(ctx, fault.Duration) })
		}
	}
	pauses.Wait()
}

// restartSidecars restarts the sidecars that a fault hits, at equal intervals over the fault's duration. Of its earlier state, a
// restarted sidecar gets only its last endpoint list.
func (r *rehearsal) restartSidecars(ctx context.Context, fault Fault) {
	var restarts sync.WaitGroup
	for i, name := range fault.Targets {
		for _, p := range r.frontSidecars {
			if p.name == name {
				delay := time.Duration(i) * fault.Duration / time.Duration(len(fault.Targets))
				restarts.Go(func() { r.restartSidecar(ctx, p, fault, delay) })
			}
		}
	}
	restarts.Wait()
}

// restartSidecar ends a sidecar after a delay, and starts it again after the fault's downtime.
func (r *rehearsal) restartSidecar(ctx context.Context, p *sidecarProcess, fault Fault, delay time.Duration) {
	if !sleep(ctx, delay) {
		return
	}
	isPlanned := fault.Mode == "planned"
	var removal sync.WaitGroup
	defer removal.Wait()
	removal.Go(func() { // the front layer still opens connections to the dead sidecar until it notices and removes it
		if sleep(ctx, r.frontRemovalDelay(p, fault)) {
			r.frontLayer.Remove(p.name)
		}
	})
	if isPlanned {
		r.cluster.recordProcessEvent(clusterinvariant.ShutdownBegan, p.name)
		p.terminate(min(r.plan.longestDeadline(), maxInFlightWait) + sigtermGrace)
		r.cluster.recordProcessEvent(clusterinvariant.Left, p.name)
	} else {
		p.kill()
		r.cluster.recordProcessEvent(clusterinvariant.Killed, p.name)
	}
	if !sleep(ctx, fault.Downtime) {
		return
	}
	// The event is recorded before the start, so that every poll of the new process counts for its incarnation.
	r.cluster.recordProcessEvent(clusterinvariant.Started, p.name)
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
	removal.Wait()
	r.frontLayer.Add(p.name, p.addr)
}

// frontRemovalDelay returns how long the front layer still opens connections to a sidecar that is killed or told to shut down.
func (r *rehearsal) frontRemovalDelay(p *sidecarProcess, fault Fault) time.Duration {
	if fault.Mode == "planned" {
		return frontRemovalDelayAfterSigterm
	}
	return r.plan.Day.FrontLayer.RemovalDelay.At(r.drawFractionFor("front", p.name, fault.Start.String()))
}

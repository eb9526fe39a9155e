package rehearse

import (
	"time"

	"tuliprock/internal/testkit/fake"
)

// maxPendingUpdates is how many changes may be on their way to one agent.
const maxPendingUpdates = 1024

// memberUpdate is a change on its way to an agent.
type memberUpdate struct {
	dueAt  time.Time
	member fake.Member
}

// announceUpdate sends a change to the agents of all sidecars that send to the node's tier. Each has its own delay, and gets its
// changes in order.
func (r *rehearsal) announceUpdate(h *host, m fake.Member, isAdded bool) {
	span := r.plan.Day.Discovery.RemovalDelay
	if isAdded {
		span = r.plan.Day.Discovery.AdditionDelay
	}
	delay := span.At(r.drawFractionFor("notice", m.ID, m.State)) + time.Duration(r.extraNotificationDelay.Load())
	for _, agent := range r.agentsOf(h.plan.Spec.Tier) {
		dueAt := time.Now().Add(delay + r.plan.Day.Discovery.SidecarDelay.At(r.drawFractionFor("spread", m.ID, m.State, agent.Sidecar)))
		select {
		case r.pendingUpdates[agent] <- memberUpdate{dueAt, m}:
		case <-r.ctx.Done():
		}
	}
}

// updateAgent brings an agent its changes in the order in which they happened, each no sooner than it is due, until the
// rehearsal's context ends.
func (r *rehearsal) updateAgent(agent *fake.Agent, notifications <-chan memberUpdate) {
	for {
		select {
		case <-r.ctx.Done():
			return
		case n := <-notifications:
			if !sleep(r.ctx, time.Until(n.dueAt)) {
				return
			}
			agent.Update(n.member)
		}
	}
}

// agentsOf are the agents of the sidecars that send to a tier.
func (r *rehearsal) agentsOf(tier int) []*fake.Agent {
	var out []*fake.Agent
	if tier == 0 {
		for _, p := range r.frontSidecars {
			out = append(out, p.agent)
		}
		return out
	}
	for _, h := range r.hosts[tier-1] {
		out = append(out, h.sidecar.agent)
	}
	return out
}

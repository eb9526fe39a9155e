package rehearse

import (
	"time"

	"tuliprock/internal/testkit/fake"
)

// maxPendingNotifications is how many changes may be on their way to one agent.
const maxPendingNotifications = 1024

// notification is a change on its way to an agent.
type notification struct {
	dueAt  time.Time
	member fake.Member
}

// announce sends a change to the agents of all sidecars that send to the node's tier. Each has its own delay, and gets its
// changes in order.
func (r *rehearsal) announce(h *host, m fake.Member, isAdded bool) {
	span := r.plan.Day.Discovery.Notice
	if isAdded {
		span = r.plan.Day.Discovery.Add
	}
	delay := span.At(r.drawShare("notice", m.ID, m.State)) + time.Duration(r.extraNotice.Load())
	for _, agent := range r.agentsOf(h.plan.Spec.Tier) {
		dueAt := time.Now().Add(delay + r.plan.Day.Discovery.Spread.At(r.drawShare("spread", m.ID, m.State, agent.Sidecar)))
		select {
		case r.notifications[agent] <- notification{dueAt, m}:
		case <-r.ctx.Done():
		}
	}
}

// deliver brings an agent its changes in the order in which they happened, each no sooner than it is due, until the
// rehearsal's context ends.
func (r *rehearsal) deliver(agent *fake.Agent, notifications <-chan notification) {
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

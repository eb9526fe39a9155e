package rehearse

import (
	"time"

	"tuliprock/internal/testkit/fake"
)

// maxPendingUpdates is the largest number of updates of the endpoint list that may wait to be sent to one discovery agent.
const maxPendingUpdates = 1024

// memberUpdate is a change of a member of the endpoint list, which is sent to a discovery agent when it is due.
type memberUpdate struct {
	dueAt  time.Time
	member fake.Member
}

// announceUpdate queues a change of a node's entry in the endpoint list for the agents of all sidecars that send to the node's tier.
// Each agent has its own delay, and receives its updates in order. isAdded is true for a node that has started.
func (r *rehearsal) announceUpdate(h *host, m fake.Member, isAdded bool) {
	delayRange := r.plan.Day.Discovery.RemovalDelay
	if isAdded {
		delayRange = r.plan.Day.Discovery.AdditionDelay
	}
	delay := delayRange.At(r.drawFractionFor("notice", m.ID, m.State)) + time.Duration(r.extraNotificationDelay.Load())
	for _, agent := range r.agentsOf(h.plan.Spec.Tier) {
		dueAt := time.Now().Add(delay + r.plan.Day.Discovery.SidecarDelay.At(r.drawFractionFor("spread", m.ID, m.State, agent.Sidecar)))
		select {
		case r.pendingUpdates[agent] <- memberUpdate{dueAt, m}:
		case <-r.ctx.Done():
		}
	}
}

// sendUpdates sends an agent its updates in the order in which they were announced, and none before it is due, until the
// rehearsal's context ends.
func (r *rehearsal) sendUpdates(agent *fake.Agent, updates <-chan memberUpdate) {
	for {
		select {
		case <-r.ctx.Done():
			return
		case u := <-updates:
			if !sleep(r.ctx, time.Until(u.dueAt)) {
				return
			}
			agent.Update(u.member)
		}
	}
}

// agentsOf returns the agents of the sidecars that send to a tier.
func (r *rehearsal) agentsOf(tier int) []*fake.Agent {
	var agents []*fake.Agent
	if tier == 0 {
		for _, p := range r.frontSidecars {
			agents = append(agents, p.agent)
		}
		return agents
	}
	for _, h := range r.hosts[tier-1] {
		agents = append(agents, h.sidecar.agent)
	}
	return agents
}

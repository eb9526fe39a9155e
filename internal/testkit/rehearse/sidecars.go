package rehearse

import (
	"fmt"

	"tuliprock/internal/testkit/clusterinvariant"
	"tuliprock/internal/testkit/fake"
)

// maxConcurrentStarts is the largest number of sidecars that start at the same time.
const maxConcurrentStarts = 8

// sidecarRole identifies a sidecar among those that send to the same tier.
type sidecarRole struct {
	name         string
	tier         int // index of the tier that the sidecar sends to
	index, count int // index of the sidecar among the sidecars that send to the same tier, and the number of these sidecars
}

// buildSidecars creates the sidecars before the first tier, and one for each node that calls a further tier.
func (r *rehearsal) buildSidecars() error {
	for i := range r.plan.SidecarCount {
		p, err := r.newSidecar(sidecarRole{sidecarName(i), 0, i, r.plan.SidecarCount})
		if err != nil {
			return err
		}
		r.frontSidecars = append(r.frontSidecars, p)
	}
	for tier, hosts := range r.hosts[:len(r.hosts)-1] {
		for i, h := range hosts {
			p, err := r.newSidecar(sidecarRole{"of-" + h.plan.Spec.ID, tier + 1, i, len(hosts)})
			if err != nil {
				return err
			}
			h.mu.Lock()
			h.sidecar = p
			h.client = fake.NewClient(r.plan.Classes, r.registry, r.recorder, r.plan.Day.Rules.Tolerance, maxNodeIdleConnections)
			h.mu.Unlock()
		}
	}
	return nil
}

// newSidecar creates a sidecar and starts its discovery agent, but not the sidecar.
func (r *rehearsal) newSidecar(role sidecarRole) (*sidecarProcess, error) {
	var members []fake.Member
	for _, h := range r.hosts[role.tier] {
		members = append(members, h.member)
	}
	agent, err := fake.NewAgent(role.name, members, r.recorder)
	if err != nil {
		return nil, err
	}
	updates := make(chan memberUpdate, maxPendingUpdates)
	r.pendingUpdates[agent] = updates
	r.agentUpdaters.Go(func() { r.sendUpdates(agent, updates) })
	p := &sidecarProcess{name: role.name, agent: agent, recorder: r.recorder, workDir: r.workDir,
		newBaseCommand: r.options.NewCommand, day: r.plan.Day}
	r.sidecars = append(r.sidecars, p) // close stops all sidecars in this list, with their agents
	if p.addr, err = freeLoopbackAddr(len(r.sidecars)); err != nil {
		return nil, err
	}
	if p.settings, err = r.plan.settingsFor(role); err != nil {
		return nil, err
	}
	member := r.cluster.member(role.name)
	if r.options.UsesOperatorsFile || member != nil {
		if member != nil && member.clockRateEnv != "" {
			p.env = append(p.env, member.clockRateEnv)
		}
		p.operatorsFile = func(seed uint64) string {
			return r.plan.operatorsFile(role, p.addr, agent.Addr, seed, member)
		}
	}
	incarnation := uint64(0)
	p.nextSeed = func() uint64 {
		incarnation++
		return r.drawUint64For(role.name, fmt.Sprint(incarnation))
	}
	p.onCrash = func(p *sidecarProcess) { r.frontLayer.Remove(p.name) }
	return p, nil
}

// startSidecars starts all sidecars, waits until they are ready, and adds the front sidecars to the front layer. It returns the
// first error.
func (r *rehearsal) startSidecars() error {
	startSlots := make(chan struct{}, maxConcurrentStarts)
	errs := make(chan error, len(r.sidecars))
	for _, p := range r.sidecars {
		startSlots <- struct{}{}
		go func() {
			defer func() { <-startSlots }()
			err := p.start()
			if err == nil {
				err = p.awaitReady(r.ctx)
			}
			errs <- err
		}()
	}
	var firstErr error
	for range r.sidecars {
		if err := <-errs; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	for _, p := range r.frontSidecars {
		r.frontLayer.Add(p.name, p.addr)
		r.cluster.recordProcessEvent(clusterinvariant.Started, p.name)
	}
	return firstErr
}

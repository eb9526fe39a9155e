package rehearse

import (
	"fmt"

	"tuliprock/internal/testkit/clusterinvariant"
	"tuliprock/internal/testkit/fake"
)

func (w *rehearsal) newSidecar(name string, tier, me, n int) (*sidecarProcess, error) {
	var list []fake.Member
	for _, s := range w.hosts[tier] {
		list = append(list, s.member)
	}
	agent, err := fake.NewAgent(name, list, w.recorder)
	if err != nil {
		return nil, err
	}
	notices := make(chan notification, maxPendingNotifications)
	w.notifications[agent] = notices
	w.deliveries.Go(func() { w.deliver(agent, notices) })
	p := &sidecarProcess{name: name, agent: agent, recorder: w.recorder, workDir: w.workDir, command: w.options.Command, day: w.plan.Day}
	w.sidecars = append(w.sidecars, p) // from here on close ends it
	if p.addr, err = freeLoopbackAddr(len(w.sidecars)); err != nil {
		return nil, err
	}
	if p.settings, err = w.plan.settingsFor(tier, me, n); err != nil {
		return nil, err
	}
	place := w.cluster.member(name)
	if w.options.Serve || place != nil {
		if place != nil && place.clockEnv != "" {
			p.env = append(p.env, place.clockEnv)
		}
		p.operatorsFile = func(seed uint64) string {
			return w.plan.operatorsFile(name, p.addr, agent.Addr, tier, me, n, seed, place)
		}
	}
	life := uint64(0)
	p.nextSeed = func() uint64 { life++; return w.drawHash(name, fmt.Sprint(life)) }
	p.onCrash = func(p *sidecarProcess) { w.frontLayer.Remove(p.name) }
	return p, nil
}

// startSidecars starts all sidecars and waits for them.
func (w *rehearsal) startSidecars() error {
	room := make(chan struct{}, maxConcurrentStarts)
	errs := make(chan error, len(w.sidecars))
	for _, p := range w.sidecars {
		room <- struct{}{}
		go func() {
			defer func() { <-room }()
			err := p.start()
			if err == nil {
				err = p.awaitReady(w.ctx)
			}
			errs <- err
		}()
	}
	var first error
	for range w.sidecars {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	for _, p := range w.frontSidecars {
		w.frontLayer.Add(p.name, p.addr)
		w.cluster.recordFact(clusterinvariant.Up, p.name)
	}
	return first
}

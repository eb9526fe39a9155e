package rehearse

import (
	"fmt"
	"sync"
	"time"

	"tuliprock/internal/testkit/fake"
)

// host is a place for a node: a machine with its own sidecar, and whatever node runs there now.
type host struct {
	plan    NodePlan
	cell    *fake.Cell
	sidecar *sidecarProcess // nil in the last tier
	client  *fake.Client

	mu           sync.Mutex
	node         *fake.Node
	member       fake.Member
	renames      int
	incarnations []*fake.Node // that have run here
}

// buildHosts makes nodes, agents and sidecars. The nodes run when it returns.
func (w *rehearsal) buildHosts() error {
	cells := map[[2]int]*fake.Cell{}
	window := time.Duration(0)
	for _, c := range w.plan.Classes {
		window = max(window, c.Window)
	}
	w.hosts = make([][]*host, len(w.plan.Day.Tiers))
	for _, p := range w.plan.Nodes {
		key := [2]int{p.Spec.Tier, p.Spec.Cell}
		if cells[key] == nil {
			cells[key] = fake.NewCell(window)
		}
		s := &host{plan: p, cell: cells[key]}
		s.newNode(w, p.Spec.ID, "")
		if _, err := s.node.Start(false); err != nil {
			return err
		}
		s.member = memberOf(s.node, fake.StateReady, time.Time{})
		w.hosts[p.Spec.Tier] = append(w.hosts[p.Spec.Tier], s)
	}
	if err := w.buildCluster(); err != nil {
		return err
	}
	for i := range w.plan.Sidecars {
		p, err := w.newSidecar(sidecarName(i), 0, i, w.plan.Sidecars)
		if err != nil {
			return err
		}
		w.frontSidecars = append(w.frontSidecars, p)
	}
	for tier, sites := range w.hosts[:len(w.hosts)-1] {
		for i, s := range sites {
			p, err := w.newSidecar("of-"+s.plan.Spec.ID, tier+1, i, len(sites))
			if err != nil {
				return err
			}
			s.mu.Lock()
			s.sidecar = p
			s.client = fake.NewClient(w.plan.Classes, w.registry, w.recorder, w.plan.Day.Rules.Slack, maxNodeIdleConnections)
			s.mu.Unlock()
		}
	}
	return nil
}

// newNode puts a node that is down in its place, under an id.
func (s *host) newNode(w *rehearsal, id, addr string) {
	spec := s.plan.Spec
	spec.ID = id
	n := fake.NewNode(spec, w.plan.Classes, s.cell, w.registry, w.recorder, s.plan.Seed)
	n.Addr = addr
	if spec.Tier+1 < len(w.plan.Day.Tiers) {
		n.NextTier = &nextTierClient{w, s}
	}
	s.node = n
	s.incarnations = append(s.incarnations, n)
}

func memberOf(n *fake.Node, state string, started time.Time) fake.Member {
	m := fake.Member{ID: n.ID, Addr: n.Addr, Zone: n.Zone, Kind: n.Kind, Cell: n.Cell, State: state, Weight: 1}
	if !started.IsZero() {
		m.StartedMs = started.UnixMilli()
	}
	return m
}

// nextTierClient makes a node's calls through its own sidecar, each with an id and a key of its own. A call does not carry what is
// left of its caller's time.
type nextTierClient struct {
	w *rehearsal
	s *host
}

// Call implements fake.NextTier.
func (n *nextTierClient) Call(class int, key string, job *fake.Job) bool {
	n.s.mu.Lock()
	p, caller := n.s.sidecar, n.s.client
	n.s.mu.Unlock()
	out := caller.Do(fake.Request{ID: n.w.newID("call"), Class: class, Key: fmt.Sprintf("%s-%016x", key, n.w.sequence.Add(1)), Job: job,
		Timeout: n.w.plan.Classes[class].Deadline,
		Connect: func() (fake.Target, bool) { return fake.Target{Sidecar: p.name, Addr: p.addr}, true }})
	return out.Status == 200
}

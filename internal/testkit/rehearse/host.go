package rehearse

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"tuliprock/internal/testkit/fake"
)

// maxNodeIdleConnections is how many idle connections a node keeps to its sidecar; its slots bound those in use.
const maxNodeIdleConnections = 64

// host is a machine of the rehearsal: its own sidecar, and the node that runs there now.
type host struct {
	plan    NodePlan
	cell    *fake.Cell
	sidecar *sidecarProcess // nil in the last tier
	client  *fake.Client    // of the node, to its sidecar

	mu           sync.Mutex
	node         *fake.Node
	member       fake.Member  // the node's entry in the endpoint list
	renames      int          // how often the node came back under a new ID
	incarnations []*fake.Node // all that have run here
}

// buildHosts makes nodes, agents and sidecars. The nodes run when it returns, the sidecars do not yet.
func (r *rehearsal) buildHosts() error {
	cells := map[[2]int]*fake.Cell{} // by tier and cell
	window := time.Duration(0)
	for _, c := range r.plan.Classes {
		window = max(window, c.Window)
	}
	r.hosts = make([][]*host, len(r.plan.Day.Tiers))
	for _, p := range r.plan.Nodes {
		key := [2]int{p.Spec.Tier, p.Spec.Cell}
		if cells[key] == nil {
			cells[key] = fake.NewCell(window)
		}
		h := &host{plan: p, cell: cells[key]}
		h.newNode(r, p.Spec.ID, "")
		if _, err := h.node.Start(false); err != nil {
			return err
		}
		h.member = memberOf(h.node, fake.StateReady, time.Time{})
		r.hosts[p.Spec.Tier] = append(r.hosts[p.Spec.Tier], h)
	}
	if err := r.buildCluster(); err != nil {
		return err
	}
	return r.buildSidecars()
}

// newNode makes a node that is down the host's node, under an ID.
func (h *host) newNode(r *rehearsal, id, addr string) {
	spec := h.plan.Spec
	spec.ID = id
	node := fake.NewNode(spec, r.plan.Classes, h.cell, r.registry, r.recorder, h.plan.Seed)
	node.Addr = addr
	if spec.Tier+1 < len(r.plan.Day.Tiers) {
		node.NextTier = &nextTierClient{r, h}
	}
	h.node = node
	h.incarnations = append(h.incarnations, node)
}

// memberOf is a node's entry in the endpoint list; a zero start time is not stated there.
func memberOf(n *fake.Node, state string, startedAt time.Time) fake.Member {
	m := fake.Member{ID: n.ID, Addr: n.Addr, Zone: n.Zone, Kind: n.Kind, Cell: n.Cell, State: state, Weight: 1}
	if !startedAt.IsZero() {
		m.StartedMs = startedAt.UnixMilli()
	}
	return m
}

// stopNode kills a node and its sidecar, and announces that the node is gone.
func (r *rehearsal) stopNode(h *host) {
	h.mu.Lock()
	h.node.Stop()
	sidecar, client := h.sidecar, h.client
	h.member.State = fake.StateGone
	m := h.member
	h.mu.Unlock()
	if sidecar != nil {
		sidecar.kill()
		client.Close()
	}
	r.announceUpdate(h, m, false)
}

// restartNode starts a node cold at its old address, under its old ID or, in the mode "renamed", a new one. Its sidecar is
// started first.
func (r *rehearsal) restartNode(ctx context.Context, h *host, mode string) {
	if h.sidecar != nil {
		err := h.sidecar.start()
		if err == nil {
			err = h.sidecar.awaitReady(ctx)
		}
		if err != nil {
			if ctx.Err() == nil {
				r.fail(fmt.Errorf("node %s: %w", h.plan.Spec.ID, err))
			}
			return
		}
	}
	h.mu.Lock()
	if mode == "renamed" {
		h.renames++
		h.newNode(r, h.plan.Spec.ID+strings.Repeat("'", h.renames), h.node.Addr)
	}
	startedAt, err := h.node.Start(true)
	h.member = memberOf(h.node, fake.StateReady, startedAt)
	m := h.member
	h.mu.Unlock()
	if err != nil {
		if !errors.Is(err, fake.ErrCollapsed) { // its port is taken, so the day is not the one that was drawn
			r.fail(err)
		}
		return
	}
	r.announceUpdate(h, m, true)
}

// nextTierClient makes a node's calls through its own sidecar, each with an ID and an idempotency key of its own. A call has
// the full deadline of its class, not the rest of its request's.
type nextTierClient struct {
	rehearsal *rehearsal
	host      *host
}

// Call implements fake.NextTier.
func (c *nextTierClient) Call(class int, key string, job *fake.Job) bool {
	c.host.mu.Lock()
	sidecar, client := c.host.sidecar, c.host.client
	c.host.mu.Unlock()
	target := fake.Target{Sidecar: sidecar.name, Addr: sidecar.addr}
	out := client.Do(fake.Request{
		ID:      c.rehearsal.newID("call"),
		Class:   class,
		Key:     fmt.Sprintf("%s-%016x", key, c.rehearsal.sequence.Add(1)),
		Job:     job,
		Timeout: c.rehearsal.plan.Classes[class].Deadline,
		Connect: func() (fake.Target, bool) { return target, true },
	})
	return out.Status == http.StatusOK
}

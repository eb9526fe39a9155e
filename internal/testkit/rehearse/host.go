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

// maxNodeIdleConnections is the largest number of idle connections that a node keeps open to its sidecar. The slots of the node
// bound the number of connections in use.
const maxNodeIdleConnections = 64

// host is a simulated machine with one node, and with the sidecar through which the node calls the next tier.
type host struct {
	plan    NodePlan
	cell    *fake.Cell      // cell whose nodes drop duplicates together
	sidecar *sidecarProcess // sidecar through which the node calls the next tier; nil in the last tier
	client  *fake.Client    // client that sends the node's calls to its sidecar; nil in the last tier

	mu           sync.Mutex
	node         *fake.Node   // current incarnation of the node; it may have been stopped
	member       fake.Member  // current entry of the node in the endpoint list
	renameCount  int          // number of restarts of the node under a new ID
	incarnations []*fake.Node // all incarnations of the node, including the current one
}

// buildHosts starts the nodes and the discovery agents, and creates the sidecars without starting them.
func (r *rehearsal) buildHosts() error {
	cells := map[[2]int]*fake.Cell{} // cells created so far, by the indices of tier and cell
	longestDeduplicationWindow := time.Duration(0)
	for _, c := range r.plan.Classes {
		longestDeduplicationWindow = max(longestDeduplicationWindow, c.Window)
	}
	r.hosts = make([][]*host, len(r.plan.Day.Tiers))
	for _, p := range r.plan.Nodes {
		cellKey := [2]int{p.Spec.Tier, p.Spec.Cell}
		if cells[cellKey] == nil {
			cells[cellKey] = fake.NewCell(longestDeduplicationWindow)
		}
		h := &host{plan: p, cell: cells[cellKey]}
		h.replaceNode(r, p.Spec.ID, "")
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

// replaceNode replaces the host's node by a new one that is not started. If addr is empty, the node chooses its address when it
// is started.
func (h *host) replaceNode(r *rehearsal, id, addr string) {
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

// memberOf returns a node's entry in the endpoint list. The entry omits a start time that is zero.
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

// restartNode starts a node cold at its old address, under its old ID or, in the mode "renamed", under a new one. It starts the
// node's sidecar first.
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
		h.renameCount++
		h.replaceNode(r, h.plan.Spec.ID+strings.Repeat("'", h.renameCount), h.node.Addr)
	}
	startedAt, err := h.node.Start(true)
	h.member = memberOf(h.node, fake.StateReady, startedAt)
	m := h.member
	h.mu.Unlock()
	if err != nil {
		if !errors.Is(err, fake.ErrCollapsed) { // an error other than a collapse, such as a port in use by another process, keeps the run from following its plan
			r.fail(err)
		}
		return
	}
	r.announceUpdate(h, m, true)
}

// nextTierClient sends a node's calls to the next tier through the node's sidecar. Each call has its own ID, its own idempotency
// key and the full deadline of its class, rather than the remaining time of the request that makes it.
type nextTierClient struct {
	rehearsal *rehearsal
	host      *host
}

// Call implements fake.NextTier. It reports whether the call was answered with status 200.
func (c *nextTierClient) Call(class int, idempotencyKey string, job *fake.Job) bool {
	c.host.mu.Lock()
	sidecar, client := c.host.sidecar, c.host.client
	c.host.mu.Unlock()
	target := fake.Target{Sidecar: sidecar.name, Addr: sidecar.addr}
	outcome := client.Do(fake.Request{
		ID:             c.rehearsal.newID("call"),
		Class:          class,
		IdempotencyKey: fmt.Sprintf("%s-%016x", idempotencyKey, c.rehearsal.sequence.Add(1)),
		Job:            job,
		Timeout:        c.rehearsal.plan.Classes[class].Deadline,
		Connect:        func() (fake.Target, bool) { return target, true },
	})
	return outcome.Status == http.StatusOK
}

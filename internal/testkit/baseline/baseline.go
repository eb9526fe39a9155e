// Package baseline has textbook pickers that run behind the daemon's own sockets, to set beside the decision module. They
// keep the rule on effects, and know nothing of load, cold starts or room.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/eventloop"
)

// pick chooses among endpoints that may be called; there is one at least.
type pick func(b *balancer, among []string) string

var picks = map[string]pick{
	"random":            func(b *balancer, among []string) string { return among[b.rng.IntN(len(among))] },
	"round-robin":       roundRobin,
	"least-outstanding": leastOutstanding,
}

// PolicyNames are the pickers, in order.
func PolicyNames() []string { return []string{"random", "round-robin", "least-outstanding"} }

// New gives the BalancerFactory of a name.
func New(name string) (eventloop.BalancerFactory, error) {
	p, ok := picks[name]
	if !ok {
		return nil, fmt.Errorf("%q is none of %s", name, strings.Join(PolicyNames(), ", "))
	}
	return func(_ time.Duration, s balance.Settings, h balance.Host) balance.Events {
		b := &balancer{host: h, s: s, pick: p, rng: rand.New(rand.NewPCG(s.Seed, 0x706c61696e)), effects: map[string]balance.Idempotency{},
			states: map[string]balance.State{}, barred: map[string]bool{}, out: map[string]int{}, requests: map[string]*request{}}
		for _, c := range s.Classes {
			b.effects[c.Name] = c.Idempotency
		}
		return b
	}, nil
}

type balancer struct {
	host     balance.Host
	s        balance.Settings
	pick     pick
	rng      *rand.Rand
	effects  map[string]balance.Idempotency
	states   map[string]balance.State
	barred   map[string]bool
	ready    []string // sorted
	out      map[string]int
	turn     int
	requests map[string]*request
}

type request struct {
	balance.Request
	tried  []string
	out    bool
	over   bool
	mayRun bool
}

func roundRobin(b *balancer, among []string) string {
	b.turn++
	return among[b.turn%len(among)]
}

func leastOutstanding(b *balancer, among []string) string {
	least := among[b.rng.IntN(len(among))] // so that ties are not always the first one's
	for _, id := range among {
		if b.out[id] < b.out[least] {
			least = id
		}
	}
	return least
}

// EndpointList implements balance.Events.
func (b *balancer) EndpointList(_ time.Duration, l balance.EndpointUpdate) {
	if l.Failed {
		b.host.Subscribe()
		return
	}
	if l.Complete {
		clear(b.states)
	}
	for _, e := range l.Endpoints {
		if b.states[e.ID] = e.State; e.State == balance.Gone {
			delete(b.states, e.ID)
		}
	}
	b.choose()
}

// choose lists who may be called.
func (b *balancer) choose() {
	b.ready = b.ready[:0]
	for id, s := range b.states {
		if s == balance.Ready && !b.barred[id] {
			b.ready = append(b.ready, id)
		}
	}
	slices.Sort(b.ready)
}

// Request implements balance.Events.
func (b *balancer) Request(now time.Duration, r balance.Request) {
	q := &request{Request: r}
	b.requests[r.ID] = q
	b.send(now, q)
}

// send makes the next attempt, at an endpoint not tried yet, or gives the final answer.
func (b *balancer) send(now time.Duration, q *request) {
	among := slices.DeleteFunc(slices.Clone(b.ready), func(id string) bool { return slices.Contains(q.tried, id) })
	if len(among) == 0 || b.s.MaxAttempts > 0 && len(q.tried) >= b.s.MaxAttempts || now >= q.Deadline {
		b.end(q)
		return
	}
	id := b.pick(b, among)
	q.tried, q.out = append(q.tried, id), true
	b.out[id]++
	b.host.Send(q.ID, id, q.Deadline-now)
}

func (b *balancer) end(q *request) {
	if q.mayRun && b.effects[q.Class] != balance.Idempotent {
		b.host.Fail(q.ID)
	} else {
		b.host.Reject(q.ID, 0)
	}
	q.over = true
	b.forget(q)
}

func (b *balancer) forget(q *request) {
	if q.over && !q.out {
		delete(b.requests, q.ID)
	}
}

// Outcome implements balance.Events.
func (b *balancer) Outcome(now time.Duration, o balance.Outcome) {
	q := b.requests[o.ID]
	if q == nil {
		return
	}
	q.out = false
	if b.out[o.Endpoint]--; b.out[o.Endpoint] <= 0 {
		delete(b.out, o.Endpoint)
	}
	ran := o.Result.MayHaveRun()
	q.mayRun = q.mayRun || ran
	switch {
	case o.IsFinal || q.over || o.Result == balance.OK:
		q.over = true
		b.forget(q)
	case q.mayRun && b.effects[q.Class] != balance.Idempotent:
		b.end(q)
	default:
		b.send(now, q)
	}
}

// ClientDisconnected implements balance.Events.
func (b *balancer) ClientDisconnected(_ time.Duration, id string) {
	if q := b.requests[id]; q != nil {
		q.over = true
		b.forget(q)
	}
}

// StreamStarted implements balance.Events.
func (b *balancer) StreamStarted(time.Duration, string, int) {}

// BodySent implements balance.Events.
func (b *balancer) BodySent(time.Duration, string, int, time.Duration) {}

// SetBalancerCount implements balance.Events: a textbook picker knows nothing of others.
func (b *balancer) SetBalancerCount(time.Duration, int, int) {}

// SetEjected implements balance.Events.
func (b *balancer) SetEjected(_ time.Duration, id string, out bool) {
	if delete(b.barred, id); out {
		b.barred[id] = true
	}
	b.choose()
}

// IsKnown implements balance.Events.
func (b *balancer) IsKnown(id string) bool {
	_, listed := b.states[id]
	return listed || b.barred[id]
}

// EndpointCounts implements balance.Events.
func (b *balancer) EndpointCounts() (listed, avoided int) {
	for id := range b.states {
		if b.barred[id] {
			avoided++
		}
	}
	return len(b.states), avoided
}

// Timer implements balance.Events.
func (b *balancer) Timer(time.Duration) {}

// Probed implements balance.Events.
func (b *balancer) Probed(time.Duration, balance.ProbeResult) {}

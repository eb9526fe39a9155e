// Package baseline implements textbook load-balancing policies as balancers that the daemon can run in place of package
// balance, so that results can be compared. Like the balancer of package balance, the policies never resend non-idempotent
// work that may have run, but they take no account of load reports, slow start or concurrency limits.
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

// policy chooses the endpoint of an attempt from a sorted, non-empty list of endpoint IDs.
type policy func(b *balancer, candidates []string) string

// policies maps each name that New accepts to its policy.
var policies = map[string]policy{
	"random":            func(b *balancer, candidates []string) string { return candidates[b.rng.IntN(len(candidates))] },
	"round-robin":       roundRobin,
	"least-outstanding": leastOutstanding,
}

// PolicyNames returns the names of all policies, in a fixed order.
func PolicyNames() []string { return []string{"random", "round-robin", "least-outstanding"} }

// New returns a factory of balancers that use the policy of the given name.
func New(name string) (eventloop.BalancerFactory, error) {
	p, ok := policies[name]
	if !ok {
		return nil, fmt.Errorf("%q is none of %s", name, strings.Join(PolicyNames(), ", "))
	}
	return func(_ time.Duration, s balance.Settings, h balance.Host) balance.Events {
		b := &balancer{host: h, settings: s, policy: p, rng: rand.New(rand.NewPCG(s.Seed, randStream)), idempotency: map[string]balance.Idempotency{},
			states: map[string]balance.State{}, ejected: map[string]bool{}, inFlight: map[string]int{}, requests: map[string]*request{}}
		for _, c := range s.Classes {
			b.idempotency[c.Name] = c.Idempotency
		}
		return b
	}, nil
}

// randStream is the second half of the random generator's seed, so that the policies' random choices differ from other random numbers
// that are drawn with the same seed. Its value is "plain" in ASCII.
const randStream = 0x706c61696e

// balancer implements balance.Events with a textbook policy.
type balancer struct {
	host               balance.Host
	settings           balance.Settings
	policy             policy
	rng                *rand.Rand
	idempotency        map[string]balance.Idempotency // idempotency of the requests of each class, by class name
	states             map[string]balance.State       // state of each listed endpoint, by endpoint ID
	ejected            map[string]bool                // IDs of the manually ejected endpoints, listed or not; all values are true
	ready              []string                       // sorted IDs of the endpoints that are ready and not ejected
	inFlight           map[string]int                 // number of attempts in flight by endpoint ID; endpoints without any are absent
	roundRobinAttempts int                            // number of attempts that round robin has assigned so far
	requests           map[string]*request            // requests without a final response or with an attempt in flight, by request ID
}

// request is a client's request and the state of its attempts.
type request struct {
	balance.Request
	attemptedEndpoints []string // IDs of the endpoints that attempts were sent to, in order
	hasAttemptInFlight bool     // whether an attempt is in flight
	isFinished         bool     // whether the request has its final response, or its client has disconnected
	mayHaveRun         bool     // whether the endpoint of an earlier attempt may have executed the request
}

// roundRobin chooses the candidates in turn.
func roundRobin(b *balancer, candidates []string) string {
	b.roundRobinAttempts++
	return candidates[b.roundRobinAttempts%len(candidates)]
}

// leastOutstanding chooses a candidate with the fewest attempts in flight; ties are decided at random.
func leastOutstanding(b *balancer, candidates []string) string {
	chosen := candidates[b.rng.IntN(len(candidates))] // a random candidate to begin with, so that the first one does not win all ties
	for _, id := range candidates {
		if b.inFlight[id] < b.inFlight[chosen] {
			chosen = id
		}
	}
	return chosen
}

// EndpointList implements balance.Events. It applies an update of the endpoint list. If the update reports a failed poll or a
// broken subscription instead, EndpointList subscribes to the endpoint list again.
func (b *balancer) EndpointList(_ time.Duration, l balance.EndpointUpdate) {
	if l.HasFailed {
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
	b.updateReady()
}

// updateReady recomputes b.ready from b.states and b.ejected.
func (b *balancer) updateReady() {
	b.ready = b.ready[:0]
	for id, s := range b.states {
		if s == balance.Ready && !b.ejected[id] {
			b.ready = append(b.ready, id)
		}
	}
	slices.Sort(b.ready)
}

// Request implements balance.Events. It sends the first attempt at once, or finishes the request if no endpoint is ready.
func (b *balancer) Request(now time.Duration, r balance.Request) {
	q := &request{Request: r}
	b.requests[r.ID] = q
	b.send(now, q)
}

// send makes the next attempt, at an endpoint that the request has not been sent to yet. If no such endpoint is ready, if
// MaxAttempts attempts were made, or if the request's deadline has passed, send finishes the request.
func (b *balancer) send(now time.Duration, q *request) {
	candidates := slices.DeleteFunc(slices.Clone(b.ready), func(id string) bool { return slices.Contains(q.attemptedEndpoints, id) })
	if len(candidates) == 0 || b.settings.MaxAttempts > 0 && len(q.attemptedEndpoints) >= b.settings.MaxAttempts || now >= q.Deadline {
		b.finish(q)
		return
	}
	id := b.policy(b, candidates)
	q.attemptedEndpoints, q.hasAttemptInFlight = append(q.attemptedEndpoints, id), true
	b.inFlight[id]++
	b.host.Send(q.ID, id, q.Deadline-now)
}

// finish gives a request without a successful attempt its final response: a failure if the request may have run and must not
// run twice, otherwise a rejection, after which the client may send it again.
func (b *balancer) finish(q *request) {
	if q.mayHaveRun && b.idempotency[q.Class] != balance.Idempotent {
		b.host.Fail(q.ID)
	} else {
		b.host.Reject(q.ID, 0)
	}
	q.isFinished = true
	b.discardIfDone(q)
}

// discardIfDone removes a request from b.requests if the request is finished and has no attempt in flight.
func (b *balancer) discardIfDone(q *request) {
	if q.isFinished && !q.hasAttemptInFlight {
		delete(b.requests, q.ID)
	}
}

// Outcome implements balance.Events. It retries the request if the attempt failed, unless the request is finished, or may have
// run and is not idempotent.
func (b *balancer) Outcome(now time.Duration, o balance.Outcome) {
	q := b.requests[o.ID]
	if q == nil {
		return
	}
	q.hasAttemptInFlight = false
	if b.inFlight[o.Endpoint]--; b.inFlight[o.Endpoint] <= 0 {
		delete(b.inFlight, o.Endpoint)
	}
	q.mayHaveRun = q.mayHaveRun || o.Result.MayHaveRun()
	switch {
	case o.IsFinal || q.isFinished || o.Result == balance.OK:
		q.isFinished = true
		b.discardIfDone(q)
	case q.mayHaveRun && b.idempotency[q.Class] != balance.Idempotent:
		b.finish(q)
	default:
		b.send(now, q)
	}
}

// ClientDisconnected implements balance.Events. An attempt in flight is not canceled, but no further one is sent.
func (b *balancer) ClientDisconnected(_ time.Duration, id string) {
	if q := b.requests[id]; q != nil {
		q.isFinished = true
		b.discardIfDone(q)
	}
}

// StreamStarted implements balance.Events. It does nothing, since the policies treat streaming responses like all others.
func (b *balancer) StreamStarted(time.Duration, string, int) {}

// BodySent implements balance.Events. It does nothing, since the policies don't measure latency.
func (b *balancer) BodySent(time.Duration, string, int, time.Duration) {}

// BodyOverdue implements balance.Events. The request fails; an attempt in flight goes on until its deadline.
func (b *balancer) BodyOverdue(_ time.Duration, id string, _ time.Duration) {
	if q := b.requests[id]; q != nil && !q.isFinished {
		b.host.Fail(id)
		q.isFinished = true
		b.discardIfDone(q)
	}
}

// SetBalancerCount implements balance.Events. The policies take no account of other balancers.
func (b *balancer) SetBalancerCount(time.Duration, int, int) {}

// SetEjected implements balance.Events. The manual ejection of an endpoint persists while the endpoint is not listed.
func (b *balancer) SetEjected(_ time.Duration, id string, ejected bool) {
	if delete(b.ejected, id); ejected {
		b.ejected[id] = true
	}
	b.updateReady()
}

// IsKnown implements balance.Events. An endpoint is known if it is listed or manually ejected.
func (b *balancer) IsKnown(id string) bool {
	_, listed := b.states[id]
	return listed || b.ejected[id]
}

// EndpointCounts implements balance.Events. It returns the number of listed endpoints, and how many of them are manually ejected.
func (b *balancer) EndpointCounts() (listed, ejected int) {
	for id := range b.states {
		if b.ejected[id] {
			ejected++
		}
	}
	return len(b.states), ejected
}

// Timer implements balance.Events. It does nothing, since the policies set no timers.
func (b *balancer) Timer(time.Duration) {}

// Probed implements balance.Events. It does nothing, since the policies request no load probes.
func (b *balancer) Probed(time.Duration, balance.ProbeResult) {}

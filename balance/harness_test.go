package balance_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
)

// ms is the step in which time advances in all tests.
const ms = time.Millisecond

// harness is a host that records the calls of one balancer. The test advances the time, reports events to the balancer through
// the harness, and checks the recorded calls.
type harness struct {
	t               *testing.T
	now             time.Duration
	balancer        *balance.Balancer
	actions         []string                 // calls of the host in order, without Timer and Log
	sentTo          map[string][]string      // IDs of the endpoints that a request's attempts were sent to, by request ID
	sentAt          map[string]time.Duration // instant of a request's last attempt, by request ID
	timers          []time.Duration          // instants of the timers that have not fired yet
	requestCount    int                      // requests sent so far; the last one has the ID "r" and this number
	idleConnections map[string]bool          // whether an idle connection to an endpoint exists, by endpoint ID
}

func (h *harness) Send(id, ep string, _ time.Duration) {
	h.actions = append(h.actions, "send "+id+" "+ep)
	h.sentTo[id] = append(h.sentTo[id], ep)
	h.sentAt[id] = h.now
}

func (h *harness) Cancel(id string, n int) {
	h.actions = append(h.actions, fmt.Sprint("cancel ", id, " ", n))
}

func (h *harness) Reject(id string, _ time.Duration) { h.actions = append(h.actions, "reject "+id) }

func (h *harness) Fail(id string) { h.actions = append(h.actions, "fail "+id) }

func (h *harness) Probe(ep string) { h.actions = append(h.actions, "probe "+ep) }

func (h *harness) HasIdleConnection(ep string) bool { return h.idleConnections[ep] }

func (h *harness) Subscribe() { h.actions = append(h.actions, "subscribe") }

func (h *harness) Timer(at time.Duration) { h.timers = append(h.timers, at) }

func (h *harness) Log(string) {}

// defaultSettings returns settings with two classes: read, whose requests are idempotent, and bill, whose requests are not.
func defaultSettings() balance.Settings {
	return balance.Settings{BalancerCount: 1, MaxAttempts: 4, CanCancel: true, TimerResolution: ms,
		SlowStartCapacity: 0.3, SlowStartDuration: 9 * time.Second, Classes: []balance.Class{
			{Name: "read", Idempotency: balance.Idempotent, LatencyObjective: 2 * time.Second},
			{Name: "bill", Idempotency: balance.NonIdempotent, LatencyObjective: 2 * time.Second}}}
}

// newHarness returns the harness of a balancer whose first list has the given endpoints.
func newHarness(t *testing.T, s balance.Settings, endpoints ...string) *harness {
	t.Helper()
	h := &harness{t: t, now: 100 * time.Second, sentTo: map[string][]string{}, sentAt: map[string]time.Duration{}}
	s.Seed = 7
	h.balancer = balance.New(h.now, s, h)
	l := balance.EndpointUpdate{Complete: true}
	for _, id := range endpoints {
		l.Endpoints = append(l.Endpoints, balance.Endpoint{ID: id})
	}
	h.balancer.EndpointList(h.now, l)
	return h
}

// advance advances the time in steps of a millisecond and fires the timers that are due.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += ms
		dueTimers := 0
		h.timers = slices.DeleteFunc(h.timers, func(at time.Duration) bool {
			if at <= h.now {
				dueTimers++
			}
			return at <= h.now
		})
		for range dueTimers {
			h.balancer.Timer(h.now)
		}
	}
}

// request sends a request to the balancer. It returns the request's ID and the endpoint of its first attempt, which is empty
// if the request was queued or rejected.
func (h *harness) request(class string) (id, ep string) {
	id = h.requestForTenant(class, "")
	if len(h.sentTo[id]) > 0 {
		ep = h.sentTo[id][0]
	}
	return id, ep
}

// requestForTenant sends a tenant's request to the balancer and returns the request's ID.
func (h *harness) requestForTenant(class, tenant string) string {
	h.requestCount++
	id := "r" + strconv.Itoa(h.requestCount)
	h.balancer.Request(h.now, balance.Request{ID: id, Class: class, Tenant: tenant, Deadline: h.now + 5*time.Second})
	return id
}

// finish reports the outcome of the last attempt of a request.
func (h *harness) finish(id string, result balance.Result) {
	n := len(h.sentTo[id]) - 1
	h.balancer.Outcome(h.now, balance.Outcome{ID: id, AttemptNumber: n, Endpoint: h.sentTo[id][n], Result: result,
		Latency: h.now - h.sentAt[id], IsFinal: result == balance.OK})
}

// countActions returns how many recorded calls of the host begin with the prefix.
func (h *harness) countActions(prefix string) int {
	n := 0
	for _, action := range h.actions {
		if strings.HasPrefix(action, prefix) {
			n++
		}
	}
	return n
}

// serve sends requests one after another, which succeed with the latency of their endpoint. It returns the number of requests
// by endpoint.
func (h *harness) serve(requests int, latency map[string]time.Duration) map[string]int {
	counts := map[string]int{}
	for range requests {
		id, ep := h.request("read")
		counts[ep]++
		h.advance(latency[ep])
		h.finish(id, balance.OK)
	}
	return counts
}

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

// ms is the step of time of all tests.
const ms = time.Millisecond

// harness is a host that drives one balancer by hand and records what it calls for.
type harness struct {
	t               *testing.T
	now             time.Duration
	balancer        *balance.Balancer
	actions         []string            // calls of the host but timers, in order
	sentTo          map[string][]string // by request: the endpoints of its attempts
	sentAt          map[string]time.Duration
	timers          []time.Duration
	requestCount    int
	idleConnections map[string]bool // by endpoint
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

// defaultSettings has one class of idempotent requests and one of others.
func defaultSettings() balance.Settings {
	return balance.Settings{Balancers: 1, MaxAttempts: 4, CanCancel: true, TimerResolution: ms,
		SlowStartCapacity: 0.3, SlowStartDuration: 9 * time.Second, Classes: []balance.Class{
			{Name: "read", Idempotency: balance.Idempotent, LatencyObjective: 2 * time.Second},
			{Name: "bill", Idempotency: balance.NonIdempotent, LatencyObjective: 2 * time.Second}}}
}

// newHarness makes a balancer whose first list has the endpoints given.
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

// advance lets time pass in steps of a millisecond and fires the timers that fall due.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += ms
		due := 0
		h.timers = slices.DeleteFunc(h.timers, func(at time.Duration) bool {
			if at <= h.now {
				due++
			}
			return at <= h.now
		})
		for range due {
			h.balancer.Timer(h.now)
		}
	}
}

// request makes a request and returns its ID and the endpoint that its first attempt went to, if any.
func (h *harness) request(class string) (id, ep string) {
	id = h.requestForTenant(class, "")
	if len(h.sentTo[id]) > 0 {
		ep = h.sentTo[id][0]
	}
	return id, ep
}

// requestForTenant makes a request for a tenant; it need not be sent.
func (h *harness) requestForTenant(class, tenant string) string {
	h.requestCount++
	id := "r" + strconv.Itoa(h.requestCount)
	h.balancer.Request(h.now, balance.Request{ID: id, Class: class, Tenant: tenant, Deadline: h.now + 5*time.Second})
	return id
}

// finish reports the outcome of the latest attempt of a request.
func (h *harness) finish(id string, result balance.Result) {
	n := len(h.sentTo[id]) - 1
	h.balancer.Outcome(h.now, balance.Outcome{ID: id, Attempt: n, Endpoint: h.sentTo[id][n], Result: result,
		Latency: h.now - h.sentAt[id], IsFinal: result == balance.OK})
}

// countActions returns how many calls of the host begin with the prefix.
func (h *harness) countActions(prefix string) int {
	n := 0
	for _, d := range h.actions {
		if strings.HasPrefix(d, prefix) {
			n++
		}
	}
	return n
}

// serve serves requests one after another, each endpoint with its own latency, and returns how many each got.
func (h *harness) serve(calls int, latency map[string]time.Duration) map[string]int {
	counts := map[string]int{}
	for range calls {
		id, ep := h.request("read")
		counts[ep]++
		h.advance(latency[ep])
		h.finish(id, balance.OK)
	}
	return counts
}

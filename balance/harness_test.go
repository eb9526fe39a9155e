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

// harness is a host that drives one balancer by hand and records what it calls for.
type harness struct {
	t               *testing.T
	now             time.Duration
	balancer        *balance.Balancer
	actions         []string // all actions but timers, in order
	sentTo          map[string][]string
	sentAt          map[string]time.Duration
	timers          []time.Duration
	requestCount    int
	idleConnections map[string]bool // endpoints to which a connection stands idle
}

func (r *harness) Send(id, ep string, _ time.Duration) {
	r.actions = append(r.actions, "send "+id+" "+ep)
	r.sentTo[id] = append(r.sentTo[id], ep)
	r.sentAt[id] = r.now
}

func (r *harness) Cancel(id string, n int) {
	r.actions = append(r.actions, fmt.Sprint("cancel ", id, " ", n))
}

func (r *harness) Refuse(id string, _ time.Duration) { r.actions = append(r.actions, "refuse "+id) }

func (r *harness) Fail(id string) { r.actions = append(r.actions, "fail "+id) }

func (r *harness) Probe(ep string) { r.actions = append(r.actions, "probe "+ep) }

func (r *harness) Idle(ep string) bool { return r.idleConnections[ep] }

func (r *harness) Subscribe() { r.actions = append(r.actions, "subscribe") }

func (r *harness) Timer(at time.Duration) { r.timers = append(r.timers, at) }

func (r *harness) Log(string) {}

// defaultSettings has one class of idempotent requests and one of others.
func defaultSettings() balance.Settings {
	return balance.Settings{Balancers: 1, MaxAttempts: 4, MayCancel: true, Resolution: ms,
		ColdFrom: 0.3, ColdFor: 9 * time.Second, Classes: []balance.Class{
			{Name: "read", Effect: balance.Safe, Aim: 2 * time.Second},
			{Name: "bill", Effect: balance.Unsafe, Aim: 2 * time.Second}}}
}

// newHarness makes a balancer whose first list has the endpoints given.
func newHarness(t *testing.T, s balance.Settings, endpoints ...string) *harness {
	r := &harness{t: t, now: 100 * time.Second, sentTo: map[string][]string{}, sentAt: map[string]time.Duration{}}
	s.Seed = 7
	r.balancer = balance.New(r.now, s, r)
	l := balance.List{Complete: true}
	for _, id := range endpoints {
		l.Entries = append(l.Entries, balance.Endpoint{ID: id})
	}
	r.balancer.EndpointList(r.now, l)
	return r
}

// advance lets time pass in steps of a millisecond and fires the timers that fall due.
func (r *harness) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += ms
		due := 0
		r.timers = slices.DeleteFunc(r.timers, func(at time.Duration) bool {
			if at <= r.now {
				due++
			}
			return at <= r.now
		})
		for range due {
			r.balancer.Timer(r.now)
		}
	}
}

// request makes a request and returns its ID and the endpoint that its first attempt went to, if any.
func (r *harness) request(class string) (id, ep string) {
	id = r.requestAs(class, "")
	if len(r.sentTo[id]) > 0 {
		ep = r.sentTo[id][0]
	}
	return id, ep
}

// requestAs makes a request for a tenant; it need not be sent.
func (r *harness) requestAs(class, tenant string) string {
	r.requestCount++
	id := "r" + strconv.Itoa(r.requestCount)
	r.balancer.Request(r.now, balance.Request{ID: id, Class: class, Tenant: tenant, Deadline: r.now + 5*time.Second})
	return id
}

// finish reports the outcome of the latest attempt of a request.
func (r *harness) finish(id string, result balance.Result) {
	n := len(r.sentTo[id]) - 1
	r.balancer.Outcome(r.now, balance.Outcome{ID: id, Attempt: n, Endpoint: r.sentTo[id][n], Result: result, Took: r.now - r.sentAt[id],
		Final: result == balance.OK})
}

// countActions returns how many calls of the host begin with the prefix.
func (r *harness) countActions(prefix string) int {
	n := 0
	for _, d := range r.actions {
		if strings.HasPrefix(d, prefix) {
			n++
		}
	}
	return n
}

// serve serves requests one after another, each endpoint with its own latency, and returns how many each got.
func (r *harness) serve(calls int, took map[string]time.Duration) map[string]int {
	share := map[string]int{}
	for range calls {
		id, ep := r.request("read")
		share[ep]++
		r.advance(took[ep])
		r.finish(id, balance.OK)
	}
	return share
}

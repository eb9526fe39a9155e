package baseline

import (
	"fmt"
	"testing"
	"time"

	"tuliprock/balance"
)

// recordingHost is a balance.Host that records which attempts and final responses a balancer decides on.
type recordingHost struct {
	balance.Host
	sentTo           []string // IDs of the endpoints that attempts were sent to, in order
	rejected, failed []string // IDs of the requests whose final response was a rejection or a failure, in order
}

func (h *recordingHost) Send(id, endpoint string, _ time.Duration) {
	h.sentTo = append(h.sentTo, endpoint)
}
func (h *recordingHost) Reject(id string, _ time.Duration) { h.rejected = append(h.rejected, id) }
func (h *recordingHost) Fail(id string)                    { h.failed = append(h.failed, id) }

// The names of the tests' request classes, one for each kind of idempotency.
const (
	idempotentClass     = "idempotent"
	idempotencyKeyClass = "idempotency-key"
	nonIdempotentClass  = "non-idempotent"
)

// newBalancer returns a balancer of the named policy and its host. The balancer's endpoint list has the given endpoints, all ready.
func newBalancer(t *testing.T, policyName string, endpoints ...string) (balance.Events, *recordingHost) {
	t.Helper()
	factory, err := New(policyName)
	if err != nil {
		t.Fatal(err)
	}
	h := &recordingHost{}
	b := factory(0, balance.Settings{Seed: 1, MaxAttempts: 3, Classes: []balance.Class{{Name: idempotentClass},
		{Name: idempotencyKeyClass, Idempotency: balance.IdempotencyKey}, {Name: nonIdempotentClass, Idempotency: balance.NonIdempotent}}}, h)
	l := balance.EndpointUpdate{Complete: true}
	for _, id := range endpoints {
		l.Endpoints = append(l.Endpoints, balance.Endpoint{ID: id})
	}
	b.EndpointList(0, l)
	return b, h
}

func newRequest(id, class string) balance.Request {
	return balance.Request{ID: id, Class: class, Deadline: time.Minute}
}

func TestRoundRobinSpreadsEvenly(t *testing.T) {
	b, h := newBalancer(t, "round-robin", "a", "b", "c")
	for i := range 6 {
		b.Request(0, newRequest(fmt.Sprint(i), idempotentClass))
	}
	attemptsByEndpoint := map[string]int{} // number of attempts by endpoint ID
	for _, e := range h.sentTo {
		attemptsByEndpoint[e]++
	}
	if attemptsByEndpoint["a"] != 2 || attemptsByEndpoint["b"] != 2 || attemptsByEndpoint["c"] != 2 {
		t.Errorf("6 requests were sent to %v, want 2 to each of a, b and c", h.sentTo)
	}
}

func TestLeastOutstandingPicksTheFewestInFlight(t *testing.T) {
	b, h := newBalancer(t, "least-outstanding", "a", "b")
	b.Request(0, newRequest("1", idempotentClass))
	b.Request(0, newRequest("2", idempotentClass))
	if h.sentTo[0] == h.sentTo[1] {
		t.Errorf("both requests were sent to %s, want one to each endpoint", h.sentTo[0])
	}
	b.Outcome(0, balance.Outcome{ID: "1", Endpoint: h.sentTo[0], Result: balance.OK})
	b.Request(0, newRequest("3", idempotentClass))
	if h.sentTo[2] != h.sentTo[0] {
		t.Errorf("the third request was sent to %s, want the endpoint without an attempt in flight, %s", h.sentTo[2], h.sentTo[0])
	}
}

// An attempt that may have run is followed by another only if the request's class is idempotent. Attempts that can't have run
// are followed by others for every class, up to MaxAttempts.
func TestNoRetryOfNonIdempotentWorkThatMayHaveRun(t *testing.T) {
	for _, name := range PolicyNames() {
		for _, c := range []struct {
			class            string
			result           balance.Result // result of each attempt
			sent             int            // number of attempts that the balancer must send
			rejected, failed int            // numbers of rejections and failures that the balancer must send as final responses
		}{
			{idempotentClass, balance.Reset, 3, 1, 0},
			{nonIdempotentClass, balance.Reset, 1, 0, 1},
			{idempotencyKeyClass, balance.TimedOut, 1, 0, 1},
			{nonIdempotentClass, balance.Rejected, 3, 1, 0},
			{idempotencyKeyClass, balance.ConnectFailed, 3, 1, 0},
		} {
			b, h := newBalancer(t, name, "a", "b", "c", "d")
			b.Request(0, newRequest("r", c.class))
			for i := 0; i < len(h.sentTo) && i < 9; i++ {
				b.Outcome(0, balance.Outcome{ID: "r", AttemptNumber: i, Endpoint: h.sentTo[i], Result: c.result})
			}
			if len(h.sentTo) != c.sent || len(h.rejected) != c.rejected || len(h.failed) != c.failed {
				t.Errorf("%s: %s request with result %v: %d attempts, %d rejections, %d failures, want %d, %d, %d",
					name, c.class, c.result, len(h.sentTo), len(h.rejected), len(h.failed), c.sent, c.rejected, c.failed)
			}
			if b := b.(*balancer); len(b.requests) != 0 || len(b.inFlight) != 0 {
				t.Errorf("%s: after the final response the balancer holds %d requests and %d in-flight counts, want none", name, len(b.requests), len(b.inFlight))
			}
		}
	}
}

func TestNoRequestsToDrainingEndpoints(t *testing.T) {
	b, h := newBalancer(t, "random", "a", "b")
	b.EndpointList(0, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "a", State: balance.Draining}}})
	for i := range 20 {
		b.Request(0, newRequest(fmt.Sprint(i), idempotentClass))
	}
	b.EndpointList(0, balance.EndpointUpdate{Complete: true})
	b.Request(0, newRequest("last", idempotentClass))
	for _, e := range h.sentTo {
		if e != "b" {
			t.Errorf("an attempt was sent to %s, which is draining", e)
		}
	}
	if len(h.sentTo) != 20 || len(h.rejected) != 1 {
		t.Errorf("%d attempts sent and %d requests rejected, want 20 and 1", len(h.sentTo), len(h.rejected))
	}
}

func TestNoRetryAfterTheClientDisconnects(t *testing.T) {
	b, h := newBalancer(t, "random", "a", "b")
	b.Request(0, newRequest("r", idempotentClass))
	b.ClientDisconnected(0, "r")
	b.Outcome(0, balance.Outcome{ID: "r", Endpoint: h.sentTo[0], Result: balance.Reset})
	if len(h.sentTo) != 1 || len(h.rejected)+len(h.failed) != 0 || len(b.(*balancer).requests) != 0 {
		t.Errorf("after a disconnect: attempts %v, rejected %v, failed %v, %d requests held, want one attempt and nothing else",
			h.sentTo, h.rejected, h.failed, len(b.(*balancer).requests))
	}
}

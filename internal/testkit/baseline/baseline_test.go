package baseline

import (
	"fmt"
	"testing"
	"time"

	"tuliprock/balance"
)

// host notes what a picker asks for.
type host struct {
	balance.Host
	sent            []string // endpoint by send
	refused, failed []string
}

func (h *host) Send(id, endpoint string, _ time.Duration) { h.sent = append(h.sent, endpoint) }
func (h *host) Reject(id string, _ time.Duration)         { h.refused = append(h.refused, id) }
func (h *host) Fail(id string)                            { h.failed = append(h.failed, id) }

func start(t *testing.T, name string, endpoints ...string) (balance.Events, *host) {
	t.Helper()
	decide, err := New(name)
	if err != nil {
		t.Fatal(err)
	}
	h := &host{}
	b := decide(0, balance.Settings{Seed: 1, MaxAttempts: 3, Classes: []balance.Class{{Name: "look"}, {Name: "book", Idempotency: balance.IdempotencyKey}, {Name: "pay", Idempotency: balance.NonIdempotent}}}, h)
	l := balance.EndpointUpdate{Complete: true}
	for _, id := range endpoints {
		l.Endpoints = append(l.Endpoints, balance.Endpoint{ID: id})
	}
	b.EndpointList(0, l)
	return b, h
}

func ask(id, class string) balance.Request {
	return balance.Request{ID: id, Class: class, Deadline: time.Minute}
}

func TestRoundRobinTakesTurns(t *testing.T) {
	b, h := start(t, "round-robin", "a", "b", "c")
	for i := range 6 {
		b.Request(0, ask(fmt.Sprint(i), "look"))
	}
	count := map[string]int{}
	for _, e := range h.sent {
		count[e]++
	}
	if count["a"] != 2 || count["b"] != 2 || count["c"] != 2 {
		t.Errorf("%v", h.sent)
	}
}

func TestLeastOutstandingTakesTheIdlest(t *testing.T) {
	b, h := start(t, "least-outstanding", "a", "b")
	b.Request(0, ask("1", "look"))
	b.Request(0, ask("2", "look"))
	if h.sent[0] == h.sent[1] {
		t.Errorf("%v", h.sent)
	}
	b.Outcome(0, balance.Outcome{ID: "1", Endpoint: h.sent[0], Result: balance.OK})
	b.Request(0, ask("3", "look"))
	if h.sent[2] != h.sent[0] {
		t.Errorf("%v", h.sent)
	}
}

func TestWhatMayHaveRunIsNotSentAgain(t *testing.T) {
	for _, name := range PolicyNames() {
		for _, c := range []struct {
			class           string
			result          balance.Result
			sent            int
			refused, failed int
		}{
			{"look", balance.Reset, 3, 1, 0},
			{"pay", balance.Reset, 1, 0, 1},
			{"book", balance.TimedOut, 1, 0, 1},
			{"pay", balance.Rejected, 3, 1, 0},
			{"book", balance.ConnectFailed, 3, 1, 0},
		} {
			b, h := start(t, name, "a", "b", "c", "d")
			b.Request(0, ask("r", c.class))
			for i := 0; i < len(h.sent) && i < 9; i++ {
				b.Outcome(0, balance.Outcome{ID: "r", Attempt: i, Endpoint: h.sent[i], Result: c.result})
			}
			if len(h.sent) != c.sent || len(h.refused) != c.refused || len(h.failed) != c.failed {
				t.Errorf("%s, %s after %v: sent %d, refused %d, failed %d", name, c.class, c.result, len(h.sent), len(h.refused), len(h.failed))
			}
			if p := b.(*balancer); len(p.requests) != 0 || len(p.out) != 0 {
				t.Errorf("%s: %d requests and %d counts are left", name, len(p.requests), len(p.out))
			}
		}
	}
}

func TestNothingGoesToWhatDrains(t *testing.T) {
	b, h := start(t, "random", "a", "b")
	b.EndpointList(0, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "a", State: balance.Draining}}})
	for i := range 20 {
		b.Request(0, ask(fmt.Sprint(i), "look"))
	}
	b.EndpointList(0, balance.EndpointUpdate{Complete: true})
	b.Request(0, ask("last", "look"))
	for _, e := range h.sent {
		if e != "b" {
			t.Errorf("sent to %s", e)
		}
	}
	if len(h.sent) != 20 || len(h.refused) != 1 {
		t.Errorf("%d sent, %d refused", len(h.sent), len(h.refused))
	}
}

func TestACallerThatLeftIsForgotten(t *testing.T) {
	b, h := start(t, "random", "a", "b")
	b.Request(0, ask("r", "look"))
	b.ClientDisconnected(0, "r")
	b.Outcome(0, balance.Outcome{ID: "r", Endpoint: h.sent[0], Result: balance.Reset})
	if len(h.sent) != 1 || len(h.refused)+len(h.failed) != 0 || len(b.(*balancer).requests) != 0 {
		t.Errorf("%+v", h)
	}
}

package balance_test

import (
	"fmt"
	"time"

	"tuliprock/balance"
)

// printingHost is a host that prints the calls of the balancer. A real host sends requests, sets timers and responds to
// clients.
type printingHost struct{}

func (printingHost) Send(id, endpoint string, timeout time.Duration) {
	fmt.Println("send", id, "to", endpoint)
}
func (printingHost) Cancel(id string, n int)                    { fmt.Println("cancel", id, n) }
func (printingHost) Reject(id string, retryAfter time.Duration) { fmt.Println("reject", id) }
func (printingHost) Fail(id string)                             { fmt.Println("fail", id) }
func (printingHost) Probe(endpoint string)                      { fmt.Println("probe", endpoint) }
func (printingHost) HasIdleConnection(string) bool              { return false }
func (printingHost) Subscribe()                                 { fmt.Println("subscribe") }
func (printingHost) Timer(at time.Duration)                     {}
func (printingHost) Log(line string)                            { fmt.Println(line) }

func Example() {
	b := balance.New(0, balance.Settings{
		BalancerCount: 1, MaxAttempts: 3, CanCancel: true, TimerResolution: time.Millisecond,
		Classes: []balance.Class{{Name: "lookup", Idempotency: balance.Idempotent, LatencyObjective: time.Second}},
	}, printingHost{})
	b.EndpointList(0, balance.EndpointUpdate{Complete: true, Endpoints: []balance.Endpoint{{ID: "10.0.0.1:80"}}})

	now := 5 * time.Millisecond
	b.Request(now, balance.Request{ID: "r1", Class: "lookup", Deadline: now + 2*time.Second})
	b.Outcome(now+20*time.Millisecond, balance.Outcome{ID: "r1", Endpoint: "10.0.0.1:80", Result: balance.OK,
		Latency: 20 * time.Millisecond, IsFinal: true})

	b.EndpointList(time.Second, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "10.0.0.1:80", State: balance.Draining}}})
	b.Request(time.Second, balance.Request{ID: "r2", Class: "lookup", Deadline: 3 * time.Second})
	b.Timer(2990 * time.Millisecond)
	// Output:
	// send r1 to 10.0.0.1:80
	// full: no endpoint has capacity, 1 requests are queued
	// reject r2
}

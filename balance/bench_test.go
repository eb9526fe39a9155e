package balance_test

import (
	"fmt"
	"testing"
	"time"

	"tuliprock/balance"
)

// recordingHost is a host that records attempts. The caller reports their outcomes in the order in which they were sent.
type recordingHost struct {
	balance.Host
	sent []sentAttempt // attempts without an outcome
}

// sentAttempt is an attempt of which the outcome has not been reported yet.
type sentAttempt struct{ id, endpoint string }

func (h *recordingHost) Send(id, endpoint string, _ time.Duration) {
	h.sent = append(h.sent, sentAttempt{id, endpoint})
}
func (*recordingHost) Cancel(string, int)            {}
func (*recordingHost) Reject(string, time.Duration)  {}
func (*recordingHost) Fail(string)                   {}
func (*recordingHost) HasIdleConnection(string) bool { return false }
func (*recordingHost) Subscribe()                    {}
func (*recordingHost) Timer(time.Duration)           {}
func (*recordingHost) Log(string)                    {}

// completeList returns a complete list of n endpoints of two kinds.
func completeList(n int) balance.EndpointUpdate {
	l := balance.EndpointUpdate{Complete: true}
	for i := range n {
		l.Endpoints = append(l.Endpoints, balance.Endpoint{ID: fmt.Sprintf("n%05d", i), Kind: []string{"small", "large"}[i%2]})
	}
	return l
}

// newSingleBalancer returns the only balancer of n endpoints, and its host.
func newSingleBalancer(n int) (*balance.Balancer, *recordingHost) {
	h := &recordingHost{}
	b := balance.New(time.Hour, balance.Settings{BalancerCount: 1, MaxAttempts: 4, CanCancel: true,
		TimerResolution: 5 * time.Millisecond, SlowStartCapacity: 0.3, SlowStartDuration: 10 * time.Second,
		Classes: []balance.Class{{Name: "lookup", LatencyObjective: time.Second}}}, h)
	b.EndpointList(time.Hour, completeList(n))
	return b, h
}

// BenchmarkRequest measures one request and its response at the only balancer of its endpoints.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, h := newSingleBalancer(n)
			now := time.Hour
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 2 * time.Millisecond
				id := fmt.Sprint(i)
				m.Request(now, balance.Request{ID: id, Class: "lookup", Deadline: now + 5*time.Second})
				for _, s := range h.sent {
					m.Outcome(now+time.Millisecond, balance.Outcome{ID: s.id, Endpoint: s.endpoint, Result: balance.OK,
						Latency: time.Millisecond, IsFinal: true})
				}
				h.sent = h.sent[:0]
			}
		})
	}
}

// BenchmarkEndpointList measures a complete list that differs by one endpoint from the previous list.
func BenchmarkEndpointList(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, _ := newSingleBalancer(n)
			complete := completeList(n + 1)
			now := time.Hour
			for i := 0; b.Loop(); i++ {
				now += time.Second
				m.EndpointList(now, balance.EndpointUpdate{Complete: true, Endpoints: complete.Endpoints[:n+i%2]})
			}
		})
	}
}

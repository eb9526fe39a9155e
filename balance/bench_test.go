package balance_test

import (
	"fmt"
	"testing"
	"time"

	"tuliprock/balance"
)

// instantHost is a host whose endpoints respond at once, in the order of the attempts.
type instantHost struct {
	balance.Host
	sent []sentAttempt
}

// sentAttempt is an attempt that instantHost has not answered yet.
type sentAttempt struct{ id, endpoint string }

func (h *instantHost) Send(id, endpoint string, _ time.Duration) {
	h.sent = append(h.sent, sentAttempt{id, endpoint})
}
func (*instantHost) Cancel(string, int)           {}
func (*instantHost) Refuse(string, time.Duration) {}
func (*instantHost) Fail(string)                  {}
func (*instantHost) Idle(string) bool             { return false }
func (*instantHost) Subscribe()                   {}
func (*instantHost) Timer(time.Duration)          {}
func (*instantHost) Log(string)                   {}

// completeList lists n endpoints of two kinds.
func completeList(n int) balance.List {
	l := balance.List{Complete: true}
	for i := range n {
		l.Entries = append(l.Entries, balance.Endpoint{ID: fmt.Sprintf("n%05d", i), Kind: []string{"small", "large"}[i%2]})
	}
	return l
}

// newSingleBalancer makes a balancer without others, with n endpoints.
func newSingleBalancer(n int) (*balance.Balancer, *instantHost) {
	h := &instantHost{}
	b := balance.New(time.Hour, balance.Settings{Balancers: 1, MaxAttempts: 4, MayCancel: true,
		Resolution: 5 * time.Millisecond, ColdFrom: 0.3, ColdFor: 10 * time.Second,
		Classes: []balance.Class{{Name: "look", Aim: time.Second}}}, h)
	b.EndpointList(time.Hour, completeList(n))
	return b, h
}

// BenchmarkRequest is one request and its response, for a balancer without others.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, h := newSingleBalancer(n)
			now := time.Hour
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 2 * time.Millisecond
				id := fmt.Sprint(i)
				m.Request(now, balance.Request{ID: id, Class: "look", Deadline: now + 5*time.Second})
				for _, s := range h.sent {
					m.Outcome(now+time.Millisecond, balance.Outcome{ID: s.id, Endpoint: s.endpoint, Result: balance.OK,
						Took: time.Millisecond, Final: true})
				}
				h.sent = h.sent[:0]
			}
		})
	}
}

// BenchmarkEndpointList is a complete list that changes by one endpoint.
func BenchmarkEndpointList(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, _ := newSingleBalancer(n)
			whole := completeList(n + 1)
			now := time.Hour
			for i := 0; b.Loop(); i++ {
				now += time.Second
				m.EndpointList(now, balance.List{Complete: true, Entries: whole.Entries[:n+i%2]})
			}
		})
	}
}

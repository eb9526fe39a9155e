package sidecar

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"tuliprock/internal/config"
	"tuliprock/internal/discovery"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/metrics"
	"tuliprock/internal/testkit/testpeer"
)

// BenchmarkPoolUpdate measures how long a pool with the real balancer and connections takes to apply an endpoint list that
// differs by one member from the previous one.
func BenchmarkPoolUpdate(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var members []discovery.Member
			for i := range n + 1 {
				members = append(members, discovery.Member{ID: fmt.Sprint("n", i), Addr: fmt.Sprintf("127.%d.%d.%d:80", 1+i>>16, i>>8&255, i&255)})
			}
			source := config.SourceSpec{Members: []config.Member{{ID: "x", Address: "127.0.0.1:1"}}}
			spec := config.PoolSpec{Name: "p", MaxConnections: 10, Source: source}
			p := newPool(eventloop.NewBalancer, spec, nil, nil, nil, &metrics.Registry{}, slog.New(slog.DiscardHandler))
			defer p.close()
			applied := make(chan bool)
			for i := 0; b.Loop(); i++ {
				p.updateEndpoints(discovery.ListUpdate{Full: true, Members: members[:n+i%2]})
				p.loop.Post(func(time.Duration) { applied <- true })
				<-applied
			}
		})
	}
}

// BenchmarkServe measures the time from a request to its response, through the daemon and an endpoint. Requests are sent
// one after another on one connection.
func BenchmarkServe(b *testing.B) {
	e := testpeer.NewEndpoint(b, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startFromFile(b, parseService(b, listenerOne+poolSection("a", e.Addr)+lookRoute))
	nc, in, _ := openConnection(b, s.addressOf("one"))
	b.ReportAllocs()
	for b.Loop() {
		sendOn(b, nc, in)
	}
}

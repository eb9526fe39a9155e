package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"tuliprock/balance"
)

// requestsPerEndpoint serves requests one at a time, each tenth endpoint being slower, and returns how many each endpoint
// got.
func requestsPerEndpoint(n, requests int, slower float64) map[string]float64 {
	m, h := newSingleBalancer(n)
	now := time.Hour
	got := map[string]float64{}
	for i := range requests {
		id := fmt.Sprint(i)
		m.Request(now, balance.Request{ID: id, Class: "lookup", Deadline: now + 5*time.Second})
		for _, s := range h.sent {
			latency := 20 * time.Millisecond
			if s.endpoint[len(s.endpoint)-1] == '0' {
				latency = time.Duration(slower * float64(latency))
			}
			got[s.endpoint]++
			m.Outcome(now+latency, balance.Outcome{ID: s.id, Endpoint: s.endpoint, Result: balance.OK, Latency: latency, IsFinal: true})
		}
		h.sent = h.sent[:0]
		now += 50 * time.Millisecond
	}
	return got
}

// spreadOf returns the mean count of the slow or the other endpoints, and the standard deviation and the largest deviation
// from it, as fractions of the mean.
func spreadOf(got map[string]float64, n int, slow bool) (mean, deviation, most float64) {
	var counts []float64
	for i := range n {
		if (i%10 == 0) == slow {
			counts = append(counts, got[fmt.Sprintf("n%05d", i)])
		}
	}
	for _, c := range counts {
		mean += c / float64(len(counts))
	}
	for _, c := range counts {
		deviation += (c - mean) * (c - mean) / float64(len(counts))
		most = max(most, math.Abs(c-mean)/mean)
	}
	return mean, math.Sqrt(deviation) / mean, most
}

// Picks from samples of a large subset give equal endpoints about as many requests, and slower ones fewer, as picks from a
// small subset do.
func TestLargeSubsetIsPickedFromEvenly(t *testing.T) {
	const each = 40
	for _, n := range []int{200, 400, 2000} { // one scanned whole, two sampled
		got := requestsPerEndpoint(n, n*each, 1.4)
		fast, deviation, most := spreadOf(got, n, false)
		slow, _, _ := spreadOf(got, n, true)
		t.Logf("%d endpoints: %.1f requests, deviation %.3f, at most %.3f off; slower ones %.2f of that",
			n, fast, deviation, most, slow/fast)
		if deviation > 0.1 || most > 0.5 {
			t.Errorf("%d endpoints: requests differ by %.3f, at most by %.3f", n, deviation, most)
		}
		if fraction := slow / fast; fraction < 0.6 || fraction > 0.95 {
			t.Errorf("%d endpoints: those slower by 1.4 get %.2f of the requests", n, fraction)
		}
	}
}

// Endpoints that drain or are gone get no more requests, not even those used last; new ones get their trials.
func TestLargeSubsetFollowsListUpdates(t *testing.T) {
	const n = 1000
	m, h := newSingleBalancer(n)
	now := time.Hour
	ask := func(count int) (got map[string]int) {
		got = map[string]int{}
		for range count {
			now += 2 * time.Millisecond
			id := fmt.Sprint(now)
			m.Request(now, balance.Request{ID: id, Class: "lookup", Deadline: now + 5*time.Second})
			for _, s := range h.sent {
				got[s.endpoint]++
				m.Outcome(now+time.Millisecond, balance.Outcome{ID: s.id, Endpoint: s.endpoint, Result: balance.OK,
					Latency: time.Millisecond, IsFinal: true})
			}
			h.sent = h.sent[:0]
		}
		return got
	}
	before := ask(50)
	l := completeList(n + 10)
	for i := range l.Endpoints {
		if before[l.Endpoints[i].ID] > 0 {
			l.Endpoints[i].State = balance.Draining
		}
	}
	l.Endpoints = l.Endpoints[1:]
	m.EndpointList(now, l)
	after := ask(20 * n)
	for id := range before {
		if after[id] > 0 {
			t.Errorf("%s is draining and got %d requests", id, after[id])
		}
	}
	if after["n00000"] > 0 {
		t.Error("an endpoint that is gone got requests")
	}
	for i := range 10 {
		if id := fmt.Sprintf("n%05d", n+i); after[id] == 0 {
			t.Errorf("%s is new and got no request", id)
		}
	}
}

package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"tuliprock/balance"
)

// countRequestsPerEndpoint sends requests one at a time to a balancer of n endpoints, and returns the number of requests by
// endpoint. The latency of every tenth endpoint is the product of slowdown and the latency of the others.
func countRequestsPerEndpoint(n, requests int, slowdown float64) map[string]float64 {
	m, h := newSingleBalancer(n)
	now := time.Hour
	got := map[string]float64{}
	for i := range requests {
		id := fmt.Sprint(i)
		m.Request(now, balance.Request{ID: id, Class: "lookup", Deadline: now + 5*time.Second})
		for _, s := range h.sent {
			latency := 20 * time.Millisecond
			if s.endpoint[len(s.endpoint)-1] == '0' {
				latency = time.Duration(slowdown * float64(latency))
			}
			got[s.endpoint]++
			m.Outcome(now+latency, balance.Outcome{ID: s.id, Endpoint: s.endpoint, Result: balance.OK, Latency: latency, IsFinal: true})
		}
		h.sent = h.sent[:0]
		now += 50 * time.Millisecond
	}
	return got
}

// measureSpread returns the mean number of requests per endpoint, and the standard deviation and the largest deviation as
// fractions of this mean, for the slow endpoints or, if isSlow is false, for all others.
func measureSpread(requestCounts map[string]float64, n int, isSlow bool) (mean, standardDeviation, maxDeviation float64) {
	var counts []float64
	for i := range n {
		if (i%10 == 0) == isSlow {
			counts = append(counts, requestCounts[fmt.Sprintf("n%05d", i)])
		}
	}
	for _, c := range counts {
		mean += c / float64(len(counts))
	}
	variance := 0.0
	for _, c := range counts {
		variance += (c - mean) * (c - mean) / float64(len(counts))
		maxDeviation = max(maxDeviation, math.Abs(c-mean)/mean)
	}
	return mean, math.Sqrt(variance) / mean, maxDeviation
}

// Picks from samples of a large subset must spread requests like picks from a small subset: evenly over equal endpoints, and
// fewer to slower ones.
func TestLargeSubsetIsPickedFromEvenly(t *testing.T) {
	const meanRequestsPerEndpoint = 40
	for _, n := range []int{200, 400, 2000} { // a pick scans all of 200 endpoints, but only a sample of 400 or 2000
		got := countRequestsPerEndpoint(n, n*meanRequestsPerEndpoint, 1.4)
		fastMean, standardDeviation, maxDeviation := measureSpread(got, n, false)
		slowMean, _, _ := measureSpread(got, n, true)
		t.Logf("%d endpoints: %.1f requests each, standard deviation %.3f, largest deviation %.3f; slower ones get %.2f times as many",
			n, fastMean, standardDeviation, maxDeviation, slowMean/fastMean)
		if standardDeviation > 0.1 || maxDeviation > 0.5 {
			t.Errorf("%d endpoints: requests have a standard deviation of %.3f and a largest deviation of %.3f, want 0.1 and 0.5 at most",
				n, standardDeviation, maxDeviation)
		}
		if slowToFastRatio := slowMean / fastMean; slowToFastRatio < 0.6 || slowToFastRatio > 0.95 {
			t.Errorf("%d endpoints: those with 1.4 times the latency get %.2f of the others' requests, want 0.6 to 0.95", n, slowToFastRatio)
		}
	}
}

// After a list update the sample of a large subset must not contain endpoints that are draining or gone, not even recently
// used ones, and new endpoints get trials.
func TestLargeSubsetFollowsListUpdates(t *testing.T) {
	const n = 1000
	m, h := newSingleBalancer(n)
	now := time.Hour
	sendRequests := func(count int) (got map[string]int) {
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
	countsBefore := sendRequests(50)
	l := completeList(n + 10)
	for i := range l.Endpoints {
		if countsBefore[l.Endpoints[i].ID] > 0 {
			l.Endpoints[i].State = balance.Draining
		}
	}
	l.Endpoints = l.Endpoints[1:]
	m.EndpointList(now, l)
	countsAfter := sendRequests(20 * n)
	for id := range countsBefore {
		if countsAfter[id] > 0 {
			t.Errorf("%s is draining and got %d requests, want none", id, countsAfter[id])
		}
	}
	if countsAfter["n00000"] > 0 {
		t.Errorf("the endpoint that is gone got %d requests, want none", countsAfter["n00000"])
	}
	for i := range 10 {
		if id := fmt.Sprintf("n%05d", n+i); countsAfter[id] == 0 {
			t.Errorf("the new endpoint %s got no request, want at least 1", id)
		}
	}
}

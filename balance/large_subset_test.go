package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"tuliprock/balance"
)

// requestsPerEndpoint plays requests, one at a time, before a fleet of which each tenth endpoint is slower, and gives the calls that
// each endpoint got.
func requestsPerEndpoint(n, requests int, slower float64) map[string]float64 {
	m, h := newSingleBalancer(n)
	now := time.Hour
	got := map[string]float64{}
	for i := range requests {
		id := fmt.Sprint(i)
		m.Request(now, balance.Request{ID: id, Class: "look", Deadline: now + 5*time.Second})
		for _, s := range h.sent {
			took := 20 * time.Millisecond
			if s.endpoint[len(s.endpoint)-1] == '0' {
				took = time.Duration(slower * float64(took))
			}
			got[s.endpoint]++
			m.Outcome(now+took, balance.Outcome{ID: s.id, Endpoint: s.endpoint, Result: balance.OK, Took: took, Final: true})
		}
		h.sent = h.sent[:0]
		now += 50 * time.Millisecond
	}
	return got
}

// spreadOf is how far the counts of alike endpoints are from their mean: the standard deviation and the largest, in shares.
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

// A table that is picked from by samples gives alike endpoints alike many calls, and slower ones fewer, as one does that is
// gone through whole.
func TestLargeSubsetIsPickedFromEvenly(t *testing.T) {
	const each = 40
	for _, n := range []int{200, 400, 2000} { // whole, and twice by samples
		got := requestsPerEndpoint(n, n*each, 1.4)
		fast, deviation, most := spreadOf(got, n, false)
		slow, _, _ := spreadOf(got, n, true)
		t.Logf("%d endpoints: %.1f calls, deviation %.3f, at most %.3f off; slower ones %.2f of that", n, fast, deviation, most, slow/fast)
		if deviation > 0.1 || most > 0.5 {
			t.Errorf("%d endpoints: calls differ by %.3f, at most by %.3f", n, deviation, most)
		}
		if share := slow / fast; share < 0.6 || share > 0.95 {
			t.Errorf("%d endpoints: those slower by 1.4 get %.2f of the calls", n, share)
		}
	}
}

// Endpoints of a long table that leave get nothing more, not even where they were used last; new ones get their trials.
func TestLargeSubsetFollowsListUpdates(t *testing.T) {
	const n = 1000
	m, h := newSingleBalancer(n)
	now := time.Hour
	ask := func(count int) (got map[string]int) {
		got = map[string]int{}
		for range count {
			now += 2 * time.Millisecond
			id := fmt.Sprint(now)
			m.Request(now, balance.Request{ID: id, Class: "look", Deadline: now + 5*time.Second})
			for _, s := range h.sent {
				got[s.endpoint]++
				m.Outcome(now+time.Millisecond, balance.Outcome{ID: s.id, Endpoint: s.endpoint, Result: balance.OK, Took: time.Millisecond, Final: true})
			}
			h.sent = h.sent[:0]
		}
		return got
	}
	before := ask(50)
	l := completeList(n + 10)
	for i := range l.Entries {
		if before[l.Entries[i].ID] > 0 {
			l.Entries[i].State = balance.Draining
		}
	}
	l.Entries = l.Entries[1:]
	m.EndpointList(now, l)
	after := ask(20 * n)
	for id := range before {
		if after[id] > 0 {
			t.Errorf("%s drains and got %d calls", id, after[id])
		}
	}
	if after["n00000"] > 0 {
		t.Error("one that is gone got calls")
	}
	for i := range 10 {
		if id := fmt.Sprintf("n%05d", n+i); after[id] == 0 {
			t.Errorf("%s is new and got none", id)
		}
	}
}

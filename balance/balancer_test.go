package balance_test

import (
	"fmt"
	"maps"
	"strconv"
	"testing"
	"time"

	"tuliprock/balance"
)

func TestFailedSubscriptionIsRepeated(t *testing.T) {
	s := defaultSettings()
	s.MustSubscribe, s.MaxSubscribeInterval = true, 10*time.Second
	h := newHarness(t, s, "a")
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{HasFailed: true})
	h.advance(5 * time.Second)
	if n := h.countActions("subscribe"); n != 2 {
		t.Errorf("%d subscriptions within 5 s of the failure, want 2, the first included", n)
	}
}

// Settings that are zero, negative or incomplete must not lead to a request without a final response, or with two.
func TestUnusualSettingsStillGiveOneFinalResponsePerRequest(t *testing.T) {
	for _, row := range []struct {
		name     string
		settings balance.Settings
	}{
		{"zero", balance.Settings{}},
		{"probes without classes", balance.Settings{CanProbe: true}},
		{"negative numbers, class and tenant without name", balance.Settings{BalancerCount: -1, MaxAttempts: -1,
			Classes: []balance.Class{{}}, Tenants: []balance.Tenant{{}}}},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, row.settings, "a", "b")
			for range 20 {
				h.request("")
				h.request("unlisted")
				h.advance(10 * ms)
			}
			h.advance(6 * time.Second)
			for i := 1; i <= h.requestCount; i++ {
				id := "r" + strconv.Itoa(i)
				responses := 0
				for _, d := range h.actions {
					if d == "reject "+id || d == "fail "+id {
						responses++
					}
				}
				if responses != 1 {
					t.Errorf("%s has %d final responses, want 1", id, responses)
				}
			}
		})
	}
}

// A balancer must not keep state for endpoints and requests that are gone, or for unknown classes and tenants, or its memory
// grows without bound.
func TestStateDoesNotGrowWithNewNames(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a")
	for i := range 3000 {
		h.balancer.EndpointList(h.now, balance.EndpointUpdate{Complete: true,
			Endpoints: []balance.Endpoint{{ID: fmt.Sprint("e", i)}, {ID: fmt.Sprint("e", i+1)}}})
		id, ep := h.request([]string{"read", fmt.Sprint("class", i)}[i%2])
		if ep == "" {
			t.Fatalf("request %d was not sent to an endpoint", i)
		}
		h.advance(2 * ms)
		h.finish(id, balance.OK)
		h.balancer.ClientDisconnected(h.now, h.requestForTenant("read", fmt.Sprint("tenant", i)))
		if lastID := fmt.Sprint("r", h.requestCount); len(h.sentTo[lastID]) > 0 {
			h.finish(lastID, balance.Canceled)
		}
	}
	want := map[string]int{"classes": 2, "tenants": 0, "kinds": 1, "endpointByID": 2, "endpoints": 2, "subset": 2,
		"requests": 0, "unfinished": 0, "queue": 0}
	if sizes := balance.StateSizes(h.balancer); !maps.Equal(sizes, want) {
		t.Errorf("sizes are %v, want %v", sizes, want)
	}
}

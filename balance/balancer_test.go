package balance_test

import (
	"fmt"
	"maps"
	"strconv"
	"testing"
	"time"

	"tuliprock/balance"
)

func TestFailedDiscoveryIsSubscribedToAgain(t *testing.T) {
	s := defaultSettings()
	s.MustSubscribe, s.SubscribeWithin = true, 10*time.Second
	h := newHarness(t, s, "a")
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Failed: true})
	h.advance(5 * time.Second)
	if n := h.countActions("subscribe"); n != 2 {
		t.Errorf("%d subscriptions", n)
	}
}

// The settings are those that no site has.
func TestUnusualSettingsStillGiveOneAnswerPerRequest(t *testing.T) {
	for _, row := range []struct {
		name     string
		settings balance.Settings
	}{
		{"zero", balance.Settings{}},
		{"probes without classes", balance.Settings{CanProbe: true}},
		{"negative numbers, class and tenant without name", balance.Settings{Balancers: -1, MaxAttempts: -1,
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
				answers := 0
				for _, d := range h.actions {
					if d == "refuse "+id || d == "fail "+id {
						answers++
					}
				}
				if answers != 1 {
					t.Errorf("%s has %d answers", id, answers)
				}
			}
		})
	}
}

// A long day brings ever new endpoints, IDs, classes and tenants; nothing of those that are gone may stay.
func TestStateDoesNotGrowWithNewNames(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a")
	for i := range 3000 {
		h.balancer.EndpointList(h.now, balance.EndpointUpdate{Complete: true,
			Endpoints: []balance.Endpoint{{ID: fmt.Sprint("e", i)}, {ID: fmt.Sprint("e", i+1)}}})
		id, ep := h.request([]string{"read", fmt.Sprint("class", i)}[i%2])
		if ep == "" {
			t.Fatalf("request %d is not sent", i)
		}
		h.advance(2 * ms)
		h.finish(id, balance.OK)
		h.balancer.ClientDisconnected(h.now, h.requestAs("read", fmt.Sprint("tenant", i)))
		if last := fmt.Sprint("r", h.requestCount); len(h.sentTo[last]) > 0 {
			h.finish(last, balance.Canceled)
		}
	}
	want := map[string]int{"classes": 2, "tenants": 0, "kinds": 1, "names": 2, "endpoints": 2, "subset": 2,
		"requests": 0, "live": 0, "queue": 0}
	if sizes := balance.StateSizes(h.balancer); !maps.Equal(sizes, want) {
		t.Errorf("sizes are %v, want %v", sizes, want)
	}
}

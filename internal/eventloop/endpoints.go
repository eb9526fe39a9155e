package eventloop

import (
	"time"

	"tuliprock/balance"
	"tuliprock/internal/discovery"
)

// UpdateEndpoints reports an update of the endpoint list by discovery, to the upstream and to the module. It is called from
// an event.
func (l *Loop) UpdateEndpoints(now time.Duration, m discovery.ListUpdate) {
	out := balance.EndpointUpdate{Complete: m.Full}
	listed := map[string]bool{}
	for _, s := range m.Members {
		out.Endpoints = append(out.Endpoints, balance.Endpoint{ID: s.ID, State: s.State, Zone: s.Zone, Kind: s.Kind,
			Cell: s.Cell, Started: l.clock.fromUnixMillis(s.StartedMs)})
		listed[s.ID] = true
		if s.State == balance.Gone {
			l.removeEndpoint(s.ID)
			continue
		}
		l.endpoints[s.ID] = true
		l.upstream.SetEndpoint(s.ID, s.Addr, s.State == balance.Ready)
	}
	if m.Full {
		for id := range l.endpoints {
			if !listed[id] {
				l.removeEndpoint(id)
			}
		}
	}
	l.balancer.EndpointList(now, out)
}

func (l *Loop) removeEndpoint(id string) {
	delete(l.endpoints, id)
	l.upstream.RemoveEndpoint(id)
}

// DiscoveryFailed reports that a watch broke, where discovery is polled. It is called from an event.
func (l *Loop) DiscoveryFailed(now time.Duration) {
	l.balancer.EndpointList(now, balance.EndpointUpdate{Failed: true})
}

// SetEjected ejects an endpoint by an operator's override, or takes it back in. It is called from an event.
func (l *Loop) SetEjected(now time.Duration, id string, out bool) {
	l.upstream.SetEjected(id, out) // first: the module may send at once
	l.balancer.SetEjected(now, id, out)
}

// IsKnown reports whether an endpoint is listed, or manually ejected. It is called from an event.
func (l *Loop) IsKnown(id string) bool { return l.balancer.IsKnown(id) }

// SetBalancerCount reports among how many daemons the endpoints are shared, and this one's place among them. It is called
// from an event.
func (l *Loop) SetBalancerCount(now time.Duration, daemons, index int) {
	l.balancer.SetBalancerCount(now, daemons, index)
}

// EndpointCounts returns how many endpoints are listed, and how many of them are avoided. It is called from an event.
func (l *Loop) EndpointCounts() (listed, avoided int) { return l.balancer.EndpointCounts() }

package eventloop

import (
	"time"

	"tuliprock/balance"
	"tuliprock/internal/discovery"
)

// UpdateEndpoints reports an update of the endpoint list by discovery to the upstream and to the balancer. It is called from an
// event.
func (l *Loop) UpdateEndpoints(now time.Duration, list discovery.ListUpdate) {
	update := balance.EndpointUpdate{Complete: list.Full}
	listed := map[string]bool{}
	for _, member := range list.Members {
		update.Endpoints = append(update.Endpoints, balance.Endpoint{ID: member.ID, State: member.State, Zone: member.Zone,
			Kind: member.Kind, Cell: member.Cell, StartedAt: l.clock.fromUnixMillis(member.StartedMs)})
		listed[member.ID] = true
		if member.State == balance.Gone {
			l.removeEndpoint(member.ID)
			continue
		}
		l.endpoints[member.ID] = true
		l.upstream.SetEndpoint(member.ID, member.Addr, member.State == balance.Ready)
	}
	if list.Full {
		for id := range l.endpoints {
			if !listed[id] {
				l.removeEndpoint(id)
			}
		}
	}
	l.balancer.EndpointList(now, update)
}

func (l *Loop) removeEndpoint(id string) {
	delete(l.endpoints, id)
	l.upstream.RemoveEndpoint(id)
}

// DiscoveryFailed reports that a watch of the endpoint list has ended, or that its source cannot be reached. It is called from an event.
func (l *Loop) DiscoveryFailed(now time.Duration) {
	l.balancer.EndpointList(now, balance.EndpointUpdate{HasFailed: true})
}

// SetEjected ejects an endpoint by an operator's override, or restores it. It is called from an event.
func (l *Loop) SetEjected(now time.Duration, id string, isEjected bool) {
	l.upstream.SetEjected(id, isEjected) // the upstream is notified first, since the balancer may send an attempt to a restored endpoint at once
	l.balancer.SetEjected(now, id, isEjected)
}

// IsKnown reports whether an endpoint is listed or manually ejected. It is called from an event.
func (l *Loop) IsKnown(id string) bool { return l.balancer.IsKnown(id) }

// SetBalancerCount reports how many daemons send to the same endpoints, and the index of this daemon among them. It is called from
// an event.
func (l *Loop) SetBalancerCount(now time.Duration, daemons, index int) {
	l.balancer.SetBalancerCount(now, daemons, index)
}

// EndpointCounts returns how many endpoints are listed, and how many of them the balancer avoids because they are ejected, manually
// or as outliers. It is called from an event.
func (l *Loop) EndpointCounts() (listed, ejected int) { return l.balancer.EndpointCounts() }
